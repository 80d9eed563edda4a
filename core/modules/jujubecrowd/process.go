package jujubecrowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// Peak is the most that a process was seen to take.
type Peak struct {
	ResidentMegabytes int
	Descriptors       int
}

// sampleInterval is the time between two looks at a process.
const sampleInterval = 10 * time.Millisecond

// Watch samples the memory and the open descriptors of a process until the returned function is called, which returns the highest
// figures. The process may end meanwhile.
func Watch(pid int) (stop func() Peak) {
	stopCh, peakCh := make(chan struct{}), make(chan Peak)
	go func() {
		var peak Peak
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			peak.ResidentMegabytes = max(peak.ResidentMegabytes, residentMegabytes(pid))
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				peak.Descriptors = max(peak.Descriptors, len(entries))
			}
			select {
			case <-ticker.C:
			case <-stopCh:
				peakCh <- peak
				return
			}
		}
	}()
	return func() Peak {
		close(stopCh)
		return <-peakCh
	}
}

// residentMegabytes returns the resident memory of a process, or 0 if it has ended.
func residentMegabytes(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, text, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0]) // 0 for a process that has ended
	return kilobytes >> 10
}
