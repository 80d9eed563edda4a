// Package jujubelist emulates the platform's instance list, whose responses lag behind the registrations.
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

// Settings configures the instance list.
type Settings struct {
	Listen string
	// Lag is the age of the state that GET /v1/instances returns.
	Lag time.Duration
	// TTL is the time after the last heartbeat at which a registration is removed; zero means never.
	TTL time.Duration
}

// DefaultSettings returns settings that match the platform's instance list.
func DefaultSettings() Settings {
	return Settings{Listen: "127.0.0.1:0", Lag: time.Second, TTL: 5 * time.Second}
}

// Faults are the faults that PUT /faults injects into the list.
type Faults struct {
	Outage jujubefault.Outage
	// Slow is the delay added to each request.
	Slow model.Duration
}

// Server is a running instance list emulator.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings

	mu             sync.Mutex
	endpoints      *history[model.EndpointID, model.Endpoint]
	entryInstances *history[model.InstanceID, model.Member]
}

// Start runs an instance list until the returned cleanup function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	base, mux := jujubebase.New[Faults]()
	s := &Server{
		Base: base, settings: settings,
		endpoints:      newHistory[model.EndpointID, model.Endpoint](settings),
		entryInstances: newHistory[model.InstanceID, model.Member](settings),
	}
	s.UseFaults(mux, func(f Faults) (jujubefault.Outage, time.Duration) { return f.Outage, f.Slow.Std() })
	mux.HandleFunc(pat.Get("/v1/instances"), s.handleList)
	mux.HandleFunc(pat.Put("/v1/endpoints/:id"), s.handlePutEndpoint)
	mux.HandleFunc(pat.Post("/v1/endpoints/:id/leave"), s.handleLeaveEndpoint)
	mux.HandleFunc(pat.Delete("/v1/endpoints/:id"), s.handleDeleteEndpoint)
	mux.HandleFunc(pat.Put("/v1/entries/:id"), s.handlePutEntryInstance)
	mux.HandleFunc(pat.Post("/v1/entries/:id/leave"), s.handleLeaveEntryInstance)
	mux.HandleFunc(pat.Delete("/v1/entries/:id"), s.handleDeleteEntryInstance)
	if err := s.Listen(ctx, "instance list", settings.Listen, mux); err != nil {
		return nil, nil, err
	}
	return s, s.Host.Close, nil
}

func (s *Server) handleList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	now := time.Now()
	list := model.InstanceList{Endpoints: s.endpoints.laggedView(now), Entries: s.entryInstances.laggedView(now)}
	s.mu.Unlock()
	jujubehost.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) handlePutEndpoint(w http.ResponseWriter, r *http.Request) {
	var endpoint model.Endpoint
	if !jujubehost.ReadJSON(w, r, &endpoint) {
		return
	}
	endpoint.ID = model.EndpointID(pat.Param(r, "id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if old, ok := s.endpoints.current(now, endpoint.ID); ok {
		if old.Incarnation > endpoint.Incarnation {
			writeSuperseded(w)
			return
		}
		// Once set, Leaving stays set for the same incarnation.
		endpoint.Leaving = endpoint.Leaving || (old.Leaving && old.Incarnation == endpoint.Incarnation)
	}
	s.endpoints.registerHeartbeat(now, endpoint.ID, endpoint)
	jujubehost.WriteJSON(w, http.StatusOK, endpoint)
}

func (s *Server) handlePutEntryInstance(w http.ResponseWriter, r *http.Request) {
	var member model.Member
	if !jujubehost.ReadJSON(w, r, &member) {
		return
	}
	member.ID = model.InstanceID(pat.Param(r, "id"))
	if member.State == "" {
		member.State = model.MemberAlive
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if old, ok := s.entryInstances.current(now, member.ID); ok {
		if old.Incarnation > member.Incarnation {
			writeSuperseded(w)
			return
		}
		if old.State == model.MemberLeaving && old.Incarnation == member.Incarnation {
			member.State = model.MemberLeaving
		}
	}
	s.entryInstances.registerHeartbeat(now, member.ID, member)
	jujubehost.WriteJSON(w, http.StatusOK, member)
}

func (s *Server) handleLeaveEndpoint(w http.ResponseWriter, r *http.Request) {
	id := model.EndpointID(pat.Param(r, "id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	endpoint, ok := s.endpoints.current(now, id)
	if !ok {
		writeNotFound(w)
		return
	}
	endpoint.Leaving = true
	s.endpoints.updateWithoutHeartbeat(now, id, endpoint)
	jujubehost.WriteJSON(w, http.StatusOK, endpoint)
}

func (s *Server) handleLeaveEntryInstance(w http.ResponseWriter, r *http.Request) {
	id := model.InstanceID(pat.Param(r, "id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	member, ok := s.entryInstances.current(now, id)
	if !ok {
		writeNotFound(w)
		return
	}
	member.State = model.MemberLeaving
	s.entryInstances.updateWithoutHeartbeat(now, id, member)
	jujubehost.WriteJSON(w, http.StatusOK, member)
}

func (s *Server) handleDeleteEndpoint(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints.remove(time.Now(), model.EndpointID(pat.Param(r, "id")))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDeleteEntryInstance(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryInstances.remove(time.Now(), model.InstanceID(pat.Param(r, "id")))
	w.WriteHeader(http.StatusNoContent)
}

func writeNotFound(w http.ResponseWriter) {
	jujubehost.WriteError(w, http.StatusNotFound, model.EngineError{Code: jujubehost.CodeNotFound, Message: "no such row"})
}

// writeSuperseded refuses a registration of an older incarnation.
func writeSuperseded(w http.ResponseWriter) {
	jujubehost.WriteError(w, http.StatusConflict,
		model.EngineError{Code: model.EngineCodeBadRequest, Message: "a higher incarnation is registered"})
}
