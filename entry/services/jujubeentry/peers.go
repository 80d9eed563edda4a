package jujubeentry

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubeclaim"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujubecore"
)

// peerTimeout bounds a small call to another instance. It is below the probe timeout of the membership protocol.
const peerTimeout = 450 * time.Millisecond

// releaseTries bounds the attempts to tell the steward that a suspect has ended.
const releaseTries = 3

// ForwardArgs carries a non-idempotent call to the instance that issued its key.
type ForwardArgs struct {
	Call        Call
	Owner       model.InstanceID
	Incarnation model.Incarnation
}

// ForwardReply is the owner's answer; Refused is set instead of Answer when the call was refused.
type ForwardReply struct {
	Answer  CallAnswer
	Refused *jujubeerror.ErrRefused
}

// ImportArgs carries the keys of an instance that shuts down.
type ImportArgs struct {
	From        model.InstanceID
	Incarnation model.Incarnation
	Entries     []jujubeclaim.Entry
}

// Empty is the argument or reply of a call that has none.
type Empty struct{ Unused bool }

// maxKeptPeers bounds the connections that are kept open to other instances. A kept connection takes about 28 KB at
// either end, and with 370 instances each is used once in six minutes.
const maxKeptPeers = 32

// peerConnection is a connection to a peer. Guarded by the pool's mu.
type peerConnection struct {
	client *rpc.Client
	// calls counts the calls in progress.
	calls int
	used  time.Time
}

// peerPool keeps the connections that were used last, one to each peer address.
type peerPool struct {
	mu    sync.Mutex
	peers map[string]*peerConnection
	// The counters are those of PeerTraffic.
	calls, sent, received atomic.Int64
}

// PeerTraffic counts what this instance's calls to others have cost.
type PeerTraffic struct {
	Calls int64
	// Sent and Received are bytes within TCP.
	Sent     int64
	Received int64
}

// PeerTraffic returns the counters since the start.
func (s *Service) PeerTraffic() PeerTraffic {
	return PeerTraffic{Calls: s.peers.calls.Load(), Sent: s.peers.sent.Load(), Received: s.peers.received.Load()}
}

// countedConnection adds the bytes of a connection to the pool's counters.
type countedConnection struct {
	net.Conn
	pool *peerPool
}

func (c countedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.pool.received.Add(int64(n))
	return n, err
}

func (c countedConnection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.pool.sent.Add(int64(n))
	return n, err
}

func newPeerPool() *peerPool { return &peerPool{peers: make(map[string]*peerConnection)} }

func (p *peerPool) call(ctx context.Context, address, method string, args, reply any) error {
	peer, err := p.acquire(ctx, address)
	if err != nil {
		return err
	}
	defer p.release(peer)
	p.calls.Add(1)
	call := peer.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		var answered rpc.ServerError
		if done.Error != nil && !errors.As(done.Error, &answered) {
			p.drop(address, peer)
		}
		return errors.Wrap(done.Error, method)
	case <-ctx.Done():
		// A connection that doesn't answer may be dead; the next call opens another one.
		p.drop(address, peer)
		return errors.Wrap(ctx.Err(), method)
	}
}

// acquire returns a connection for one call, which release ends.
func (p *peerPool) acquire(ctx context.Context, address string) (*peerConnection, error) {
	p.mu.Lock()
	peer, known := p.peers[address]
	if known {
		peer.calls++
	}
	p.mu.Unlock()
	if known {
		return peer, nil
	}
	connection, err := dialPeer(ctx, address)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(countedConnection{Conn: connection, pool: p})
	p.mu.Lock()
	defer p.mu.Unlock()
	if kept, known := p.peers[address]; known {
		_ = client.Close()
		kept.calls++
		return kept, nil
	}
	peer = &peerConnection{client: client, calls: 1}
	p.peers[address] = peer
	return peer, nil
}

// release ends a call and closes the connection that has been idle for the longest time when too many are kept.
func (p *peerPool) release(peer *peerConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer.calls--
	peer.used = time.Now()
	if len(p.peers) <= maxKeptPeers {
		return
	}
	oldest := ""
	for address, other := range p.peers {
		if other.calls == 0 && (oldest == "" || other.used.Before(p.peers[oldest].used)) {
			oldest = address
		}
	}
	if oldest != "" {
		_ = p.peers[oldest].client.Close()
		delete(p.peers, oldest)
	}
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: peerTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to peer")
	}
	return connection, nil
}

// callAlone makes a call on a connection of its own: a long call must not end because a short one on the same connection
// timed out.
func callAlone(ctx context.Context, address, method string, args, reply any) error {
	connection, err := dialPeer(ctx, address)
	if err != nil {
		return err
	}
	client := rpc.NewClient(connection)
	defer func() { _ = client.Close() }()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		return errors.Wrap(done.Error, method)
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), method)
	}
}

func (p *peerPool) drop(address string, peer *peerConnection) {
	p.mu.Lock()
	if p.peers[address] == peer {
		delete(p.peers, address)
	}
	p.mu.Unlock()
	_ = peer.client.Close()
}

func (p *peerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.peers {
		_ = peer.client.Close()
		delete(p.peers, address)
	}
}

func (s *Service) sendPeer(ctx context.Context, send jujubecore.SendPeer) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply model.PeerMessage
	err := s.peers.call(ctx, send.Address, "Peer.Exchange", send.Message, &reply)
	if err != nil {
		s.log.Write(jujubeevent.PeerFailed, func() logrus.Fields {
			return logrus.Fields{"Peer": send.To, "Error": err.Error()}
		})
		s.apply(jujubecore.PeerFailed{Instance: send.To})
		return
	}
	s.apply(jujubecore.PeerAnswered{Message: reply})
}

// TakeExchange serves a message of the membership protocol.
func (s *Service) TakeExchange(message model.PeerMessage) model.PeerMessage {
	reply, _ := answerOf[jujubecore.PeerReply](s.apply(jujubecore.PeerReceived{Message: message}))
	return reply.Message
}

func (s *Service) fetchConfig(ctx context.Context, from model.Member) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var state jujubeconfig.State
	if err := s.peers.call(ctx, from.PeerAddress, "Peer.FetchConfig", Empty{}, &state); err != nil || !state.Known {
		// The core asks another peer after a pause.
		return
	}
	s.log.Write(jujubeevent.ConfigFetched, func() logrus.Fields {
		return logrus.Fields{"From": from.ID, "Revision": state.Revision}
	})
	s.apply(jujubecore.ConfigReceived{State: state})
}

// GiveConfig serves the configuration to another instance.
func (s *Service) GiveConfig() jujubeconfig.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.ConfigState()
}

func (s *Service) askSuspect(ctx context.Context, ask jujubecore.AskSuspect) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	granted := jujubecore.SuspectGranted{ID: ask.ID}
	// Without an answer the request is refused with a time to retry.
	_ = s.peers.call(ctx, ask.Steward.PeerAddress, "Peer.GrantSuspect", ask.Ask, &granted.SuspectAnswered)
	s.apply(granted)
}

// GrantSuspect serves another instance's question as the steward.
func (s *Service) GrantSuspect(asked jujubecore.SuspectAsked) jujubecore.SuspectAnswered {
	answer, _ := answerOf[jujubecore.SuspectAnswered](s.apply(asked))
	if answer.OK {
		s.log.Write(jujubeevent.SuspectGranted, func() logrus.Fields {
			return logrus.Fields{"Fingerprint": asked.Fingerprint, "Endpoint": answer.Endpoint}
		})
	}
	return answer
}

func (s *Service) releaseSuspect(ctx context.Context, release jujubecore.ReleaseSuspect) {
	// A grant that isn't released keeps other suspects from its endpoint until the request's deadline.
	for range releaseTries {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		err := s.peers.call(call, release.Steward.PeerAddress, "Peer.ReleaseSuspect", release.Release, &Empty{})
		cancel()
		if err == nil || !sleep(ctx, peerTimeout) {
			return
		}
	}
}

// TakeRelease serves another instance's release of a grant.
func (s *Service) TakeRelease(release jujubecore.SuspectReleased) { s.apply(release) }

// TakeKeys takes over the keys of an instance that shuts down.
func (s *Service) TakeKeys(args ImportArgs) {
	s.apply(jujubecore.KeysImported{From: args.From, Incarnation: args.Incarnation, Entries: args.Entries})
	s.log.Write(jujubeevent.KeysImported, func() logrus.Fields {
		return logrus.Fields{"From": args.From, "Keys": len(args.Entries)}
	})
}
