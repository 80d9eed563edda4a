package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedesired"
)

// assignItems assigns engines to the items that have none, the longest first: a step ends with its longest items, and right
// after a new weight version only some engines can run them.
func (b *Batches) assignItems(now time.Time, submission *submission, fleet fleetIntervals) {
	if submission.unassigned == 0 {
		return
	}
	for _, item := range submission.longestFirst {
		if item.assignedEngine != "" || item.hasResult || item.resultQueued || item.unscored != nil ||
			now.Before(item.notBefore) || !b.isResponsible(now, item) {
			continue
		}
		route, ok := b.desired.Match(submission.Host, item.Path)
		if !ok || b.isPastRetention(now, submission, route) {
			continue // startItems queues its errored result
		}
		e := b.selectEngine(now, item, route.Choose(string(item.ID)), route.SingleVersion, fleet)
		if e == nil {
			return
		}
		b.assign(item, e)
	}
}

// isPastRetention reports whether the items of a submission may be abandoned.
func (b *Batches) isPastRetention(now time.Time, submission *submission, route *jujubedesired.Route) bool {
	return route.Retention > 0 && now.Sub(submission.readAt) > route.Retention
}

func (b *Batches) assign(item *item, e *engine) {
	item.assignedEngine = e.ID
	item.submission.unassigned--
	e.assigned++
}

func (b *Batches) unassign(item *item) {
	if item.assignedEngine == "" {
		return
	}
	if e, ok := b.engines.Get(item.assignedEngine); ok {
		e.assigned = max(0, e.assigned-1)
	}
	item.assignedEngine = ""
	item.submission.unassigned++
}

// unassignAll unassigns all items without a run from an engine that was removed or has restarted.
func (b *Batches) unassignAll(id model.EndpointID) {
	for _, submission := range b.submissions.All() {
		for _, item := range submission.order {
			if item.assignedEngine == id && item.run == nil {
				b.unassign(item)
			}
		}
	}
}
