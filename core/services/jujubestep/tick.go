package jujubestep

import (
	"cmp"
	"slices"
	"time"
)

// Tick returns what is to be done now: what the events since the last tick led to, then scores, then starts.
func (s *Steps) Tick(now time.Time) []Action {
	s.expireFences(now)
	var queues [][]*sample
	for key, p := range s.parts.All() {
		s.expire(now, p)
		if !p.ended.IsZero() && now.Sub(p.ended) >= s.settings.Retain {
			s.end(now, p, CauseExpired, false)
			s.parts.Delete(key)
			continue
		}
		if queue := s.scan(now, p); len(queue) > 0 {
			queues = append(queues, queue)
		}
	}
	s.startQueues(queues)
	actions := s.pending
	s.pending = nil
	return actions
}

// scan asks for due scores and returns the samples to start, in order: groups with the fewest missing samples first,
// because they are the next that can be delivered, then the order of the request. The length of a sample isn't known
// before it ends, so that longest first isn't possible. Without any sample to start, stragglers get a second run.
func (s *Steps) scan(now time.Time, p *part) []*sample {
	type candidate struct {
		missing int
		sample  *sample
	}
	var candidates []candidate
	for _, g := range p.groups {
		if g.state != groupOpen {
			continue
		}
		missing := g.missing()
		for _, sm := range g.samples {
			switch st := sm.winner; {
			case st != nil:
				if p.scorer != "" && !st.scored && !st.asked && !now.Before(st.scoreAfter) {
					st.asked = true
					s.emit(ScoreSample{Stream: st.id, Scorer: p.scorer, Prompt: g.prompt})
				}
			case len(sm.streams) > 0:
				s.dropStalled(now, p, sm)
			case !now.Before(sm.notBefore) && !now.Before(p.holdUntil):
				candidates = append(candidates, candidate{missing, sm})
			}
		}
	}
	if len(candidates) == 0 {
		return s.stragglers(now, p)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.missing, b.missing) })
	queue := make([]*sample, len(candidates))
	for i, c := range candidates {
		queue[i] = c.sample
	}
	return queue
}

// dropStalled ends streams that have reported nothing for too long, as if their connection had broken.
func (s *Steps) dropStalled(now time.Time, p *part, sm *sample) {
	for at := len(sm.streams) - 1; at >= 0; at-- { // backwards, because discard removes the stream from the slice
		st := sm.streams[at]
		if st.state == streamRunning && now.Sub(st.heard) >= s.settings.StallTimeout {
			s.discard(p, st, CauseLost)
			s.retry(now, st, 0)
		}
	}
}

// startQueues starts samples of the parts in turn until MaxStarting streams are starting.
func (s *Steps) startQueues(queues [][]*sample) {
	if len(queues) == 0 {
		return
	}
	s.turn++
	for round := 0; s.starting < s.settings.MaxStarting; round++ {
		progressed := false
		for i := range queues {
			queue := queues[(s.turn+i)%len(queues)]
			if round >= len(queue) || s.starting >= s.settings.MaxStarting {
				continue
			}
			progressed = true
			s.start(queue[round])
		}
		if !progressed {
			return
		}
	}
}

func (s *Steps) start(sm *sample) {
	st := &stream{id: s.newID(sm), sample: sm, second: len(sm.streams) > 0}
	action := s.startAction(st, false)
	if st.second {
		sm.part.second++
		if first := sm.streams[0].endpoint; first != "" {
			action.Avoid = append(action.Avoid, first)
		}
	}
	s.add(st)
	s.emit(action)
}

// stragglers returns the samples of a part that get a second run. A new run is taken to generate as many tokens as the
// running one is expected to: slow engines cause second runs, long answers don't, since the first to finish would
// otherwise shift the samples towards short answers. An empty queue and few starting streams stand for
// free slots, which the router knows better and checks again. A stream is judged only once it has run longer than the
// mean of the finished ones: before, its rate is mostly that of the prompt's evaluation.
func (s *Steps) stragglers(now time.Time, p *part) []*sample {
	basis := min(s.settings.SecondRunBasis, max(1, p.samples/4))
	if p.lengths.count() < basis || s.starting > s.settings.MaxStarting/8 {
		return nil
	}
	free := max(1, int(s.settings.SecondRunShare*float64(p.samples))) - p.second
	var chosen []*sample
	for _, g := range p.groups {
		if g.state != groupOpen || g.missing() > max(1, len(g.samples)/4) {
			continue
		}
		for _, sm := range g.samples {
			if len(chosen) >= free {
				return chosen
			}
			if len(sm.streams) != 1 || sm.streams[0].state != streamRunning {
				continue
			}
			st := sm.streams[0]
			if now.Sub(st.started) < p.lengths.mean() {
				continue
			}
			length := p.lengths.expect(st.tokens, p.maxTokens)
			remaining := remainingTime(now.Sub(st.started), st.tokens, length)
			if remaining > time.Duration(s.settings.SecondRunFactor*float64(p.lengths.duration(length))) {
				chosen = append(chosen, sm)
			}
		}
	}
	return chosen
}

// remainingTime extrapolates a stream's own rate; without any token the age of the stream stands for one token.
func remainingTime(age time.Duration, tokens, length int) time.Duration {
	perToken := age / time.Duration(max(tokens, 1))
	return perToken * time.Duration(max(length-tokens, 0))
}
