// Package jujubeweight decides which engines are ordered to load new weights, and when.
package jujubeweight

import (
	"cmp"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Settings are the constants of the package; zero fields get the defaults named here.
type Settings struct {
	// ReportTTL (10 s) is the age of a report from which on its engine doesn't count as serving.
	ReportTTL time.Duration
	// OrderAge (2 s) is the age of a report from which on its engine gets no order. It must exceed the interval of the
	// reports. A former leader that doesn't know it was replaced could otherwise order a version below the engine's
	// present one. OrderAge, the fastest report's way and an order's way together must be shorter than the shortest swap:
	// then a report from before the swap is too old, or the order arrives before the swap ends.
	OrderAge time.Duration
	// Settle (1 s) is how long a new leader, or one whose ticks paused for longer than this, waits for reports that show
	// the orders of another leader.
	Settle time.Duration
	// RetryDelay (1 s) doubles with each failed swap of an engine up to MaxRetryDelay (30 s).
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// OverloadDelay (200 ms) is the pause of an engine's orders after it answered that the store is overloaded.
	OverloadDelay time.Duration
	// SwapTimeout (60 s) is used for models whose limits have none.
	SwapTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	s.ReportTTL = cmp.Or(s.ReportTTL, 10*time.Second)
	s.OrderAge = cmp.Or(s.OrderAge, 2*time.Second)
	s.Settle = cmp.Or(s.Settle, time.Second)
	s.RetryDelay = cmp.Or(s.RetryDelay, time.Second)
	s.MaxRetryDelay = cmp.Or(s.MaxRetryDelay, 30*time.Second)
	s.OverloadDelay = cmp.Or(s.OverloadDelay, 200*time.Millisecond)
	s.SwapTimeout = cmp.Or(s.SwapTimeout, time.Minute)
	return s
}

// Rollout holds the weight versions of all engines. Each instance applies reports and announcements, the leader also
// orders. Its owner serialises the calls.
type Rollout struct {
	settings Settings
	limits   model.Limits
	engines  *jujubetable.Table[model.EndpointID, *engine]
	targets  *jujubetable.Table[model.ModelName, *target]
	leading  bool
	fence    int64
	// stale is the highest fence of another leader that an engine named in a refusal; a leader's own fence is above it.
	stale     int64
	leadSince time.Time
	lastTick  time.Time
	// now is the time of the latest call.
	now time.Time
}

// target is the newest announced version of a model.
type target struct {
	version model.WeightVersion
	window  window
}

// engine is one endpoint that reported a model.
type engine struct {
	report model.LoadReport // the newest one by incarnation and At
	// measured is At in this instance's time. The clocks' difference is taken from skew, the highest At minus time of
	// receipt: the report that travelled fastest. A report that was held up is thereby known to be old.
	measured time.Time
	skew     time.Duration
	// leaving never goes back within an incarnation.
	leaving bool
	// swapSeen is when the swap in the report was first seen; zero while the report shows none.
	swapSeen time.Time
	// order is set while an order is out of which no report tells the outcome yet.
	order     *order
	failures  int
	notBefore time.Time
}

// order is an order that counts as a swap until a report shows otherwise.
type order struct {
	version model.WeightVersion
	fence   int64
	sent    time.Time
	// targetBefore is the engine's reported target when the order was sent: a higher one shows that it was accepted.
	targetBefore model.WeightVersion
	// accepted is set once an answer or a report shows that the engine took the order. Reports measured after
	// acceptedAt, by the engine's clock, tell what became of it.
	accepted   bool
	acceptedAt time.Time
}

// New returns empty tables of an instance that doesn't lead.
func New(settings Settings) *Rollout {
	return &Rollout{
		settings: settings.withDefaults(),
		engines:  jujubetable.New[model.EndpointID, *engine](),
		targets:  jujubetable.New[model.ModelName, *target](),
	}
}

// SetLimits puts new limits in force.
func (w *Rollout) SetLimits(limits model.Limits) {
	w.limits = limits
	for name := range w.targets.All() {
		if _, ok := limits.Models[name]; !ok {
			w.targets.Delete(name)
		}
	}
}

// Announce sets a model's newest version. Lower versions, of late messages, and unknown models have no effect: the
// trainer repeats the number in each pull. Engines that wait after a failure get the newer version at once.
func (w *Rollout) Announce(now time.Time, name model.ModelName, version model.WeightVersion) {
	w.now = now
	limits, ok := w.limits.Models[name]
	if !ok {
		return
	}
	t, ok := w.targets.Get(name)
	if !ok {
		t = &target{window: newWindow(limits.MaxSwapping)}
		w.targets.Put(name, t)
	}
	if version <= t.version {
		return
	}
	t.version = version
	for _, e := range w.engines.All() {
		if e.report.Model == name {
			e.failures, e.notBefore = 0, time.Time{}
		}
	}
}

// IsOrdered tells whether an order to an engine is out of which no report tells the outcome yet.
func (w *Rollout) IsOrdered(id model.EndpointID) bool {
	e, ok := w.engines.Get(id)
	return ok && e.order != nil
}

// RemoveEndpoint forgets an engine.
func (w *Rollout) RemoveEndpoint(id model.EndpointID) { w.engines.Delete(id) }

// Lead sets whether this instance leads. A fence that an engine has already refused doesn't lead.
func (w *Rollout) Lead(now time.Time, leading bool, fence int64) {
	w.now = now
	leading = leading && fence > w.stale
	if leading && (!w.leading || fence != w.fence) {
		w.leadSince = now
	}
	w.leading, w.fence = leading, fence
}

// Leading tells whether this instance orders now. It turns false at once when an engine refuses the fence; the owner of
// the lease learns of it here, together with the highest fence the engines know.
func (w *Rollout) Leading() (leading bool, highestFence int64) {
	return w.leading, max(w.stale, w.fence)
}

// Progress is the state of a model's rollout.
type Progress struct {
	model.RolloutStatus
	// Serving counts the engines that neither leave nor swap and have reported lately.
	Serving int
	// Waiting counts the engines below the target that have no order.
	Waiting int
	// Window is how many engines may swap at once now; it falls when the store is overloaded.
	Window int
	// MinServingUnmet is true when a swap would leave too few engines whatever the order; they swap one at a time.
	MinServingUnmet bool
}

// Progress counts the engines of a model, as of the latest call that had a time.
func (w *Rollout) Progress(name model.ModelName) Progress {
	progress := Progress{RolloutStatus: model.RolloutStatus{Model: name}}
	t, ok := w.targets.Get(name)
	if !ok {
		return progress
	}
	progress.Target = t.version
	present := 0
	for _, e := range w.engines.All() {
		if e.report.Model != name {
			continue
		}
		progress.Engines++
		if w.present(e) {
			present++
			if !w.busy(e) {
				progress.Serving++
			}
		}
		switch {
		case e.report.Version >= t.version:
			progress.Current++
		case w.busy(e):
			progress.Swapping++
		case e.failures > 0:
			progress.Failed++
		case !e.leaving:
			progress.Waiting++
		}
	}
	progress.Window, progress.MinServingUnmet = w.allowed(name, t, present)
	return progress
}

// allowed returns how many of a model's engines may swap at once. With too few engines to keep MinServing, one at a time
// swaps: waiting for more engines could last for ever, and old weights make all samples too old.
func (w *Rollout) allowed(name model.ModelName, t *target, present int) (count int, unmet bool) {
	limits := w.limits.Models[name]
	spare := present - limits.MinServing
	return max(1, min(t.window.size(), limits.MaxSwapping, spare)), spare < 1
}

// present tells whether an engine serves, or will again after its swap. A swap that hangs isn't expected to end.
func (w *Rollout) present(e *engine) bool {
	return !e.leaving && w.now.Sub(e.measured) < w.settings.ReportTTL && (!e.report.Swapping || w.busy(e))
}

// busy tells whether an engine counts as swapping: because of its report, or of an order no report tells of yet. A swap
// that lasts longer than the timeout doesn't block the others any more.
func (w *Rollout) busy(e *engine) bool {
	timeout := w.swapTimeout(e)
	return e.order != nil && w.now.Sub(e.order.sent) < timeout || e.report.Swapping && w.now.Sub(e.swapSeen) < timeout
}

func (w *Rollout) swapTimeout(e *engine) time.Duration {
	return cmp.Or(w.limits.Models[e.report.Model].SwapTimeout, w.settings.SwapTimeout)
}
