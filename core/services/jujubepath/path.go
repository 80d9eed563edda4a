// Package jujubepath decides how an instance reaches the platform's store: directly, or through another instance (a peer) while
// the store rejects this instance's calls or is unreachable from it.
package jujubepath

import (
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Settings are the intervals and limits of the decision.
type Settings struct {
	// ProbeInterval is the time between two direct probes while peers are used, and thus the delay until the store's recovery is
	// detected. 372 instances together make 2,500 probes a second, 0.4 of the store's reads.
	ProbeInterval time.Duration
	// PeerRetryDelay is how long a peer isn't used after a failed call through it. While the store is unavailable to all
	// instances, this bounds how often each peer is called.
	PeerRetryDelay time.Duration
	// BusyTolerance is how long refusals for too many calls, without a success in between, are attributed to the load of all
	// instances together. After that, the store is assumed to reject this instance.
	BusyTolerance time.Duration
}

// DefaultSettings returns settings for outages of a few seconds.
func DefaultSettings() Settings {
	return Settings{ProbeInterval: 150 * time.Millisecond, PeerRetryDelay: 700 * time.Millisecond, BusyTolerance: 500 * time.Millisecond}
}

// Path is the route of an instance's calls to one part of the store. It isn't safe for concurrent use.
type Path struct {
	settings Settings
	// indirect is true from a failed direct call until the next successful one.
	indirect bool
	// peerPausedUntil holds the peers whose last call failed, and until when they aren't used.
	peerPausedUntil map[model.InstanceID]time.Time
	// currentPeer is the last chosen peer, initially this instance itself.
	currentPeer model.InstanceID
	// hasFailed is true once a call through currentPeer has failed. Another call through it may have succeeded since: a peer may read
	// although its appends get no response.
	hasFailed bool
}

// New returns a direct path. Its first peer is the next instance after this one by name, so that instances that the store rejects
// at the same time don't all call the same peer.
func New(self model.InstanceID, settings Settings) *Path {
	return &Path{settings: settings, currentPeer: self, peerPausedUntil: make(map[model.InstanceID]time.Time)}
}

// IsDirect reports whether calls go directly to the store.
func (p *Path) IsDirect() bool { return !p.indirect }

// RecordDirect records the outcome of a direct call. It returns true when the path changes between direct and indirect.
func (p *Path) RecordDirect(ok bool) bool {
	changed := p.indirect == ok
	p.indirect = !ok
	return changed
}

// ChoosePeer returns the peer to call; ok is false when all are paused. The same peer is used until a call through it fails.
func (p *Path) ChoosePeer(now time.Time, live []model.InstanceID) (id model.InstanceID, ok bool) {
	if !p.hasFailed && slices.Contains(live, p.currentPeer) && !now.Before(p.peerPausedUntil[p.currentPeer]) {
		return p.currentPeer, true
	}
	start := 0
	for i, peer := range live {
		if peer > p.currentPeer {
			start = i
			break
		}
	}
	for i := range live {
		peer := live[(start+i)%len(live)]
		if !now.Before(p.peerPausedUntil[peer]) {
			p.currentPeer, p.hasFailed = peer, false
			return peer, true
		}
	}
	return "", false
}

// maxPausedPeers bounds the peers that failed lately among those to try: while the store is away for all, each instance would
// otherwise ask all others without end.
const maxPausedPeers = 2

// OrderPeers returns up to count peers in the order in which to try them for one call: the one that is used now, then the next by
// name. Of those that failed lately only two are among them, at last.
func (p *Path) OrderPeers(now time.Time, live []model.InstanceID, count int) []model.InstanceID {
	start, _ := slices.BinarySearch(live, p.currentPeer)
	var ordered, paused []model.InstanceID
	for i := range live {
		peer := live[(start+i)%len(live)]
		if now.Before(p.peerPausedUntil[peer]) {
			paused = append(paused, peer)
		} else {
			ordered = append(ordered, peer)
		}
	}
	ordered = append(ordered, paused[:min(maxPausedPeers, len(paused))]...)
	return ordered[:min(count, len(ordered))]
}

// RecordPeer records the outcome of a call through a peer.
func (p *Path) RecordPeer(now time.Time, id model.InstanceID, ok bool) {
	if ok {
		delete(p.peerPausedUntil, id)
		return
	}
	p.hasFailed = p.hasFailed || id == p.currentPeer
	p.peerPausedUntil[id] = now.Add(p.settings.PeerRetryDelay)
}
