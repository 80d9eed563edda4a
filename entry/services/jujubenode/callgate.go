package jujubenode

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujuberouter"
)

const (
	// maxEndpointsWait is how long a request waits for the endpoints' entries to be read again.
	maxEndpointsWait = 300 * time.Millisecond
	// maxUnsentAttempts bounds the attempts of a request that don't count, as their endpoints had changed before anything was sent.
	maxUnsentAttempts = 3
)

// callGate decides, immediately before the first byte of an attempt, whether it may be sent to the endpoint that was chosen for it.
type callGate struct {
	node     *Node
	decision jujuberouter.Decision
	// permit is asked, too; nil for none.
	permit func() jujubehttp.SendPermit
	// isDenied is true once the endpoint mustn't get the request.
	isDenied atomic.Bool
}

func (f *forwarding) newGate(decision jujuberouter.Decision) *callGate {
	return &callGate{node: f.node, decision: decision, permit: f.permit}
}

// check decides whether the attempt may be sent. The time for which the entries are recent doesn't limit the rest of a large body: the
// endpoint has the request by then.
func (g *callGate) check() jujubehttp.SendPermit {
	if !g.node.mayCall(g.decision) {
		g.isDenied.Store(true)
		return jujubehttp.SendPermit{}
	}
	if g.permit != nil {
		return g.permit()
	}
	return jujubehttp.SendPermit{Allowed: true}
}

// mayCall reports whether an endpoint is still the one that was chosen and isn't leaving.
func (n *Node) mayCall(decision jujuberouter.Decision) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	endpoint, isKnown := n.scheduler.EngineState(decision.Endpoint)
	return isKnown && !endpoint.Leaving && endpoint.Incarnation == decision.Incarnation && n.checkEndpoints()
}

// checkEndpoints reports whether requests may be sent by the endpoints' entries. An instance without others sends them whatever the age, and
// also if another one can't read the entries either: callers would find no instance with a better view. The lock is held.
func (n *Node) checkEndpoints() bool {
	f := n.endpointFollower
	if f == nil || len(n.liveInstances) <= 1 {
		return true
	}
	now, view := n.bootClock(), f.view()
	f.needsRefresh = f.needsRefresh || f.gate.ShouldRefresh(now, view)
	return f.gate.Check(now, view).Allows() || n.store.isConfirmedDown(time.Now(), f.topic, f.part)
}

// awaitEndpoints waits, for a limited time, until the endpoints' entries are recent enough to choose an endpoint by them. A request beside
// one in flight doesn't wait.
func (f *forwarding) awaitEndpoints(ctx context.Context, kind attemptKind) error {
	var timeout <-chan time.Time
	for {
		readCh := f.node.endpointsReadCh()
		if readCh == nil {
			return nil
		}
		if timeout == nil {
			wait := maxEndpointsWait
			if kind == hedged {
				wait = 0
			}
			timeout = time.After(wait)
		}
		select {
		case <-readCh:
		case <-timeout:
			return refusal(jujubeerror.CodeNotReady, "the endpoints' entries haven't been read lately")
		case <-ctx.Done():
			return f.contextError(ctx)
		}
	}
}

// endpointsReadCh returns nil if requests may be sent by the endpoints' entries, and otherwise a channel that is closed once these have been
// read, which it requests.
func (n *Node) endpointsReadCh() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.checkEndpoints() {
		return nil
	}
	n.notifyChange()
	return n.endpointFollower.readCh
}

// discountAttempt makes an attempt that was denied count as not made. Its endpoint may have started again.
func (f *forwarding) discountAttempt(endpoint model.EndpointID) {
	if f.unsent == maxUnsentAttempts {
		return
	}
	f.unsent++
	f.triedEndpoints = slices.DeleteFunc(slices.Clone(f.triedEndpoints), func(id model.EndpointID) bool { return id == endpoint })
}
