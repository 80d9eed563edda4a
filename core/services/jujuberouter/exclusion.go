package jujuberouter

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// exclusion returns why an endpoint can't accept a request, empty if it can. Ejected endpoints are used when no other one is healthy.
func (r *Router[P]) exclusion(now time.Time, e *endpointState, request *Request, anyHealthy bool) model.Exclusion {
	switch {
	case e.removed:
		return model.ExcludedRemoved
	case e.endpoint.Leaving:
		return model.ExcludedLeaving
	case slices.Contains(request.Exclude, e.endpoint.ID), len(request.Only) > 0 && !slices.Contains(request.Only, e.endpoint.ID):
		return model.ExcludedByRequest
	case !request.allowsSoftware(e.endpoint.SoftwareVersion):
		return model.ExcludedSoftware
	case request.Held:
		return ""
	case e.isThrottled(now, request.Priority):
		return model.ExcludedThrottled
	case !e.hasCapacity():
		return model.ExcludedNoCapacity
	case !request.SecondCopy && r.isHeld(now, e):
		return model.ExcludedHeld
	case e.load.Version < request.MinVersion:
		return model.ExcludedOldVersion
	case anyHealthy && e.isEjected(now):
		return model.ExcludedEjected
	}
	return ""
}

// hasHealthy reports whether a watched endpoint is neither ejected nor throttled.
func (p *pool) hasHealthy(now time.Time, priority model.Priority) bool {
	return slices.ContainsFunc(p.watched, func(e *endpointState) bool { return !e.isEjected(now) && !e.isThrottled(now, priority) })
}

// clampPriority returns the closest valid priority.
func clampPriority(priority model.Priority) model.Priority {
	return min(max(priority, model.PriorityInteractive), model.PriorityBackground)
}
