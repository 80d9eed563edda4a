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

// arrivalGrace is how much longer than the address answers last requests are taken: one that a caller sent just before its
// answer ran out is still on its way then.
const arrivalGrace = time.Second

// leavePoll is how often the end of the shutdown's conditions is looked at.
const leavePoll = 50 * time.Millisecond

// admit counts a request that begins, or refuses it once the address answers that name this instance have run out.
func (s *Service) admit() (func(), error) {
	s.leaveMu.Lock()
	defer s.leaveMu.Unlock()
	if !s.leaveUntil.IsZero() && time.Now().After(s.leaveUntil.Add(arrivalGrace)) {
		s.log.Write(jujubeevent.RequestAfterExit, func() logrus.Fields { return logrus.Fields{"Instance": s.self.ID} })
		return nil, jujubeerror.ErrRefused{
			Code: jujubeerror.CodeLeaving, Ran: model.RanNo, RetryAfter: time.Millisecond, Message: "instance is shutting down; use another address",
		}
	}
	return s.beginServing(), nil
}

// beginServing counts a request until the returned function is called.
func (s *Service) beginServing() func() {
	s.serving.Add(1)
	return func() { s.serving.Add(-1) }
}

func (s *Service) isLeaving() bool {
	s.leaveMu.Lock()
	defer s.leaveMu.Unlock()
	return !s.leaveUntil.IsZero()
}

// leave shuts the instance down without cutting off a request: it announces the shutdown, serves until the address
// answers that name it have run out, waits for its requests and step parts, hands over its keys and returns.
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
	s.waitParts(ctx)
	s.waitServing(ctx)
	s.handOverKeys(ctx)
}

// waitParts waits until the trainers have taken the samples of the step parts in progress, or the context ends.
func (s *Service) waitParts(ctx context.Context) {
	open := true
	for open && sleep(ctx, leavePoll) {
		s.mu.Lock()
		open = s.core.HasOpenParts()
		s.mu.Unlock()
	}
}

// waitServing waits for the requests that were admitted, until the context ends.
func (s *Service) waitServing(ctx context.Context) {
	for s.serving.Load() > 0 && sleep(ctx, leavePoll) {
		continue
	}
}

// handOverKeys gives the outcomes of non-idempotent requests to another instance. Nothing is run after the freeze, so
// that the successor is the only one that could run a key.
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
		call, cancel := context.WithTimeout(ctx, controlTimeout)
		err := s.peers.Call(call, member.PeerAddress, "Peer.ImportClaims", args, &Empty{})
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
