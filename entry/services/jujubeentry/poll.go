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

// pollList reads the instance list.
func (s *Service) pollList(ctx context.Context) error {
	away, rows := false, 0
	for {
		list, err := s.readList(ctx)
		if err == nil {
			rows = len(list.Endpoints) + len(list.Entries)
			s.apply(jujubecore.InstancesListed{List: list})
		}
		if err != nil && !away {
			s.log.Write(jujubeevent.ListUnavailable, func() logrus.Fields { return logrus.Fields{"Error": err.Error()} })
		}
		away = err != nil
		s.mu.Lock()
		live, rank := len(s.core.Members()), s.core.Rank()
		s.mu.Unlock()
		if !sleep(ctx, ListPause(time.Now(), s.settings.ListPeriod, rows, live, rank)) {
			return nil
		}
	}
}

func (s *Service) readList(ctx context.Context) (model.InstanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return s.list.Instances(ctx)
}

// renewRow writes the instance's own row to the list, where the platform asks for that.
func (s *Service) renewRow(ctx context.Context) error {
	if !s.settings.Register {
		return nil
	}
	return s.every(ctx, s.settings.ListPeriod, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		// A list that isn't reached shows in the reads.
		_ = s.list.Register(ctx, s.ownRow())
	})
}

func (s *Service) ownRow() model.Member {
	row := s.self
	if s.isLeaving() {
		row.State = model.MemberLeaving
	}
	return row
}

// every calls work at once and then once a period, until the context ends.
func (s *Service) every(ctx context.Context, period time.Duration, work func(ctx context.Context)) error {
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

// poller reads the load of one endpoint each time that it is due.
type poller struct {
	address string
	cancel  context.CancelFunc
	ended   chan struct{}
	// due gets a value for each read; it holds one, so that a slow endpoint's reads don't pile up.
	due  chan struct{}
	last time.Time
}

// pollEndpoints starts a poller for each endpoint and ends it when the endpoint is no longer listed.
func (s *Service) pollEndpoints(ctx context.Context) error {
	pollers := make(map[model.EndpointID]*poller)
	err := s.every(ctx, s.settings.LoadPeriod, func(ctx context.Context) {
		now := time.Now()
		s.mu.Lock()
		endpoints, live := s.core.PolledEndpoints(now), len(s.core.Members())
		s.mu.Unlock()
		listed := make(map[model.EndpointID]bool, len(endpoints))
		for _, endpoint := range endpoints {
			listed[endpoint.ID] = true
			current, polled := pollers[endpoint.ID]
			if polled && current.address != endpoint.Address {
				current.cancel()
				polled = false
			}
			if !polled {
				own, cancel := context.WithCancel(ctx)
				current = &poller{address: endpoint.Address, cancel: cancel, ended: make(chan struct{}), due: make(chan struct{}, 1)}
				pollers[endpoint.ID] = current
				go s.pollEndpoint(own, endpoint.Endpoint, current)
			}
			if IsReadDue(now, s.settings.LoadPeriod, current.last, endpoint, len(endpoints), live) {
				current.last = now
				select {
				case current.due <- struct{}{}:
				default:
				}
			}
		}
		for id, current := range pollers {
			if !listed[id] {
				current.cancel()
				delete(pollers, id)
			}
		}
	})
	for _, current := range pollers {
		current.cancel()
		<-current.ended
	}
	return err
}

// pollEndpoint reads one endpoint's load and, for engines, its cache events. The reads are spread over a period by the
// endpoint's id, so that those of all endpoints don't come at once.
func (s *Service) pollEndpoint(ctx context.Context, endpoint model.Endpoint, own *poller) {
	defer close(own.ended)
	offset := spread(string(endpoint.ID)+string(s.self.ID), s.settings.LoadPeriod)
	var seq int64
	nextCache := time.Now()
	for s.waitDue(ctx, endpoint.ID, own, offset) {
		report, err := s.readLoad(ctx, endpoint.Address)
		switch {
		case err == nil:
			s.apply(jujubecore.LoadReported{Report: report})
		case isRefused(err) && s.hasWorkOn(endpoint.ID):
			s.isLost(ctx, endpoint.ID)
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

// isReadingCache tells whether cache events are read. With many instances each one sends an engine few of its requests
// and learns their prefixes as it sends them; the events of all others' requests would exceed the control traffic.
func (s *Service) isReadingCache() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.core.Members()) <= manyInstances
}

// waitDue waits until the endpoint's load should be read, and tells whether the context is still alive. The leader of a
// rollout reads the few engines that swap more often, because the next order waits for the end of a swap; with many
// instances that would exceed its control traffic.
func (s *Service) waitDue(ctx context.Context, id model.EndpointID, own *poller, offset time.Duration) bool {
	const swapPeriod = 100 * time.Millisecond
	s.mu.Lock()
	swapping := s.core.IsSwapping(id) && len(s.core.Members()) <= manyInstances
	s.mu.Unlock()
	if swapping {
		return sleep(ctx, min(s.settings.LoadPeriod, swapPeriod))
	}
	select {
	case <-ctx.Done():
		return false
	case <-own.due:
		return sleep(ctx, offset)
	}
}

func (s *Service) hasWorkOn(id model.EndpointID) bool {
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

// spread maps a key to a time within a period.
func spread(key string, period time.Duration) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	return time.Duration(hash.Sum64() % uint64(period))
}

// sleep waits and tells whether the context is still alive.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
