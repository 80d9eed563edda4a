package jujubeentry

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubecore"
)

// Probes distinguish a crash from a broken connection. A process that is terminating may still accept connections for a
// moment, so the probe is repeated.
const (
	probeTimeout = 500 * time.Millisecond
	probeRepeats = 3
	probePause   = 100 * time.Millisecond
)

// probeLost probes an endpoint after a broken connection and reports whether its incarnation has ended. If so, the core is
// informed of the loss.
func (s *Service) probeLost(ctx context.Context, id model.EndpointID) bool {
	s.mu.Lock()
	endpoint, known := s.core.Endpoint(id)
	s.mu.Unlock()
	if !known {
		return false
	}
	for range probeRepeats {
		report, err := s.readLoad(ctx, endpoint.Address)
		if isConnectionRefused(err) || (err == nil && report.Incarnation > endpoint.Incarnation) {
			s.reportLost(endpoint)
			if err == nil {
				s.apply(jujubecore.LoadReported{Report: report})
			}
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(probePause):
		}
	}
	return false
}

func (s *Service) reportLost(endpoint model.Endpoint) {
	s.apply(jujubecore.EndpointLost{Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation})
	s.log.Write(jujubeevent.EndpointLost, func() logrus.Fields {
		return logrus.Fields{"Endpoint": endpoint.ID, "Incarnation": endpoint.Incarnation}
	})
}

func (s *Service) readLoad(ctx context.Context, address string) (model.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return s.engine.ReadLoad(ctx, address)
}

// isConnectionRefused reports whether the connection was refused: nothing listens at the address, so the process has ended.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
