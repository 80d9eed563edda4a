// Package jujubeengine emulates a model engine with continuous batching, resumable streams and weight swaps.
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

// Server is a running engine.
type Server struct {
	*jujubebase.Base[Faults]
	settings Settings
	client   *http.Client
	// wake starts the loop when it rests for want of streams.
	wake chan struct{}

	mu sync.Mutex
	state
}

// state is what a crash resets.
type state struct {
	incarnation model.Incarnation
	leaving     bool
	// crashing is true from the decision to crash until the next incarnation.
	crashing bool
	streams  map[model.StreamID]*stream
	// waiting is in the order of priority, then arrival.
	waiting []*stream
	// running has at most Slots streams.
	running  []*stream
	arrivals int64
	// expired is the time of the last walk over all streams for deadlines and held times.
	expired time.Time
	// connections numbers the generate connections.
	connections int64
	version     model.WeightVersion
	// target is the version of the last accepted order.
	target   model.WeightVersion
	swapping bool
	// stopSwap ends the swap in progress; nil when there is none.
	stopSwap context.CancelFunc
	// fence is the highest fencing number seen.
	fence int64
	cache *prefixCache
	// loads are the load reports that may still have to be given, oldest first.
	loads []model.LoadReport
}

// Start runs an engine until the clean-up function is called or ctx ends.
func Start(ctx context.Context, settings Settings) (*Server, func(), error) {
	if err := settings.check(); err != nil {
		return nil, nil, errors.Wrap(err, "engine")
	}
	base, mux := jujubebase.New[Faults]()
	s := &Server{
		Base: base, settings: settings, wake: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{}},
	}
	s.reset(time.Now())
	s.Guard(mux, func(f Faults) (jujubefault.Outage, time.Duration) {
		if f.Freeze {
			return jujubefault.OutageHang, 0
		}
		return jujubefault.OutageNone, 0
	})
	mux.HandleFunc(pat.Post("/v1/generate"), s.generate)
	mux.HandleFunc(pat.Post("/v1/streams/cancel"), s.cancel)
	mux.HandleFunc(pat.Get("/v1/streams"), s.list)
	mux.HandleFunc(pat.Get("/v1/load"), s.load)
	mux.HandleFunc(pat.Post("/v1/orders"), s.order)
	mux.HandleFunc(pat.Get("/v1/cache-events"), s.cacheEvents)
	mux.HandleFunc(pat.Post("/v1/leave"), s.leave)
	// Handlers that need the host wait for the mutex until it is set.
	s.mu.Lock()
	err := s.Listen(ctx, "engine", settings.Listen, mux)
	s.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	s.Host.Go(s.run)
	s.Host.Register(settings.ListURL, settings.Heartbeat, s.Endpoint, func() bool { return s.Faults.Get().Freeze })
	return s, func() {
		s.Host.Close()
		s.client.CloseIdleConnections()
	}, nil
}

// Endpoint returns the engine's row in the instance list.
func (s *Server) Endpoint() model.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return model.Endpoint{
		ID: s.settings.ID, Kind: model.KindEngine, DataCentre: s.settings.DataCentre, Address: s.Host.Address(),
		Incarnation: s.incarnation, Model: s.settings.Model, Leaving: s.leaving,
	}
}

// Crash ends the incarnation: all streams are lost, the connections close, and the engine comes back after the downtime.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// crash runs the crash in a goroutine, because its callers hold the mutex.
func (s *Server) crash() {
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

// reset starts a new incarnation.
func (s *Server) reset(now time.Time) {
	if s.stopSwap != nil {
		s.stopSwap()
	}
	for _, stream := range s.streams {
		stream.phase = phaseLost
		stream.notify()
	}
	// Two crashes within a millisecond must not give the same incarnation.
	incarnation := max(model.Incarnation(now.UnixMilli()), s.incarnation+1)
	s.state = state{
		incarnation: incarnation, streams: make(map[model.StreamID]*stream),
		version: s.settings.InitialVersion, target: s.settings.InitialVersion,
		cache: newPrefixCache(s.settings, int64(incarnation)),
	}
	s.measure(now)
}

func (s *Server) leave(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.measure(time.Now())
	jujubehost.WriteJSON(w, http.StatusOK, s.report(time.Now()))
}
