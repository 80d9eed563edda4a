package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedesired"
)

// planItems gives engines to the items that have none, the longest ones first: a step ends with its longest items, and
// right after a new version only some engines can take them.
func (b *Batches) planItems(now time.Time, one *submission, pace fleetPace) {
	if one.unplanned == 0 {
		return
	}
	for _, row := range one.longest {
		if row.planned != "" || row.listed || row.finished || row.unscored != nil || now.Before(row.notBefore) || !b.isOwn(now, row) {
			continue
		}
		route, ok := b.desired.Match(one.Host, row.Path)
		if !ok || b.isOver(now, one, route) {
			continue // its owner lists it as errored
		}
		e := b.choose(now, row, route.Choose(string(row.ID)), route.SingleVersion, pace)
		if e == nil {
			return
		}
		b.plan(row, e)
	}
}

// isOver tells whether the items of a submission may be given up.
func (b *Batches) isOver(now time.Time, one *submission, route *jujubedesired.Route) bool {
	return route.Retention > 0 && now.Sub(one.accepted) > route.Retention
}

func (b *Batches) plan(row *item, e *engine) {
	row.planned = e.ID
	row.of.unplanned--
	e.planned++
}

func (b *Batches) unplan(row *item) {
	if row.planned == "" {
		return
	}
	if e, ok := b.engines.Get(row.planned); ok {
		e.planned = max(0, e.planned-1)
	}
	row.planned = ""
	row.of.unplanned++
}

// unplanAll takes all items from an engine that is gone or has lost what it held.
func (b *Batches) unplanAll(id model.EndpointID) {
	for _, one := range b.submissions.All() {
		for _, row := range one.order {
			if row.planned == id && row.run == nil {
				b.unplan(row)
			}
		}
	}
}
