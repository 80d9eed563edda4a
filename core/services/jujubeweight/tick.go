package jujubeweight

import (
	"cmp"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Tick returns the orders to send now. Only the leader orders.
func (w *Rollout) Tick(now time.Time) []model.Order {
	w.now = now
	for _, e := range w.engines.All() {
		if e.order != nil && now.Sub(e.order.sent) >= w.swapTimeout(e) {
			w.fail(now, e)
		}
	}
	if now.Sub(w.lastTick) > w.settings.Settle {
		w.leadSince = now
	}
	w.lastTick = now
	if !w.leading || now.Sub(w.leadSince) < w.settings.Settle {
		return nil
	}
	var orders []model.Order
	for name, t := range w.targets.All() {
		orders = append(orders, w.tickModel(name, t)...)
	}
	return orders
}

func (w *Rollout) tickModel(name model.ModelName, t *target) []model.Order {
	var candidates []*engine
	present, busy := 0, 0
	for _, e := range w.engines.All() {
		if e.report.Model != name {
			continue
		}
		if w.present(e) {
			present++
		}
		if w.busy(e) {
			busy++
		} else if !e.leaving && w.now.Sub(e.measured) < w.settings.OrderAge && e.report.Version < t.version &&
			!w.now.Before(e.notBefore) {
			candidates = append(candidates, e)
		}
	}
	count, _ := w.allowed(name, t, present)
	count = min(count-busy, len(candidates))
	if count <= 0 {
		return nil
	}
	slices.SortStableFunc(candidates, before)
	var orders []model.Order
	for _, e := range candidates[:t.window.take(w.now, count)] {
		e.order = &order{version: t.version, fence: w.fence, sent: w.now, targetBefore: e.report.Target}
		if e.report.Swapping {
			e.swapSeen = w.now
		}
		orders = append(orders, model.Order{Endpoint: e.report.Endpoint, Model: name, Version: t.version, Fence: w.fence})
	}
	return orders
}

// before puts the engine with the oldest weights first: its samples are the next that become too old, or its slots are
// lost already. Among equals the one with the least load is first, because a swap interrupts fewer streams there.
func before(a, b *engine) int {
	return cmp.Or(
		cmp.Compare(a.report.Version, b.report.Version),
		cmp.Compare(a.report.Running+a.report.Waiting, b.report.Running+b.report.Waiting),
		cmp.Compare(a.report.Endpoint, b.report.Endpoint),
	)
}
