package jujubebatch

import (
	"time"

	"jujubepier.example/core/services/jujubeprompt"
)

// maxTrackedParts bounds the parts of prompts that are tracked for each engine. The memory of an engine holds some 60 parts that a
// group shares, and the short parts of the items themselves.
const maxTrackedParts = 512

// prompts holds what this instance assumes about the engines' memory, and the inputs of decisions that depend on it.
type prompts struct {
	memory    jujubeprompt.MemorySettings
	estimator jujubeprompt.Estimator
	policy    jujubeprompt.Policy
	// now is the time of the latest tick or offer.
	now   time.Time
	rates jujubeprompt.Rates
	// following are the run times of the items that are assigned after the present one, in this order; nil if there is none.
	following []time.Duration
	// candidates and choices are buffers of selectBest.
	candidates []engineLoad
	choices    []jujubeprompt.Candidate
}

// engineLoad is an engine with the estimated number of its items.
type engineLoad struct {
	*engine
	load int
}

func newPrompts(settings Settings) prompts {
	policy := settings.PromptPolicy
	if policy == nil {
		policy = jujubeprompt.LeastCost{}
	}
	return prompts{
		memory: jujubeprompt.MemorySettings{MaxParts: maxTrackedParts, MaxAge: settings.PromptRetention},
		policy: policy, rates: jujubeprompt.DefaultRates(),
	}
}

// trackEngine records an engine's weight versions and memory.
func (s *Scheduler) trackEngine(e *engine) {
	for name, version := range e.Versions {
		e.memory.SetVersion(name, version)
	}
	s.setCapacity(e)
}

func (s *Scheduler) setCapacity(e *engine) {
	e.memory.SetCapacity(s.desired.Services[e.Service].CacheTokens)
}

// listRunTimes returns the expected run times of a submission's items that await an engine, in the order in which they are assigned;
// nil if their prompts aren't known or don't matter.
func (s *Scheduler) listRunTimes(now time.Time, submission *submission) []time.Duration {
	if len(submission.items) == 0 || !s.weighsPrompt(&submission.items[0]) {
		return nil
	}
	limit := 0
	for _, e := range s.engines.All() {
		limit += s.maxAssigned(e)
	}
	var times []time.Duration
	for _, at := range s.assignable(submission) {
		if len(times) > 2*limit {
			break
		}
		if item := &submission.items[at]; s.awaitsEngine(now, item) {
			times = append(times, s.prompts.rates.RunTime(item.ExpectedTokens))
		}
	}
	return times
}

// weighsPrompt reports whether the engine of an item depends on its prompt.
func (s *Scheduler) weighsPrompt(item *item) bool {
	_, isByLoad := s.prompts.policy.(jujubeprompt.LoadShare)
	return len(item.Prompt) > 0 && !isByLoad
}

// chooseEngine returns the engine on which an item costs the least time, of those that rank equally; nil if there is none.
func (s *Scheduler) chooseEngine(now time.Time, item *item, engines []engineLoad) *engine {
	switch {
	case len(engines) == 0:
		return nil
	case len(engines) == 1 || !s.weighsPrompt(item):
		return engines[0].engine
	}
	choices := s.prompts.choices[:0]
	for _, e := range engines {
		choices = append(choices, jujubeprompt.Candidate{
			Load: e.load, Slots: e.Slots, Kept: e.memory.Kept(now, item.submission.Model, item.Prompt),
		})
	}
	s.prompts.choices = choices
	request := jujubeprompt.Request{
		PromptTokens: item.Prompt.Tokens(), RunTime: s.prompts.rates.RunTime(item.ExpectedTokens), Following: s.prompts.following,
	}
	return engines[jujubeprompt.Choose(s.prompts.policy, s.prompts.rates, choices, request)].engine
}

// requestTokens returns what an item occupies in an engine's memory.
func (s *Scheduler) requestTokens(item *item) int {
	return item.Prompt.Tokens() + s.prompts.rates.ExpectTokens(item.ExpectedTokens)
}

// hasMemory reports whether an engine with a number of items of all instances has memory for a further one.
func (s *Scheduler) hasMemory(e *engine, item *item, load int) bool {
	others := (load - e.assigned) * s.prompts.rates.RequestTokens
	return e.memory.HasRoom(s.requestTokens(item), others)
}

// sendPrompt records that an item is assigned to an engine.
func (s *Scheduler) sendPrompt(item *item, e *engine) {
	others := s.estimateLoad(s.prompts.now, e) - e.assigned
	e.memory.SetOthers(others * s.prompts.rates.RequestTokens)
	item.modify().promptUse = e.memory.Send(s.prompts.now, item.submission.Model, item.Prompt, s.prompts.rates.ExpectTokens(item.ExpectedTokens))
	s.prompts.estimator.ObserveRequest(s.requestTokens(item))
}

// endPrompt records that an item isn't assigned to its engine any more.
func (s *Scheduler) endPrompt(item *item) {
	if item.promptUse != nil {
		item.promptUse.End(s.prompts.now)
		item.promptUse = nil
	}
}

// confirmPrompt records that an item has reached its engine.
func (it *item) confirmPrompt() {
	if it.promptUse != nil {
		it.promptUse.Confirm()
	}
}

// observeEvent adds an event of a run to the estimates of the rates. Only the gateway of an engine knows how many items run there.
func (s *Scheduler) observeEvent(now time.Time, r *run, e *engine) {
	interval := now.Sub(r.lastEventAt)
	if e.gateway != s.self || e.inFlight > e.Slots || !e.intervals.hasBaseline() ||
		float64(interval) > baselineCutoff*float64(e.intervals.baseline) {
		return
	}
	switch {
	case !r.awaitsFirstEvent:
		s.prompts.estimator.ObserveInterval(float64(interval)/float64(e.intervals.baseline), e.inFlight-1)
	case len(r.item.events) == 0 && r.item.promptUse != nil && len(r.item.Prompt) > 0 && e.intervals.recent > 0:
		s.prompts.estimator.ObserveFirstEvent(interval-e.intervals.recent, r.item.Prompt.Tokens()-r.item.promptUse.Kept)
	}
}
