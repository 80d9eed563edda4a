package jujubestep

import (
	"math"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// HandleStreamStart records that an engine has started to run the stream.
func (s *Steps) HandleStreamStart(now time.Time, id model.StreamID, endpoint model.EndpointID) {
	st := s.streams[id]
	if st == nil || st.state != streamStarting {
		return
	}
	s.starting--
	st.state, st.endpoint, st.startedAt, st.lastReportAt = streamRunning, endpoint, now, now
	st.sample.part.hasRun = true
}

// HandleStreamProgress records that tokens [from, to) were generated with a version. Labels are derived from these reports
// alone. A chunk that repeats tokens with the same version has no effect; the caller must not store its text twice.
func (s *Steps) HandleStreamProgress(now time.Time, id model.StreamID, from, to int, version model.WeightVersion) {
	st := s.streams[id]
	if st == nil || st.state == streamFinished || from < 0 || to <= from {
		return
	}
	s.HandleStreamStart(now, id, st.endpoint)
	p := st.sample.part
	st.generated, st.lastReportAt = max(st.generated, to), now
	switch {
	case version <= 0:
		s.discardAndRetry(now, p, st, CauseUnlabelled)
	case from > st.tokens:
		s.discardAndRetry(now, p, st, CauseLabelGap)
	case from < st.tokens && !st.isRepeat(from, to, version):
		s.discardAndRetry(now, p, st, CauseLabelOverlap)
	case from == st.tokens:
		st.appendTokens(to, version)
		if version < p.minVersion {
			s.discardAndRetry(now, p, st, CauseStale)
		}
	}
}

// isRepeat reports whether [from, to) has already been reported with this version.
func (st *stream) isRepeat(from, to int, version model.WeightVersion) bool {
	for _, label := range st.labels {
		if label.From <= from && to <= label.To {
			return label.Version == version
		}
	}
	return false
}

func (st *stream) appendTokens(to int, version model.WeightVersion) {
	if last := len(st.labels) - 1; last >= 0 && st.labels[last].Version == version {
		st.labels[last].To = to
	} else {
		st.labels = append(st.labels, model.Label{Version: version, From: st.tokens, To: to})
	}
	if st.oldestVersion == 0 || version < st.oldestVersion {
		st.oldestVersion = version
	}
	st.tokens = to
}

// HandleStreamEnd records the end of a stream. The first finished stream of a sample is its winner; the others are discarded.
func (s *Steps) HandleStreamEnd(now time.Time, id model.StreamID, end StreamEnd) {
	st := s.streams[id]
	if st == nil || st.state == streamFinished {
		return
	}
	sm := st.sample
	p := sm.part
	switch {
	case end.Code == jujubeerror.CodeQuarantined:
		s.removeDiscarded(p, st, CauseRefused)
		s.failGroup(p, sm.group, end.Code, end.Message)
	case end.Kind == EndFinished && st.tokens == 0:
		s.removeDiscarded(p, st, CauseUnlabelled)
		s.scheduleRetry(now, st, end.RetryAfter)
	case end.Kind == EndFinished && end.Tokens != st.tokens:
		s.removeDiscarded(p, st, CauseLabelGap)
		s.scheduleRetry(now, st, end.RetryAfter)
	case end.Kind == EndFinished:
		s.recordWinner(now, p, st)
	case end.Kind == EndLost:
		s.discardStream(p, st, CauseLost)
		s.scheduleRetry(now, st, end.RetryAfter)
	case end.Kind == EndRefused:
		s.removeDiscarded(p, st, CauseRefused)
		s.scheduleRetry(now, st, end.RetryAfter)
	default:
		s.removeDiscarded(p, st, CauseFailed)
		s.scheduleRetry(now, st, end.RetryAfter)
	}
}

func (s *Steps) recordWinner(now time.Time, p *part, st *stream) {
	sm := st.sample
	s.clearStarting(st)
	s.clearHedged(p, st)
	st.state = streamFinished
	sm.winner = st
	others := slices.DeleteFunc(slices.Clone(sm.streams), func(other *stream) bool { return other == st })
	for _, other := range others {
		s.discardStream(p, other, CauseLostHedge)
	}
	sm.streams, sm.failures = nil, 0
	if !st.resumed {
		p.lengths.add(st.tokens, now.Sub(st.startedAt))
	}
}

// HandleSampleScore records a score or a scoring error; errors are retried until the part's deadline.
func (s *Steps) HandleSampleScore(now time.Time, id model.StreamID, score float64, err error) {
	st := s.streams[id]
	if st == nil || !st.scoreRequested || st.scored {
		return
	}
	st.scoreRequested = false
	refused, _ := jujubeerror.IsErrRefused(err)
	switch {
	case refused.Code == jujubeerror.CodeQuarantined:
		s.failGroup(st.sample.part, st.sample.group, refused.Code, refused.Message)
	case err != nil || math.IsNaN(score) || math.IsInf(score, 0):
		// JSON can't represent NaN and infinities, so such a score could never be delivered.
		st.scoreFailures++
		st.scoreRetryAt = now.Add(max(refused.RetryAfter, s.backoff(st.scoreFailures)))
	default:
		st.scored, st.score = true, score
	}
}

// discardAndRetry discards a stream because of what its engine reported. The next try avoids that engine.
func (s *Steps) discardAndRetry(now time.Time, p *part, st *stream, cause Cause) {
	s.discardStream(p, st, cause)
	s.scheduleRetry(now, st, 0)
}

// discardStream discards a stream and cancels it if it is still running.
func (s *Steps) discardStream(p *part, st *stream, cause Cause) {
	if st.state != streamFinished {
		s.emit(CancelStream{Stream: st.id, Endpoint: st.endpoint, Cause: cause})
	}
	s.removeDiscarded(p, st, cause)
}

// removeDiscarded removes a stream and reports its tokens as discarded.
func (s *Steps) removeDiscarded(p *part, st *stream, cause Cause) {
	p.discarded[cause]++
	s.emit(ReportDiscarded{Stream: st.id, Cause: cause, Tokens: st.generated})
	s.releaseStream(p, st)
}

// releaseStream removes a stream and releases its text.
func (s *Steps) releaseStream(p *part, st *stream) {
	s.clearStarting(st)
	s.clearHedged(p, st)
	sm := st.sample
	if sm.winner == st {
		sm.winner = nil
	}
	sm.streams = slices.DeleteFunc(sm.streams, func(other *stream) bool { return other == st })
	delete(s.streams, st.id)
	s.emit(ForgetStream{Stream: st.id})
}

// discardSample discards all streams of a sample. Samples of delivered groups may have been received and don't count as
// discarded.
func (s *Steps) discardSample(p *part, sm *sample, cause Cause, detach bool) {
	for _, st := range slices.Clone(sm.keptStreams()) {
		switch {
		case sm.group.state == groupDelivered:
			s.releaseStream(p, st)
		case detach && st.state != streamFinished:
			s.emit(CancelStream{Stream: st.id, Endpoint: st.endpoint, Cause: cause, Detach: true})
			s.removeDiscarded(p, st, cause)
		default:
			s.discardStream(p, st, cause)
		}
	}
}

func (s *Steps) clearStarting(st *stream) {
	if st.state == streamStarting {
		s.starting--
		st.state = streamRunning
	}
}

func (s *Steps) clearHedged(p *part, st *stream) {
	if st.hedged {
		p.hedgedRuns--
		st.hedged = false
	}
}

func (s *Steps) failGroup(p *part, g *group, code, message string) {
	if g.state != groupOpen {
		return
	}
	for _, sm := range g.samples {
		s.discardSample(p, sm, CauseGroupFailed, false)
	}
	g.state, g.samples = groupFailed, nil
	p.failedGroups = append(p.failedGroups, model.FailedGroup{Group: g.number, Code: code, Message: message})
}

// scheduleRetry delays the next try of a sample after a failure and adds the failed engine to those to avoid.
func (s *Steps) scheduleRetry(now time.Time, st *stream, after time.Duration) {
	sm := st.sample
	sm.failures++
	sm.notBefore = now.Add(max(after, s.backoff(sm.failures)))
	if st.endpoint != "" && !slices.Contains(sm.avoidEndpoints, st.endpoint) {
		sm.avoidEndpoints = append(sm.avoidEndpoints, st.endpoint)
		sm.avoidEndpoints = sm.avoidEndpoints[max(0, len(sm.avoidEndpoints)-maxAvoidEndpoints):]
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
