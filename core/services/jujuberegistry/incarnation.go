package jujuberegistry

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// IncarnationTracker assigns increasing incarnations to the starts of endpoints. An endpoint identifies its start by the time
// of its own clock, which may jump in either direction, so a later start may have an earlier time. Also, an entry of an earlier
// process may be written late. Starts are therefore ordered by when this instance learned of them, not by their times.
type IncarnationTracker struct {
	histories *jujubetable.Table[model.EndpointID, *startHistory]
}

// startHistory holds the known starts of an endpoint.
type startHistory struct {
	// startTime is the current process's start by the endpoint's clock, pastStartTimes are those of earlier processes, the
	// newest last.
	startTime      model.Incarnation
	pastStartTimes []model.Incarnation
	// incarnation never decreases.
	incarnation model.Incarnation
	// unconfirmedStartTime is a start time before startTime that only one entry has contained so far; zero for none.
	unconfirmedStartTime model.Incarnation
	// lastSeen is when the endpoint's last entry or response was received.
	lastSeen time.Time
}

// historyRetention is how long an endpoint's history is kept after its last entry or response; the router keeps its
// endpoints for the same time.
const historyRetention = 10 * time.Minute

// maxPastStarts limits how many earlier starts of an endpoint are remembered. Late entries arrive within seconds of the end
// of their process.
const maxPastStarts = 8

// NewIncarnationTracker returns an empty IncarnationTracker.
func NewIncarnationTracker() *IncarnationTracker {
	return &IncarnationTracker{histories: jujubetable.New[model.EndpointID, *startHistory]()}
}

// ObserveEntry records the start time in an entry and returns the incarnation. Entries have to be passed in the order of the
// log. It returns false for an entry of an earlier process. A start time before the current one is accepted once two
// consecutive entries have it, because a late entry is a single one.
func (t *IncarnationTracker) ObserveEntry(now time.Time, id model.EndpointID, startTime model.Incarnation) (model.Incarnation, bool) {
	history, ok := t.histories.Get(id)
	switch {
	case !ok:
		history = &startHistory{startTime: startTime, incarnation: startTime}
		t.histories.Put(id, history)
	case startTime == history.startTime:
	case slices.Contains(history.pastStartTimes, startTime):
		return 0, false
	case startTime < history.startTime && startTime != history.unconfirmedStartTime:
		history.unconfirmedStartTime = startTime
		return 0, false
	default:
		history.appendStart(startTime)
	}
	history.unconfirmedStartTime, history.lastSeen = 0, now
	return history.incarnation, true
}

// registrationTime is how long after an endpoint's process accepts connections its entry may be missing from the store.
const registrationTime = 50 * time.Millisecond

// ConfirmableAt returns from when on a connection's process can be told from the entries, if they have been read up to that time.
func ConfirmableAt(connectedAt time.Time) time.Time { return connectedAt.Add(registrationTime) }

// IsConfirmed reports whether a connection is known to lead to the process of an incarnation. Entries belong to an id and an address,
// which the next process may keep: the connection's own process is the latest one whose entry there was when it had registered.
// readAt is a time up to which all entries have been observed.
func (t *IncarnationTracker) IsConfirmed(id model.EndpointID, incarnation model.Incarnation, connectedAt, readAt time.Time) bool {
	history, ok := t.histories.Get(id)
	return ok && history.incarnation == incarnation && t.IsCertain(id) && !readAt.Before(ConfirmableAt(connectedAt))
}

// IsCertain reports whether the last entry of an endpoint was that of its current process. Otherwise it is a late one, or that of a
// new process whose clock was set back.
func (t *IncarnationTracker) IsCertain(id model.EndpointID) bool {
	history, ok := t.histories.Get(id)
	return ok && history.unconfirmedStartTime == 0
}

// ObserveResponse records the start time in an endpoint's response, which can't be from an earlier process, and returns the
// incarnation. It returns false if the endpoint is unknown or the time is that of an earlier start.
func (t *IncarnationTracker) ObserveResponse(now time.Time, id model.EndpointID, startTime model.Incarnation) (model.Incarnation, bool) {
	history, ok := t.histories.Get(id)
	switch {
	case !ok || slices.Contains(history.pastStartTimes, startTime):
		return 0, false
	case startTime != history.startTime:
		history.appendStart(startTime)
		history.unconfirmedStartTime = 0
	}
	history.lastSeen = now
	return history.incarnation, true
}

// appendStart makes startTime the current start, with a higher incarnation.
func (h *startHistory) appendStart(startTime model.Incarnation) {
	h.pastStartTimes = append(h.pastStartTimes, h.startTime)
	h.pastStartTimes = h.pastStartTimes[max(0, len(h.pastStartTimes)-maxPastStarts):]
	h.startTime, h.incarnation = startTime, max(startTime, h.incarnation+1)
}

// Prune removes the endpoints that were last seen more than historyRetention ago.
func (t *IncarnationTracker) Prune(now time.Time) {
	for id, history := range t.histories.All() {
		if now.Sub(history.lastSeen) > historyRetention {
			t.histories.Delete(id)
		}
	}
}
