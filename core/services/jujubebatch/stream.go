package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// streamRetention is how long it is known what began a caller's stream. Callers resume one within the time limit of the request.
const streamRetention = time.Minute

// StreamOrigin is the record of what began a caller's stream. It is written before the caller gets the first event, so that any
// instance can continue the stream at an endpoint of the same software version, also after the loss of all instances.
type StreamOrigin struct {
	// Request is the attempt of the caller that brought the first event.
	Request model.RequestID
	Service model.ServiceName
	// SoftwareVersion is empty if the endpoint doesn't report one; the stream then can't be continued.
	SoftwareVersion model.SoftwareVersion
}

// retainedStream is a StreamOrigin and the time at which it was read.
type retainedStream struct {
	StreamOrigin
	readAt time.Time
}

// AddStream adds the origin of a stream. It returns false if it was known.
func (s *Scheduler) AddStream(now time.Time, origin StreamOrigin) bool {
	if _, ok := s.streams[origin.Request]; ok {
		return false
	}
	s.streams[origin.Request] = origin
	s.streamsByTime = append(s.streamsByTime, retainedStream{origin, now})
	return true
}

// FindStream returns the origin of a stream by the attempt that brought its first event.
func (s *Scheduler) FindStream(request model.RequestID) (StreamOrigin, bool) {
	origin, ok := s.streams[request]
	return origin, ok
}

func (s *Scheduler) expireStreams(now time.Time) {
	for len(s.streamsByTime) > 0 && now.Sub(s.streamsByTime[0].readAt) > streamRetention {
		delete(s.streams, s.streamsByTime[0].Request)
		s.streamsByTime = s.streamsByTime[1:]
	}
}
