package jujubeentry

import (
	"context"
	"net"
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
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/modules/jujubememory"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/entry/modules/jujubepeer"
)

const (
	// dialTimeout bounds the time to open a connection to an endpoint, and keepAliveInterval is the time between probes of an idle one.
	dialTimeout, keepAliveInterval = 30 * time.Second, 30 * time.Second
)

// Service is one entry instance. The routers call its exported methods.
type Service struct {
	settings Settings
	self     model.Member
	log      *jujubeevent.Log
	metrics  *Metrics
	tomb     *tomb.Tomb

	engine *jujubeclient.EngineClient
	list   *jujubeclient.InstanceListClient
	logs   *jujubeclient.LogClient
	peers  *jujubepeer.Pool

	// mu serialises calls to the core and the start of the resulting actions, so that actions start in the core's order.
	mu   sync.Mutex
	core *jujubecore.Core
	// waiters holds a channel for each request that waits for a RouteDecided. Guarded by mu.
	waiters map[model.RequestID]chan jujuberouter.Decision
	// aborts holds a cancel function for each running attempt that can be retried. Guarded by mu.
	aborts  map[model.RequestID]context.CancelFunc
	streams *streamTable
	// wakeCh is closed and replaced whenever a waiting pull may find new groups. Guarded by mu.
	wakeCh chan struct{}
	// inProgress holds a channel for each non-idempotent request in progress. Guarded by mu.
	inProgress *inProgressTable

	// bodies bounds the total memory of the bodies of calls and their responses.
	bodies *jujubememory.Budget
	// singleUseClient opens a connection for each request; see newSingleUseClient.
	singleUseClient *http.Client
	attempts        attemptCounter
	recent          *recentRequests
	// requestsInService is the number of requests that are being served.
	requestsInService atomic.Int64
	// leaveUntil is zero until the shutdown begins. Guarded by leaveMu.
	leaveUntil time.Time
	leaveMu    sync.Mutex
}

// New builds an instance; Run starts it. The returned function closes its connections.
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
	client := &http.Client{Transport: transport, CheckRedirect: keepRedirect}
	s := &Service{
		settings: settings, self: self, log: jujubeevent.NewLog(logger), core: core, tomb: new(tomb.Tomb),
		engine:  &jujubeclient.EngineClient{HTTP: client},
		list:    &jujubeclient.InstanceListClient{HTTP: client, URL: "http://" + settings.ListAddress},
		logs:    logs,
		peers:   jujubepeer.NewPool(nil),
		waiters: make(map[model.RequestID]chan jujuberouter.Decision),
		aborts:  make(map[model.RequestID]context.CancelFunc),
		streams: newStreamTable(), inProgress: newInProgressTable(), wakeCh: make(chan struct{}),
		bodies:          jujubememory.NewBudget(int(settings.MaxBufferedBytes)),
		singleUseClient: newSingleUseClient(), recent: newRecentRequests(),
	}
	s.metrics = newMetrics(s)
	cleanup := func() {
		transport.CloseIdleConnections()
		closeLogs()
		s.peers.Close()
	}
	return s, cleanup, nil
}

// keepRedirect makes a client return redirects instead of following them: that would send the request a second time.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newTransport returns the transport for calls to endpoints.
func newTransport() *http.Transport {
	transport := jujubehttp.NewTransport((&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}).DialContext)
	transport.MaxIdleConnsPerHost, transport.MaxIdleConns, transport.IdleConnTimeout = 64, 4096, 30*time.Second
	transport.ExpectContinueTimeout, transport.DisableCompression = time.Second, true
	return transport
}

// Run starts the background work. It returns after the graceful shutdown that follows the end of the context, or earlier when
// the background work fails or Kill is called.
func (s *Service) Run(ctx context.Context) error {
	s.tomb.Go(func() error { return s.tick(s.tomb.Context(nil)) })
	s.tomb.Go(func() error { return s.pollList(s.tomb.Context(nil)) })
	s.tomb.Go(func() error { return s.renewRegistration(s.tomb.Context(nil)) })
	s.tomb.Go(func() error { return s.pollEndpoints(s.tomb.Context(nil)) })
	s.tomb.Go(func() error { return s.logStatusChanges(s.tomb.Context(nil)) })
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

// tick advances the core once per tick period. It returns ErrReplaced when another process uses the instance id.
func (s *Service) tick(ctx context.Context) error {
	ticker := time.NewTicker(jujubecore.TickInterval)
	defer ticker.Stop()
	ready := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.mu.Lock()
		s.startActions(s.core.Tick(time.Now()))
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

// ErrReplaced is the error of an instance whose id is now used by another process.
type ErrReplaced struct {
	Instance model.InstanceID
}

// Error returns a message with the instance's id.
func (e ErrReplaced) Error() string {
	return "instance " + string(e.Instance) + " runs elsewhere with a newer incarnation, or this machine's clock is behind"
}

// wakePulls makes the waiting pulls check for groups again. The caller holds mu.
func (s *Service) wakePulls() {
	close(s.wakeCh)
	s.wakeCh = make(chan struct{})
}

// apply passes an event to the core, starts the resulting actions and returns them.
func (s *Service) apply(event jujubecore.Event) []jujubecore.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.core.Apply(time.Now(), event)
	s.startActions(actions)
	switch event.(type) {
	case jujubecore.SampleScored, jujubecore.StreamEnded:
		// This may have been the last sample of a group.
		s.wakePulls()
	}
	return actions
}

// firstAction returns the first action of type T.
func firstAction[T jujubecore.Action](actions []jujubecore.Action) (T, bool) {
	for _, action := range actions {
		if result, ok := action.(T); ok {
			return result, true
		}
	}
	var none T
	return none, false
}

// Kill stops the instance immediately, without the graceful shutdown.
func (s *Service) Kill() { s.tomb.Kill(nil) }
