package jujubenode

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubepath"
	"jujubepier.example/core/services/jujuberegistry"
	"jujubepier.example/entry/modules/jujubepeer"
)

const (
	// peerDialTimeout bounds the time in which a peer opens a connection for this instance. Links have a latency of some
	// ms, and endpoints take 1 ms for a handshake.
	peerDialTimeout = 250 * time.Millisecond
	// peerDialDelay is how long one peer is waited for before the next one is asked as well.
	peerDialDelay = 60 * time.Millisecond
	// maxAskedPeers bounds the peers that are asked for one connection.
	maxAskedPeers = 3
	// checkInterval is the minimum time between two checks of the links that requests without a response cause.
	checkInterval = 500 * time.Millisecond
	// checkedEndpoints is how many endpoints one check connects to, including the one without a response.
	checkedEndpoints = 2
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// endpointPath opens connections to endpoints, through other instances while this one is cut off from them. Other instances open
// theirs directly, so that no connection goes through two of them.
type endpointPath struct {
	node *Node
	dial DialFunc
	// closeIdle closes the idle connections that were opened on the previous path.
	closeIdle func()
	// path and lastCheck are guarded by the node's lock.
	path      *jujubepath.EndpointPath
	lastCheck time.Time
	// cutOffCh gets a value when this instance is cut off; its capacity is one.
	cutOffCh chan struct{}
}

// ConnectEndpoint opens a connection to an endpoint. If this instance can't reach it, another one that can carries the connection.
func (n *Node) ConnectEndpoint(ctx context.Context, address string) (net.Conn, error) {
	p := n.endpointPath
	n.mu.Lock()
	prefersPeer := p.path.PrefersPeer(time.Now(), address)
	n.mu.Unlock()
	if prefersPeer {
		if conn, err := p.connectThroughPeer(ctx, address); err == nil || ctx.Err() != nil {
			return conn, err
		}
		return p.connectDirectly(ctx, address)
	}
	conn, err := p.connectDirectly(ctx, address)
	if err == nil || ctx.Err() != nil {
		return conn, err
	}
	n.mu.Lock()
	mayAskPeers := p.path.MayAskPeers(time.Now(), address)
	n.mu.Unlock()
	if !mayAskPeers {
		return nil, err
	}
	if relayed, peerErr := p.connectThroughPeer(ctx, address); peerErr == nil {
		return relayed, nil
	}
	return nil, err
}

func (p *endpointPath) connectDirectly(ctx context.Context, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, address)
	if ctx.Err() != nil {
		return conn, err // the caller has left, which says nothing about the endpoint
	}
	p.node.mu.Lock()
	changed := p.path.RecordDirect(address, err == nil)
	p.node.mu.Unlock()
	if changed {
		p.handleChange(false, address)
	}
	return conn, err
}

// connectThroughPeer asks other instances for a connection, the next one when one fails or takes long.
func (p *endpointPath) connectThroughPeer(ctx context.Context, address string) (net.Conn, error) {
	n := p.node
	n.mu.Lock()
	peers, addresses := p.choosePeers(time.Now())
	n.mu.Unlock()
	if len(peers) == 0 {
		return nil, jujubepeer.ErrPeerUnable{Reason: "no other instance has a path"}
	}
	ctx, cancel := context.WithTimeout(ctx, peerDialTimeout+maxAskedPeers*peerDialDelay)
	defer cancel()
	type outcome struct {
		conn net.Conn
		peer jujubepath.Peer
		err  error
	}
	outcomes := make(chan outcome, len(peers))
	asked, failed, refused := 0, 0, 0
	ask := func() {
		peer := peers[asked]
		asked++
		go func() {
			args := jujubepeer.OpenArgs{Address: address, Timeout: peerDialTimeout}
			conn, err := n.store.pool.OpenTunnel(ctx, addresses[peer.ID], args)
			outcomes <- outcome{conn, peer, err}
		}()
	}
	ask()
	next := time.NewTicker(peerDialDelay)
	defer next.Stop()
	startedAt := time.Now()
	for failed < len(peers) {
		select {
		case <-next.C:
			if asked < len(peers) {
				ask()
			}
		case got := <-outcomes:
			p.recordPeer(ctx, got.peer.ID, got.err)
			if got.err == nil {
				// Connections that open later are closed.
				go func(remaining int) {
					for range remaining {
						if late := <-outcomes; late.conn != nil {
							_ = late.conn.Close()
						}
					}
				}(asked - failed - 1)
				p.recordRelayed(address, got.peer.ID, startedAt, nil)
				return got.conn, nil
			}
			failed++
			if errors.As(got.err, new(jujubepeer.ErrPeerRefused)) {
				refused++
			}
			if asked < len(peers) {
				ask()
			}
		}
	}
	err := jujubepeer.ErrPeerRefused{Reason: "no instance could open it"}
	if refused > 0 {
		p.recordRelayed(address, "", startedAt, err)
	}
	return nil, err
}

// recordPeer records the outcome of a peer's attempt.
func (p *endpointPath) recordPeer(ctx context.Context, id model.InstanceID, err error) {
	outcome := jujubepath.PeerUnable
	switch {
	case err == nil:
		outcome = jujubepath.PeerOpened
	case errors.Is(ctx.Err(), context.Canceled):
		return // this instance gave up
	case errors.As(err, new(jujubepeer.ErrPeerRefused)):
		outcome = jujubepath.PeerRefused
	}
	p.node.mu.Lock()
	defer p.node.mu.Unlock()
	p.path.RecordPeer(time.Now(), id, outcome)
}

// recordRelayed records a connection that was opened through a peer, or that peers couldn't open either.
func (p *endpointPath) recordRelayed(address string, peer model.InstanceID, startedAt time.Time, err error) {
	n := p.node
	now := time.Now()
	n.mu.Lock()
	changed := p.path.RecordRelayed(now, address, err == nil)
	n.mu.Unlock()
	n.metrics.countTunnel(err == nil)
	n.log.Write(jujubeevent.ConnectionRelayed, func() logrus.Fields {
		return logrus.Fields{"Address": address, "Peer": peer, "Took": now.Sub(startedAt).String(), "Error": errorText(err)}
	})
	if changed {
		p.handleChange(true, address)
	}
}

// handleChange adapts this instance to being cut off from the endpoints or not any more. What failed on the previous path says
// nothing about the endpoints.
func (p *endpointPath) handleChange(cutOff bool, address string) {
	n := p.node
	if cutOff {
		select {
		case p.cutOffCh <- struct{}{}:
		default:
		}
	}
	n.log.Write(jujubeevent.EndpointPathChanged, func() logrus.Fields {
		return logrus.Fields{"Direct": !cutOff, "Address": address}
	})
	n.mu.Lock()
	n.requestHeartbeat()
	n.scheduler.ForgetFailures()
	n.router.ForgetFailures()
	n.notifyChange()
	n.mu.Unlock()
	_ = p.closeIdleConnections()
}

// closeIdleConnections makes the next requests open new connections: those through an instance that leaves would break off.
func (p *endpointPath) closeIdleConnections() error {
	if p.closeIdle != nil {
		p.closeIdle()
	}
	return nil
}

// choosePeers returns the instances to ask for a connection, and the addresses of all others; the lock is held.
func (p *endpointPath) choosePeers(now time.Time) ([]jujubepath.Peer, map[model.InstanceID]string) {
	n := p.node
	self := jujubepath.Peer{ID: n.identity.Instance, DataCentre: n.identity.DataCentre}
	addresses := make(map[model.InstanceID]string)
	var peers []jujubepath.Peer
	for _, heartbeat := range n.liveInstances {
		if heartbeat.Instance != self.ID && (heartbeat.State != jujuberegistry.Ready || heartbeat.CutOff || heartbeat.PeerAddress == "") {
			continue
		}
		peers = append(peers, jujubepath.Peer{ID: heartbeat.Instance, DataCentre: heartbeat.DataCentre})
		addresses[heartbeat.Instance] = heartbeat.PeerAddress
	}
	return p.path.ChoosePeers(now, self, peers, maxAskedPeers), addresses
}

// openForPeer opens a connection for another instance, only directly and only to an endpoint.
func (p *endpointPath) openForPeer(ctx context.Context, address string) (net.Conn, error) {
	n := p.node
	n.mu.Lock()
	_, isEndpoint := n.scheduler.EngineAt(address)
	reason := ""
	switch {
	case n.state != jujuberegistry.Ready:
		reason = "it is starting or leaving"
	case p.path.IsCutOff():
		reason = "it is cut off from the endpoints"
	case !isEndpoint:
		reason = "no endpoint has the address"
	}
	n.mu.Unlock()
	if reason != "" {
		return nil, jujubepeer.ErrPeerUnable{Reason: reason}
	}
	return p.connectDirectly(ctx, address)
}

// checkLinks finds out whether this instance is cut off after a request to an endpoint got no response. It connects to the
// endpoint and to another one, since a single one may be at fault itself.
func (p *endpointPath) checkLinks(address string) {
	n := p.node
	ctx := n.tomb.Context(nil)
	n.mu.Lock()
	now := time.Now()
	isDue := !p.path.IsCutOff() && now.Sub(p.lastCheck) >= checkInterval
	var addresses []string
	if isDue {
		p.lastCheck = now
		addresses = n.scheduler.EngineAddressesAfter(address, checkedEndpoints)
	}
	n.mu.Unlock()
	for _, checked := range addresses {
		n.tomb.Go(func() error {
			if conn, err := n.ConnectEndpoint(ctx, checked); err == nil {
				_ = conn.Close()
			}
			return nil
		})
	}
}

// probe tries a direct connection whenever one is due, while this instance is cut off.
func (p *endpointPath) probe(ctx context.Context) error {
	n := p.node
	address := ""
	for ctx.Err() == nil {
		n.mu.Lock()
		due, isCutOff := p.path.ProbeDue(time.Now()), p.path.IsCutOff()
		if due {
			// The endpoints in turn: one of them may be down.
			addresses := n.scheduler.EngineAddressesAfter(address, checkedEndpoints)
			if len(addresses) > 0 {
				address = addresses[len(addresses)-1]
			}
		}
		n.mu.Unlock()
		if due && address != "" {
			if conn, err := p.connectDirectly(ctx, address); err == nil {
				_ = conn.Close()
			}
		}
		if isCutOff {
			sleep(ctx, probePollInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-p.cutOffCh:
		}
	}
	return nil
}

// isCutOff reports whether this instance reaches endpoints through others only; the lock is held.
func (n *Node) isCutOff() bool { return n.endpointPath.path.IsCutOff() }
