package jujubeengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubehost"
)

// connection sends one stream to one client.
type connection struct {
	server *Server
	stream *stream
	id     int64
	// next is the index of the first token that has not been sent.
	next int
	// cutAfter is the number of sent tokens at which an injected fault closes the connection; negative for none.
	cutAfter   int
	sentTokens int
}

// handleGenerate serves POST /v1/generate as a stream of server-sent events.
func (s *Server) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request model.EngineRequest
	if !jujubehost.ReadJSON(w, r, &request) {
		return
	}
	c, status, refusal := s.openConnection(request)
	if refusal != nil {
		jujubehost.WriteError(w, status, *refusal)
		return
	}
	defer c.detach()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for {
		events, ended, changedCh := c.collectEvents()
		for _, event := range events {
			if _, err := fmt.Fprint(w, event); err != nil {
				return
			}
		}
		if err := flusher.Flush(); err != nil || ended {
			return
		}
		if c.cutAfter >= 0 && c.sentTokens >= c.cutAfter {
			jujubehost.Abort()
		}
		select {
		case <-r.Context().Done():
			return
		case <-changedCh:
		}
	}
}

// openConnection starts or resumes the requested stream and attaches a connection to it. If it refuses the request, it
// returns the HTTP status and the refusal.
func (s *Server) openConnection(request model.EngineRequest) (*connection, int, *model.EngineError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	existing, found := s.streams[request.Stream]
	switch {
	case request.Stream == "" || request.Model != s.settings.Model || request.ResumeFrom < 0:
		return nil, http.StatusBadRequest, &model.EngineError{
			Code: model.EngineCodeBadRequest, Message: "no stream, another model or a negative index",
		}
	case s.crashing:
		jujubehost.Abort()
	case request.Resume && !found:
		return nil, http.StatusNotFound, &model.EngineError{
			Code: model.EngineCodeStreamUnknown, Message: "the stream is not held here",
		}
	case request.Resume:
		if request.Timeout > 0 {
			existing.deadline = now.Add(request.Timeout.Std())
		}
		c := s.attach(existing)
		c.next = request.ResumeFrom
		if existing.phase == phasePaused {
			s.enqueue(now, existing)
		}
		return c, 0, nil
	case request.MaxTokens <= 0:
		return nil, http.StatusBadRequest, &model.EngineError{
			Code: model.EngineCodeBadRequest, Message: "MaxTokens must be positive",
		}
	case s.leaving:
		return nil, http.StatusServiceUnavailable, &model.EngineError{
			Code: model.EngineCodeLeaving, Message: "the engine is leaving",
		}
	case len(s.waiting) >= s.settings.MaxWaiting && len(s.running) >= s.settings.Slots:
		return nil, http.StatusServiceUnavailable, &model.EngineError{
			Code: model.EngineCodeOverloaded, Message: "the queue is full",
		}
	}
	if found {
		// Starting a stream under an id that is already held replaces the old stream.
		existing.phase = phaseDropped
		existing.notify()
		s.releaseSlots(now)
	}
	created := newStream(request, s.settings, now)
	s.streams[request.Stream] = created
	c := s.attach(created)
	s.enqueue(now, created)
	return c, 0, nil
}

// attach creates a connection and makes it the only one of the stream; an older connection ends with code TakenOver.
func (s *Server) attach(stream *stream) *connection {
	s.lastConnection++
	stream.connectionID = s.lastConnection
	stream.notify()
	c := &connection{server: s, stream: stream, id: s.lastConnection, cutAfter: -1}
	if s.Faults.Consume(func(f *Faults) *int { return &f.CutConnections }) {
		c.cutAfter = s.Faults.Get().CutAfterTokens
	}
	return c
}

// detach starts the stream's grace period, unless another connection has taken the stream over.
func (c *connection) detach() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.stream.connectionID == c.id {
		c.stream.connectionID = 0
		c.stream.detachedAt = time.Now()
	}
}

// collectEvents returns the events that can be sent now, whether the connection ends after them, and a channel that is
// closed when there may be more.
func (c *connection) collectEvents() (events []string, ended bool, changedCh <-chan struct{}) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	stream := c.stream
	if stream.phase == phaseDropped {
		refusal := model.EngineError{Code: model.EngineCodeStreamUnknown, Message: "the stream is no longer held"}
		return []string{formatEvent("error", refusal)}, true, nil
	}
	if stream.connectionID != c.id {
		refusal := model.EngineError{Code: model.EngineCodeTakenOver, Message: "another connection has resumed the stream"}
		return []string{formatEvent("error", refusal)}, true, nil
	}
	faults := c.server.Faults.Get()
	for c.cutAfter < 0 || c.sentTokens < c.cutAfter {
		chunk, ok := stream.nextChunk(c.next, c.server.settings.ChunkTokens)
		if !ok {
			break
		}
		if faults.OmitVersions {
			chunk.Version = 0
		}
		c.next = chunk.To
		c.sentTokens += chunk.To - chunk.From
		events = append(events, formatEvent("chunk", chunk))
	}
	if c.cutAfter >= 0 && c.sentTokens >= c.cutAfter {
		return events, false, stream.changedCh
	}
	if stream.phase == phaseFinished {
		done := model.EngineDone{Tokens: stream.produced, Reason: stream.reason, Load: c.server.currentLoad(time.Now())}
		return append(events, formatEvent("done", done)), true, nil
	}
	return events, false, stream.changedCh
}

// formatEvent encodes a server-sent event.
func formatEvent(name string, value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		// Only chunk, done and error values are passed here, and these can always be encoded.
		panic(err)
	}
	return "event: " + name + "\ndata: " + string(data) + "\n\n"
}

// handleCancel serves POST /v1/streams/cancel.
func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var request model.CancelRequest
	if !jujubehost.ReadJSON(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, ok := s.streams[request.Stream]
	if !ok {
		jujubehost.WriteError(w, http.StatusNotFound, model.EngineError{
			Code: model.EngineCodeStreamUnknown, Message: "the stream is not held here",
		})
		return
	}
	s.cancelStream(request.Stream, stream)
	s.releaseSlots(time.Now())
	s.admitWaiting(time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// handleListStreams returns the streams whose id has the given prefix. The prefix matches whole elements of the id: a/1
// does not match a/10.
func (s *Server) handleListStreams(w http.ResponseWriter, r *http.Request) {
	prefix := strings.TrimSuffix(r.URL.Query().Get("Prefix"), "/")
	s.mu.Lock()
	streams := []model.EngineStream{}
	for id, stream := range s.streams {
		if prefix == "" || string(id) == prefix || strings.HasPrefix(string(id), prefix+"/") {
			streams = append(streams, model.EngineStream{
				Stream: id, Tokens: stream.produced, Finished: stream.phase == phaseFinished,
			})
		}
	}
	s.mu.Unlock()
	sortStreams(streams)
	jujubehost.WriteJSON(w, http.StatusOK, streams)
}
