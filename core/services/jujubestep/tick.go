package jujubestep

import (
	"cmp"
	"slices"
	"time"
)

// Tick returns the actions to execute now: those caused by events since the last tick, then score requests, then starts.
func (s *Steps) Tick(now time.Time) []Action {
	s.expireKnownAttempts(now)
	var queues [][]*sample
	for key, p := range s.parts.All() {
		s.expirePart(now, p)
		if !p.endedAt.IsZero() && now.Sub(p.endedAt) >= s.settings.PartRetention {
			s.endPart(now, p, CauseExpired, false)
			s.parts.Delete(key)
			continue
		}
		if queue := s.scheduleSamples(now, p); len(queue) > 0 {
			queues = append(queues, queue)
		}
	}
	s.startQueues(queues)
	actions := s.pendingActions
	s.pendingActions = nil
	return actions
}

// scheduleSamples requests due scores and returns the samples to start: those of the groups with the fewest unfinished
// samples first, because these can be delivered next, then in the order of the request. The length of a sample isn't known
// before it ends, so longest-first isn't possible. If no sample has to start, stragglers get a hedged run.
func (s *Steps) scheduleSamples(now time.Time, p *part) []*sample {
	type candidate struct {
		unfinished int
		sample     *sample
	}
	var candidates []candidate
	for _, g := range p.groups {
		if g.state != groupOpen {
			continue
		}
		unfinished := g.unfinishedSamples()
		for _, sm := range g.samples {
			switch st := sm.winner; {
			case st != nil:
				if p.scorer != "" && !st.scored && !st.scoreRequested && !now.Before(st.scoreRetryAt) {
					st.scoreRequested = true
					s.emit(ScoreSample{Stream: st.id, Scorer: p.scorer, Prompt: g.prompt})
				}
			case len(sm.streams) > 0:
				s.discardStalledStreams(now, p, sm)
			case !now.Before(sm.notBefore) && !now.Before(p.resumeUntil):
				candidates = append(candidates, candidate{unfinished, sm})
			}
		}
	}
	if len(candidates) == 0 {
		return s.selectStragglers(now, p)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.unfinished, b.unfinished) })
	queue := make([]*sample, len(candidates))
	for i, c := range candidates {
		queue[i] = c.sample
	}
	return queue
}

// discardStalledStreams discards streams that have reported nothing for StallTimeout, as if their connection had broken.
func (s *Steps) discardStalledStreams(now time.Time, p *part, sm *sample) {
	for index := len(sm.streams) - 1; index >= 0; index-- { // backwards, because discardStream removes the stream from the slice
		st := sm.streams[index]
		if st.state == streamRunning && now.Sub(st.lastReportAt) >= s.settings.StallTimeout {
			s.discardStream(p, st, CauseLost)
			s.scheduleRetry(now, st, 0)
		}
	}
}

// startQueues starts samples round-robin over the parts until MaxStarting streams are starting.
func (s *Steps) startQueues(queues [][]*sample) {
	if len(queues) == 0 {
		return
	}
	s.roundRobin++
	for round := 0; s.starting < s.settings.MaxStarting; round++ {
		progressed := false
		for i := range queues {
			queue := queues[(s.roundRobin+i)%len(queues)]
			if round >= len(queue) || s.starting >= s.settings.MaxStarting {
				continue
			}
			progressed = true
			s.startSample(queue[round])
		}
		if !progressed {
			return
		}
	}
}

func (s *Steps) startSample(sm *sample) {
	st := &stream{id: s.newStreamID(sm), sample: sm, hedged: len(sm.streams) > 0}
	action := s.newStartStream(st, false)
	if st.hedged {
		sm.part.hedgedRuns++
		if first := sm.streams[0].endpoint; first != "" {
			action.Avoid = append(action.Avoid, first)
		}
	}
	s.addStream(st)
	s.emit(action)
}

// selectStragglers returns the samples of a part that get a hedged run. The new run is assumed to generate as many tokens as
// the running one is expected to. Slow engines therefore cause hedged runs and long texts don't: otherwise the first to
// finish would bias the samples towards short texts. An empty queue and few starting streams stand in for free slots; the
// router has the exact numbers and checks again. A stream is considered only once it has run longer than the mean of the
// finished ones: before that, its rate mostly reflects the evaluation of the prompt.
func (s *Steps) selectStragglers(now time.Time, p *part) []*sample {
	minFinished := min(s.settings.HedgeMinSamples, max(1, p.sampleCount/4))
	if p.lengths.count() < minFinished || s.starting > s.settings.MaxStarting/8 {
		return nil
	}
	available := max(1, int(s.settings.HedgeShare*float64(p.sampleCount))) - p.hedgedRuns
	var stragglers []*sample
	for _, g := range p.groups {
		if g.state != groupOpen || g.unfinishedSamples() > max(1, len(g.samples)/4) {
			continue
		}
		for _, sm := range g.samples {
			if len(stragglers) >= available {
				return stragglers
			}
			if len(sm.streams) != 1 || sm.streams[0].state != streamRunning {
				continue
			}
			st := sm.streams[0]
			if now.Sub(st.startedAt) < p.lengths.meanDuration() {
				continue
			}
			length := p.lengths.expectedTokens(st.tokens, p.maxTokens)
			remaining := remainingTime(now.Sub(st.startedAt), st.tokens, length)
			if remaining > time.Duration(s.settings.HedgeFactor*float64(p.lengths.expectedDuration(length))) {
				stragglers = append(stragglers, sm)
			}
		}
	}
	return stragglers
}

// remainingTime extrapolates from the stream's own rate. A stream without tokens counts as having one.
func remainingTime(age time.Duration, tokens, length int) time.Duration {
	perToken := age / time.Duration(max(tokens, 1))
	return perToken * time.Duration(max(length-tokens, 0))
}
