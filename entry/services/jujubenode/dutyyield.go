package jujubenode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujuberegistry"
)

// isYielding reports whether this instance leaves the lease to others, because it can't connect to the platform's API and others can;
// the node's lock is held.
func (d *duties) isYielding(now time.Time) bool { return d != nil && d.gate.IsYielding(now) }

// yieldDuties asks the instances that would claim the lease whether they can connect to the platform's API, if this one can't. While
// the API is down for all, the holder stays: a change costs the rollout a lease time.
func (n *Node) yieldDuties(ctx context.Context) {
	n.mu.Lock()
	var others []jujuberegistry.Heartbeat
	if n.duties.gate.ShouldProbe(time.Now()) {
		for _, heartbeat := range n.liveInstances {
			if heartbeat.Instance != n.identity.Instance && heartbeat.State == jujuberegistry.Ready && !heartbeat.CutOff && len(others) < leaseCandidates {
				others = append(others, heartbeat)
			}
		}
	}
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	results := make(chan error, len(others))
	for _, other := range others {
		go func() {
			results <- n.store.pool.Call(ctx, other.PeerAddress, "Relay.ConnectPlatform", &Empty{}, &Empty{})
		}()
	}
	connected := 0
	for range others {
		if err := <-results; err == nil {
			connected++
		}
	}
	if connected == 0 {
		return
	}
	err := n.duties.caller.Connect(ctx)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		// The API is back, and only this instance's next call isn't due yet.
		n.duties.gate.RecordConnected()
		return
	}
	n.duties.gate.Yield(time.Now())
	n.log.Write(jujubeevent.DutyYielded, func() logrus.Fields {
		return logrus.Fields{"Asked": len(others), "Connected": connected}
	})
}

// ConnectPlatform returns an error unless this instance can connect to the platform's API.
func (r *Relay) ConnectPlatform(_ Empty, _ *Empty) error {
	if r.node.duties == nil {
		return errors.New("no duty is set")
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	return r.node.duties.caller.Connect(ctx)
}
