package jujubebatch

import "time"

// isEngineSilent reports whether an engine whose gateway is this instance has emitted no event of any run within the limit.
// A run that is queued there isn't stalled while others get events.
func (s *Scheduler) isEngineSilent(now time.Time, r *run, limit time.Duration) bool {
	e, ok := s.engines.Get(r.engine)
	return ok && e.gateway == s.self && now.Sub(e.lastEventAt) > limit && now.Sub(r.lastEventAt) > limit
}

const (
	// silenceLimitEvents is how many baseline intervals an engine may be silent for. Weight loads and full memory delay its
	// streams by that much.
	silenceLimitEvents = 10
	// maxSilenceLimit bounds the silence limit. Callers of streams give up after 2 s, and steps have to be done in 7 s.
	maxSilenceLimit = 4 * time.Second
)

// silenceLimit returns how long a run's engine may emit no event. It is longer if the engine's or the fleet's baseline is.
func (s *Scheduler) silenceLimit(r *run, fleet fleetIntervals) time.Duration {
	limit := s.settings.SilenceTimeout
	if e, ok := s.engines.Get(r.engine); ok {
		limit = max(limit, e.minSilenceLimit, silenceLimitEvents*max(e.intervals.baseline, fleet.goodBaseline))
	}
	return min(limit, max(maxSilenceLimit, s.settings.SilenceTimeout))
}

// avoidEngine delays new runs on the run's engine.
func (s *Scheduler) avoidEngine(now time.Time, r *run, backoff time.Duration) {
	if e, ok := s.engines.Get(r.engine); ok {
		e.avoidUntil = now.Add(backoff)
	}
}

// avoidSilentEngine delays new runs on an engine that accepts requests but doesn't respond to them. The delay grows each
// time, because each attempt costs its items the whole timeout. Runs that stall together count once.
func (s *Scheduler) avoidSilentEngine(now time.Time, r *run) {
	e, ok := s.engines.Get(r.engine)
	if !ok || now.Before(e.avoidUntil) {
		return
	}
	e.avoidUntil = now.Add(min(s.settings.FailureBackoff<<min(e.stalls, 4), s.settings.MaxFailureBackoff))
	e.stalls++
}
