package jujubenode

import (
	"context"

	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubedesired"
)

// ErrNoRoute is returned for a request that no route of the desired state matches.
type ErrNoRoute struct {
	Host, Path string
}

// Error returns what has no route.
func (e ErrNoRoute) Error() string { return "no route for " + e.Host + e.Path }

// MatchRoute returns the route of a request. Without one it returns ErrNoRoute, or a refusal until the desired state and the
// quarantined requests have been read.
func (n *Node) MatchRoute(_ context.Context, host, path string) (*jujubedesired.Route, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.desired == nil || n.quarantineFollower.caughtUpAt.IsZero() {
		return nil, refusal(jujubeerror.CodeNotReady, "the desired state or the quarantine hasn't been read yet")
	}
	route, ok := n.desired.Match(host, path)
	if !ok {
		return nil, ErrNoRoute{Host: host, Path: path}
	}
	return route, nil
}
