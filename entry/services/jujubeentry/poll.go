package jujubeentry

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubecore"
)

// pollList reads the instance list repeatedly until the context ends.
func (s *Service) pollList(ctx context.Context) error {
	unavailable, entries := false, 0
	for {
		list, err := s.readList(ctx)
		if err == nil {
			entries = len(list.Endpoints) + len(list.Entries)
			s.apply(jujubecore.InstancesListed{List: list})
		}
		if err != nil && !unavailable {
			s.log.Write(jujubeevent.ListUnavailable, func() logrus.Fields { return logrus.Fields{"Error": err.Error()} })
		}
		unavailable = err != nil
		s.mu.Lock()
		live, rank := len(s.core.Members()), s.core.Rank()
		s.mu.Unlock()
		if !sleep(ctx, ListReadDelay(time.Now(), s.settings.ListPeriod, entries, live, rank)) {
			return nil
		}
	}
}

func (s *Service) readList(ctx context.Context) (model.InstanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return s.list.Instances(ctx)
}

// renewRegistration periodically renews the instance's own entry in the instance list, if Settings.Register is set.
func (s *Service) renewRegistration(ctx context.Context) error {
	if !s.settings.Register {
		return nil
	}
	return s.runPeriodically(ctx, s.settings.ListPeriod, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		// pollList logs that the list is unavailable.
		_ = s.list.Register(ctx, s.ownEntry())
	})
}

func (s *Service) ownEntry() model.Member {
	entry := s.self
	if s.isLeaving() {
		entry.State = model.MemberLeaving
	}
	return entry
}

// runPeriodically calls work immediately and then once per period, until the context ends.
func (s *Service) runPeriodically(ctx context.Context, period time.Duration, work func(ctx context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// poller is the state of the goroutine that reads the load of one endpoint.
type poller struct {
	address string
	cancel  context.CancelFunc
	endedCh chan struct{}
	// dueCh receives a value for each read to make. Its capacity is one, so that reads of a slow endpoint don't accumulate.
	dueCh    chan struct{}
	lastRead time.Time
}

// pollEndpoints runs a poller for each endpoint that the core lists, stops those of other endpoints, and schedules the reads.
func (s *Service) pollEndpoints(ctx context.Context) error {
	pollers := make(map[model.EndpointID]*poller)
	err := s.runPeriodically(ctx, s.settings.LoadPeriod, func(ctx context.Context) {
		now := time.Now()
		s.mu.Lock()
		endpoints, live := s.core.PolledEndpoints(now), len(s.core.Members())
		s.mu.Unlock()
		listed := make(map[model.EndpointID]bool, len(endpoints))
		for _, endpoint := range endpoints {
			listed[endpoint.ID] = true
			p, exists := pollers[endpoint.ID]
			if exists && p.address != endpoint.Address {
				p.cancel()
				exists = false
			}
			if !exists {
				pollerCtx, cancel := context.WithCancel(ctx)
				p = &poller{address: endpoint.Address, cancel: cancel, endedCh: make(chan struct{}), dueCh: make(chan struct{}, 1)}
				pollers[endpoint.ID] = p
				go s.pollEndpoint(pollerCtx, endpoint.Endpoint, p)
			}
			if IsLoadReadDue(now, s.settings.LoadPeriod, p.lastRead, endpoint, len(endpoints), live) {
				p.lastRead = now
				select {
				case p.dueCh <- struct{}{}:
				default:
				}
			}
		}
		for id, p := range pollers {
			if !listed[id] {
				p.cancel()
				delete(pollers, id)
			}
		}
	})
	for _, p := range pollers {
		p.cancel()
		<-p.endedCh
	}
	return err
}

// pollEndpoint reads one endpoint's load and, for engines, its cache events. An offset computed from the ids of endpoint and
// instance spreads the reads over a period, so that those of all endpoints don't coincide.
func (s *Service) pollEndpoint(ctx context.Context, endpoint model.Endpoint, p *poller) {
	defer close(p.endedCh)
	offset := phaseOffset(string(endpoint.ID)+string(s.self.ID), s.settings.LoadPeriod)
	var seq int64
	nextCache := time.Now()
	for s.waitForRead(ctx, endpoint.ID, p, offset) {
		report, err := s.readLoad(ctx, endpoint.Address)
		switch {
		case err == nil:
			s.apply(jujubecore.LoadReported{Report: report})
		case isConnectionRefused(err) && s.hasInFlightOn(endpoint.ID):
			s.probeLost(ctx, endpoint.ID)
		default:
			s.log.Write(jujubeevent.EndpointUnhealthy, func() logrus.Fields {
				return logrus.Fields{"Endpoint": endpoint.ID, "Error": err.Error()}
			})
		}
		if err == nil && endpoint.Kind == model.KindEngine && !time.Now().Before(nextCache) && s.isReadingCache() {
			nextCache = time.Now().Add(s.settings.CachePeriod)
			seq = s.readCache(ctx, endpoint, seq)
		}
	}
}

// isReadingCache reports whether cache events are read. With many instances each of them sends an engine only a few of the
// engine's requests and knows the prefixes of those from sending them; reading the events caused by all other instances'
// requests would exceed the limit on control traffic.
func (s *Service) isReadingCache() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.core.Members()) <= fixedPeriodInstances
}

// waitForRead waits until the endpoint's load should be read and returns false when the context has ended. The leader of a
// rollout reads the few engines that are swapping more often, because the next order waits until a swap has ended; with many
// instances that would exceed the leader's limit on control traffic.
func (s *Service) waitForRead(ctx context.Context, id model.EndpointID, p *poller, offset time.Duration) bool {
	const swapPeriod = 100 * time.Millisecond
	s.mu.Lock()
	swapping := s.core.IsSwapping(id) && len(s.core.Members()) <= fixedPeriodInstances
	s.mu.Unlock()
	if swapping {
		return sleep(ctx, min(s.settings.LoadPeriod, swapPeriod))
	}
	select {
	case <-ctx.Done():
		return false
	case <-p.dueCh:
		return sleep(ctx, offset)
	}
}

func (s *Service) hasInFlightOn(id model.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.InFlightOn(id) > 0
}

func (s *Service) readCache(ctx context.Context, endpoint model.Endpoint, seq int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	events, err := s.engine.CacheEvents(ctx, endpoint.Address, strconv.FormatInt(seq, 10))
	if err != nil || len(events) == 0 {
		return seq
	}
	s.apply(jujubecore.CacheReported{Endpoint: endpoint.ID, Events: events})
	return events[len(events)-1].Seq
}

// phaseOffset maps a key to a fixed offset within a period.
func phaseOffset(key string, period time.Duration) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	return time.Duration(hash.Sum64() % uint64(period))
}

// sleep waits and returns false when the context has ended.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
