// Package jujubeweight decides which engines are ordered to load new weights, and when.
package jujubeweight

import (
	"cmp"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// Settings are the periods of the package; zero fields get the defaults given here.
type Settings struct {
	// ReportTTL (10 s) is the age of a report above which its engine no longer counts as serving.
	ReportTTL time.Duration
	// MaxReportAge (2 s) is the age of a report above which its engine gets no order. It must exceed the interval of the reports.
	// A former leader that doesn't know it was replaced could otherwise order a version below the one that the engine has
	// now. MaxReportAge plus the delay of the fastest report plus the delay of an order must be shorter than the shortest swap:
	// then either a report from before the swap is too old, or the order arrives before the swap ends.
	MaxReportAge time.Duration
	// SettleTime (1 s) is how long a new leader, or one whose ticks paused for longer than this, waits for reports that show the
	// orders of another leader.
	SettleTime time.Duration
	// RetryDelay (1 s) doubles with each failed swap of an engine up to MaxRetryDelay (30 s).
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// OverloadDelay (200 ms) delays the next order to an engine that responded that the store is overloaded.
	OverloadDelay time.Duration
	// SwapTimeout (60 s) is used for models whose limits don't set one.
	SwapTimeout time.Duration
}

func (s Settings) withDefaults() Settings {
	s.ReportTTL = cmp.Or(s.ReportTTL, 10*time.Second)
	s.MaxReportAge = cmp.Or(s.MaxReportAge, 2*time.Second)
	s.SettleTime = cmp.Or(s.SettleTime, time.Second)
	s.RetryDelay = cmp.Or(s.RetryDelay, time.Second)
	s.MaxRetryDelay = cmp.Or(s.MaxRetryDelay, 30*time.Second)
	s.OverloadDelay = cmp.Or(s.OverloadDelay, 200*time.Millisecond)
	s.SwapTimeout = cmp.Or(s.SwapTimeout, time.Minute)
	return s
}

// Rollout holds the weight versions of all engines. Each instance applies reports and announcements; only the leader sends
// orders. It is not safe for concurrent use.
type Rollout struct {
	settings     Settings
	limits       model.Limits
	engines      *jujubetable.Table[model.EndpointID, *engine]
	targets      *jujubetable.Table[model.ModelName, *target]
	leading      bool
	fencingToken int64
	// highestSeenToken is the highest fencing token of another leader that an engine named in a refusal. This instance leads
	// only with a higher one.
	highestSeenToken int64
	leadingSince     time.Time
	lastTick         time.Time
	// now is the time of the latest call.
	now time.Time
}

// target is the newest announced version of a model.
type target struct {
	version model.WeightVersion
	window  swapWindow
}

// engine is an endpoint that has reported a model.
type engine struct {
	report model.LoadReport // the newest one, by incarnation and At
	// measuredAt is the report's At, converted to this instance's clock with clockOffset: the highest difference seen between
	// At and the time of receipt, that is, the one of the report with the shortest delay. A delayed report is thereby
	// recognised as old.
	measuredAt  time.Time
	clockOffset time.Duration
	// leaving stays true within an incarnation.
	leaving bool
	// swapSeenAt is when the swap in the report was first seen; zero while the report shows none.
	swapSeenAt time.Time
	// pending is the order whose outcome no report shows yet, or nil.
	pending   *pendingOrder
	failures  int
	notBefore time.Time
}

// pendingOrder is an order that counts as a swap until a report shows its outcome.
type pendingOrder struct {
	version      model.WeightVersion
	fencingToken int64
	sentAt       time.Time
	// targetBefore is the target that the engine reported when the order was sent: a higher one shows that it accepted the
	// order.
	targetBefore model.WeightVersion
	// accepted is set once a response or a report shows that the engine accepted the order. Reports measured after
	// acceptedAt, by the engine's clock, show its outcome.
	accepted   bool
	acceptedAt time.Time
}

// New returns a Rollout without engines that doesn't lead.
func New(settings Settings) *Rollout {
	return &Rollout{
		settings: settings.withDefaults(),
		engines:  jujubetable.New[model.EndpointID, *engine](),
		targets:  jujubetable.New[model.ModelName, *target](),
	}
}

// SetLimits applies new limits and drops the targets of models that were removed.
func (r *Rollout) SetLimits(limits model.Limits) {
	r.limits = limits
	for name := range r.targets.All() {
		if _, ok := limits.Models[name]; !ok {
			r.targets.Delete(name)
		}
	}
}

// SetTargetVersion sets a model's newest version. Lower versions, from delayed messages, and unknown models are ignored; the
// trainer repeats its version in each pull. Engines whose retry is delayed after a failure get the newer version without
// waiting.
func (r *Rollout) SetTargetVersion(now time.Time, name model.ModelName, version model.WeightVersion) {
	r.now = now
	limits, ok := r.limits.Models[name]
	if !ok {
		return
	}
	t, ok := r.targets.Get(name)
	if !ok {
		t = &target{window: newSwapWindow(limits.MaxSwapping)}
		r.targets.Put(name, t)
	}
	if version <= t.version {
		return
	}
	t.version = version
	for _, e := range r.engines.All() {
		if e.report.Model == name {
			e.failures, e.notBefore = 0, time.Time{}
		}
	}
}

// HasOutstandingOrder reports whether an engine has an order whose outcome no report shows yet.
func (r *Rollout) HasOutstandingOrder(id model.EndpointID) bool {
	e, ok := r.engines.Get(id)
	return ok && e.pending != nil
}

// RemoveEndpoint removes an engine.
func (r *Rollout) RemoveEndpoint(id model.EndpointID) { r.engines.Delete(id) }

// SetLeading sets whether this instance leads. It doesn't lead with a fencing token that an engine has already refused.
func (r *Rollout) SetLeading(now time.Time, leading bool, fencingToken int64) {
	r.now = now
	leading = leading && fencingToken > r.highestSeenToken
	if leading && (!r.leading || fencingToken != r.fencingToken) {
		r.leadingSince = now
	}
	r.leading, r.fencingToken = leading, fencingToken
}

// Leading reports whether this instance sends orders now. It becomes false as soon as an engine refuses the fencing token:
// the owner of the lease learns of that here, together with the highest token that the engines know.
func (r *Rollout) Leading() (leading bool, highestToken int64) {
	return r.leading, max(r.highestSeenToken, r.fencingToken)
}

// Progress is the state of a model's rollout.
type Progress struct {
	model.RolloutStatus
	// Serving counts the engines that neither leave nor swap and whose report is recent.
	Serving int
	// Waiting counts the engines below the target version without an order.
	Waiting int
	// Window is how many engines may swap concurrently now; it shrinks while the store is overloaded.
	Window int
	// MinServingUnmet is true when any swap leaves fewer engines than MinServing; engines then swap one at a time.
	MinServingUnmet bool
}

// Progress returns the state of a model's rollout as of the latest call that passed a time.
func (r *Rollout) Progress(name model.ModelName) Progress {
	progress := Progress{RolloutStatus: model.RolloutStatus{Model: name}}
	t, ok := r.targets.Get(name)
	if !ok {
		return progress
	}
	progress.Target = t.version
	available := 0
	for _, e := range r.engines.All() {
		if e.report.Model != name {
			continue
		}
		progress.Engines++
		if r.isAvailable(e) {
			available++
			if !r.isSwapping(e) {
				progress.Serving++
			}
		}
		switch {
		case e.report.Version >= t.version:
			progress.Current++
		case r.isSwapping(e):
			progress.Swapping++
		case e.failures > 0:
			progress.Failed++
		case !e.leaving:
			progress.Waiting++
		}
	}
	progress.Window, progress.MinServingUnmet = r.maxConcurrentSwaps(name, t, available)
	return progress
}

// maxConcurrentSwaps returns how many of a model's engines may swap concurrently. With too few engines to keep MinServing it
// is one: waiting for more engines could block the rollout forever, and with old weights all samples become too old.
func (r *Rollout) maxConcurrentSwaps(name model.ModelName, t *target, available int) (count int, minServingUnmet bool) {
	limits := r.limits.Models[name]
	spare := available - limits.MinServing
	return max(1, min(t.window.size(), limits.MaxSwapping, spare)), spare < 1
}

// isAvailable reports whether an engine serves, or will serve after its swap. A swap that timed out isn't expected to end.
func (r *Rollout) isAvailable(e *engine) bool {
	return !e.leaving && r.now.Sub(e.measuredAt) < r.settings.ReportTTL && (!e.report.Swapping || r.isSwapping(e))
}

// isSwapping reports whether an engine counts as swapping, because of its report or of an order that isn't in a report yet. A
// swap that exceeds the timeout doesn't count, so that it doesn't block the others.
func (r *Rollout) isSwapping(e *engine) bool {
	timeout := r.swapTimeout(e)
	return e.pending != nil && r.now.Sub(e.pending.sentAt) < timeout || e.report.Swapping && r.now.Sub(e.swapSeenAt) < timeout
}

func (r *Rollout) swapTimeout(e *engine) time.Duration {
	return cmp.Or(r.limits.Models[e.report.Model].SwapTimeout, r.settings.SwapTimeout)
}
