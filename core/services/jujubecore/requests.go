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

// requestRow is one attempt of a caller's request, or one stream of a step part.
type requestRow struct {
	request     jujuberouter.Request
	fingerprint model.Fingerprint
	// endpoint is empty until the request is dispatched.
	endpoint    model.EndpointID
	incarnation model.Incarnation
	// blamed is true once the row was counted as in flight in a crash.
	blamed bool
	// steward is set while the request runs under a grant.
	steward model.Member
	granted bool
	// askAgain is when the steward is asked again, or a postponed request is placed again; zero for other requests.
	askAgain time.Time
	// stream is set for a stream of a step part.
	stream *jujubestep.StartStream
}

func (c *Core) applyArrived(now time.Time, arrived RequestArrived) []Action {
	request := jujuberouter.Request{
		ID: arrived.ID, Kind: arrived.Kind, Model: arrived.Model, Service: arrived.Service, Caller: arrived.Caller,
		Priority: arrived.Priority, Arrived: now, Deadline: arrived.Deadline, Prefix: arrived.Prefix,
		Tokens: arrived.Tokens, Exclude: arrived.Exclude, Fingerprint: arrived.Fingerprint, Retry: arrived.Retry,
	}
	return c.place(now, requestRow{request: request, fingerprint: arrived.Fingerprint})
}

// place checks the quarantine and routes a request, or asks the steward when its content is suspect.
func (c *Core) place(now time.Time, row requestRow) []Action {
	switch c.quarantine.Check(now, row.fingerprint) {
	case jujubequarantine.Quarantined:
		return c.decided(now, row, refuse(row.request.ID, jujubeerror.CodeQuarantined, c.quarantine.RetryAfter(now, row.fingerprint)))
	case jujubequarantine.Suspect:
		return c.askSteward(now, row)
	}
	return c.route(now, row)
}

func (c *Core) route(now time.Time, row requestRow) []Action {
	row.askAgain = time.Time{}
	c.requests.Put(row.request.ID, row)
	request := row.request
	if !row.granted && !request.Held {
		request.Only, request.Exclude = c.confine(request)
	}
	return c.routed(now, []jujuberouter.Decision{c.router.Route(now, request)})
}

// isConfined tells whether a request was refused only because its content runs on an endpoint that takes no new work.
func (c *Core) isConfined(now time.Time, row requestRow, decision jujuberouter.Decision) bool {
	return decision.Code == jujubeerror.CodeNoEndpoint && !row.granted && now.Before(row.request.Deadline) &&
		c.quarantine.IsRunning(row.fingerprint)
}

// postpone places a request again after a while.
func (c *Core) postpone(now time.Time, row requestRow) []Action {
	row.askAgain = now.Add(suspectRetry)
	c.requests.Put(row.request.ID, row)
	c.asking.Put(row.request.ID, struct{}{})
	return nil
}

// spread lets the waiting requests of a content use all endpoints again, once the content has completed or runs nowhere.
func (c *Core) spread(f model.Fingerprint) {
	for _, id := range c.confined[f] {
		if row, known := c.requests.Get(id); known && row.endpoint == "" {
			c.router.SetChoice(id, row.request.Only, row.request.Exclude)
		}
	}
	delete(c.confined, f)
}

// confine restricts content that has never completed to the endpoint on which it already runs. The row keeps its own
// restrictions, as these end with the other run.
func (c *Core) confine(request jujuberouter.Request) (only, exclude []model.EndpointID) {
	running := c.quarantine.RunningOn(request.Fingerprint)
	if len(running) == 0 {
		return request.Only, request.Exclude
	}
	c.confined[request.Fingerprint] = append(c.confined[request.Fingerprint], request.ID)
	if len(request.Only) == 0 {
		return running, request.Exclude
	}
	exclude = slices.Clone(request.Exclude)
	for _, id := range request.Only {
		if !slices.Contains(running, id) {
			exclude = append(exclude, id)
		}
	}
	return request.Only, exclude
}

// routed turns the router's decisions into actions.
func (c *Core) routed(now time.Time, decisions []jujuberouter.Decision) []Action {
	var actions []Action
	for _, decision := range decisions {
		row, known := c.requests.Get(decision.Request)
		if !known {
			continue
		}
		actions = append(actions, c.decided(now, row, decision)...)
	}
	return actions
}

// decided records one decision and passes it to whoever asked.
func (c *Core) decided(now time.Time, row requestRow, decision jujuberouter.Decision) []Action {
	id := row.request.ID
	switch decision.Kind {
	case jujuberouter.Dispatch:
		// A held stream runs on its endpoint already; reading it starts no copy, and its run is recorded below.
		if !row.granted && !row.request.Held && !c.quarantine.Admit(now, row.fingerprint, decision.Endpoint) {
			// The queue held the request while a copy of it started on another endpoint, or its content became suspect.
			c.requests.Delete(id)
			freed := c.router.Finish(now, id, jujuberouter.Outcome{})
			return append(c.place(now, row), c.routed(now, freed)...)
		}
		row.endpoint = decision.Endpoint
		row.incarnation = decision.Incarnation
		row.askAgain = time.Time{}
		c.requests.Put(id, row)
		c.quarantine.Begin(now, row.fingerprint, decision.Endpoint)
	case jujuberouter.Refuse:
		if c.isConfined(now, row, decision) {
			return c.postpone(now, row)
		}
		c.requests.Delete(id)
		if row.stream != nil && len(row.stream.Avoid) > 0 && decision.Code == jujubeerror.CodeNoEndpoint && !row.granted {
			// Engines that failed a sample are used when there is no other.
			row.stream.Avoid, row.request.Exclude = nil, nil
			return c.route(now, row)
		}
		return append(c.refused(now, row, decision), c.releaseGrant(now, row, false)...)
	}
	if row.stream != nil {
		return c.streamDecided(now, row, decision)
	}
	return []Action{RouteDecided{Decision: decision}}
}

func (c *Core) refused(now time.Time, row requestRow, decision jujuberouter.Decision) []Action {
	if row.stream == nil {
		return []Action{RouteDecided{Decision: decision}}
	}
	return c.streamDecided(now, row, decision)
}

func refuse(id model.RequestID, code string, retryAfter time.Duration) jujuberouter.Decision {
	return jujuberouter.Decision{Request: id, Kind: jujuberouter.Refuse, Code: code, Reason: code, RetryAfter: retryAfter}
}

func (c *Core) applyEnded(now time.Time, ended RequestEnded) []Action {
	outcome := jujuberouter.Outcome{OK: ended.OK, Failed: ended.Broken, ConnectionRefused: ended.Refused, Tokens: ended.Tokens, Load: ended.Load}
	return c.finish(now, ended.ID, outcome)
}

// finish ends a dispatched request, and dispatches others that waited for its place.
func (c *Core) finish(now time.Time, id model.RequestID, outcome jujuberouter.Outcome) []Action {
	row, known := c.requests.Get(id)
	if !known {
		return nil
	}
	c.requests.Delete(id)
	wasAlone := c.quarantine.IsRunning(row.fingerprint)
	if outcome.OK {
		c.publishAll(now, c.quarantine.Complete(now, row.fingerprint, row.endpoint))
	} else {
		c.quarantine.End(now, row.fingerprint, row.endpoint)
	}
	if wasAlone && !c.quarantine.IsRunning(row.fingerprint) {
		c.spread(row.fingerprint)
	}
	actions := c.releaseGrant(now, row, outcome.OK)
	return append(actions, c.routed(now, c.router.Finish(now, id, outcome))...)
}

func (c *Core) applyCancelled(now time.Time, id model.RequestID) []Action {
	row, known := c.requests.Get(id)
	if !known {
		return nil
	}
	if row.endpoint != "" {
		return c.finish(now, id, jujuberouter.Outcome{OK: false})
	}
	c.requests.Delete(id)
	actions := c.releaseGrant(now, row, false)
	return append(actions, c.routed(now, c.router.Cancel(now, id))...)
}
