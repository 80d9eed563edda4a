package jujubecore

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubequarantine"
	"jujubepier.example/core/services/jujuberouter"
)

const (
	// suspectRetry is the delay before a suspect request that found no free endpoint is repeated, about the duration of
	// a short generation.
	suspectRetry = 500 * time.Millisecond
	// suspectGrantDelay is how long the coordinator withholds grants for a new suspect, so that the other instances learn of
	// the crash and stop their own runs: the time of a gossip update to all instances and of a cancelled call.
	suspectGrantDelay = time.Second
)

// askTimeout is the delay before an unanswered request to the coordinator is repeated.
const askTimeout = 2 * time.Second

// grant reserves an endpoint for one run of suspect content.
type grant struct {
	attempt     string
	fingerprint model.Fingerprint
	endpoint    model.EndpointID
	until       time.Time
}

// coordinator returns the lowest-ranked instance that is alive. It alone grants endpoints to suspect requests, so that no two
// suspects share an endpoint.
func (c *Core) coordinator() model.Member {
	for _, member := range c.members.Live() {
		if member.State == model.MemberAlive {
			return member
		}
	}
	return c.self
}

// askCoordinator requests a grant for suspect content, from this instance itself if it is the coordinator.
func (c *Core) askCoordinator(now time.Time, request requestState) []Action {
	if !now.Before(request.spec.Deadline) {
		return c.applyDecision(now, request, newRefusal(request.spec.ID, jujubeerror.CodeDeadline, 0))
	}
	request.coordinator, request.retryAt = c.coordinator(), now.Add(askTimeout)
	c.requests.Put(request.spec.ID, request)
	c.awaitingRetry.Put(request.spec.ID, struct{}{})
	ask := SuspectAsked{
		Attempt:     string(c.self.ID) + "~" + c.self.Incarnation.String() + "/" + string(request.spec.ID),
		Fingerprint: request.fingerprint, Kind: request.spec.Kind, Model: request.spec.Model, Service: request.spec.Service,
		SoftwareVersion: request.spec.SoftwareVersion, Exclude: request.spec.Exclude, Until: request.spec.Deadline, Known: c.quarantine.UpdatesFor(now, request.fingerprint),
	}
	if request.coordinator.ID == c.self.ID {
		return c.applySuspectGranted(now, SuspectGranted{ID: request.spec.ID, SuspectAnswered: c.grantSuspect(now, ask)})
	}
	return []Action{AskSuspect{ID: request.spec.ID, Steward: request.coordinator, Ask: ask}}
}

// grantSuspect answers a request for a grant with the least loaded endpoint that runs no other suspect.
func (c *Core) grantSuspect(now time.Time, ask SuspectAsked) SuspectAnswered {
	for _, update := range ask.Known {
		c.applyGossipUpdate(now, update)
	}
	// An instance that requests a grant for quarantined content hasn't received the quarantine yet; it will then refuse
	// the request itself.
	isQuarantined := c.quarantine.Check(now, ask.Fingerprint) == jujubequarantine.Quarantined
	if c.coordinator().ID != c.self.ID || isQuarantined || !c.isGrantDelayOver(now, ask.Fingerprint) {
		return SuspectAnswered{RetryAfter: suspectRetry}
	}
	if id, granted := c.findGrant(now, ask.Attempt); granted {
		return SuspectAnswered{OK: true, Endpoint: id}
	}
	views := c.router.Endpoints(now)
	slices.SortStableFunc(views, func(a, b jujuberouter.EndpointView) int {
		return (a.Load.Running + a.Load.Waiting) - (b.Load.Running + b.Load.Waiting)
	})
	for _, view := range views {
		endpoint, known := c.endpoints.Get(view.Endpoint.ID)
		if !known || !endpoint.isUsable() || endpoint.isLeaving() ||
			slices.Contains(ask.Exclude, view.Endpoint.ID) || !c.serves(endpoint.info, ask) {
			continue
		}
		if c.quarantine.AdmitSuspect(now, ask.Fingerprint, view.Endpoint.ID) {
			c.quarantine.AddRun(now, ask.Fingerprint, view.Endpoint.ID)
			c.grants = append(c.grants, grant{ask.Attempt, ask.Fingerprint, view.Endpoint.ID, ask.Until})
			return SuspectAnswered{OK: true, Endpoint: view.Endpoint.ID}
		}
	}
	return SuspectAnswered{RetryAfter: suspectRetry}
}

// findGrant returns the grant of an attempt whose response was lost. Without the repeated response the suspect would
// count as running until its deadline. A grant of an endpoint that is gone or leaving is released.
func (c *Core) findGrant(now time.Time, attempt string) (model.EndpointID, bool) {
	index := slices.IndexFunc(c.grants, func(g grant) bool { return attempt != "" && g.attempt == attempt })
	if index < 0 {
		return "", false
	}
	g := c.grants[index]
	if endpoint, _ := c.endpoints.Get(g.endpoint); !endpoint.isUsable() || endpoint.isLeaving() {
		c.releaseSuspect(now, SuspectReleased{Fingerprint: g.fingerprint, Endpoint: g.endpoint})
		return "", false
	}
	return g.endpoint, true
}

func (*Core) serves(endpoint model.Endpoint, ask SuspectAsked) bool {
	return endpoint.Kind == ask.Kind && endpoint.Model == ask.Model && endpoint.Service == ask.Service &&
		(ask.SoftwareVersion == "" || endpoint.SoftwareVersion == ask.SoftwareVersion)
}

func (c *Core) applySuspectGranted(now time.Time, granted SuspectGranted) []Action {
	request, known := c.requests.Get(granted.ID)
	if !known || request.endpoint != "" || request.retryAt.IsZero() {
		return nil // response to a repeated request, or to one that no longer waits for a grant
	}
	if !granted.OK {
		request.retryAt = now.Add(max(granted.RetryAfter, suspectRetry))
		c.requests.Put(granted.ID, request)
		return nil
	}
	request.granted = true
	request.spec.Only = []model.EndpointID{granted.Endpoint}
	return c.route(now, request)
}

// releaseGrant returns the endpoint that the coordinator reserved for a request.
func (c *Core) releaseGrant(now time.Time, request requestState, completed bool) []Action {
	if !request.granted {
		return nil
	}
	release := SuspectReleased{
		Fingerprint: request.fingerprint, Endpoint: request.spec.Only[0], Completed: completed,
		Known: c.quarantine.UpdatesFor(now, request.fingerprint),
	}
	if request.coordinator.ID == c.self.ID {
		c.releaseSuspect(now, release)
		return nil
	}
	return []Action{ReleaseSuspect{Steward: request.coordinator, Release: release}}
}

// releaseSuspect ends a grant on the coordinator. What the run has proved is among the known updates.
func (c *Core) releaseSuspect(now time.Time, release SuspectReleased) {
	for _, update := range release.Known {
		c.applyGossipUpdate(now, update)
	}
	index := slices.IndexFunc(c.grants, func(g grant) bool {
		return g.fingerprint == release.Fingerprint && g.endpoint == release.Endpoint
	})
	if index < 0 {
		return
	}
	c.grants = slices.Delete(c.grants, index, index+1)
	c.quarantine.RemoveRun(now, release.Fingerprint, release.Endpoint)
	if !c.quarantine.HasUnprovenRun(release.Fingerprint) {
		c.unpin(release.Fingerprint)
	}
}

// isGrantDelayOver reports whether the other instances have had time to stop their own runs of a suspect. The delay starts with
// the first call for a fingerprint.
func (c *Core) isGrantDelayOver(now time.Time, f model.Fingerprint) bool {
	firstSeen, known := c.suspectFirstSeen[f]
	if !known {
		for old, seen := range c.suspectFirstSeen {
			if now.Sub(seen) > time.Hour {
				delete(c.suspectFirstSeen, old)
			}
		}
		c.suspectFirstSeen[f] = now
	}
	return known && now.Sub(firstSeen) >= suspectGrantDelay
}

// tickSuspects expires grants, stops runs that started before their content became suspect, and retries requests that wait
// for a grant. A call to a plain service isn't stopped: it may have taken effect, and the caller needs its outcome.
func (c *Core) tickSuspects(now time.Time) []Action {
	c.expireGrants(now)
	actions := c.stopSuspects(now)
	for id := range c.awaitingRetry.All() {
		request, known := c.requests.Get(id)
		if !known || request.retryAt.IsZero() {
			c.awaitingRetry.Delete(id)
		} else if !now.Before(request.retryAt) {
			actions = append(actions, c.admitRequest(now, request)...)
		}
	}
	return actions
}

func (c *Core) stopSuspects(now time.Time) []Action {
	if len(c.quarantine.RunningSuspects(now)) == 0 {
		return nil
	}
	var actions []Action
	for id, request := range c.requests.All() {
		if request.owed || request.endpoint == "" || request.granted || request.spec.Kind != model.KindEngine ||
			!c.quarantine.IsSuspect(now, request.fingerprint) {
			continue
		}
		actions = append(actions, AbortRequest{ID: id})
	}
	return actions
}

// expireGrants releases grants past their deadline; the instance that held such a grant has died without releasing it.
func (c *Core) expireGrants(now time.Time) {
	for _, g := range slices.Clone(c.grants) {
		if !now.Before(g.until) {
			c.releaseSuspect(now, SuspectReleased{Fingerprint: g.fingerprint, Endpoint: g.endpoint})
		}
	}
}
