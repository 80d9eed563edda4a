// Package jujubestore emulates the weight store and its rate limits.
package jujubestore

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goji.io/pat"
	"golang.org/x/time/rate"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubebase"
	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/modules/jujubehost"
)

// Settings configures the store.
type Settings struct {
	Listen string
	// MaxFetches is the maximum number of concurrent fetches; zero means no limit.
	MaxFetches int
	// FetchesPerSecond is the rate limit of new fetches; zero means no limit.
	FetchesPerSecond float64
	// Burst is the number of fetches that the rate limit allows to start at once.
	Burst int
	// WeightBytes is the minimum size from which the duration of a fetch is computed. The stored weights may be smaller; they
	// represent weights of this size.
	WeightBytes int64
	// BytesPerSecond is the transfer rate of one fetch; zero means that a fetch has no delay.
	BytesPerSecond float64
}

// DefaultSettings returns the settings of a store in which one fetch takes 2 s.
func DefaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:0", MaxFetches: 64, FetchesPerSecond: 40, Burst: 40, WeightBytes: 16 << 30,
		BytesPerSecond: 8 << 30,
	}
}

// Faults are the faults that PUT /faults injects into the store.
type Faults struct {
	Outage jujubefault.Outage
	// Slow is the delay added to each request.
	Slow model.Duration
	// SlowFactor divides the transfer rate of fetches; values below 1 have no effect.
	SlowFactor float64
}

// Server is a running weight store emulator.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings
	limiter  *rate.Limiter

	mu      sync.Mutex
	weights map[weightKey][]byte
	// activeFetches is the number of fetches in progress.
	activeFetches int
}

type weightKey struct {
	model   model.ModelName
	version model.WeightVersion
}

// Start runs a store until the returned cleanup function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	base, mux := jujubebase.New[Faults]()
	s := &Server{Base: base, settings: settings, weights: make(map[weightKey][]byte)}
	s.limiter = jujubebase.NewLimiter(settings.FetchesPerSecond, settings.Burst)
	s.UseFaults(mux, func(f Faults) (jujubefault.Outage, time.Duration) { return f.Outage, f.Slow.Std() })
	mux.HandleFunc(pat.Put("/v1/weights/:model/:version"), s.handlePut)
	mux.HandleFunc(pat.Get("/v1/weights/:model/:version"), s.handleGet)
	if err := s.Listen(ctx, "weight store", settings.Listen, mux); err != nil {
		return nil, nil, err
	}
	return s, s.Host.Close, nil
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	key, ok := parseKey(w, r)
	if !ok {
		return
	}
	body, ok := jujubehost.ReadBody(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	s.weights[key] = body
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	key, ok := parseKey(w, r)
	if !ok {
		return
	}
	body, status := s.acquireFetch(key)
	switch status {
	case http.StatusNotFound:
		jujubehost.WriteError(w, status, model.EngineError{Code: jujubehost.CodeNotFound, Message: "no such version"})
		return
	case http.StatusTooManyRequests:
		jujubehost.WriteRateLimited(w, time.Second, "too many fetches")
		return
	}
	defer s.releaseFetch()
	if !jujubehost.Sleep(r.Context(), s.fetchDuration(len(body))) {
		jujubehost.Abort()
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

// acquireFetch starts a fetch if the limits allow it and returns the weights and status 200; the caller ends it with
// releaseFetch. Otherwise it returns the status of the refusal.
func (s *Server) acquireFetch(key weightKey) ([]byte, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.weights[key]
	if !ok {
		return nil, http.StatusNotFound
	}
	if (s.settings.MaxFetches > 0 && s.activeFetches >= s.settings.MaxFetches) || !s.limiter.Allow() {
		return nil, http.StatusTooManyRequests
	}
	s.activeFetches++
	return body, http.StatusOK
}

func (s *Server) releaseFetch() {
	s.mu.Lock()
	s.activeFetches--
	s.mu.Unlock()
}

// fetchDuration returns how long a fetch takes at the configured transfer rate.
func (s *Server) fetchDuration(size int) time.Duration {
	if s.settings.BytesPerSecond <= 0 {
		return 0
	}
	simulated := float64(max(int64(size), s.settings.WeightBytes))
	seconds := simulated / s.settings.BytesPerSecond * max(1, s.Faults.Get().SlowFactor)
	return time.Duration(seconds * float64(time.Second))
}

func parseKey(w http.ResponseWriter, r *http.Request) (weightKey, bool) {
	version, err := strconv.ParseInt(pat.Param(r, "version"), 10, 64)
	if err != nil {
		jujubehost.WriteError(w, http.StatusBadRequest,
			model.EngineError{Code: model.EngineCodeBadRequest, Message: "the version is not an integer"})
		return weightKey{}, false
	}
	return weightKey{model: model.ModelName(pat.Param(r, "model")), version: model.WeightVersion(version)}, true
}
