package jujubenode

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubedesired"
)

const (
	// maxDesiredAge is the greatest age of the desired state from which an instance denies that a route exists: half of the time
	// in which a change has to be in force. It is read every 0.4 s.
	maxDesiredAge = time.Second
	// maxDesiredWait is how long a request without a route waits for the desired state to be read again.
	maxDesiredWait = 300 * time.Millisecond
)

// ErrNoRoute is returned for a request that no route of the desired state matches.
type ErrNoRoute struct {
	Host, Path string
}

// Error returns what has no route.
func (e ErrNoRoute) Error() string { return "no route for " + e.Host + e.Path }

// MatchRoute returns the route of a request. Without one it returns ErrNoRoute, or a refusal if the desired state was read too long
// ago to tell: a route may have been added since. A request whose route may have been replaced longer ago than promised is refused, so that
// its caller uses another instance.
func (n *Node) MatchRoute(ctx context.Context, host, path string) (*jujubedesired.Route, error) {
	timer := time.NewTimer(maxDesiredWait)
	defer timer.Stop()
	for mayWait := true; ; {
		n.mu.Lock()
		if n.desired == nil || n.quarantineFollower.caughtUpAt.IsZero() {
			n.mu.Unlock()
			return nil, refusal(jujubeerror.CodeNotReady, "the desired state or the quarantine hasn't been read yet")
		}
		route, ok := n.desired.Match(host, path)
		revision, age, isCurrent := n.desired.Version, n.desiredAge(), n.isDesiredCurrent()
		changedCh := n.desiredFollower.readCh
		n.mu.Unlock()
		switch {
		case ok && isCurrent:
			return route, nil
		case ok && !mayWait:
			return nil, refusal(jujubeerror.CodeNotReady, "the desired state hasn't been read lately")
		case !ok && (age <= maxDesiredAge || !mayWait):
			n.log.Write(jujubeevent.RouteAbsent, func() logrus.Fields {
				return logrus.Fields{"Host": host, "Path": path, "Revision": revision, "Age": age.String()}
			})
			if age <= maxDesiredAge {
				return nil, ErrNoRoute{Host: host, Path: path}
			}
			return nil, refusal(jujubeerror.CodeNotReady, "the desired state hasn't been read lately")
		}
		select {
		case <-changedCh:
		case <-timer.C:
			mayWait = false
		case <-ctx.Done():
			mayWait = false
		}
	}
}

// isDesiredCurrent reports whether requests may be served by the desired state: a version that replaces it can't have been in force for
// longer than promised, or the store is away for all. An instance without others serves whatever the age. The lock is held.
func (n *Node) isDesiredCurrent() bool {
	f := n.desiredFollower
	if f.gate.Bound == 0 || f.viewAge() <= f.gate.Bound || len(n.liveInstances) <= 1 {
		return true
	}
	return f.gate.Check(n.bootClock(), f.view()).Allows()
}

// desiredAge returns the age of this instance's view of the desired state; the lock is held.
func (n *Node) desiredAge() time.Duration {
	if n.desiredFollower.caughtUpAt.IsZero() {
		return n.bootClock().Sub(n.startedAt)
	}
	return n.bootClock().Sub(n.desiredFollower.viewTime.ReadAt)
}
