package jujubeweight

import (
	"cmp"
	"time"
)

// swapWindow limits how many engines may swap concurrently. It is an additive-increase/multiplicative-decrease window. While
// the store is overloaded the window is halved, but not below the number of swaps that the store does serve, and at most once
// per swap time, because the effect of a change shows only after that. Each window of successful swaps adds a sixteenth of
// MaxSwapping, at least one. After the first overload, orders are also paced: a store refuses a burst although it could serve
// the same orders one after the other.
type swapWindow struct {
	// limit is between 1 and MaxSwapping.
	limit        float64
	meanSwapTime time.Duration
	reducedAt    time.Time
	// overloadedAt is the time of the latest overload.
	overloadedAt time.Time
	// paced is true from an overload until limit has reached MaxSwapping and the latest overload is a swap time ago. credit
	// is the number of orders that pacing allows now.
	paced    bool
	credit   float64
	creditAt time.Time
}

const (
	// defaultSwapTime is used until the first swap has ended.
	defaultSwapTime = 5 * time.Second
	// increaseShare is the share of MaxSwapping that a window of successful swaps adds.
	increaseShare = 1.0 / 16
	// paceFactor is how much faster than one window per swap time orders may be sent, so that a window that has grown can
	// fill up.
	paceFactor = 2
	// maxBurstTime limits the accumulated credit, in time.
	maxBurstTime = 100 * time.Millisecond
)

func newSwapWindow(limit int) swapWindow { return swapWindow{limit: float64(max(1, limit))} }

func (w *swapWindow) size() int { return max(1, int(w.limit)) }

func (w *swapWindow) expectedSwapTime() time.Duration { return cmp.Or(w.meanSwapTime, defaultSwapTime) }

// admit returns how many of the wanted orders may be sent now.
func (w *swapWindow) admit(now time.Time, wanted int) int {
	if !w.paced {
		return wanted
	}
	rate := paceFactor * w.limit / w.expectedSwapTime().Seconds()
	w.credit = min(w.credit+rate*now.Sub(w.creditAt).Seconds(), 1+rate*maxBurstTime.Seconds())
	w.creditAt = now
	admitted := min(wanted, int(w.credit))
	w.credit -= float64(admitted)
	return admitted
}

func (w *swapWindow) onSuccess(now, sentAt time.Time, limit int) {
	maxLimit := float64(max(1, limit))
	w.limit = min(w.limit+max(1, maxLimit*increaseShare)/w.limit, maxLimit)
	w.paced = w.paced && (w.limit < maxLimit || now.Sub(w.overloadedAt) < w.expectedSwapTime())
	if duration := now.Sub(sentAt); w.meanSwapTime == 0 {
		w.meanSwapTime = duration
	} else {
		w.meanSwapTime += (duration - w.meanSwapTime) / 8
	}
}

// onOverload reduces the window; acceptedSwaps is the number of swaps that engines have accepted and not finished. The first
// overload only enables pacing: until a swap time has passed, acceptedSwaps doesn't show the capacity of the store.
func (w *swapWindow) onOverload(now time.Time, acceptedSwaps int) {
	w.overloadedAt = now
	if !w.paced {
		w.paced, w.credit, w.creditAt, w.reducedAt = true, 0, now, now
		return
	}
	if now.Sub(w.reducedAt) >= w.expectedSwapTime() {
		w.limit, w.reducedAt = max(1, w.limit/2, min(w.limit, float64(acceptedSwaps))), now
	}
}
