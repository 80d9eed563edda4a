package jujubeengine

import (
	"context"
	"slices"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

const (
	// bytesPerToken converts the length of a prompt to tokens.
	bytesPerToken = 4
	// expireInterval spares a walk over all held streams at each step; most of them are finished.
	expireInterval = 50 * time.Millisecond
)

// run advances generation at each step and rests while the engine holds no stream.
func (s *Server) run(ctx context.Context) {
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
		if s.advance(now, now.Sub(last)) {
			last = now
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			last = time.Now()
		}
	}
}

func (s *Server) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// advance generates the tokens of the time that has passed and reports whether the engine holds streams.
func (s *Server) advance(now time.Time, passed time.Duration) bool {
	faults := s.Faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Freeze {
		return true
	}
	if now.Sub(s.expired) >= expireInterval {
		s.expired = now
		s.expire(now)
	}
	s.admit(now)
	if !s.swapping && !s.crashing {
		work := time.Duration(float64(passed) * s.settings.TimeScale / max(1, faults.SlowFactor))
		rate := s.rate()
		for _, stream := range s.running {
			s.generateTokens(stream, work, rate)
		}
		s.free(now)
		s.admit(now)
	}
	return len(s.streams) > 0
}

func (s *Server) generateTokens(stream *stream, work time.Duration, rate float64) {
	read := min(work, stream.prefill)
	stream.prefill -= read
	stream.credit += rate * (work - read).Seconds()
	count := min(int(stream.credit), stream.length-stream.produced)
	if count <= 0 {
		return
	}
	stream.credit -= float64(count)
	before := stream.produced / s.settings.ChunkTokens
	stream.produce(count, s.version)
	if stream.produced == stream.length {
		stream.phase = phaseFinished
	}
	if stream.phase == phaseFinished || stream.produced/s.settings.ChunkTokens != before {
		stream.notify()
	}
}

// rate returns the tokens per second of one running stream, in the engine's time.
func (s *Server) rate() float64 {
	return s.settings.TokensPerSecond / (1 + s.settings.BatchSlowdown*float64(max(0, len(s.running)-1)))
}

// enqueue puts a stream into the queue behind those of the same priority.
func (s *Server) enqueue(now time.Time, added *stream) {
	s.arrivals++
	added.arrival = s.arrivals
	added.phase = phaseWaiting
	at, _ := slices.BinarySearchFunc(s.waiting, added, func(a, b *stream) int {
		if a.request.Priority != b.request.Priority {
			return int(a.request.Priority) - int(b.request.Priority)
		}
		return int(a.arrival - b.arrival)
	})
	s.waiting = slices.Insert(s.waiting, at, added)
	s.admit(now)
	s.measure(now)
	s.wakeUp()
}

// admit gives free slots to the first waiting streams.
func (s *Server) admit(now time.Time) {
	marker := s.Faults.Get().CrashMarker
	changed := false
	for len(s.waiting) > 0 && len(s.running) < s.settings.Slots && !s.crashing {
		stream := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running = append(s.running, stream)
		stream.phase = phaseRunning
		changed = true
		// The tokens that a paused stream had are lost from the batch, so its prompt is read again.
		if !s.cache.use(now, stream.request.Prompt) {
			tokens := float64(len(stream.request.Prompt)) / bytesPerToken
			stream.prefill = time.Duration(tokens / s.settings.PrefillTokensPerSecond * float64(time.Second))
		}
		if marker != "" && strings.Contains(stream.request.Prompt, marker) {
			s.crash()
		}
	}
	if changed {
		s.measure(now)
	}
}

// free takes streams that no longer run out of their slots.
func (s *Server) free(now time.Time) {
	before := len(s.running) + len(s.waiting)
	s.running = slices.DeleteFunc(s.running, func(stream *stream) bool { return stream.phase != phaseRunning })
	s.waiting = slices.DeleteFunc(s.waiting, func(stream *stream) bool { return stream.phase != phaseWaiting })
	if len(s.running)+len(s.waiting) != before {
		s.measure(now)
	}
}

// expire ends streams at their deadline, pauses those whose grace time is over, and drops those held long enough.
func (s *Server) expire(now time.Time) {
	grace, keep := s.settings.scaled(s.settings.Grace), s.settings.scaled(s.settings.Keep)
	for id, stream := range s.streams {
		live := stream.phase == phaseWaiting || stream.phase == phaseRunning
		if stream.phase != phaseFinished && !stream.deadline.IsZero() && now.After(stream.deadline) {
			s.end(id, stream)
			continue
		}
		if stream.connection != 0 {
			continue
		}
		gone := now.Sub(stream.detached)
		if live && gone > grace {
			stream.phase = phasePaused
		}
		if !live && gone > max(grace, keep) {
			stream.phase = phaseLost
			delete(s.streams, id)
		}
	}
	s.free(now)
}

// end cancels a stream: its connection gets "done", and the engine doesn't hold it any more.
func (s *Server) end(id model.StreamID, stream *stream) {
	stream.phase, stream.reason = phaseFinished, ReasonCancelled
	delete(s.streams, id)
	stream.notify()
}
