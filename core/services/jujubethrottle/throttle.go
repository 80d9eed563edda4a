// Package jujubethrottle applies the request rates that endpoints name for all instances together.
//
// A rate that one instance received in a response is passed to the endpoint's gateway, which issues permits for the requests
// of all instances from one token bucket, and to the others in the gateway's heartbeats. An instance whose gateway doesn't
// respond uses its own share of the rate. Nothing is stored: a gateway that starts learns the rates from the requests for
// permits.
package jujubethrottle

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Notice is an observation of the rate that an endpoint names, as instances exchange it.
type Notice struct {
	Endpoint model.EndpointID
	// Limited is false if the endpoint named no rate in its last response.
	Limited bool
	// PerSecond is the number of requests a second that the endpoint accepts from all instances together. It may be zero.
	PerSecond float64
	// Age is the time since the response. Instances exchange ages because their clocks differ.
	Age model.Duration
}

// limit is the last known observation of an endpoint that has named a rate.
type limit struct {
	// incarnation is the endpoint's incarnation on this instance when the first observation was made, or 0 if the endpoint wasn't
	// known yet.
	incarnation model.Incarnation
	limited     bool
	perSecond   float64
	// observedAt is the time of the response by this instance's clock.
	observedAt time.Time
	permits    permits
	share      bucket
	// issued holds what this instance issues as the endpoint's gateway.
	issued issuer
}

// Throttle holds the rates that endpoints name. It isn't safe for concurrent use.
type Throttle struct {
	limits *jujubetable.Table[model.EndpointID, *limit]
	// liveCount is the number of live instances; at least 1.
	liveCount int
}

// New returns a throttle without limits.
func New() *Throttle {
	return &Throttle{limits: jujubetable.New[model.EndpointID, *limit](), liveCount: 1}
}

// SetLiveCount sets the number of live instances.
func (t *Throttle) SetLiveCount(count int) { t.liveCount = max(1, count) }

// SetIncarnation drops the limit of an endpoint that has restarted, and reports whether the endpoint is limited.
func (t *Throttle) SetIncarnation(id model.EndpointID, incarnation model.Incarnation) bool {
	l, ok := t.limits.Get(id)
	switch {
	case !ok:
		return false
	case l.incarnation == 0:
		l.incarnation = incarnation
	case l.incarnation != incarnation:
		t.limits.Delete(id)
		return false
	}
	return l.limited
}

// Remove drops the limit of an endpoint that is gone.
func (t *Throttle) Remove(id model.EndpointID) { t.limits.Delete(id) }

// Apply applies an observation of an endpoint's incarnation, or of one that isn't known yet if that is 0, unless a later one is known. It reports whether the limit changed.
func (t *Throttle) Apply(now time.Time, incarnation model.Incarnation, notice Notice) bool {
	observedAt := now.Add(-max(0, notice.Age.Std()))
	l, ok := t.limits.Get(notice.Endpoint)
	switch {
	case !ok && !notice.Limited:
		return false
	case !ok:
		l = &limit{incarnation: incarnation}
		t.limits.Put(notice.Endpoint, l)
	case !observedAt.After(l.observedAt):
		return false
	}
	changed := l.limited != notice.Limited || notice.Limited && l.perSecond != notice.PerSecond
	l.limited, l.perSecond, l.observedAt = notice.Limited, notice.PerSecond, observedAt
	return changed
}

// notice returns the last observation of an endpoint.
func (t *Throttle) notice(now time.Time, id model.EndpointID) Notice {
	l, ok := t.limits.Get(id)
	if !ok {
		return Notice{Endpoint: id}
	}
	return Notice{Endpoint: id, Limited: l.limited, PerSecond: l.perSecond, Age: model.Duration(max(0, now.Sub(l.observedAt)))}
}

// Limited returns the observations of the endpoints that name a rate.
func (t *Throttle) Limited(now time.Time) []Notice {
	var notices []Notice
	for id, l := range t.limits.All() {
		if l.limited {
			notices = append(notices, t.notice(now, id))
		}
	}
	return notices
}
