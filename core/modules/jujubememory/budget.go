// Package jujubememory bounds the memory of the bodies that an instance holds at the same time.
package jujubememory

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// freeBytes is the size up to which a buffer needs no memory from the budget. The many small bodies don't depend on the few
	// large ones.
	freeBytes = 16 << 10
	// minBufferBytes is the size of the first buffer for a body of unknown length.
	minBufferBytes = 1 << 10
	// collectInterval is the minimum time between two collections of garbage that a full budget causes.
	collectInterval = 50 * time.Millisecond
	// collectWait is how long a full budget waits for the buffers that a collection has found.
	collectWait = 20 * time.Millisecond
)

// Unlimited is the length of a body whose length isn't announced.
const Unlimited = -1

// ErrTooLarge reports a body that exceeds its size limit.
type ErrTooLarge struct {
	Limit int
}

// Error returns the limit in bytes.
func (e ErrTooLarge) Error() string { return fmt.Sprintf("the body goes on after %d bytes", e.Limit) }

// ErrExhausted reports that the budget had no room for a buffer in time.
type ErrExhausted struct {
	Size int
}

// Error returns the size of the buffer.
func (e ErrExhausted) Error() string { return fmt.Sprintf("no memory for %d bytes", e.Size) }

// Budget bounds the total size of the buffers that were allocated from it and haven't been collected yet. A nil Budget has no
// bound.
type Budget struct {
	// Relieve is called when a full budget has found no garbage; it may make others release theirs. It may be nil, and is set before
	// the first use.
	Relieve func()

	// size is the limit of the buffers and reservations, total that of these and what is held otherwise.
	size, total int

	mu sync.Mutex
	// available is the number of bytes that aren't reserved; never negative.
	available int
	// held is the number of bytes that SetHeld has set.
	held int
	// releasedCh is closed and replaced when bytes become available.
	releasedCh  chan struct{}
	collectedAt time.Time
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(size int) *Budget { return NewSharedBudget(size, size) }

// NewSharedBudget returns a budget of a number of bytes for buffers and reservations, which together with what is held otherwise take no
// more than a total; zero for no total.
func NewSharedBudget(size, total int) *Budget {
	return &Budget{size: size, total: total, available: size, releasedCh: make(chan struct{})}
}

// SetHeld sets how many bytes are held beside the buffers and reservations. They may exceed the total; nothing is reserved then.
func (b *Budget) SetHeld(bytes int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes < b.held {
		close(b.releasedCh)
		b.releasedCh = make(chan struct{})
	}
	b.held = bytes
}

// Limits returns how many bytes may be held in total, and how many are.
func (b *Budget) Limits() (total, used int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.held + b.size - b.available
}

// Reserve reserves bytes until release is called, for a caller that holds some already. It waits for them until the wait has passed or
// the context has ended. A caller that needs more than the whole budget gets all that it doesn't hold.
func (b *Budget) Reserve(ctx context.Context, held, size int, wait time.Duration) (release func(), err error) {
	if b == nil {
		return func() {}, nil
	}
	size = min(size, max(0, b.size-held))
	if err := b.reserve(ctx, size, wait); err != nil {
		return nil, err
	}
	return sync.OnceFunc(func() { b.release(size) }), nil
}

// Await waits until a number of bytes beside the reservations fits into the total.
func (b *Budget) Await(ctx context.Context, size int, wait time.Duration) error {
	if b == nil {
		return nil
	}
	return b.await(ctx, size, wait, func() bool { return b.fits(size) })
}

func (b *Budget) reserve(ctx context.Context, size int, wait time.Duration) error {
	return b.await(ctx, size, wait, func() bool {
		if size > b.available || !b.fits(size) {
			return false
		}
		b.available -= size
		return true
	})
}

// fits reports whether a number of bytes beside the reservations fits into the total; the lock is held.
func (b *Budget) fits(size int) bool {
	return b.total == 0 || b.size-b.available+size+b.held <= b.total
}

// await waits for a number of bytes until a function that is called with the lock held returns true. It fails at once if nothing that may
// be released makes room for them.
func (b *Budget) await(ctx context.Context, size int, wait time.Duration, isDone func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, wait+collectWait)
	defer cancel()
	for {
		b.mu.Lock()
		if isDone() {
			b.mu.Unlock()
			return nil
		}
		if b.total > 0 && size > b.total-b.held {
			b.mu.Unlock()
			return ErrExhausted{size}
		}
		releasedCh, now := b.releasedCh, time.Now()
		isDue := now.Sub(b.collectedAt) >= collectInterval
		if isDue {
			b.collectedAt = now
		}
		b.mu.Unlock()
		if isDue {
			if b.Relieve != nil {
				b.Relieve()
			}
			runtime.GC() // releases the buffers that are unreachable
		}
		nextCollection := time.NewTimer(collectInterval)
		select {
		case <-releasedCh:
		case <-nextCollection.C:
		case <-ctx.Done():
			nextCollection.Stop()
			return ErrExhausted{size}
		}
		nextCollection.Stop()
	}
}

func (b *Budget) release(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += size
	close(b.releasedCh)
	b.releasedCh = make(chan struct{})
}

// allocate returns an empty buffer of a capacity. Its bytes stay reserved until the garbage collector frees them.
func (b *Budget) allocate(ctx context.Context, size int, wait time.Duration) ([]byte, error) {
	if b == nil || size <= freeBytes {
		return make([]byte, 0, size), nil
	}
	reserved := min(size, b.size)
	if err := b.reserve(ctx, reserved, wait); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	runtime.AddCleanup(&data[:1][0], b.release, reserved)
	return data, nil
}

// Body describes a body to read.
type Body struct {
	io.Reader
	// Length is the announced length, or Unlimited.
	Length int64
	// IsTrusted is true if memory for the whole announced length is reserved before the first byte is read. Otherwise the buffer
	// grows with what has arrived.
	IsTrusted bool
	// Limit is the maximum size.
	Limit int
	// Wait is how long to wait for memory.
	Wait time.Duration
}

// firstSize returns the size of the first buffer.
func (b Body) firstSize() int {
	switch {
	case b.Length < 0:
		return min(b.Limit, minBufferBytes)
	case b.IsTrusted:
		return int(b.Length)
	}
	return int(min(b.Length, int64(b.Limit), freeBytes))
}

// nextSize returns the size of the buffer that follows a full one.
func (b Body) nextSize(size int) int {
	next := max(2*size, minBufferBytes)
	if b.Length > int64(size) {
		next = int(min(int64(next), b.Length))
	}
	return min(next, b.Limit)
}

// ReadAll reads a whole body. Its bytes count against the budget until the garbage collector frees them.
func (b *Budget) ReadAll(ctx context.Context, body Body) ([]byte, error) {
	if body.IsTrusted && body.Length > int64(body.Limit) {
		return nil, ErrTooLarge{body.Limit}
	}
	data, err := b.allocate(ctx, body.firstSize(), body.Wait)
	if err != nil {
		return nil, err
	}
	for {
		n, err := readFull(body, data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		// The body may end where the buffer does.
		var next [1]byte
		switch _, err := readFull(body, next[:]); {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		case len(data) == body.Limit:
			return nil, ErrTooLarge{body.Limit}
		}
		grown, err := b.allocate(ctx, body.nextSize(len(data)), body.Wait)
		if err != nil {
			return nil, err
		}
		data = append(append(grown, data...), next[0])
	}
}

// readFull reads until the buffer is full. It returns io.EOF if the body ends before.
func readFull(body io.Reader, data []byte) (int, error) {
	n := 0
	for n < len(data) {
		read, err := body.Read(data[n:])
		n += read
		if err != nil && (n < len(data) || !errors.Is(err, io.EOF)) {
			return n, err
		}
	}
	return n, nil
}
