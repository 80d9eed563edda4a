package jujubecore

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujuberouter"
)

// suspectRetry is when a suspect request that found no free endpoint may ask again. It is about the time that a short
// generation takes.
const suspectRetry = 500 * time.Millisecond

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
	row.steward = c.steward()
	c.requests.Put(row.request.ID, row)
	ask := SuspectAsked{
		Fingerprint: row.fingerprint, Kind: row.request.Kind, Model: row.request.Model, Service: row.request.Service,
		Exclude: row.request.Exclude,
	}
	if row.steward.ID == c.self.ID {
		return c.applyGranted(now, SuspectGranted{ID: row.request.ID, SuspectAnswered: c.grantSuspect(now, ask)})
	}
	return []Action{AskSuspect{ID: row.request.ID, Steward: row.steward, Ask: ask}}
}

// grantSuspect picks the least loaded endpoint that runs no other suspect.
func (c *Core) grantSuspect(now time.Time, ask SuspectAsked) SuspectAnswered {
	if c.steward().ID != c.self.ID {
		return SuspectAnswered{RetryAfter: suspectRetry}
	}
	views := c.router.Endpoints(now)
	slices.SortStableFunc(views, func(a, b jujuberouter.EndpointRow) int {
		return (a.Load.Running + a.Load.Waiting) - (b.Load.Running + b.Load.Waiting)
	})
	for _, view := range views {
		row, known := c.endpoints.Get(view.Endpoint.ID)
		if !known || row.isLeaving() || slices.Contains(ask.Exclude, view.Endpoint.ID) || !c.serves(row.endpoint, ask) {
			continue
		}
		if c.quarantine.AdmitSuspect(now, ask.Fingerprint, view.Endpoint.ID) {
			return SuspectAnswered{OK: true, Endpoint: view.Endpoint.ID}
		}
	}
	return SuspectAnswered{RetryAfter: suspectRetry}
}

func (*Core) serves(endpoint model.Endpoint, ask SuspectAsked) bool {
	return endpoint.Kind == ask.Kind && endpoint.Model == ask.Model && endpoint.Service == ask.Service
}

func (c *Core) applyGranted(now time.Time, granted SuspectGranted) []Action {
	row, known := c.requests.Get(granted.ID)
	if !known || row.endpoint != "" {
		return nil
	}
	if !granted.OK {
		retryAfter := max(granted.RetryAfter, suspectRetry)
		return c.decided(now, row, refuse(granted.ID, jujubeerror.CodeOverloaded, retryAfter))
	}
	row.granted = true
	row.request.Only = []model.EndpointID{granted.Endpoint}
	return c.route(now, row)
}

// releaseGrant frees the endpoint that the steward reserved.
func (c *Core) releaseGrant(row requestRow, completed bool) []Action {
	if !row.granted {
		return nil
	}
	release := SuspectReleased{Fingerprint: row.fingerprint, Endpoint: row.request.Only[0], Completed: completed}
	if row.steward.ID == c.self.ID {
		c.releaseSuspect(time.Time{}, release)
		return nil
	}
	return []Action{ReleaseSuspect{Steward: row.steward, Release: release}}
}

func (c *Core) releaseSuspect(now time.Time, release SuspectReleased) {
	c.quarantine.ReleaseSuspect(now, release.Fingerprint, release.Endpoint)
}
