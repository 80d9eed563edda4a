package jujubeentry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/entry/modules/jujubepeer"
)

// peerTimeout bounds a short call to another instance. It is below the probe timeout of the membership protocol.
const peerTimeout = 450 * time.Millisecond

// maxReleaseAttempts bounds the attempts to release a grant at the coordinator of suspect requests.
const maxReleaseAttempts = 3

// ForwardArgs contains a non-idempotent call that is forwarded to the instance that issued its key.
type ForwardArgs struct {
	Call        Call
	Owner       model.InstanceID
	Incarnation model.Incarnation
}

// ForwardReply is the owner's reply. Refused is set instead of Answer if the call was refused.
type ForwardReply struct {
	Answer  CallAnswer
	Refused *jujubeerror.ErrRefused
}

// ImportArgs contains the idempotency keys that an instance hands over to its successor when it shuts down.
type ImportArgs struct {
	From        model.InstanceID
	Incarnation model.Incarnation
	Entries     []jujubeclaim.Entry
}

// Empty is the argument or reply of a call that has none.
type Empty struct{ Unused bool }

// PeerTraffic returns the traffic of this instance's calls to others since the start.
func (s *Service) PeerTraffic() jujubepeer.Traffic { return s.peers.Traffic() }

func (s *Service) sendPeer(ctx context.Context, action jujubecore.SendPeer) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply model.PeerMessage
	err := s.peers.Call(ctx, action.Address, "Peer.Exchange", action.Message, &reply)
	if err != nil {
		s.log.Write(jujubeevent.PeerFailed, func() logrus.Fields {
			return logrus.Fields{"Peer": action.To, "Error": err.Error()}
		})
		s.apply(jujubecore.PeerFailed{Instance: action.To})
		return
	}
	s.apply(jujubecore.PeerAnswered{Message: reply})
}

// HandleExchange handles a message of the membership protocol and returns the reply.
func (s *Service) HandleExchange(message model.PeerMessage) model.PeerMessage {
	reply, _ := firstAction[jujubecore.PeerReply](s.apply(jujubecore.PeerReceived{Message: message}))
	return reply.Message
}

func (s *Service) fetchConfig(ctx context.Context, from model.Member) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var state jujubeconfig.State
	if err := s.peers.Call(ctx, from.PeerAddress, "Peer.FetchConfig", Empty{}, &state); err != nil || !state.Known {
		// The core retries with another peer after a delay.
		return
	}
	s.log.Write(jujubeevent.ConfigFetched, func() logrus.Fields {
		return logrus.Fields{"From": from.ID, "Revision": state.Revision}
	})
	s.apply(jujubecore.ConfigReceived{State: state})
}

// ConfigState returns the state of the configuration for another instance.
func (s *Service) ConfigState() jujubeconfig.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ConfigState()
}

func (s *Service) askSuspect(ctx context.Context, action jujubecore.AskSuspect) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	granted := jujubecore.SuspectGranted{ID: action.ID}
	// When the call fails, OK stays false and the request is refused with a retry time.
	_ = s.peers.Call(ctx, action.Steward.PeerAddress, "Peer.GrantSuspect", action.Ask, &granted.SuspectAnswered)
	s.apply(granted)
}

// GrantSuspect decides, as the coordinator, whether another instance may run a suspect request.
func (s *Service) GrantSuspect(asked jujubecore.SuspectAsked) jujubecore.SuspectAnswered {
	result, _ := firstAction[jujubecore.SuspectAnswered](s.apply(asked))
	if result.OK {
		s.log.Write(jujubeevent.SuspectGranted, func() logrus.Fields {
			return logrus.Fields{"Fingerprint": asked.Fingerprint, "Endpoint": result.Endpoint}
		})
	}
	return result
}

func (s *Service) releaseSuspect(ctx context.Context, action jujubecore.ReleaseSuspect) {
	// A grant that isn't released blocks other suspect requests from its endpoint until the request's deadline.
	for range maxReleaseAttempts {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		err := s.peers.Call(callCtx, action.Steward.PeerAddress, "Peer.ReleaseSuspect", action.Release, &Empty{})
		cancel()
		if err == nil || !sleep(ctx, peerTimeout) {
			return
		}
	}
}

// HandleRelease handles another instance's release of a grant.
func (s *Service) HandleRelease(release jujubecore.SuspectReleased) { s.apply(release) }

// ImportKeys imports the idempotency keys of an instance that shuts down.
func (s *Service) ImportKeys(args ImportArgs) {
	s.apply(jujubecore.KeysImported{From: args.From, Incarnation: args.Incarnation, Entries: args.Entries})
	s.log.Write(jujubeevent.KeysImported, func() logrus.Fields {
		return logrus.Fields{"From": args.From, "Keys": len(args.Entries)}
	})
}
