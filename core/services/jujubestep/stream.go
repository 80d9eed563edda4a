package jujubestep

import (
	"math"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// StreamStarted records that an engine runs the stream.
func (s *Steps) StreamStarted(now time.Time, id model.StreamID, endpoint model.EndpointID) {
	st := s.streams[id]
	if st == nil || st.state != streamStarting {
		return
	}
	s.starting--
	st.state, st.endpoint, st.started, st.heard = streamRunning, endpoint, now, now
	st.sample.part.ran = true
}

// Progress records that tokens [from, to) were generated with a version. Labels come from these reports alone. A chunk
// that repeats tokens with the same version has no effect; the adapter must not keep its text twice.
func (s *Steps) Progress(now time.Time, id model.StreamID, from, to int, version model.WeightVersion) {
	st := s.streams[id]
	if st == nil || st.state == streamFinished || from < 0 || to <= from {
		return
	}
	s.StreamStarted(now, id, st.endpoint)
	p := st.sample.part
	st.generated, st.heard = max(st.generated, to), now
	switch {
	case version <= 0:
		s.discardFaulty(now, p, st, CauseUnlabelled)
	case from > st.tokens:
		s.discardFaulty(now, p, st, CauseLabelGap)
	case from < st.tokens && !st.repeats(from, to, version):
		s.discardFaulty(now, p, st, CauseLabelOverlap)
	case from == st.tokens:
		st.extend(to, version)
		if version < p.floor {
			s.discardFaulty(now, p, st, CauseStale)
		}
	}
}

// repeats tells whether [from, to) is known with this very version.
func (st *stream) repeats(from, to int, version model.WeightVersion) bool {
	for _, label := range st.labels {
		if label.From <= from && to <= label.To {
			return label.Version == version
		}
	}
	return false
}

func (st *stream) extend(to int, version model.WeightVersion) {
	if last := len(st.labels) - 1; last >= 0 && st.labels[last].Version == version {
		st.labels[last].To = to
	} else {
		st.labels = append(st.labels, model.Label{Version: version, From: st.tokens, To: to})
	}
	if st.oldest == 0 || version < st.oldest {
		st.oldest = version
	}
	st.tokens = to
}

// Ended records the end of a stream. The first finished stream of a sample wins.
func (s *Steps) Ended(now time.Time, id model.StreamID, end StreamEnd) {
	st := s.streams[id]
	if st == nil || st.state == streamFinished {
		return
	}
	sm := st.sample
	p := sm.part
	switch {
	case end.Code == jujubeerror.CodeQuarantined:
		s.remove(p, st, CauseRefused)
		s.failGroup(p, sm.group, end.Code, end.Message)
	case end.Kind == EndFinished && st.tokens == 0:
		s.remove(p, st, CauseUnlabelled)
		s.retry(now, st, end.RetryAfter)
	case end.Kind == EndFinished && end.Tokens != st.tokens:
		s.remove(p, st, CauseLabelGap)
		s.retry(now, st, end.RetryAfter)
	case end.Kind == EndFinished:
		s.win(now, p, st)
	case end.Kind == EndLost:
		s.discard(p, st, CauseLost)
		s.retry(now, st, end.RetryAfter)
	case end.Kind == EndRefused:
		s.remove(p, st, CauseRefused)
		s.retry(now, st, end.RetryAfter)
	default:
		s.remove(p, st, CauseFailed)
		s.retry(now, st, end.RetryAfter)
	}
}

func (s *Steps) win(now time.Time, p *part, st *stream) {
	sm := st.sample
	s.leaveStarting(st)
	s.leaveSecond(p, st)
	st.state = streamFinished
	sm.winner = st
	others := slices.DeleteFunc(slices.Clone(sm.streams), func(other *stream) bool { return other == st })
	for _, other := range others {
		s.discard(p, other, CauseLoserOfSecondRun)
	}
	sm.streams, sm.failures = nil, 0
	if !st.resumed {
		p.lengths.add(st.tokens, now.Sub(st.started))
	}
}

// Scored records a score or a failure to score; failures are retried until the part's deadline.
func (s *Steps) Scored(now time.Time, id model.StreamID, score float64, err error) {
	st := s.streams[id]
	if st == nil || !st.asked || st.scored {
		return
	}
	st.asked = false
	refused, _ := jujubeerror.IsErrRefused(err)
	switch {
	case refused.Code == jujubeerror.CodeQuarantined:
		s.failGroup(st.sample.part, st.sample.group, refused.Code, refused.Message)
	case err != nil || math.IsNaN(score) || math.IsInf(score, 0):
		// JSON has no form for NaN and infinities, so such a score could never be delivered.
		st.scoreFails++
		st.scoreAfter = now.Add(max(refused.RetryAfter, s.backoff(st.scoreFails)))
	default:
		st.scored, st.score = true, score
	}
}

// discardFaulty cancels a stream because of what its engine reported and avoids that engine in the next try.
func (s *Steps) discardFaulty(now time.Time, p *part, st *stream, cause Cause) {
	s.discard(p, st, cause)
	s.retry(now, st, 0)
}

// discard drops a stream; if it still runs, it is cancelled.
func (s *Steps) discard(p *part, st *stream, cause Cause) {
	if st.state != streamFinished {
		s.emit(CancelStream{Stream: st.id, Endpoint: st.endpoint, Cause: cause})
	}
	s.remove(p, st, cause)
}

// remove takes a stream out of the tables and reports its tokens as discarded.
func (s *Steps) remove(p *part, st *stream, cause Cause) {
	p.discarded[cause]++
	s.emit(Discarded{Stream: st.id, Cause: cause, Tokens: st.generated})
	s.forget(p, st)
}

// forget takes a stream out of the tables and lets its text go.
func (s *Steps) forget(p *part, st *stream) {
	s.leaveStarting(st)
	s.leaveSecond(p, st)
	sm := st.sample
	if sm.winner == st {
		sm.winner = nil
	}
	sm.streams = slices.DeleteFunc(sm.streams, func(other *stream) bool { return other == st })
	delete(s.streams, st.id)
	s.emit(ForgetStream{Stream: st.id})
}

// dropAll drops all streams of a sample. Samples of handed out groups may have been taken and are not counted as
// discarded.
func (s *Steps) dropAll(p *part, sm *sample, cause Cause, detach bool) {
	for _, st := range slices.Clone(sm.all()) {
		switch {
		case sm.group.state == groupHanded:
			s.forget(p, st)
		case detach && st.state != streamFinished:
			s.emit(CancelStream{Stream: st.id, Endpoint: st.endpoint, Cause: cause, Detach: true})
			s.remove(p, st, cause)
		default:
			s.discard(p, st, cause)
		}
	}
}

func (s *Steps) leaveStarting(st *stream) {
	if st.state == streamStarting {
		s.starting--
		st.state = streamRunning
	}
}

func (s *Steps) leaveSecond(p *part, st *stream) {
	if st.second {
		p.second--
		st.second = false
	}
}

func (s *Steps) failGroup(p *part, g *group, code, message string) {
	if g.state != groupOpen {
		return
	}
	for _, sm := range g.samples {
		s.dropAll(p, sm, CauseGroupFailed, false)
	}
	g.state, g.samples = groupFailed, nil
	p.failed = append(p.failed, model.FailedGroup{Group: g.number, Code: code, Message: message})
}

// retry delays the next try of a sample after a failure and avoids the engine that failed.
func (s *Steps) retry(now time.Time, st *stream, after time.Duration) {
	sm := st.sample
	sm.failures++
	sm.notBefore = now.Add(max(after, s.backoff(sm.failures)))
	if st.endpoint != "" && !slices.Contains(sm.avoid, st.endpoint) {
		sm.avoid = append(sm.avoid, st.endpoint)
		sm.avoid = sm.avoid[max(0, len(sm.avoid)-maxAvoid):]
	}
}

func (s *Steps) backoff(failures int) time.Duration {
	delay := s.settings.RetryDelay
	for range failures - 1 {
		if delay *= 2; delay >= s.settings.MaxRetryDelay {
			return s.settings.MaxRetryDelay
		}
	}
	return delay
}
