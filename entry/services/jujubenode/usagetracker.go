package jujubenode

import (
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
)

// usageTracker counts one request for the reports of usage, at the time when the first server began it. All methods of a nil tracker
// do nothing.
type usageTracker struct {
	node         *Node
	organisation model.OrganisationName

	// The fields below are guarded by the node's lock.

	// number is the request's number among those without an outcome; 0 before the first attempt.
	number int64
	// open counts the attempts without an outcome; closed is true once there is no further attempt.
	open   int
	closed bool
	// startedAt is when the first server began the request, of those known so far; zero for none.
	startedAt time.Time
	// counted is true once the request has been counted. It is counted once.
	counted bool
}

// trackUsage returns the tracker of a request; nil if it isn't counted.
func (n *Node) trackUsage(request PlainRequest) *usageTracker {
	if n.usage() == nil || request.Organisation == "" {
		return nil
	}
	return &usageTracker{node: n, organisation: request.Organisation}
}

// beginAttempt records that the request is about to be sent to a server.
func (u *usageTracker) beginAttempt() {
	if u == nil {
		return
	}
	u.node.mu.Lock()
	defer u.node.mu.Unlock()
	u.open++
	if u.number == 0 && !u.counted {
		u.number = u.node.usage().counter.Begin(jujubeclock.Now())
	}
}

// endAttempt records the end of an attempt. startedAt is when the server began the request, or may have; zero if it didn't.
func (u *usageTracker) endAttempt(startedAt time.Time) {
	if u == nil {
		return
	}
	u.node.mu.Lock()
	defer u.node.mu.Unlock()
	u.open--
	u.setStarted(startedAt)
	u.finish(false)
}

// endStream records the end of an attempt of a stream. A stream begins with its first event, which countNow has counted.
func (u *usageTracker) endStream() { u.endAttempt(time.Time{}) }

// countNow counts a request that a server has begun at a time for sure, because its response may take long.
func (u *usageTracker) countNow(startedAt time.Time) {
	if u == nil {
		return
	}
	u.node.mu.Lock()
	defer u.node.mu.Unlock()
	u.setStarted(startedAt)
	u.finish(true)
}

// close records that there is no further attempt.
func (u *usageTracker) close() {
	if u == nil {
		return
	}
	u.node.mu.Lock()
	defer u.node.mu.Unlock()
	u.closed = true
	u.finish(false)
}

func (u *usageTracker) setStarted(at time.Time) {
	if !at.IsZero() && (u.startedAt.IsZero() || at.Before(u.startedAt)) {
		u.startedAt = at
	}
}

// finish counts the request if all is known about it, or now; the lock is held.
func (u *usageTracker) finish(now bool) {
	if u.counted || !now && (!u.closed || u.open > 0) {
		return
	}
	u.counted = true
	if !u.startedAt.IsZero() {
		u.node.countUsage(u.organisation, u.startedAt)
	}
	u.node.usage().counter.End(u.number)
}

// startOf returns when a server began a request that was sent at a time and whose attempt has just ended with err; zero if it didn't.
// An attempt whose outcome isn't known may have begun when it was sent. A response tells that the request ran, and requests take
// about as long as each other, so it began that long ago unless it was sent later.
func startOf(sentAt time.Time, err error) time.Time {
	var callErr ErrCall
	switch {
	case err == nil:
		if began := time.Now().Add(-initialServiceTime); began.After(sentAt) {
			return began
		}
	case errors.As(err, &callErr) && callErr.Ran == model.RanNo:
		return time.Time{}
	}
	return sentAt
}
