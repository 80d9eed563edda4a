package jujubeentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubecore"
)

// arrivalGrace is how long requests are still accepted after the last address response has expired: a request that a caller
// sent just before the expiry may still be in transit.
const arrivalGrace = time.Second

// shutdownPollPeriod is the time between two checks for unfinished parts and requests during shutdown.
const shutdownPollPeriod = 50 * time.Millisecond

// admit accepts a request and counts it until the returned function is called. It refuses the request once all address
// responses that contain this instance have expired, or if the shutdown may not wait for its end.
func (s *Service) admit(timeout time.Duration) (func(), error) {
	s.leaveMu.Lock()
	defer s.leaveMu.Unlock()
	now := time.Now()
	if !s.leaveUntil.IsZero() && (now.After(s.leaveUntil.Add(arrivalGrace)) || now.Add(timeout).After(s.leaveUntil.Add(s.settings.ShutdownTimeout))) {
		s.log.Write(jujubeevent.RequestAfterExit, func() logrus.Fields { return logrus.Fields{"Instance": s.self.ID} })
		return nil, jujubeerror.ErrRefused{
			Code: jujubeerror.CodeLeaving, Ran: model.RanNo, RetryAfter: time.Millisecond, Message: "instance is shutting down; use another address",
		}
	}
	return s.trackRequest(), nil
}

// trackRequest counts a request as in service until the returned function is called.
func (s *Service) trackRequest() func() {
	s.requestsInService.Add(1)
	return func() { s.requestsInService.Add(-1) }
}

func (s *Service) isLeaving() bool {
	s.leaveMu.Lock()
	defer s.leaveMu.Unlock()
	return !s.leaveUntil.IsZero()
}

// leave performs the graceful shutdown, which interrupts no request: it announces the shutdown, serves until all address
// responses that contain this instance have expired, waits for step parts and requests to finish, and hands its idempotency
// keys over to another instance.
func (s *Service) leave() {
	s.leaveMu.Lock()
	s.leaveUntil = time.Now().Add(s.settings.AddressValidity + leavePropagation)
	until := s.leaveUntil
	s.leaveMu.Unlock()
	s.apply(jujubecore.LeaveRequested{})
	s.log.Write(jujubeevent.InstanceLeaving, func() logrus.Fields {
		return logrus.Fields{"Instance": s.self.ID, "Until": until.Format(time.RFC3339Nano)}
	})
	ctx, cancel := context.WithDeadline(s.tomb.Context(nil), until.Add(s.settings.ShutdownTimeout))
	defer cancel()
	if !sleep(ctx, time.Until(until.Add(arrivalGrace))) {
		return
	}
	s.waitForParts(ctx)
	s.waitForRequests(ctx)
	s.handOverKeys(ctx)
}

// waitForParts waits until the trainers have pulled all samples of the open step parts, or the context ends.
func (s *Service) waitForParts(ctx context.Context) {
	open := true
	for open && sleep(ctx, shutdownPollPeriod) {
		s.mu.Lock()
		open = s.core.HasOpenParts()
		s.mu.Unlock()
	}
}

// waitForRequests waits until all requests in service have finished, or the context ends.
func (s *Service) waitForRequests(ctx context.Context) {
	for s.requestsInService.Load() > 0 && sleep(ctx, shutdownPollPeriod) {
		continue
	}
}

// handOverKeys transfers the outcomes of non-idempotent requests to the first live instance that accepts them. The keys are
// frozen first, after which this instance runs none, so that no request runs here once its key was handed over.
func (s *Service) handOverKeys(ctx context.Context) {
	s.mu.Lock()
	entries := s.core.FreezeKeys(time.Now())
	members := s.core.Members()
	s.mu.Unlock()
	args := ImportArgs{From: s.self.ID, Incarnation: s.self.Incarnation, Entries: entries}
	for _, member := range members {
		if member.ID == s.self.ID || member.State != model.MemberAlive {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
		err := s.peers.Call(callCtx, member.PeerAddress, "Peer.ImportClaims", args, &Empty{})
		cancel()
		if err == nil {
			s.log.Write(jujubeevent.KeysHandedOver, func() logrus.Fields {
				return logrus.Fields{"To": member.ID, "Keys": len(entries)}
			})
			return
		}
		s.log.Write(jujubeevent.KeyHandOverFail, func() logrus.Fields {
			return logrus.Fields{"To": member.ID, "Keys": len(entries), "Error": err.Error()}
		})
	}
}
