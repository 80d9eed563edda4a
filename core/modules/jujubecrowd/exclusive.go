package jujubecrowd

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Exclusive waits until no other process of this machine's user is between Exclusive and release. Tests of several packages run at the same
// time, and two crowds would take each other's memory and processors.
func Exclusive() (release func(), err error) {
	file, err := os.OpenFile(filepath.Join(os.TempDir(), "jujubecrowd.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open lock")
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX); err != nil {
		_ = file.Close()
		return nil, errors.Wrap(err, "lock")
	}
	return func() { _ = file.Close() }, nil // which releases the lock
}
