package jujubepath

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// EndpointSettings are the intervals and limits of an EndpointPath.
type EndpointSettings struct {
	// MinEndpoints is how many endpoints have to be reachable through peers only before the instance counts as cut off.
	MinEndpoints int
	// EvidenceTTL is how long it counts that an endpoint was reachable through a peer only.
	EvidenceTTL time.Duration
	// ProbeInterval is the time between two direct connections that a cut-off instance tries, and thus the delay until it
	// returns to direct connections.
	ProbeInterval time.Duration
	// UnreachablePause is how long peers aren't asked for an endpoint that they couldn't reach either.
	UnreachablePause time.Duration
	// PeerPause is how long a peer is asked last after it couldn't try to open a connection, and RefusedPause how long after it
	// failed to: either the endpoint is down, or the peer is cut off too and hasn't noticed it.
	PeerPause, RefusedPause time.Duration
}

// DefaultEndpointSettings returns settings for partitions of a few seconds.
func DefaultEndpointSettings() EndpointSettings {
	return EndpointSettings{
		MinEndpoints: 2, EvidenceTTL: 3 * time.Second, ProbeInterval: 500 * time.Millisecond, UnreachablePause: time.Second,
		PeerPause: 2 * time.Second, RefusedPause: 300 * time.Millisecond,
	}
}

// EndpointPath decides how an instance opens connections to endpoints: directly, or through a peer while it is cut off from
// them. An endpoint that is down looks the same from all instances, so only a connection that a peer could open where this
// instance couldn't is evidence of a cut. It isn't safe for concurrent use.
type EndpointPath struct {
	settings EndpointSettings
	// relayed holds when the endpoints that were reached through a peer only were, by their addresses.
	relayed map[string]time.Time
	// unreachableUntil holds the endpoints that peers couldn't reach either, by their addresses.
	unreachableUntil map[string]time.Time
	peerPausedUntil  map[model.InstanceID]time.Time
	// currentPeer opened the last connection.
	currentPeer model.InstanceID
	// cutOff is true from the evidence of a cut until the next direct connection.
	cutOff    bool
	nextProbe time.Time
}

// NewEndpointPath returns a direct path.
func NewEndpointPath(settings EndpointSettings) *EndpointPath {
	return &EndpointPath{
		settings: settings, relayed: make(map[string]time.Time), unreachableUntil: make(map[string]time.Time),
		peerPausedUntil: make(map[model.InstanceID]time.Time),
	}
}

// IsCutOff reports whether the instance counts as cut off from all endpoints.
func (p *EndpointPath) IsCutOff() bool { return p.cutOff }

// PrefersPeer reports whether a connection to an endpoint is first requested from a peer.
func (p *EndpointPath) PrefersPeer(now time.Time, address string) bool {
	return p.cutOff || p.isRelayed(now, address)
}

// MayAskPeers reports whether peers are asked for a connection that failed directly.
func (p *EndpointPath) MayAskPeers(now time.Time, address string) bool {
	return !now.Before(p.unreachableUntil[address])
}

func (p *EndpointPath) isRelayed(now time.Time, address string) bool {
	at, ok := p.relayed[address]
	return ok && now.Sub(at) < p.settings.EvidenceTTL
}

// RecordDirect records the outcome of a direct connection. It returns true if the instance no longer counts as cut off.
func (p *EndpointPath) RecordDirect(address string, ok bool) (changed bool) {
	if !ok {
		return false
	}
	delete(p.unreachableUntil, address)
	if p.cutOff {
		p.cutOff = false
		clear(p.relayed)
		return true
	}
	delete(p.relayed, address)
	return false
}

// RecordRelayed records whether peers could open a connection to an endpoint that this instance didn't reach directly. It returns true if the instance counts as cut off from now on.
func (p *EndpointPath) RecordRelayed(now time.Time, address string, ok bool) (changed bool) {
	if !ok {
		if !p.cutOff {
			p.unreachableUntil[address] = now.Add(p.settings.UnreachablePause)
		}
		return false
	}
	p.relayed[address] = now
	delete(p.unreachableUntil, address)
	for known := range p.relayed {
		if !p.isRelayed(now, known) {
			delete(p.relayed, known)
		}
	}
	if p.cutOff || len(p.relayed) < p.settings.MinEndpoints {
		return false
	}
	p.cutOff, p.nextProbe = true, now.Add(p.settings.ProbeInterval)
	return true
}

// ProbeDue reports whether a cut-off instance should try a direct connection, and starts the interval to the next one.
func (p *EndpointPath) ProbeDue(now time.Time) bool {
	if !p.cutOff || now.Before(p.nextProbe) {
		return false
	}
	p.nextProbe = now.Add(p.settings.ProbeInterval)
	return true
}

// Peer is an instance that may open connections for others.
type Peer struct {
	ID         model.InstanceID
	DataCentre model.DataCentre
}

// ChoosePeers returns up to count peers to ask, in order: the one that opened the last connection, then those of other data
// centres, since a cut often affects a whole one, and at last those that failed lately. The order depends on this instance's
// rank, so that instances which are cut off together ask different ones.
func (p *EndpointPath) ChoosePeers(now time.Time, self Peer, live []Peer, count int) []Peer {
	rank := max(0, slices.IndexFunc(live, func(peer Peer) bool { return peer.ID == self.ID }))
	var current, otherCentres, sameCentre, paused []Peer
	for _, peer := range live {
		switch {
		case peer.ID == self.ID:
		case now.Before(p.peerPausedUntil[peer.ID]):
			paused = append(paused, peer)
		case peer.ID == p.currentPeer:
			current = append(current, peer)
		case peer.DataCentre != self.DataCentre:
			otherCentres = append(otherCentres, peer)
		default:
			sameCentre = append(sameCentre, peer)
		}
	}
	chosen := slices.Concat(current, rotate(otherCentres, rank), rotate(sameCentre, rank), rotate(paused, rank))
	return chosen[:min(count, len(chosen))]
}

// rotate returns the list beginning with the element of an index, modulo its length.
func rotate(peers []Peer, first int) []Peer {
	if len(peers) == 0 {
		return nil
	}
	first %= len(peers)
	return slices.Concat(peers[first:], peers[:first])
}

// PeerOutcome is how a peer's attempt to open a connection ended.
type PeerOutcome int

// Outcomes of a peer's attempt.
const (
	PeerOpened PeerOutcome = iota
	// PeerRefused means that the peer couldn't connect to the endpoint.
	PeerRefused
	// PeerUnable means that the peer has no path of its own, is leaving, or can't be reached.
	PeerUnable
)

// RecordPeer records the outcome of a peer's attempt.
func (p *EndpointPath) RecordPeer(now time.Time, id model.InstanceID, outcome PeerOutcome) {
	if outcome == PeerOpened {
		p.currentPeer = id
		delete(p.peerPausedUntil, id)
		return
	}
	pause := p.settings.PeerPause
	if outcome == PeerRefused {
		pause = p.settings.RefusedPause
	}
	p.peerPausedUntil[id] = now.Add(pause)
	if p.currentPeer == id {
		p.currentPeer = ""
	}
}
