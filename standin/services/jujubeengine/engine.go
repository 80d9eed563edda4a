// Package jujubeengine emulates a model engine that supports continuous batching, resumable streams and weight swaps.
package jujubeengine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"goji.io/pat"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubebase"
	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/modules/jujubehost"
)

// Server is a running engine emulator.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings
	client   *http.Client
	// wakeCh resumes the generation loop, which pauses while the engine holds no streams.
	wakeCh chan struct{}

	mu sync.Mutex
	state
}

// state is the part of the server that a crash resets.
type state struct {
	incarnation model.Incarnation
	leaving     bool
	// crashing is true from the trigger of a crash until the next incarnation starts.
	crashing bool
	streams  map[model.StreamID]*stream
	// waiting is sorted by priority, then by arrival.
	waiting []*stream
	// running holds at most Slots streams.
	running []*stream
	// lastArrival is the arrival number assigned last.
	lastArrival int64
	// lastExpiry is the time of the last scan of all streams for expired deadlines and retention times.
	lastExpiry time.Time
	// lastConnection is the number assigned last to a connection of POST /v1/generate.
	lastConnection int64
	version        model.WeightVersion
	// target is the version requested by the last accepted order.
	target   model.WeightVersion
	swapping bool
	// cancelSwap cancels the swap in progress; nil when there is none.
	cancelSwap context.CancelFunc
	// highestFencingToken is the highest fencing token received in an order.
	highestFencingToken int64
	cache               *prefixCache
	// loadReports are the states that GET /v1/load may still have to return because of LoadLag, oldest first.
	loadReports []model.LoadReport
}

// Start runs an engine until the returned cleanup function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	if err := settings.validate(); err != nil {
		return nil, nil, errors.Wrap(err, "engine")
	}
	base, mux := jujubebase.New[Faults]()
	s := &Server{
		Base: base, settings: settings, wakeCh: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{}},
	}
	s.reset(time.Now())
	s.UseFaults(mux, func(f Faults) (jujubefault.Outage, time.Duration) {
		if f.Freeze {
			return jujubefault.OutageHang, 0
		}
		return jujubefault.OutageNone, 0
	})
	mux.HandleFunc(pat.Post("/v1/generate"), s.handleGenerate)
	mux.HandleFunc(pat.Post("/v1/streams/cancel"), s.handleCancel)
	mux.HandleFunc(pat.Get("/v1/streams"), s.handleListStreams)
	mux.HandleFunc(pat.Get("/v1/load"), s.handleLoad)
	mux.HandleFunc(pat.Post("/v1/orders"), s.handleOrder)
	mux.HandleFunc(pat.Get("/v1/cache-events"), s.handleCacheEvents)
	mux.HandleFunc(pat.Post("/v1/leave"), s.handleLeave)
	// The mutex is held until Host is set, because a handler may run as soon as the listener is open.
	s.mu.Lock()
	err := s.Listen(ctx, "engine", settings.Listen, mux)
	s.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	s.Host.Go(s.runGeneration)
	s.Host.Register(settings.ListURL, settings.Heartbeat, s.Endpoint, func() bool { return s.Faults.Get().Freeze })
	return s, func() {
		s.Host.Close()
		s.client.CloseIdleConnections()
	}, nil
}

// Endpoint returns the engine's entry for the instance list.
func (s *Server) Endpoint() model.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return model.Endpoint{
		ID: s.settings.ID, Kind: model.KindEngine, DataCentre: s.settings.DataCentre, Address: s.Host.Address(),
		Incarnation: s.incarnation, Model: s.settings.Model, SoftwareVersion: s.settings.SoftwareVersion, Leaving: s.leaving,
	}
}

// Crash simulates a crash: all streams are lost, all connections close, and a new incarnation starts after CrashDowntime.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startCrash()
}

// startCrash runs the crash in a goroutine, because the caller holds the mutex, which the reset needs as well.
func (s *Server) startCrash() {
	if s.crashing {
		return
	}
	s.crashing = true
	s.Host.Go(func(context.Context) {
		logrus.WithField("Endpoint", s.settings.ID).Info("engine crashes")
		if s.settings.OnCrash != nil {
			s.settings.OnCrash()
			return
		}
		s.Host.Crash(s.settings.scaled(s.settings.CrashDowntime), func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reset(time.Now())
		})
	})
}

// reset drops all state and starts a new incarnation. The caller holds the mutex, except in Start.
func (s *Server) reset(now time.Time) {
	if s.cancelSwap != nil {
		s.cancelSwap()
	}
	for _, stream := range s.streams {
		stream.phase = phaseDropped
		stream.notify()
	}
	// The incarnation is a time in milliseconds; two crashes within one millisecond must still differ.
	incarnation := max(model.Incarnation(now.UnixMilli()), s.incarnation+1)
	s.state = state{
		incarnation: incarnation, streams: make(map[model.StreamID]*stream),
		version: s.settings.InitialVersion, target: s.settings.InitialVersion,
		cache: newPrefixCache(s.settings, int64(incarnation)),
	}
	s.recordLoad(now)
}

func (s *Server) handleLeave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.recordLoad(time.Now())
	jujubehost.WriteJSON(w, http.StatusOK, s.currentLoad(time.Now()))
}
