// Package jujubelist emulates the platform's lagging instance list.
package jujubelist

import (
	"context"
	"net/http"
	"sync"
	"time"

	"goji.io/pat"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubebase"
	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/modules/jujubehost"
)

// Settings of the instance list.
type Settings struct {
	Listen string
	// Lag is the age of the view that GET /v1/instances gives.
	Lag time.Duration
	// TTL is how long a row lives without a heartbeat; zero means for ever.
	TTL time.Duration
}

// DefaultSettings returns the settings of a list like that of the platform.
func DefaultSettings() Settings {
	return Settings{Listen: "127.0.0.1:0", Lag: time.Second, TTL: 5 * time.Second}
}

// Faults of the list (PUT /faults).
type Faults struct {
	Outage jujubefault.Outage
	// Slow delays each call.
	Slow model.Duration
}

// Server is a running instance list.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings

	mu        sync.Mutex
	endpoints *history[model.EndpointID, model.Endpoint]
	entries   *history[model.InstanceID, model.Member]
}

// Start runs an instance list until the clean-up function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	base, mux := jujubebase.New[Faults]()
	s := &Server{
		Base: base, settings: settings,
		endpoints: newHistory[model.EndpointID, model.Endpoint](settings),
		entries:   newHistory[model.InstanceID, model.Member](settings),
	}
	s.Guard(mux, func(f Faults) (jujubefault.Outage, time.Duration) { return f.Outage, f.Slow.Std() })
	mux.HandleFunc(pat.Get("/v1/instances"), s.read)
	mux.HandleFunc(pat.Put("/v1/endpoints/:id"), s.putEndpoint)
	mux.HandleFunc(pat.Post("/v1/endpoints/:id/leave"), s.leaveEndpoint)
	mux.HandleFunc(pat.Delete("/v1/endpoints/:id"), s.deleteEndpoint)
	mux.HandleFunc(pat.Put("/v1/entries/:id"), s.putEntry)
	mux.HandleFunc(pat.Post("/v1/entries/:id/leave"), s.leaveEntry)
	mux.HandleFunc(pat.Delete("/v1/entries/:id"), s.deleteEntry)
	if err := s.Listen(ctx, "instance list", settings.Listen, mux); err != nil {
		return nil, nil, err
	}
	return s, s.Host.Close, nil
}

func (s *Server) read(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := time.Now()
	list := model.InstanceList{Endpoints: s.endpoints.view(now), Entries: s.entries.view(now)}
	s.mu.Unlock()
	jujubehost.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) putEndpoint(w http.ResponseWriter, r *http.Request) {
	var row model.Endpoint
	if !jujubehost.ReadJSON(w, r, &row) {
		return
	}
	row.ID = model.EndpointID(pat.Param(r, "id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if old, ok := s.endpoints.current(now, row.ID); ok {
		if old.Incarnation > row.Incarnation {
			writeSuperseded(w)
			return
		}
		// Leaving never goes back to false for the same incarnation.
		row.Leaving = row.Leaving || (old.Leaving && old.Incarnation == row.Incarnation)
	}
	s.endpoints.put(now, row.ID, row)
	jujubehost.WriteJSON(w, http.StatusOK, row)
}

func (s *Server) putEntry(w http.ResponseWriter, r *http.Request) {
	var row model.Member
	if !jujubehost.ReadJSON(w, r, &row) {
		return
	}
	row.ID = model.InstanceID(pat.Param(r, "id"))
	if row.State == "" {
		row.State = model.MemberAlive
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if old, ok := s.entries.current(now, row.ID); ok {
		if old.Incarnation > row.Incarnation {
			writeSuperseded(w)
			return
		}
		if old.State == model.MemberLeaving && old.Incarnation == row.Incarnation {
			row.State = model.MemberLeaving
		}
	}
	s.entries.put(now, row.ID, row)
	jujubehost.WriteJSON(w, http.StatusOK, row)
}

func (s *Server) leaveEndpoint(w http.ResponseWriter, r *http.Request) {
	id := model.EndpointID(pat.Param(r, "id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	row, ok := s.endpoints.current(now, id)
	if !ok {
		writeNotFound(w)
		return
	}
	row.Leaving = true
	s.endpoints.change(now, id, row)
	jujubehost.WriteJSON(w, http.StatusOK, row)
}

func (s *Server) leaveEntry(w http.ResponseWriter, r *http.Request) {
	id := model.InstanceID(pat.Param(r, "id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	row, ok := s.entries.current(now, id)
	if !ok {
		writeNotFound(w)
		return
	}
	row.State = model.MemberLeaving
	s.entries.change(now, id, row)
	jujubehost.WriteJSON(w, http.StatusOK, row)
}

func (s *Server) deleteEndpoint(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints.remove(time.Now(), model.EndpointID(pat.Param(r, "id")))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteEntry(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries.remove(time.Now(), model.InstanceID(pat.Param(r, "id")))
	w.WriteHeader(http.StatusNoContent)
}

func writeNotFound(w http.ResponseWriter) {
	jujubehost.WriteError(w, http.StatusNotFound, model.EngineError{Code: jujubehost.CodeNotFound, Message: "no such row"})
}

func writeSuperseded(w http.ResponseWriter) {
	jujubehost.WriteError(w, http.StatusConflict,
		model.EngineError{Code: model.EngineCodeBadRequest, Message: "a higher incarnation is registered"})
}
