package jujubenode

import (
	"context"
	"fmt"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/core/services/jujubethrottle"
)

// attemptKind is why an attempt is made.
type attemptKind int

const (
	firstOrRetry attemptKind = iota
	// hedged attempts are made while an earlier one is in flight. They use no permits of endpoints that name a rate.
	hedged
)

// send chooses an endpoint that hasn't been tried yet and sends the request there.
func (f *forwarding) send(ctx context.Context, kind attemptKind) error {
	n := f.node
	if !f.hasAttempt() {
		return refusal(jujubeerror.CodeNoEndpoint, "no further try is left")
	}
	id := f.attemptID()
	decision, err := f.choose(ctx, id, kind)
	if err != nil {
		return err
	}
	f.attempts++
	f.tally.Begin()
	f.inFlight++
	f.triedEndpoints = append(f.triedEndpoints, decision.Endpoint)
	call, gate := f.newCall(decision), f.newGate(decision)
	f.usage.beginAttempt()
	sentAt := time.Now()
	n.tomb.Go(func() error {
		response, err := n.endpointCaller.Call(jujubehttp.WithSendPermit(ctx, gate.check), call)
		f.usage.endAttempt(startOf(sentAt, err))
		n.finishAttempt(ctx, id, call, response, err)
		f.outcomes <- attempt{call.Endpoint, response, err, gate.isDenied.Load()}
		return nil
	})
	return nil
}

func (f *forwarding) newCall(decision jujuberouter.Decision) Call {
	return Call{
		ID: f.request.ID, Method: f.request.Method, URI: f.request.URI, Host: f.request.Host,
		Organisation: f.request.Organisation, IsEnforced: f.request.IsEnforced || f.node.hasOrganisations(), Header: f.request.Header,
		Body: f.request.Body, Endpoint: decision.Endpoint, Incarnation: decision.Incarnation, Address: decision.Address,
		Timeout: time.Until(f.request.Deadline),
	}
}

// hasAttempt reports whether another attempt is allowed and there is time for it.
func (f *forwarding) hasAttempt() bool {
	return f.attempts-f.unsent < max(1, f.route.MaxAttempts) && time.Until(f.request.Deadline) >= minAttemptTime
}

// attemptID returns the id of the next attempt in the router.
func (f *forwarding) attemptID() model.RequestID {
	return model.RequestID(fmt.Sprintf("%s/%d", f.request.ID, f.attempts))
}

// choose returns the router's decision to dispatch the request with a permit of its endpoint. The router excludes an endpoint
// that denied one, so the request goes to another one or is refused.
func (f *forwarding) choose(ctx context.Context, id model.RequestID, kind attemptKind) (jujuberouter.Decision, error) {
	n := f.node
	class := jujubethrottle.Interactive
	if f.priority > model.PriorityInteractive {
		class = jujubethrottle.Background
	}
	for {
		if err := f.awaitEndpoints(ctx, kind); err != nil {
			return jujuberouter.Decision{}, err
		}
		decision, err := f.dispatch(ctx, id, kind)
		if err != nil {
			return decision, err
		}
		if n.acquirePermit(ctx, decision.Endpoint, class).Decision == jujubethrottle.Permitted {
			if err := f.startRun(id, kind, decision); err != nil {
				return decision, err
			}
			n.logRouteDecision(f, decision)
			return decision, nil
		}
		n.mu.Lock()
		n.deliverDecisions(n.router.Cancel(time.Now(), id))
		n.mu.Unlock()
		if ctx.Err() != nil {
			return decision, f.contextError(ctx)
		}
	}
}

// dispatch returns the router's decision to dispatch the request, or the error with which it is refused.
func (f *forwarding) dispatch(ctx context.Context, id model.RequestID, kind attemptKind) (jujuberouter.Decision, error) {
	n := f.node
	now := time.Now()
	n.mu.Lock()
	if err := f.checkContent(now, kind); err != nil {
		n.mu.Unlock()
		return jujuberouter.Decision{}, err
	}
	exclude := f.triedEndpoints
	if kind == hedged {
		for _, notice := range n.throttle.Limited(now) {
			exclude = append(slices.Clip(exclude), notice.Endpoint)
		}
	}
	request := jujuberouter.Request{
		ID: id, Kind: model.KindService, Service: f.service, SoftwareVersion: f.software, Priority: f.priority, Organisation: f.request.Organisation, Level: f.request.Level, Arrived: now, Deadline: f.request.Deadline,
		Exclude: append(slices.Clip(exclude), f.excludeSuspects(now)...), Prompt: f.request.Prompt, SecondCopy: kind == hedged,
	}
	decision := n.router.Route(now, request)
	if decision.Code == jujubeerror.CodeNoEndpoint && len(request.Exclude) > len(exclude) {
		request.Exclude = exclude // beside another suspect rather than not at all
		decision = n.router.Route(now, request)
	}
	var waiter chan jujuberouter.Decision
	if decision.Kind == jujuberouter.Wait {
		waiter = make(chan jujuberouter.Decision, 1)
		n.routeWaiters[id] = waiter
	}
	n.mu.Unlock()
	if waiter != nil {
		select {
		case decision = <-waiter:
		case <-ctx.Done():
			n.mu.Lock()
			delete(n.routeWaiters, id)
			n.deliverDecisions(n.router.Cancel(time.Now(), id))
			n.mu.Unlock()
			return decision, f.contextError(ctx)
		}
	}
	if decision.Kind != jujuberouter.Dispatch {
		n.logRouteDecision(f, decision)
		return decision, newRouteRefusal(decision)
	}
	return decision, nil
}

// newRouteRefusal returns the refusal of a request that the router didn't dispatch.
func newRouteRefusal(decision jujuberouter.Decision) error {
	if decision.Code == jujubeerror.CodeOverloaded {
		return jujubeerror.ErrRefused{Code: decision.Code, Ran: model.RanNo, RetryAfter: decision.RetryAfter, Message: decision.Reason}
	}
	return refusal(jujubeerror.CodeNoEndpoint, decision.Reason)
}
