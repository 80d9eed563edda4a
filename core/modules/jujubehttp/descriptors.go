package jujubehttp

import (
	"math"

	"golang.org/x/sys/unix"
)

// fallbackDescriptors is the descriptor limit where the system doesn't tell.
const fallbackDescriptors = 1024

func descriptorLimit() float64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return float64(min(limit.Cur, math.MaxInt32))
}
