package jujubeweight

import (
	"cmp"
	"time"
)

// window is how many engines may swap at once. While the store is overloaded it falls to a half, but not below the swaps
// that the store does serve, at most once in the time of a swap, because only then does the former change show. Each
// window of successful swaps raises it by a sixteenth of MaxSwapping, at least one. From the first overload on, orders
// are spread over time: a burst is refused by a store that could serve the same orders one after the other.
type window struct {
	// limit is between 1 and MaxSwapping.
	limit    float64
	swapTime time.Duration
	reduced  time.Time
	// refused is the time of the latest overload.
	refused time.Time
	// limited is set from an overload until limit is at MaxSwapping and the latest overload is a swap time ago; credit is
	// the number of orders it then allows.
	limited  bool
	credit   float64
	creditAt time.Time
}

const (
	// firstSwapTime is used until the first swap has ended.
	firstSwapTime = 5 * time.Second
	// increaseShare is the part of MaxSwapping that a window of successful swaps adds.
	increaseShare = 1.0 / 16
	// paceFactor is how much faster than one window in a swap time orders may be sent, to fill a window that grew.
	paceFactor = 2
	// burst bounds the saved up credit, in time.
	burst = 100 * time.Millisecond
)

func newWindow(limit int) window { return window{limit: float64(max(1, limit))} }

func (w *window) size() int { return max(1, int(w.limit)) }

func (w *window) time() time.Duration { return cmp.Or(w.swapTime, firstSwapTime) }

// take returns how many of the wanted orders may be sent now.
func (w *window) take(now time.Time, wanted int) int {
	if !w.limited {
		return wanted
	}
	rate := paceFactor * w.limit / w.time().Seconds()
	w.credit = min(w.credit+rate*now.Sub(w.creditAt).Seconds(), 1+rate*burst.Seconds())
	w.creditAt = now
	taken := min(wanted, int(w.credit))
	w.credit -= float64(taken)
	return taken
}

func (w *window) succeeded(now, sent time.Time, limit int) {
	most := float64(max(1, limit))
	w.limit = min(w.limit+max(1, most*increaseShare)/w.limit, most)
	w.limited = w.limited && (w.limit < most || now.Sub(w.refused) < w.time())
	if took := now.Sub(sent); w.swapTime == 0 {
		w.swapTime = took
	} else {
		w.swapTime += (took - w.swapTime) / 8
	}
}

// overloaded reduces the window; served is the number of swaps that engines have accepted and not ended. The first
// overload only spreads the orders: before a swap's time has passed, served doesn't show what the store can do.
func (w *window) overloaded(now time.Time, served int) {
	w.refused = now
	if !w.limited {
		w.limited, w.credit, w.creditAt, w.reduced = true, 0, now, now
		return
	}
	if now.Sub(w.reduced) >= w.time() {
		w.limit, w.reduced = max(1, w.limit/2, min(w.limit, float64(served))), now
	}
}
