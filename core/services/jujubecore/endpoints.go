package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubequarantine"
)

// endpointState is the state of an endpoint of the instance list, as this instance sees it.
type endpointState struct {
	info model.Endpoint
	// incarnation is the highest one from the instance list or a load report.
	incarnation model.Incarnation
	// leaving applies to incarnations up to leavingIncarnation; the list, a report or gossip sets it.
	leavingIncarnation model.Incarnation
	leaving            bool
	// drainCount counts the starts and ends of operator drains; it is odd while the endpoint is drained. A restart of the
	// endpoint doesn't end a drain.
	drainCount int64
	// endedIncarnation is the highest incarnation that is known to have ended.
	endedIncarnation model.Incarnation
	// listed is false when the instance list no longer names the endpoint. The state is kept because the list lags, and an
	// endpoint that was leaving must still be leaving when the list names it again.
	listed bool
}

func (e endpointState) isUsable() bool {
	return e.listed && (e.incarnation == 0 || e.incarnation > e.endedIncarnation)
}

func (e endpointState) isLeaving() bool {
	return e.isDrained() || (e.leaving && e.incarnation <= e.leavingIncarnation)
}

func (e endpointState) isDrained() bool { return e.drainCount%2 == 1 }

func (c *Core) applyInstancesListed(now time.Time, list model.InstanceList) []Action {
	listed := make(map[model.EndpointID]bool, len(list.Endpoints))
	for _, info := range list.Endpoints {
		listed[info.ID] = true
		c.putEndpoint(now, info)
	}
	for id, endpoint := range c.endpoints.All() {
		if endpoint.listed && !listed[id] {
			endpoint.listed = false
			c.endpoints.Put(id, endpoint)
			c.router.RemoveEndpoint(now, id)
			c.rollout.RemoveEndpoint(id)
		}
	}
	c.listedEntries = len(list.Entries)
	c.members.SetSeeds(now, list.Entries)
	return c.refreshMembers()
}

func (c *Core) putEndpoint(now time.Time, info model.Endpoint) {
	endpoint, known := c.endpoints.Get(info.ID)
	if known && info.Incarnation < endpoint.incarnation {
		// The list lags behind the endpoint's own report, unless the list contains no incarnations.
		info.Leaving = info.Leaving && info.Incarnation == 0
		if info.Incarnation != 0 {
			info.SoftwareVersion = "" // that of an earlier process
		}
		info.Incarnation = endpoint.incarnation
	}
	if info.Incarnation > endpoint.incarnation {
		c.recordCrash(now, endpoint, endpoint.incarnation)
	}
	endpoint.info = info
	endpoint.listed = true
	endpoint.incarnation = max(endpoint.incarnation, info.Incarnation)
	c.endpoints.Put(info.ID, endpoint)
	c.addToRouter(now, endpoint)
	if info.Leaving {
		c.markLeaving(now, info.ID)
	}
}

// addToRouter makes an endpoint available to the router, unless it is unlisted or its process has ended.
func (c *Core) addToRouter(now time.Time, endpoint endpointState) {
	if !endpoint.isUsable() {
		return
	}
	c.router.PutEndpoint(now, endpoint.info)
	if endpoint.isLeaving() {
		c.router.MarkLeaving(now, endpoint.info.ID)
	}
}

// markLeaving stops new work for an endpoint and publishes this to the other instances.
func (c *Core) markLeaving(now time.Time, id model.EndpointID) {
	endpoint, known := c.endpoints.Get(id)
	if !known {
		return
	}
	changed := !endpoint.leaving || endpoint.incarnation > endpoint.leavingIncarnation
	endpoint.leaving = true
	endpoint.leavingIncarnation = max(endpoint.leavingIncarnation, endpoint.incarnation)
	c.endpoints.Put(id, endpoint)
	c.router.MarkLeaving(now, id)
	if changed {
		c.members.Publish(now, leavingUpdate(id, endpoint))
	}
}

func (c *Core) applyLoadReport(now time.Time, report model.LoadReport) []Action {
	endpoint, known := c.endpoints.Get(report.Endpoint)
	if !known || report.Incarnation < endpoint.incarnation {
		return nil
	}
	if report.Incarnation > endpoint.incarnation {
		c.recordCrash(now, endpoint, endpoint.incarnation)
		if endpoint.leaving && endpoint.incarnation == 0 && endpoint.leavingIncarnation == 0 {
			// The leaving notice didn't name an incarnation; it applies to the first one known.
			endpoint.leavingIncarnation = report.Incarnation
		}
		endpoint.incarnation = report.Incarnation
		endpoint.info.Incarnation = report.Incarnation
		endpoint.info.Leaving = false
		endpoint.info.SoftwareVersion = "" // not known until the list has the new process
		c.endpoints.Put(report.Endpoint, endpoint)
		c.addToRouter(now, endpoint)
	}
	if report.Leaving {
		c.markLeaving(now, report.Endpoint)
	}
	c.router.ReportLoad(now, report)
	if endpoint.info.Kind == model.KindEngine {
		c.rollout.ApplyReport(now, report)
	}
	return nil
}

// recordCrash reports to the quarantine the callers' requests that were in flight on an incarnation that has ended, which makes them
// suspects. The end of an endpoint that was leaving is intended and isn't a crash.
func (c *Core) recordCrash(now time.Time, endpoint endpointState, incarnation model.Incarnation) {
	if incarnation == 0 || endpoint.isLeaving() {
		return
	}
	ended := jujubequarantine.Process{Endpoint: endpoint.info.ID, Incarnation: incarnation}
	var inFlight []model.Fingerprint
	for id, request := range c.requests.All() {
		if request.owed || request.endpoint != endpoint.info.ID || request.incarnation != incarnation || request.crashCounted {
			continue
		}
		request.crashCounted = true
		c.requests.Put(id, request)
		inFlight = append(inFlight, request.fingerprint)
		ended.SoftwareVersion = max(ended.SoftwareVersion, request.software)
	}
	if len(inFlight) == 0 {
		return
	}
	c.publishAll(now, c.quarantine.RecordCrash(now, ended, inFlight))
	for _, f := range inFlight {
		c.unpin(f)
	}
}

func (c *Core) applyEndpointLost(now time.Time, lost EndpointLost) []Action {
	endpoint, known := c.endpoints.Get(lost.Endpoint)
	if !known || lost.Incarnation == 0 {
		return nil
	}
	c.recordCrash(now, endpoint, lost.Incarnation)
	endpoint.endedIncarnation = max(endpoint.endedIncarnation, lost.Incarnation)
	c.endpoints.Put(lost.Endpoint, endpoint)
	if !endpoint.isUsable() {
		// It gets no requests until it reports a newer incarnation.
		c.router.RemoveEndpoint(now, lost.Endpoint)
	}
	return nil
}
