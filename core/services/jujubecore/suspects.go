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
	// suspectRetry is when a suspect request that found no free endpoint asks again. It is about the time that a short
	// generation takes.
	suspectRetry = 500 * time.Millisecond
	// suspectDelay is how long the steward holds back a new suspect, so that other instances hear of the crash and stop
	// their own runs of it: a rumour's travel and a cancelled call.
	suspectDelay = time.Second
)

// askTimeout is when a question to the steward that got no answer is repeated.
const askTimeout = 2 * time.Second

// grant reserves an endpoint for one suspect.
type grant struct {
	attempt     string
	fingerprint model.Fingerprint
	endpoint    model.EndpointID
	until       time.Time
}

// steward returns the lowest-ranked live instance, which alone places suspect requests so that no two of them share an
// endpoint.
func (c *Core) steward() model.Member {
	for _, member := range c.members.Live() {
		if member.State == model.MemberAlive {
			return member
		}
	}
	return c.self
}

func (c *Core) askSteward(now time.Time, row requestRow) []Action {
	if !now.Before(row.request.Deadline) {
		return c.decided(now, row, refuse(row.request.ID, jujubeerror.CodeDeadline, 0))
	}
	row.steward, row.askAgain = c.steward(), now.Add(askTimeout)
	c.requests.Put(row.request.ID, row)
	c.asking.Put(row.request.ID, struct{}{})
	ask := SuspectAsked{
		Attempt:     string(c.self.ID) + "~" + c.self.Incarnation.String() + "/" + string(row.request.ID),
		Fingerprint: row.fingerprint, Kind: row.request.Kind, Model: row.request.Model, Service: row.request.Service,
		Exclude: row.request.Exclude, Until: row.request.Deadline, Known: c.quarantine.RumoursOf(now, row.fingerprint),
	}
	if row.steward.ID == c.self.ID {
		return c.applyGranted(now, SuspectGranted{ID: row.request.ID, SuspectAnswered: c.grantSuspect(now, ask)})
	}
	return []Action{AskSuspect{ID: row.request.ID, Steward: row.steward, Ask: ask}}
}

// grantSuspect picks the least loaded endpoint that runs no other suspect.
func (c *Core) grantSuspect(now time.Time, ask SuspectAsked) SuspectAnswered {
	for _, rumour := range ask.Known {
		c.applyRumour(now, rumour)
	}
	// An instance that asks for quarantined content hasn't heard of the verdict yet; it refuses the request when it has.
	isQuarantined := c.quarantine.Check(now, ask.Fingerprint) == jujubequarantine.Quarantined
	if c.steward().ID != c.self.ID || isQuarantined || !c.isSettled(now, ask.Fingerprint) {
		return SuspectAnswered{RetryAfter: suspectRetry}
	}
	if endpoint, granted := c.granted(now, ask.Attempt); granted {
		return SuspectAnswered{OK: true, Endpoint: endpoint}
	}
	views := c.router.Endpoints(now)
	slices.SortStableFunc(views, func(a, b jujuberouter.EndpointRow) int {
		return (a.Load.Running + a.Load.Waiting) - (b.Load.Running + b.Load.Waiting)
	})
	for _, view := range views {
		row, known := c.endpoints.Get(view.Endpoint.ID)
		if !known || !row.isUsable() || row.isLeaving() || slices.Contains(ask.Exclude, view.Endpoint.ID) || !c.serves(row.endpoint, ask) {
			continue
		}
		if c.quarantine.AdmitSuspect(now, ask.Fingerprint, view.Endpoint.ID) {
			c.quarantine.Begin(now, ask.Fingerprint, view.Endpoint.ID)
			c.grants = append(c.grants, grant{ask.Attempt, ask.Fingerprint, view.Endpoint.ID, ask.Until})
			return SuspectAnswered{OK: true, Endpoint: view.Endpoint.ID}
		}
	}
	return SuspectAnswered{RetryAfter: suspectRetry}
}

// granted finds the grant of an attempt whose answer was lost. Without a repeat of it the suspect would count as running
// until its deadline. A grant of an endpoint that is gone is released.
func (c *Core) granted(now time.Time, attempt string) (model.EndpointID, bool) {
	at := slices.IndexFunc(c.grants, func(g grant) bool { return attempt != "" && g.attempt == attempt })
	if at < 0 {
		return "", false
	}
	g := c.grants[at]
	if row, _ := c.endpoints.Get(g.endpoint); !row.isUsable() || row.isLeaving() {
		c.releaseSuspect(now, SuspectReleased{Fingerprint: g.fingerprint, Endpoint: g.endpoint})
		return "", false
	}
	return g.endpoint, true
}

func (*Core) serves(endpoint model.Endpoint, ask SuspectAsked) bool {
	return endpoint.Kind == ask.Kind && endpoint.Model == ask.Model && endpoint.Service == ask.Service
}

func (c *Core) applyGranted(now time.Time, granted SuspectGranted) []Action {
	row, known := c.requests.Get(granted.ID)
	if !known || row.endpoint != "" || row.askAgain.IsZero() {
		return nil // the question was repeated, or isn't asked any more
	}
	if !granted.OK {
		row.askAgain = now.Add(max(granted.RetryAfter, suspectRetry))
		c.requests.Put(granted.ID, row)
		return nil
	}
	row.granted = true
	row.request.Only = []model.EndpointID{granted.Endpoint}
	return c.route(now, row)
}

// releaseGrant frees the endpoint that the steward reserved.
func (c *Core) releaseGrant(now time.Time, row requestRow, completed bool) []Action {
	if !row.granted {
		return nil
	}
	release := SuspectReleased{
		Fingerprint: row.fingerprint, Endpoint: row.request.Only[0], Completed: completed,
		Known: c.quarantine.RumoursOf(now, row.fingerprint),
	}
	if row.steward.ID == c.self.ID {
		c.releaseSuspect(now, release)
		return nil
	}
	return []Action{ReleaseSuspect{Steward: row.steward, Release: release}}
}

func (c *Core) releaseSuspect(now time.Time, release SuspectReleased) {
	for _, rumour := range release.Known {
		c.applyRumour(now, rumour)
	}
	at := slices.IndexFunc(c.grants, func(g grant) bool {
		return g.fingerprint == release.Fingerprint && g.endpoint == release.Endpoint
	})
	if at < 0 {
		return
	}
	c.grants = slices.Delete(c.grants, at, at+1)
	if release.Completed {
		c.publishAll(now, c.quarantine.Complete(now, release.Fingerprint, release.Endpoint))
	} else {
		c.quarantine.End(now, release.Fingerprint, release.Endpoint)
	}
	if !c.quarantine.IsRunning(release.Fingerprint) {
		c.spread(release.Fingerprint)
	}
}

// isSettled tells whether the other instances have had time to stop their own runs of a suspect.
func (c *Core) isSettled(now time.Time, f model.Fingerprint) bool {
	since, known := c.suspectSince[f]
	if !known {
		for old, at := range c.suspectSince {
			if now.Sub(at) > time.Hour {
				delete(c.suspectSince, old)
			}
		}
		c.suspectSince[f] = now
	}
	return known && now.Sub(since) >= suspectDelay
}

// tickSuspects stops runs that began before their content became suspect, and asks the steward again for those that
// wait. A call of a plain service isn't stopped: it may have taken effect, and its outcome is wanted.
func (c *Core) tickSuspects(now time.Time) []Action {
	c.expireGrants(now)
	actions := c.stopSuspects(now)
	for id := range c.asking.All() {
		row, known := c.requests.Get(id)
		if !known || row.askAgain.IsZero() {
			c.asking.Delete(id)
		} else if !now.Before(row.askAgain) {
			actions = append(actions, c.place(now, row)...)
		}
	}
	return actions
}

func (c *Core) stopSuspects(now time.Time) []Action {
	if len(c.quarantine.RunningSuspects(now)) == 0 {
		return nil
	}
	var actions []Action
	for id, row := range c.requests.All() {
		if row.endpoint == "" || row.granted || row.request.Kind != model.KindEngine || !c.quarantine.Restricted(now, row.fingerprint) {
			continue
		}
		if row.stream == nil {
			actions = append(actions, AbortRequest{ID: id})
			continue
		}
		endpoint, _ := c.endpoints.Get(row.endpoint)
		actions = append(actions, StopStream{Stream: row.stream.Stream, Address: endpoint.endpoint.Address, Cause: "Suspect"})
		actions = append(actions, c.applyStreamEnded(now, StreamEnded{Stream: row.stream.Stream, Broken: true})...)
	}
	return actions
}

// expireGrants ends the grants of instances that have died with their requests.
func (c *Core) expireGrants(now time.Time) {
	for _, g := range slices.Clone(c.grants) {
		if !now.Before(g.until) {
			c.releaseSuspect(now, SuspectReleased{Fingerprint: g.fingerprint, Endpoint: g.endpoint})
		}
	}
}
