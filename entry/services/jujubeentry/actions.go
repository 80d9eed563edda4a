package jujubeentry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/core/services/jujuberouter"
)

// controlTimeout bounds a control call (log, instance list, engine orders, peers) that has no timeout of its own.
const controlTimeout = 2 * time.Second

// startActions executes the core's actions. Calls over the network run in the background. The caller holds mu.
func (s *Service) startActions(actions []jujubecore.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case jujubecore.RouteDecided:
			s.deliverDecision(a.Decision)
		case jujubecore.AbortRequest:
			if abort, running := s.aborts[a.ID]; running {
				abort()
			}
		case jujubecore.RunStream:
			s.startStream(a)
		case jujubecore.StopStream:
			s.stopStream(a)
		case jujubecore.ForgetStream:
			s.streams.remove(a.Stream)
		case jujubecore.SampleDiscarded:
			s.logDiscarded(a)
		case jujubecore.ScoreSample:
			s.spawn(func(ctx context.Context) { s.scoreSample(ctx, a) })
		case jujubecore.AskSuspect:
			s.spawn(func(ctx context.Context) { s.askSuspect(ctx, a) })
		case jujubecore.ReleaseSuspect:
			s.spawn(func(ctx context.Context) { s.releaseSuspect(ctx, a) })
		case jujubecore.SendPeer:
			s.spawn(func(ctx context.Context) { s.sendPeer(ctx, a) })
		case jujubecore.SendOrder:
			s.spawn(func(ctx context.Context) { s.sendOrder(ctx, a) })
		case jujubecore.AppendLease:
			s.spawn(func(ctx context.Context) { s.appendLease(ctx, a) })
		case jujubecore.AppendConfig:
			s.spawn(func(ctx context.Context) { s.appendCheckpoint(ctx, a) })
		case jujubecore.FetchConfig:
			s.spawn(func(ctx context.Context) { s.fetchConfig(ctx, a.From) })
		case jujubecore.ConfigApplied:
			s.logConfig(a)
		}
	}
}

// spawn runs a call in a goroutine that the service waits for when it stops. Once the service is stopping, spawn does
// nothing.
func (s *Service) spawn(work func(ctx context.Context)) {
	select {
	case <-s.tomb.Dying():
		return
	default:
	}
	s.tomb.Go(func() error {
		work(s.tomb.Context(nil))
		return nil
	})
}

// deliverDecision logs a decision and wakes the request that waits for it.
func (s *Service) deliverDecision(decision jujuberouter.Decision) {
	s.logDecision(decision)
	waiter, waiting := s.waiters[decision.Request]
	if !waiting || decision.Kind == jujuberouter.Wait {
		return
	}
	delete(s.waiters, decision.Request)
	waiter <- decision
}

func (s *Service) logDecision(decision jujuberouter.Decision) {
	event := jujubeevent.RouteDispatched
	switch decision.Kind {
	case jujuberouter.Wait:
		event = jujubeevent.RouteWaiting
	case jujuberouter.Refuse:
		event = jujubeevent.RouteRefused
		if decision.Code == jujubeerror.CodeQuarantined {
			event = jujubeevent.RequestBlocked
		}
	}
	s.metrics.countDecision(decision)
	s.log.Write(event, func() logrus.Fields {
		return logrus.Fields{
			"Request": decision.Request, "Endpoint": decision.Endpoint, "SoftwareVersion": decision.SoftwareVersion, "Reason": decision.Reason, "Code": decision.Code,
			"RetryAfter": decision.RetryAfter.String(), "Policy": decision.Policy, "Considered": decision.Considered,
			"ExpectedWait": decision.ExpectedWait.String(), "Running": decision.Running, "Waiting": decision.Waiting,
			"InFlight": decision.InFlight, "CachedPrefix": decision.CachedPrefix,
		}
	})
}

func (s *Service) logDiscarded(discarded jujubecore.SampleDiscarded) {
	s.metrics.countDiscarded(discarded.Cause, discarded.Tokens)
	s.log.Write(jujubeevent.SampleDiscarded, func() logrus.Fields {
		return logrus.Fields{"Stream": discarded.Stream, "Cause": discarded.Cause, "Tokens": discarded.Tokens}
	})
}

func (s *Service) logConfig(applied jujubecore.ConfigApplied) {
	if applied.Err != nil {
		s.log.Write(jujubeevent.ConfigUnusable, func() logrus.Fields {
			return logrus.Fields{"Revision": applied.Revision, "Error": applied.Err.Error()}
		})
		return
	}
	s.log.Write(jujubeevent.ConfigApplied, func() logrus.Fields {
		return logrus.Fields{"Revision": applied.Revision, "Digest": applied.Digest}
	})
}

func (s *Service) sendOrder(ctx context.Context, action jujubecore.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	s.log.Write(jujubeevent.OrderSent, func() logrus.Fields {
		return logrus.Fields{
			"Endpoint": action.Order.Endpoint, "Model": action.Order.Model, "Version": action.Order.Version, "Fence": action.Order.Fence,
		}
	})
	result, err := s.engine.SendOrder(ctx, action.Address, action.Order)
	answered := jujubecore.OrderAnswered{Endpoint: action.Order.Endpoint, Result: result}
	if err != nil {
		var refused jujubeclient.ErrEngine
		answered.Lost = !errors.As(err, &refused)
		answered.Refusal = model.EngineError{Code: refused.Code, Message: refused.Message, Fence: refused.Fence}
		s.log.Write(jujubeevent.OrderFailed, func() logrus.Fields {
			return logrus.Fields{"Endpoint": action.Order.Endpoint, "Code": refused.Code, "Error": err.Error()}
		})
	}
	s.apply(answered)
}

func (s *Service) appendLease(ctx context.Context, a jujubecore.AppendLease) {
	if !s.appendRecord(ctx, model.StreamLease, a.Record) {
		s.apply(jujubecore.AppendFailed{})
	}
}

func (s *Service) appendRecord(ctx context.Context, stream string, record any) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	_, err := s.logs.Append(ctx, stream, record)
	s.reportLogState(err)
	return err == nil
}

func (s *Service) appendCheckpoint(ctx context.Context, a jujubecore.AppendConfig) {
	if s.appendRecord(ctx, model.StreamConfig, a.Record) {
		s.log.Write(jujubeevent.CheckpointMade, func() logrus.Fields {
			return logrus.Fields{"Through": a.Record.Checkpoint.Through, "Revision": a.Record.Checkpoint.State.Revision}
		})
	}
}
