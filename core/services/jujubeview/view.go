// Package jujubeview decides whether work may be sent that rests on a view of the log: a request that the log's next record may
// forbid is sent only while the view is recent enough for the promised time to that record's effect.
package jujubeview

import (
	"time"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubehttp"
)

// SendMargin is the part of a promised time that remains for the way of a request to its endpoint once its first byte may be written:
// some milliseconds on the network, and the delays of a busy process. What hasn't arrived by then is taken back.
const SendMargin = jujubehttp.SendMargin

// View is an instance's knowledge of one partition of the log.
type View struct {
	// RequestedAt is the time of the request of the latest read that reached the partition's end: everything written before is known.
	// It is zero before the first such read.
	RequestedAt jujubeclock.Instant
	// VouchedAt is a time at which no other instance knew a record that the view doesn't have; zero for never.
	VouchedAt jujubeclock.Instant
}

// Age returns the time since when the partition may have records that the view doesn't have.
func (v View) Age(now jujubeclock.Instant) time.Duration { return now.Sub(v.RequestedAt) }

// Verdict is whether work may be sent that rests on a view, and why.
type Verdict string

// Verdicts.
const (
	// Current means that the view is recent enough.
	Current Verdict = "Current"
	// StoreAway means that the view is older, but that no instance knew a later record recently: all others have been asked.
	StoreAway Verdict = "StoreAway"
	// Outdated means that the work has to wait for a read of the log.
	Outdated Verdict = "Outdated"
	// Paused means that the process was paused after the work was decided on.
	Paused Verdict = "Paused"
	// Withdrawn means that the decision to send the work no longer holds.
	Withdrawn Verdict = "Withdrawn"
)

// Allows reports whether the work may be sent.
func (v Verdict) Allows() bool { return v == Current || v == StoreAway }

// Gate checks views against the time within which a record has to take effect.
type Gate struct {
	// Bound is the promised time between the acknowledgement of a record and the last request that reaches an endpoint against it;
	// zero for no promise. It is greater than SendMargin otherwise.
	Bound time.Duration
}

// MaxAge returns the greatest age of a view with which a request may be sent.
func (g Gate) MaxAge() time.Duration { return g.Bound - SendMargin }

// Check decides whether work that rests on a view may be sent now. A record that was acknowledged at a time is in each view that was
// requested later, so work that rests on a view without it is sent at most MaxAge after that acknowledgement. The instance that
// acknowledged it knows it, so the same holds for a view that was vouched for later.
func (g Gate) Check(now jujubeclock.Instant, view View) Verdict {
	switch {
	case g.Bound == 0:
		return Current
	case view.RequestedAt == 0:
		return Outdated
	case view.Age(now) <= g.MaxAge():
		return Current
	case g.isVouched(now, view):
		return StoreAway
	}
	return Outdated
}

func (g Gate) isVouched(now jujubeclock.Instant, view View) bool {
	return view.VouchedAt != 0 && now.Sub(view.VouchedAt) <= g.MaxAge()
}

// ValidFor returns how much longer work that Check allows may be sent; zero for no limit.
func (g Gate) ValidFor(now jujubeclock.Instant, view View) time.Duration {
	if g.Bound == 0 {
		return 0
	}
	return max(1, g.MaxAge()-now.Sub(max(view.RequestedAt, view.VouchedAt)))
}

// ShouldRefresh reports whether the log should be read at once for work that waits: the view is past half of its greatest age.
func (g Gate) ShouldRefresh(now jujubeclock.Instant, view View) bool {
	return g.Bound > 0 && view.RequestedAt != 0 && view.Age(now) > g.MaxAge()/2
}

// IsLate reports whether reads of the log are late, so that the other instances should be asked before the view is outdated.
func (g Gate) IsLate(now jujubeclock.Instant, view View) bool {
	return g.Bound > 0 && view.RequestedAt != 0 && view.Age(now) > g.MaxAge()*4/5
}

// ShouldSurvey reports whether the other instances should be asked now: reads are late, and the latest answers are getting old, too.
func (g Gate) ShouldSurvey(now jujubeclock.Instant, view View) bool {
	return g.IsLate(now, view) && now.Sub(view.VouchedAt) > g.MaxAge()*2/5
}
