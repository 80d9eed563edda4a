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

// pollList reads the instance list, and renews the instance's own row where the platform asks for that.
func (s *Service) pollList(ctx context.Context) error {
	away := false
	return s.every(ctx, s.settings.ListPeriod, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		if s.settings.Register {
			// A failed renewal shows in the read that follows.
			_ = s.list.Register(ctx, s.ownRow())
		}
		list, err := s.list.Instances(ctx)
		if err != nil {
			if !away {
				s.log.Write(jujubeevent.ListUnavailable, func() logrus.Fields { return logrus.Fields{"Error": err.Error()} })
			}
			away = true
			return
		}
		away = false
		s.apply(jujubecore.InstancesListed{List: list})
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

// pollEndpoints starts a poller for each endpoint and ends it when the endpoint is no longer listed.
func (s *Service) pollEndpoints(ctx context.Context) error {
	type poller struct {
		address string
		cancel  context.CancelFunc
		ended   chan struct{}
	}
	pollers := make(map[model.EndpointID]poller)
	err := s.every(ctx, s.settings.LoadPeriod, func(ctx context.Context) {
		s.mu.Lock()
		endpoints := s.core.PolledEndpoints(time.Now())
		s.mu.Unlock()
		listed := make(map[model.EndpointID]bool, len(endpoints))
		for _, endpoint := range endpoints {
			listed[endpoint.ID] = true
			current, polled := pollers[endpoint.ID]
			if polled && current.address == endpoint.Address {
				continue
			}
			if polled {
				current.cancel()
			}
			own, cancel := context.WithCancel(ctx)
			ended := make(chan struct{})
			pollers[endpoint.ID] = poller{address: endpoint.Address, cancel: cancel, ended: ended}
			go s.pollEndpoint(own, endpoint, ended)
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

// pollEndpoint reads one endpoint's load and, for engines, its cache events. The start is spread over a period by the
// endpoint's id, so that the reads of all endpoints don't come at once.
func (s *Service) pollEndpoint(ctx context.Context, endpoint model.Endpoint, ended chan<- struct{}) {
	defer close(ended)
	if !sleep(ctx, spread(string(endpoint.ID)+string(s.self.ID), s.settings.LoadPeriod)) {
		return
	}
	var seq int64
	nextCache := time.Now()
	for sleep(ctx, s.loadPeriod(endpoint.ID)) {
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
		if err == nil && endpoint.Kind == model.KindEngine && !time.Now().Before(nextCache) {
			nextCache = time.Now().Add(s.settings.CachePeriod)
			seq = s.readCache(ctx, endpoint, seq)
		}
	}
}

// loadPeriod is the time between two reads of one endpoint's load. With many instances each endpoint is read by many,
// and the reads of one instance are bounded, so that they fit its share of the control traffic; loads also come with
// each answer. The leader of a rollout reads the few engines that swap more often, because the next order waits for the
// end of a swap.
func (s *Service) loadPeriod(id model.EndpointID) time.Duration {
	const (
		manyInstances = 16
		swapPeriod    = 100 * time.Millisecond
		readPause     = 250 * time.Millisecond
	)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.IsSwapping(id) {
		return min(s.settings.LoadPeriod, swapPeriod)
	}
	if len(s.core.Members()) <= manyInstances {
		return s.settings.LoadPeriod
	}
	return max(s.settings.LoadPeriod, readPause*time.Duration(len(s.core.PolledEndpoints(time.Now()))))
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
