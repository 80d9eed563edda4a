// Package jujubestore emulates the rate-limited weight store.
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

// Settings of the store.
type Settings struct {
	Listen string
	// MaxFetches is how many fetches run at once; zero means no limit.
	MaxFetches int
	// FetchesPerSecond is the rate of new fetches; zero means no limit.
	FetchesPerSecond float64
	// Burst is how many fetches may start at once.
	Burst int
	// WeightBytes is the size that a fetch's time is counted for; weights that were put in stand for that many bytes.
	WeightBytes int64
	// BytesPerSecond is the rate of one fetch; zero means that a fetch takes no time.
	BytesPerSecond float64
}

// DefaultSettings returns the settings of a store where one fetch takes 2 s.
func DefaultSettings() Settings {
	return Settings{
		Listen: "127.0.0.1:0", MaxFetches: 64, FetchesPerSecond: 40, Burst: 40, WeightBytes: 16 << 30,
		BytesPerSecond: 8 << 30,
	}
}

// Faults of the store (PUT /faults).
type Faults struct {
	Outage jujubefault.Outage
	// Slow delays each call.
	Slow model.Duration
	// SlowFactor divides the rate of fetches; below 1 has no effect.
	SlowFactor float64
}

// Server is a running store.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings
	limiter  *rate.Limiter

	mu      sync.Mutex
	weights map[key][]byte
	// fetches is the number of fetches that run now.
	fetches int
}

type key struct {
	model   model.ModelName
	version model.WeightVersion
}

// Start runs a store until the clean-up function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	base, mux := jujubebase.New[Faults]()
	s := &Server{Base: base, settings: settings, weights: make(map[key][]byte)}
	s.limiter = jujubebase.NewLimiter(settings.FetchesPerSecond, settings.Burst)
	s.Guard(mux, func(f Faults) (jujubefault.Outage, time.Duration) { return f.Outage, f.Slow.Std() })
	mux.HandleFunc(pat.Put("/v1/weights/:model/:version"), s.put)
	mux.HandleFunc(pat.Get("/v1/weights/:model/:version"), s.get)
	if err := s.Listen(ctx, "weight store", settings.Listen, mux); err != nil {
		return nil, nil, err
	}
	return s, s.Host.Close, nil
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	name, ok := readKey(w, r)
	if !ok {
		return
	}
	body, ok := jujubehost.ReadBody(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	s.weights[name] = body
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name, ok := readKey(w, r)
	if !ok {
		return
	}
	body, status := s.begin(name)
	switch status {
	case http.StatusNotFound:
		jujubehost.WriteError(w, status, model.EngineError{Code: jujubehost.CodeNotFound, Message: "no such version"})
		return
	case http.StatusTooManyRequests:
		jujubehost.WriteRateLimited(w, time.Second, "too many fetches")
		return
	}
	defer s.end()
	if !jujubehost.Sleep(r.Context(), s.fetchTime(len(body))) {
		jujubehost.Abort()
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

// begin takes a place among the running fetches.
func (s *Server) begin(name key) ([]byte, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.weights[name]
	if !ok {
		return nil, http.StatusNotFound
	}
	if (s.settings.MaxFetches > 0 && s.fetches >= s.settings.MaxFetches) || !s.limiter.Allow() {
		return nil, http.StatusTooManyRequests
	}
	s.fetches++
	return body, http.StatusOK
}

func (s *Server) end() {
	s.mu.Lock()
	s.fetches--
	s.mu.Unlock()
}

func (s *Server) fetchTime(size int) time.Duration {
	if s.settings.BytesPerSecond <= 0 {
		return 0
	}
	bytes := float64(max(int64(size), s.settings.WeightBytes))
	seconds := bytes / s.settings.BytesPerSecond * max(1, s.Faults.Get().SlowFactor)
	return time.Duration(seconds * float64(time.Second))
}

func readKey(w http.ResponseWriter, r *http.Request) (key, bool) {
	version, err := strconv.ParseInt(pat.Param(r, "version"), 10, 64)
	if err != nil {
		jujubehost.WriteError(w, http.StatusBadRequest,
			model.EngineError{Code: model.EngineCodeBadRequest, Message: "the version is not an integer"})
		return key{}, false
	}
	return key{model: model.ModelName(pat.Param(r, "model")), version: model.WeightVersion(version)}, true
}
