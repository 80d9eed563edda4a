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
	// next is the index of the first token that was not sent.
	next int
	// cutAfter is the number of tokens after which a fault closes the connection; negative for never.
	cutAfter int
	sent     int
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var request model.EngineRequest
	if !jujubehost.ReadJSON(w, r, &request) {
		return
	}
	c, status, refusal := s.connect(request)
	if refusal != nil {
		jujubehost.WriteError(w, status, *refusal)
		return
	}
	defer c.disconnect()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	for {
		events, over, changed := c.collect()
		for _, event := range events {
			if _, err := fmt.Fprint(w, event); err != nil {
				return
			}
		}
		if err := flusher.Flush(); err != nil || over {
			return
		}
		if c.cutAfter >= 0 && c.sent >= c.cutAfter {
			jujubehost.Abort()
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

// connect starts or resumes the stream of a request.
func (s *Server) connect(request model.EngineRequest) (*connection, int, *model.EngineError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	held, found := s.streams[request.Stream]
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
			held.deadline = now.Add(request.Timeout.Std())
		}
		c := s.attach(held)
		c.next = request.ResumeFrom
		if held.phase == phasePaused {
			s.enqueue(now, held)
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
		// A start of a stream that is held replaces it.
		held.phase = phaseLost
		held.notify()
		s.free(now)
	}
	started := newStream(request, s.settings, now)
	s.streams[request.Stream] = started
	c := s.attach(started)
	s.enqueue(now, started)
	return c, 0, nil
}

// attach makes a new connection the only one of a stream.
func (s *Server) attach(stream *stream) *connection {
	s.connections++
	stream.connection = s.connections
	stream.notify()
	c := &connection{server: s, stream: stream, id: s.connections, cutAfter: -1}
	if s.Faults.Take(func(f *Faults) *int { return &f.CutConnections }) {
		c.cutAfter = s.Faults.Get().CutAfterTokens
	}
	return c
}

// disconnect starts the grace time, unless another connection has the stream.
func (c *connection) disconnect() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.stream.connection == c.id {
		c.stream.connection = 0
		c.stream.detached = time.Now()
	}
}

// collect returns the events that are ready, whether they end the connection, and a channel to wait on for more.
func (c *connection) collect() (events []string, over bool, changed <-chan struct{}) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	stream := c.stream
	if stream.phase == phaseLost {
		refusal := model.EngineError{Code: model.EngineCodeStreamUnknown, Message: "the stream is no longer held"}
		return []string{formatEvent("error", refusal)}, true, nil
	}
	if stream.connection != c.id {
		refusal := model.EngineError{Code: model.EngineCodeTakenOver, Message: "another connection has resumed the stream"}
		return []string{formatEvent("error", refusal)}, true, nil
	}
	faults := c.server.Faults.Get()
	for c.cutAfter < 0 || c.sent < c.cutAfter {
		chunk, ok := stream.next(c.next, c.server.settings.ChunkTokens)
		if !ok {
			break
		}
		if faults.OmitVersions {
			chunk.Version = 0
		}
		c.next = chunk.To
		c.sent += chunk.To - chunk.From
		events = append(events, formatEvent("chunk", chunk))
	}
	if c.cutAfter >= 0 && c.sent >= c.cutAfter {
		return events, false, stream.changed
	}
	if stream.phase == phaseFinished {
		done := model.EngineDone{Tokens: stream.produced, Reason: stream.reason, Load: c.server.report(time.Now())}
		return append(events, formatEvent("done", done)), true, nil
	}
	return events, false, stream.changed
}

func formatEvent(name string, value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		// The types are those above, which always have a JSON form.
		panic(err)
	}
	return "event: " + name + "\ndata: " + string(data) + "\n\n"
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
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
	s.end(request.Stream, stream)
	s.free(time.Now())
	s.admit(time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// list answers with the streams under a prefix. It ends at an element of the id: a/1 does not cover a/10.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := strings.TrimSuffix(r.URL.Query().Get("Prefix"), "/")
	s.mu.Lock()
	rows := []model.EngineStream{}
	for id, stream := range s.streams {
		if prefix == "" || string(id) == prefix || strings.HasPrefix(string(id), prefix+"/") {
			rows = append(rows, model.EngineStream{
				Stream: id, Tokens: stream.produced, Finished: stream.phase == phaseFinished,
			})
		}
	}
	s.mu.Unlock()
	sortStreams(rows)
	jujubehost.WriteJSON(w, http.StatusOK, rows)
}
