package jujubecore

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubequarantine"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/core/services/jujubestep"
)

// requestState is one attempt of a caller's request, or one stream of a step part, until its end or refusal.
type requestState struct {
	spec        jujuberouter.Request
	fingerprint model.Fingerprint
	// owed is true for work of an accepted step, which the quarantine neither blames nor blocks: the step was accepted to be
	// completed, and its content is in flight in crashes only by chance.
	owed bool
	// endpoint is empty until the request is dispatched.
	endpoint    model.EndpointID
	incarnation model.Incarnation
	software    model.SoftwareVersion
	// crashCounted is true once the request was reported as in flight in a crash.
	crashCounted bool
	// coordinator is the instance that was asked for a grant, or that issued it.
	coordinator model.Member
	granted     bool
	// retryAt is when the coordinator is asked again, or a postponed request is routed again; zero for other requests.
	retryAt time.Time
	// stream is set for a stream of a step part.
	stream *jujubestep.StartStream
}

func (c *Core) applyRequestArrived(now time.Time, arrived RequestArrived) []Action {
	spec := jujuberouter.Request{
		ID: arrived.ID, Kind: arrived.Kind, Model: arrived.Model, Service: arrived.Service, Caller: arrived.Caller,
		Priority: arrived.Priority, Arrived: now, Deadline: arrived.Deadline, Prefix: arrived.Prefix,
		Tokens: arrived.Tokens, SoftwareVersion: arrived.SoftwareVersion, Exclude: arrived.Exclude, Fingerprint: arrived.Fingerprint, Retry: arrived.Retry,
	}
	return c.admitRequest(now, requestState{spec: spec, fingerprint: arrived.Fingerprint, owed: arrived.Owed})
}

// admitRequest refuses quarantined content and requests whose software version no endpoint has any more, requests a grant from
// the coordinator for suspect content, and routes any other request.
func (c *Core) admitRequest(now time.Time, request requestState) []Action {
	if request.spec.SoftwareVersion != "" && !c.router.HasSoftware(request.spec) {
		return c.applyDecision(now, request, newRefusal(request.spec.ID, jujubeerror.CodeNoEndpoint, 0))
	}
	if request.owed {
		return c.route(now, request)
	}
	switch c.quarantine.Check(now, request.fingerprint) {
	case jujubequarantine.Quarantined:
		return c.applyDecision(now, request,
			newRefusal(request.spec.ID, jujubeerror.CodeQuarantined, c.quarantine.RetryAfter(now, request.fingerprint)))
	case jujubequarantine.Suspect:
		return c.askCoordinator(now, request)
	}
	return c.route(now, request)
}

func (c *Core) route(now time.Time, request requestState) []Action {
	request.retryAt = time.Time{}
	c.requests.Put(request.spec.ID, request)
	spec := request.spec
	if !request.granted && !request.owed && !spec.Held {
		spec.Only, spec.Exclude = c.pinToRunning(spec)
	}
	return c.applyDecisions(now, []jujuberouter.Decision{c.router.Route(now, spec)})
}

// isBlockedByPin reports whether a request was refused only because it is pinned to an endpoint that receives no new
// work.
func (c *Core) isBlockedByPin(now time.Time, request requestState, decision jujuberouter.Decision) bool {
	return decision.Code == jujubeerror.CodeNoEndpoint && !request.granted && !request.owed && now.Before(request.spec.Deadline) &&
		c.quarantine.HasUnprovenRun(request.fingerprint)
}

// scheduleRetry routes a request again after suspectRetry.
func (c *Core) scheduleRetry(now time.Time, request requestState) []Action {
	request.retryAt = now.Add(suspectRetry)
	c.requests.Put(request.spec.ID, request)
	c.awaitingRetry.Put(request.spec.ID, struct{}{})
	return nil
}

// unpin lets waiting requests with the same content use all endpoints again, once the content has completed or no longer runs.
func (c *Core) unpin(f model.Fingerprint) {
	for _, id := range c.pinned[f] {
		if request, known := c.requests.Get(id); known && request.endpoint == "" {
			c.router.SetEndpointFilter(id, request.spec.Only, request.spec.Exclude)
		}
	}
	delete(c.pinned, f)
}

// pinToRunning restricts content that has never completed to the endpoint on which it already runs. The restriction isn't
// stored in the request state, because it ends with that run.
func (c *Core) pinToRunning(spec jujuberouter.Request) (only, exclude []model.EndpointID) {
	running := c.quarantine.UnprovenRunEndpoints(spec.Fingerprint)
	if len(running) == 0 {
		return spec.Only, spec.Exclude
	}
	c.pinned[spec.Fingerprint] = append(c.pinned[spec.Fingerprint], spec.ID)
	if len(spec.Only) == 0 {
		return running, spec.Exclude
	}
	exclude = slices.Clone(spec.Exclude)
	for _, id := range spec.Only {
		if !slices.Contains(running, id) {
			exclude = append(exclude, id)
		}
	}
	return spec.Only, exclude
}

// applyDecisions turns the router's decisions into actions.
func (c *Core) applyDecisions(now time.Time, decisions []jujuberouter.Decision) []Action {
	var actions []Action
	for _, decision := range decisions {
		request, known := c.requests.Get(decision.Request)
		if !known {
			continue
		}
		actions = append(actions, c.applyDecision(now, request, decision)...)
	}
	return actions
}

// applyDecision records a routing decision and returns it as an action for the caller's request or the stream.
func (c *Core) applyDecision(now time.Time, request requestState, decision jujuberouter.Decision) []Action {
	id := request.spec.ID
	switch decision.Kind {
	case jujuberouter.Dispatch:
		// A held stream already runs on its endpoint; resuming it starts no second run. The run is recorded below.
		if !request.granted && !request.owed && !request.spec.Held && !c.quarantine.Admit(now, request.fingerprint, decision.Endpoint) {
			// While the request was queued, a copy started on another endpoint or its content became suspect.
			c.requests.Delete(id)
			freed := c.router.Finish(now, id, jujuberouter.Outcome{})
			return append(c.admitRequest(now, request), c.applyDecisions(now, freed)...)
		}
		request.endpoint = decision.Endpoint
		request.incarnation, request.software = decision.Incarnation, decision.SoftwareVersion
		request.retryAt = time.Time{}
		c.requests.Put(id, request)
		if !request.owed {
			c.quarantine.AddRun(now, request.fingerprint, decision.Endpoint)
		}
	case jujuberouter.Refuse:
		if c.isBlockedByPin(now, request, decision) {
			return c.scheduleRetry(now, request)
		}
		c.requests.Delete(id)
		if request.stream != nil && len(request.stream.Avoid) > 0 && decision.Code == jujubeerror.CodeNoEndpoint && !request.granted {
			// Engines that failed the sample before are used when no other is available.
			request.stream.Avoid, request.spec.Exclude = nil, nil
			return c.route(now, request)
		}
		return append(c.refusalActions(now, request, decision), c.releaseGrant(now, request, false)...)
	}
	if request.stream != nil {
		return c.applyStreamDecision(now, request, decision)
	}
	return []Action{RouteDecided{Decision: decision}}
}

// refusalActions passes a refusal on to the caller's request or the step tables.
func (c *Core) refusalActions(now time.Time, request requestState, decision jujuberouter.Decision) []Action {
	if request.stream == nil {
		return []Action{RouteDecided{Decision: decision}}
	}
	return c.applyStreamDecision(now, request, decision)
}

// newRefusal returns a decision that refuses a request.
func newRefusal(id model.RequestID, code string, retryAfter time.Duration) jujuberouter.Decision {
	return jujuberouter.Decision{Request: id, Kind: jujuberouter.Refuse, Code: code, Reason: code, RetryAfter: retryAfter}
}

func (c *Core) applyRequestEnded(now time.Time, ended RequestEnded) []Action {
	outcome := jujuberouter.Outcome{
		OK: ended.OK, Failed: ended.Broken, ConnectionRefused: ended.Refused, Tokens: ended.Tokens, Load: ended.Load,
	}
	return c.finishRequest(now, ended.ID, outcome, ended.OK && !ended.Failed)
}

// finishRequest ends a dispatched request and dispatches requests that waited for its capacity. Completed reports whether the response
// proves that the endpoint has run the content.
func (c *Core) finishRequest(now time.Time, id model.RequestID, outcome jujuberouter.Outcome, completed bool) []Action {
	request, known := c.requests.Get(id)
	if !known {
		return nil
	}
	c.requests.Delete(id)
	if !request.owed {
		c.finishQuarantineRun(now, request, completed)
	}
	actions := c.releaseGrant(now, request, completed)
	return append(actions, c.applyDecisions(now, c.router.Finish(now, id, outcome))...)
}

// finishQuarantineRun records in the quarantine that a run of a caller's content ended without a crash.
func (c *Core) finishQuarantineRun(now time.Time, request requestState, completed bool) {
	wasRunning := c.quarantine.HasUnprovenRun(request.fingerprint)
	if completed {
		c.publishAll(now, c.quarantine.CompleteRun(now, request.fingerprint, jujubequarantine.Process{
			Endpoint: request.endpoint, Incarnation: request.incarnation, SoftwareVersion: request.software,
		}))
	} else {
		c.quarantine.RemoveRun(now, request.fingerprint, request.endpoint)
	}
	if wasRunning && !c.quarantine.HasUnprovenRun(request.fingerprint) {
		c.unpin(request.fingerprint)
	}
}

func (c *Core) applyRequestCancelled(now time.Time, id model.RequestID) []Action {
	request, known := c.requests.Get(id)
	if !known {
		return nil
	}
	if request.endpoint != "" {
		return c.finishRequest(now, id, jujuberouter.Outcome{OK: false}, false)
	}
	c.requests.Delete(id)
	actions := c.releaseGrant(now, request, false)
	return append(actions, c.applyDecisions(now, c.router.Cancel(now, id))...)
}
