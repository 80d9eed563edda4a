// Package jujubeview decides whether work may be sent that rests on a view of the log: a request that the log's next record may
// forbid is sent only while the view is recent enough for the promised time to that record's effect.
package jujubeview

import (
	"maps"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubehttp"
)

const (
	// SendMargin is the part of a promised time that remains for the way of a request to its endpoint once its first byte may be
	// written: some milliseconds on the network, and the delays of a busy process. What hasn't arrived by then is taken back.
	SendMargin = jujubehttp.SendMargin
	// outageTTL is how long the store counts as away after other instances have confirmed it. An instance asks one of them at least
	// every second while its reads fail.
	outageTTL = 2 * time.Second
	// maxWitnesses is how many instances have to confirm an outage where there are as many: some may only be slow themselves.
	maxWitnesses = 3
	// maxOutageStartAge is the greatest age, as a multiple of the bound, that a view may have when an outage is first confirmed. An
	// instance whose view was older didn't read before the outage, so that records may have been written that it doesn't know.
	maxOutageStartAge = 2
)

// Outage is what is known of the times in which the store is away for all instances. The zero value stands for no outage.
type Outage struct {
	// Since is when the outage was first confirmed, and ConfirmedAt when it was last. Confirmations at most outageTTL apart belong to
	// the same outage.
	Since, ConfirmedAt jujubeclock.Instant
}

// Witnesses are the other instances that can't read a partition either.
type Witnesses struct {
	// confirmedAt holds the times of the confirmations that are at most outageTTL old.
	confirmedAt map[model.InstanceID]jujubeclock.Instant
	outage      Outage
}

// Outage returns the outage that the instances have confirmed.
func (w *Witnesses) Outage() Outage { return w.outage }

// Confirm records that one of a number of other instances can't read the partition either. The outage is confirmed once maxWitnesses of
// them, or all if there are fewer, have replied so within outageTTL.
func (w *Witnesses) Confirm(now jujubeclock.Instant, from model.InstanceID, others int) {
	if w.confirmedAt == nil {
		w.confirmedAt = make(map[model.InstanceID]jujubeclock.Instant)
	}
	w.confirmedAt[from] = now
	maps.DeleteFunc(w.confirmedAt, func(_ model.InstanceID, at jujubeclock.Instant) bool { return now.Sub(at) > outageTTL })
	if len(w.confirmedAt) < min(maxWitnesses, others) {
		return
	}
	if w.outage.ConfirmedAt == 0 || now.Sub(w.outage.ConfirmedAt) > outageTTL {
		w.outage.Since = now
	}
	w.outage.ConfirmedAt = now
}

// Withdraw records that an instance doesn't confirm the outage, or no longer.
func (w *Witnesses) Withdraw(from model.InstanceID) { delete(w.confirmedAt, from) }

// View is an instance's knowledge of one partition of the log.
type View struct {
	// RequestedAt is the time of the request of the latest read that reached the partition's end: everything written before is known.
	// It is zero before the first such read.
	RequestedAt jujubeclock.Instant
	// Outage is that of the partition.
	Outage Outage
}

// Age returns the time since when the partition may have records that the view doesn't have.
func (v View) Age(now jujubeclock.Instant) time.Duration { return now.Sub(v.RequestedAt) }

// Verdict is whether work may be sent that rests on a view, and why.
type Verdict string

// Verdicts.
const (
	// Current means that the view is recent enough.
	Current Verdict = "Current"
	// StoreAway means that the view is older but that nothing can be written to the log now.
	StoreAway Verdict = "StoreAway"
	// Outdated means that the work has to wait for a read of the log.
	Outdated Verdict = "Outdated"
)

// Allows reports whether the work may be sent.
func (v Verdict) Allows() bool { return v != Outdated }

// Gate checks views against the time within which a record has to take effect.
type Gate struct {
	// Bound is the promised time between the acknowledgement of a record and the last request that reaches an endpoint against it;
	// zero for no promise. It is greater than SendMargin otherwise.
	Bound time.Duration
}

// MaxAge returns the greatest age of a view with which a request may be sent.
func (g Gate) MaxAge() time.Duration { return g.Bound - SendMargin }

// Check decides whether work that rests on a view may be sent now. A record that was acknowledged at a time is in each view that was
// requested later, so work that rests on a view without it is sent at most MaxAge after that acknowledgement. While the store is away
// for all instances no record is acknowledged, and work goes on.
func (g Gate) Check(now jujubeclock.Instant, view View) Verdict {
	switch {
	case g.Bound == 0:
		return Current
	case view.RequestedAt == 0:
		return Outdated
	case view.Age(now) <= g.MaxAge():
		return Current
	case g.isOutage(now, view):
		return StoreAway
	}
	return Outdated
}

func (g Gate) isOutage(now jujubeclock.Instant, view View) bool {
	o := view.Outage
	return o.ConfirmedAt != 0 && now.Sub(o.ConfirmedAt) <= outageTTL && o.Since.Sub(view.RequestedAt) <= maxOutageStartAge*g.Bound
}

// ValidFor returns how much longer work that Check allows may be sent; zero for no limit.
func (g Gate) ValidFor(now jujubeclock.Instant, view View) time.Duration {
	switch {
	case g.Bound == 0:
		return 0
	case g.Check(now, view) == StoreAway:
		return max(1, view.Outage.ConfirmedAt.Add(outageTTL).Sub(now))
	}
	return max(1, g.MaxAge()-view.Age(now))
}

// ShouldRefresh reports whether the log should be read at once for work that waits: the view is past half of its greatest age.
func (g Gate) ShouldRefresh(now jujubeclock.Instant, view View) bool {
	return g.Bound > 0 && view.RequestedAt != 0 && view.Age(now) > g.MaxAge()/2
}
