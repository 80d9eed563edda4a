package jujubeentry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/entry/modules/jujubepeer"
)

// Service is one entry instance. Its use cases are called by the routers.
type Service struct {
	settings Settings
	self     model.Member
	log      *jujubeevent.Log
	metrics  *Metrics
	tomb     *tomb.Tomb

	engine *jujubeclient.EngineClient
	list   *jujubeclient.ListClient
	logs   *jujubeclient.LogClient
	peers  *jujubepeer.Pool

	// mu serialises the calls of the core and the start of its actions, so that actions begin in the core's order.
	mu   sync.Mutex
	core *jujubecore.Core
	// waiters holds a channel for each request that waits for a RouteDecided. Guarded by mu.
	waiters map[model.RequestID]chan jujuberouter.Decision
	// aborts holds a cancel function for each running attempt that may be repeated. Guarded by mu.
	aborts  map[model.RequestID]context.CancelFunc
	streams *streamTable
	// wake is closed and replaced whenever a pull may find new groups. Guarded by mu.
	wake chan struct{}
	// answers holds a channel for each non-idempotent request in progress. Guarded by mu.
	answers *answerTable

	// single opens a connection for each request; see newSingleClient.
	single   *http.Client
	attempts attemptCounter
	recent   *recentRequests
	// serving counts the requests that are being served.
	serving atomic.Int64
	// leaveUntil is zero until the shutdown begins. Guarded by leaveMu.
	leaveUntil time.Time
	leaveMu    sync.Mutex
}

// New builds an instance; Run starts it. The clean-up function closes idle connections.
func New(settings Settings, logger *logrus.Logger, started time.Time) (*Service, func(), error) {
	self := model.Member{
		ID: settings.Instance, Incarnation: model.Incarnation(started.UnixMilli()), DataCentre: settings.DataCentre,
		PeerAddress: settings.PeerAddress, CallerAddress: settings.CallerAddress, State: model.MemberAlive,
	}
	options := jujubecore.DefaultOptions(self)
	options.Seed = started.UnixNano()
	options.Step.StallTimeout = settings.StallTimeout
	options.Policy = settings.Policy
	core, err := jujubecore.New(options)
	if err != nil {
		return nil, nil, errors.Wrap(err, "build core")
	}
	logs, closeLogs := jujubeclient.NewLogClient(settings.LogAddress, controlTimeout)
	transport := newTransport()
	client := &http.Client{Transport: transport}
	s := &Service{
		settings: settings, self: self, log: jujubeevent.NewLog(logger), core: core, tomb: new(tomb.Tomb),
		engine:  &jujubeclient.EngineClient{HTTP: client},
		list:    &jujubeclient.ListClient{HTTP: client, URL: "http://" + settings.ListAddress},
		logs:    logs,
		peers:   jujubepeer.NewPool(),
		waiters: make(map[model.RequestID]chan jujuberouter.Decision),
		aborts:  make(map[model.RequestID]context.CancelFunc),
		streams: newStreamTable(), answers: newAnswerTable(), wake: make(chan struct{}),
		single: newSingleClient(), recent: newRecentRequests(),
	}
	s.metrics = newMetrics(s)
	clean := func() {
		transport.CloseIdleConnections()
		closeLogs()
		s.peers.Close()
	}
	return s, clean, nil
}

// newTransport returns the transport for calls that may be repeated: net/http repeats a GET by itself when a kept
// connection breaks before the answer. Calls that must not be repeated go through newSingleClient.
func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = 64
	transport.MaxIdleConns = 4096
	transport.IdleConnTimeout = 30 * time.Second
	transport.DisableCompression = true
	transport.ForceAttemptHTTP2 = false
	return transport
}

// Run starts the periodic work and returns when the context ends and the graceful shutdown is done, or on a failure.
func (s *Service) Run(ctx context.Context) error {
	s.tomb.Go(func() error { return s.tick(s.tomb.Context(nil)) })
	s.tomb.Go(func() error { return s.pollList(s.tomb.Context(nil)) })
	s.tomb.Go(func() error { return s.renewRow(s.tomb.Context(nil)) })
	s.tomb.Go(func() error { return s.pollEndpoints(s.tomb.Context(nil)) })
	s.tomb.Go(func() error { return s.watchStatus(s.tomb.Context(nil)) })
	s.tomb.Go(func() error { return s.follow(s.tomb.Context(nil), model.StreamConfig) })
	s.tomb.Go(func() error { return s.follow(s.tomb.Context(nil), model.StreamLease) })
	s.log.Write(jujubeevent.InstanceStarted, func() logrus.Fields {
		return logrus.Fields{
			"Instance": s.self.ID, "Incarnation": s.self.Incarnation, "DataCentre": s.self.DataCentre,
			"CallerAddress": s.self.CallerAddress,
		}
	})
	select {
	case <-ctx.Done():
		s.leave()
	case <-s.tomb.Dying():
	}
	s.tomb.Kill(nil)
	err := s.tomb.Wait()
	s.log.Write(jujubeevent.InstanceStopped, func() logrus.Fields { return logrus.Fields{"Instance": s.self.ID} })
	return err
}

func (s *Service) tick(ctx context.Context) error {
	ticker := time.NewTicker(jujubecore.TickPeriod)
	defer ticker.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.mu.Lock()
		s.begin(s.core.Tick(time.Now()))
		s.wakePulls()
		isReady, isReplaced := s.core.IsReady(), s.core.IsReplaced()
		s.mu.Unlock()
		if isReplaced {
			s.log.Write(jujubeevent.InstanceReplaced, func() logrus.Fields { return logrus.Fields{"Instance": s.self.ID} })
			return ErrReplaced{Instance: s.self.ID}
		}
		if isReady && !ready {
			s.log.Write(jujubeevent.InstanceReady, func() logrus.Fields { return logrus.Fields{"Instance": s.self.ID} })
		}
		ready = isReady
	}
}

// ErrReplaced ends a process whose instance id another process has taken over.
type ErrReplaced struct {
	Instance model.InstanceID
}

// Error names the instance.
func (e ErrReplaced) Error() string {
	return "instance " + string(e.Instance) + " runs elsewhere with a newer incarnation, or this machine's clock is behind"
}

// wakePulls lets the waiting pulls look for groups again. The caller holds mu.
func (s *Service) wakePulls() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// apply gives the core an event, begins the actions that go elsewhere and returns all of them.
func (s *Service) apply(event jujubecore.Event) []jujubecore.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.core.Apply(time.Now(), event)
	s.begin(actions)
	switch event.(type) {
	case jujubecore.SampleScored, jujubecore.StreamEnded:
		// The last sample of a group may have come.
		s.wakePulls()
	}
	return actions
}

// answerOf returns the first action of a type.
func answerOf[T jujubecore.Action](actions []jujubecore.Action) (T, bool) {
	for _, action := range actions {
		if answer, ok := action.(T); ok {
			return answer, true
		}
	}
	var none T
	return none, false
}

// Kill ends the instance at once, without the graceful shutdown.
func (s *Service) Kill() { s.tomb.Kill(nil) }
