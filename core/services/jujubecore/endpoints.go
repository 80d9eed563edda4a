package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubequarantine"
)

// endpointRow is an endpoint of the instance list.
type endpointRow struct {
	endpoint model.Endpoint
	// incarnation is the highest one seen in the list or in a report.
	incarnation model.Incarnation
	// leaving holds for incarnations up to leavingIncarnation, whoever said so.
	leavingIncarnation model.Incarnation
	leaving            bool
	// drain counts an operator's drains and their ends: it is odd while the endpoint is drained. A restart doesn't end that.
	drain int64
	// lost is the highest incarnation that is known to have ended.
	lost model.Incarnation
	// listed is false when the instance list no longer names the endpoint. The row is kept because the list lags and a
	// leaving endpoint that is named again must stay leaving.
	listed bool
}

func (r endpointRow) isUsable() bool {
	return r.listed && (r.incarnation == 0 || r.incarnation > r.lost)
}

func (r endpointRow) isLeaving() bool {
	return r.isDrained() || (r.leaving && r.incarnation <= r.leavingIncarnation)
}

func (r endpointRow) isDrained() bool { return r.drain%2 == 1 }

func (c *Core) applyInstances(now time.Time, list model.InstanceList) []Action {
	listed := make(map[model.EndpointID]bool, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		listed[endpoint.ID] = true
		c.putEndpoint(now, endpoint)
	}
	for id, row := range c.endpoints.All() {
		if row.listed && !listed[id] {
			row.listed = false
			c.endpoints.Put(id, row)
			c.router.RemoveEndpoint(now, id)
			c.rollout.RemoveEndpoint(id)
		}
	}
	c.listed = len(list.Entries)
	c.members.SetSeeds(now, list.Entries)
	return c.refreshMembers()
}

func (c *Core) putEndpoint(now time.Time, endpoint model.Endpoint) {
	row, known := c.endpoints.Get(endpoint.ID)
	if known && endpoint.Incarnation < row.incarnation {
		// The list lags behind the endpoint's own report, unless it gives no incarnations at all.
		endpoint.Leaving = endpoint.Leaving && endpoint.Incarnation == 0
		endpoint.Incarnation = row.incarnation
	}
	if endpoint.Incarnation > row.incarnation {
		c.blame(now, row, row.incarnation)
	}
	row.endpoint = endpoint
	row.listed = true
	row.incarnation = max(row.incarnation, endpoint.Incarnation)
	c.endpoints.Put(endpoint.ID, row)
	c.offer(now, row)
	if endpoint.Leaving {
		c.markLeaving(now, endpoint.ID)
	}
}

// offer lets the router use an endpoint, unless its process has ended.
func (c *Core) offer(now time.Time, row endpointRow) {
	if !row.isUsable() {
		return
	}
	c.router.PutEndpoint(now, row.endpoint)
	if row.isLeaving() {
		c.router.MarkLeaving(now, row.endpoint.ID)
	}
}

// markLeaving stops new work for an endpoint and tells the other instances.
func (c *Core) markLeaving(now time.Time, id model.EndpointID) {
	row, known := c.endpoints.Get(id)
	if !known {
		return
	}
	news := !row.leaving || row.incarnation > row.leavingIncarnation
	row.leaving = true
	row.leavingIncarnation = max(row.leavingIncarnation, row.incarnation)
	c.endpoints.Put(id, row)
	c.router.MarkLeaving(now, id)
	if news {
		c.members.Publish(now, leavingRumour(id, row))
	}
}

func (c *Core) applyLoad(now time.Time, report model.LoadReport) []Action {
	row, known := c.endpoints.Get(report.Endpoint)
	if !known || report.Incarnation < row.incarnation {
		return nil
	}
	if report.Incarnation > row.incarnation {
		c.blame(now, row, row.incarnation)
		if row.leaving && row.incarnation == 0 && row.leavingIncarnation == 0 {
			// Whoever said that the endpoint leaves didn't know its incarnation; this is the first one known.
			row.leavingIncarnation = report.Incarnation
		}
		row.incarnation = report.Incarnation
		row.endpoint.Incarnation = report.Incarnation
		row.endpoint.Leaving = false
		c.endpoints.Put(report.Endpoint, row)
		c.offer(now, row)
	}
	if report.Leaving {
		c.markLeaving(now, report.Endpoint)
	}
	c.router.ReportLoad(now, report)
	if row.endpoint.Kind == model.KindEngine {
		c.rollout.Report(now, report)
	}
	return nil
}

// blame makes the requests that were in flight on an incarnation that has ended suspects. An endpoint that was leaving
// has ended on purpose.
func (c *Core) blame(now time.Time, row endpointRow, incarnation model.Incarnation) {
	if incarnation == 0 || row.isLeaving() {
		return
	}
	var inFlight []model.Fingerprint
	for id, request := range c.requests.All() {
		if request.endpoint != row.endpoint.ID || request.incarnation != incarnation || request.blamed {
			continue
		}
		request.blamed = true
		c.requests.Put(id, request)
		inFlight = append(inFlight, request.fingerprint)
	}
	if len(inFlight) == 0 {
		return
	}
	c.publishAll(now, c.quarantine.Crashed(now, jujubequarantine.NewCrashID(row.endpoint.ID, incarnation), inFlight))
	for _, f := range inFlight {
		c.spread(f)
	}
}

func (c *Core) applyLost(now time.Time, lost EndpointLost) []Action {
	row, known := c.endpoints.Get(lost.Endpoint)
	if !known || lost.Incarnation == 0 {
		return nil
	}
	c.blame(now, row, lost.Incarnation)
	row.lost = max(row.lost, lost.Incarnation)
	c.endpoints.Put(lost.Endpoint, row)
	if !row.isUsable() {
		// Nothing is sent there until the endpoint reports with a newer incarnation.
		c.router.RemoveEndpoint(now, lost.Endpoint)
	}
	return nil
}
