package jujubeengine

import (
	"context"
	"slices"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

const (
	// bytesPerToken converts the length of a prompt from bytes to tokens.
	bytesPerToken = 4
	// expireInterval limits how often all held streams are scanned for expiry. Most of them are finished, so a scan at each
	// step would be wasted work.
	expireInterval = 50 * time.Millisecond
)

// runGeneration advances generation once per step. It waits for a wake-up while the engine holds no streams.
func (s *Server) runGeneration(ctx context.Context) {
	ticker := time.NewTicker(s.settings.Step)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if s.advanceGeneration(now, now.Sub(last)) {
			last = now
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wakeCh:
			last = time.Now()
		}
	}
}

// wakeGeneration resumes the generation loop; it doesn't block if a wake-up is already pending.
func (s *Server) wakeGeneration() {
	select {
	case s.wakeCh <- struct{}{}:
	default:
	}
}

// advanceGeneration generates the tokens for the elapsed time and reports whether the engine holds streams. During a freeze
// it does nothing and reports true.
func (s *Server) advanceGeneration(now time.Time, elapsed time.Duration) bool {
	faults := s.Faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Freeze {
		return true
	}
	if now.Sub(s.lastExpiry) >= expireInterval {
		s.lastExpiry = now
		s.expireStreams(now)
	}
	s.admitWaiting(now)
	if !s.swapping && !s.crashing {
		work := time.Duration(float64(elapsed) * s.settings.TimeScale / max(1, faults.SlowFactor))
		rate := s.tokenRate()
		for _, stream := range s.running {
			s.generateTokens(stream, work, rate)
		}
		s.releaseSlots(now)
		s.admitWaiting(now)
	}
	return len(s.streams) > 0
}

// generateTokens spends the work time of one stream, first on its prompt and then on tokens, and wakes the connection when
// a chunk is complete or the stream is finished.
func (s *Server) generateTokens(stream *stream, work time.Duration, rate float64) {
	prefill := min(work, stream.prefillRemaining)
	stream.prefillRemaining -= prefill
	stream.tokenProgress += rate * (work - prefill).Seconds()
	count := min(int(stream.tokenProgress), stream.targetLength-stream.produced)
	if count <= 0 {
		return
	}
	stream.tokenProgress -= float64(count)
	chunksBefore := stream.produced / s.settings.ChunkTokens
	stream.appendTokens(count, s.version)
	if stream.produced == stream.targetLength {
		stream.phase = phaseFinished
	}
	if stream.phase == phaseFinished || stream.produced/s.settings.ChunkTokens != chunksBefore {
		stream.notify()
	}
}

// tokenRate returns the tokens per second of one running stream, in engine time.
func (s *Server) tokenRate() float64 {
	return s.settings.TokensPerSecond / (1 + s.settings.BatchSlowdown*float64(max(0, len(s.running)-1)))
}

// enqueue inserts a stream into the queue behind those of the same priority.
func (s *Server) enqueue(now time.Time, added *stream) {
	s.lastArrival++
	added.arrival = s.lastArrival
	added.phase = phaseWaiting
	index, _ := slices.BinarySearchFunc(s.waiting, added, func(a, b *stream) int {
		if a.request.Priority != b.request.Priority {
			return int(a.request.Priority) - int(b.request.Priority)
		}
		return int(a.arrival - b.arrival)
	})
	s.waiting = slices.Insert(s.waiting, index, added)
	s.admitWaiting(now)
	s.recordLoad(now)
	s.wakeGeneration()
}

// admitWaiting moves streams from the head of the queue to free slots.
func (s *Server) admitWaiting(now time.Time) {
	marker := s.Faults.Get().CrashMarker
	changed := false
	for len(s.waiting) > 0 && len(s.running) < s.settings.Slots && !s.crashing {
		stream := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running = append(s.running, stream)
		stream.phase = phaseRunning
		changed = true
		// A resumed stream needs its prompt prefilled again as well: a paused stream has lost its state in the batch.
		if !s.cache.lookupOrInsert(now, stream.request.Prompt) {
			tokens := float64(len(stream.request.Prompt)) / bytesPerToken
			stream.prefillRemaining = time.Duration(tokens / s.settings.PrefillTokensPerSecond * float64(time.Second))
		}
		if marker != "" && strings.Contains(stream.request.Prompt, marker) {
			s.startCrash()
		}
	}
	if changed {
		s.recordLoad(now)
	}
}

// releaseSlots removes streams from the running and waiting lists whose phase has changed.
func (s *Server) releaseSlots(now time.Time) {
	before := len(s.running) + len(s.waiting)
	s.running = slices.DeleteFunc(s.running, func(stream *stream) bool { return stream.phase != phaseRunning })
	s.waiting = slices.DeleteFunc(s.waiting, func(stream *stream) bool { return stream.phase != phaseWaiting })
	if len(s.running)+len(s.waiting) != before {
		s.recordLoad(now)
	}
}

// expireStreams cancels streams whose deadline has passed, pauses unfinished streams whose grace period is over, and drops
// paused or finished streams whose retention time is over.
func (s *Server) expireStreams(now time.Time) {
	grace, keep := s.settings.scaled(s.settings.Grace), s.settings.scaled(s.settings.Keep)
	for id, stream := range s.streams {
		active := stream.phase == phaseWaiting || stream.phase == phaseRunning
		if stream.phase != phaseFinished && !stream.deadline.IsZero() && now.After(stream.deadline) {
			s.cancelStream(id, stream)
			continue
		}
		if stream.connectionID != 0 {
			continue
		}
		detachedFor := now.Sub(stream.detachedAt)
		if active && detachedFor > grace {
			stream.phase = phasePaused
		}
		if !active && detachedFor > max(grace, keep) {
			stream.phase = phaseDropped
			delete(s.streams, id)
		}
	}
	s.releaseSlots(now)
}

// cancelStream finishes a stream early and removes it. Its connection receives a "done" event with ReasonCancelled.
func (s *Server) cancelStream(id model.StreamID, stream *stream) {
	stream.phase, stream.reason = phaseFinished, ReasonCancelled
	delete(s.streams, id)
	stream.notify()
}
