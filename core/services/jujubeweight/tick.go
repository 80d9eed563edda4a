package jujubeweight

import (
	"cmp"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Tick returns the orders to send now. Only the leader sends orders.
func (r *Rollout) Tick(now time.Time) []model.Order {
	r.now = now
	for _, e := range r.engines.All() {
		if e.pending != nil && now.Sub(e.pending.sentAt) >= r.swapTimeout(e) {
			r.failOrder(now, e)
		}
	}
	if now.Sub(r.lastTick) > r.settings.SettleTime {
		r.leadingSince = now
	}
	r.lastTick = now
	if !r.leading || now.Sub(r.leadingSince) < r.settings.SettleTime {
		return nil
	}
	var orders []model.Order
	for name, t := range r.targets.All() {
		orders = append(orders, r.ordersForModel(name, t)...)
	}
	return orders
}

func (r *Rollout) ordersForModel(name model.ModelName, t *target) []model.Order {
	var candidates []*engine
	available, swapping := 0, 0
	for _, e := range r.engines.All() {
		if e.report.Model != name {
			continue
		}
		if r.isAvailable(e) {
			available++
		}
		if r.isSwapping(e) {
			swapping++
		} else if !e.leaving && r.now.Sub(e.measuredAt) < r.settings.MaxReportAge && e.report.Version < t.version &&
			!r.now.Before(e.notBefore) {
			candidates = append(candidates, e)
		}
	}
	count, _ := r.maxConcurrentSwaps(name, t, available)
	count = min(count-swapping, len(candidates))
	if count <= 0 {
		return nil
	}
	slices.SortStableFunc(candidates, compareCandidates)
	var orders []model.Order
	for _, e := range candidates[:t.window.admit(r.now, count)] {
		e.pending = &pendingOrder{version: t.version, fencingToken: r.fencingToken, sentAt: r.now, targetBefore: e.report.Target}
		if e.report.Swapping {
			e.swapSeenAt = r.now
		}
		orders = append(orders, model.Order{Endpoint: e.report.Endpoint, Model: name, Version: t.version, Fence: r.fencingToken})
	}
	return orders
}

// compareCandidates orders engines by version, oldest first: their samples are the next to become too old, or their slots are
// already unusable. Among equals the least loaded engine is first, because a swap interrupts fewer streams there.
func compareCandidates(a, b *engine) int {
	return cmp.Or(
		cmp.Compare(a.report.Version, b.report.Version),
		cmp.Compare(a.report.Running+a.report.Waiting, b.report.Running+b.report.Waiting),
		cmp.Compare(a.report.Endpoint, b.report.Endpoint),
	)
}
