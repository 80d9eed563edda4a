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
	// confirmations counts the entries and responses of the current process.
	confirmations int
	// unconfirmedStartTime is a start time, before startTime or of an earlier process, that only the last unconfirmedEntries entries have
	// contained so far; zero for none.
	unconfirmedStartTime model.Incarnation
	unconfirmedEntries   int
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

// A start that one entry brings may be that of another writer, so the endpoint's own entries and responses have to be able to undo it.
const (
	// entriesOfStart is the number of consecutive entries with which a start is accepted whose time is before the current one, since a late
	// entry is a single one, or that was replaced by one that nothing else confirms.
	entriesOfStart = 2
	// entriesOfEarlierStart is that for a start that was replaced by one that more than an entry confirms.
	entriesOfEarlierStart = 3
)

// ObserveEntry records the start time in an entry and returns the incarnation. Entries have to be passed in the order of the
// log. It returns false for an entry of an earlier process, unless consecutive entries show that the endpoint goes on with it.
func (t *IncarnationTracker) ObserveEntry(now time.Time, id model.EndpointID, startTime model.Incarnation) (model.Incarnation, bool) {
	history, ok := t.histories.Get(id)
	switch {
	case !ok:
		history = &startHistory{startTime: startTime, incarnation: startTime}
		t.histories.Put(id, history)
	case startTime == history.startTime:
	case startTime < history.startTime || slices.Contains(history.pastStartTimes, startTime):
		if !history.hasEntries(startTime) {
			return 0, false
		}
		history.appendStart(startTime)
	default:
		history.appendStart(startTime)
	}
	history.confirmations++
	history.unconfirmedStartTime, history.lastSeen = 0, now
	return history.incarnation, true
}

// hasEntries counts an entry with an earlier start time, and reports whether there have been enough of them on end.
func (h *startHistory) hasEntries(startTime model.Incarnation) bool {
	if startTime != h.unconfirmedStartTime {
		h.unconfirmedStartTime, h.unconfirmedEntries = startTime, 0
	}
	h.unconfirmedEntries++
	required := entriesOfStart
	if slices.Contains(h.pastStartTimes, startTime) && h.confirmations > 1 {
		required = entriesOfEarlierStart
	}
	return h.unconfirmedEntries >= required
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
// incarnation. It returns false if the endpoint is unknown or the time is that of an earlier start, unless only one entry has brought the
// current one.
func (t *IncarnationTracker) ObserveResponse(now time.Time, id model.EndpointID, startTime model.Incarnation) (model.Incarnation, bool) {
	history, ok := t.histories.Get(id)
	switch {
	case !ok || slices.Contains(history.pastStartTimes, startTime) && history.confirmations > 1:
		return 0, false
	case startTime != history.startTime:
		history.appendStart(startTime)
		history.unconfirmedStartTime = 0
	}
	history.confirmations++
	history.lastSeen = now
	return history.incarnation, true
}

// appendStart makes startTime the current start, with a higher incarnation.
func (h *startHistory) appendStart(startTime model.Incarnation) {
	h.pastStartTimes = slices.DeleteFunc(h.pastStartTimes, func(past model.Incarnation) bool { return past == startTime })
	h.pastStartTimes = append(h.pastStartTimes, h.startTime)
	h.confirmations = 0
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
