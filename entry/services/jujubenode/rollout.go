package jujubenode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubefleet"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// leaseTTL is when an unrenewed lease may be claimed, and leaseMargin how much earlier its holder gives it up. The
	// holder renews each third of the TTL and stops after 1.5 s without an answer.
	leaseTTL    = 3200 * time.Millisecond
	leaseMargin = 1700 * time.Millisecond
	// rolloutPeriod is the time between two looks at the rollout; a load takes about a second.
	rolloutPeriod = 40 * time.Millisecond
	// orderTimeout bounds an order's call; engines answer at once.
	orderTimeout = 700 * time.Millisecond
)

// rollOut keeps the lease and, while this instance holds it, orders weights.
func (n *Node) rollOut(ctx context.Context) error {
	for ctx.Err() == nil {
		n.keepLease(ctx)
		n.order(ctx)
		sleep(ctx, rolloutPeriod)
	}
	return nil
}

func (n *Node) applyLease(_ time.Time, offset int64, record Record) {
	n.lease.Apply(model.LogRecord{Offset: offset, Body: record.Value})
}

// keepLease claims or renews the lease. The instances with the lowest names try, so that a claim has few rivals.
func (n *Node) keepLease(ctx context.Context) {
	n.mu.Lock()
	now := time.Now()
	candidate := n.state == jujuberegistry.Ready && n.rank() < leaseCandidates && n.leases.isFresh(now)
	if n.state == jujuberegistry.Leaving {
		// The last order was given when leaving began; the lease is free a lease time later.
		candidate = false
	}
	n.lease.SetLogAway(now, !n.leases.failing.IsZero())
	if n.leases.failing.IsZero() && !n.leases.caughtUp.IsZero() {
		n.lease.Skip(n.leases.next)
	}
	records := n.lease.Tick(now, candidate)
	state := n.lease.State(now)
	held := state.Held && n.state == jujuberegistry.Ready
	switch {
	case held && (n.leading.IsZero() || n.leadFence != state.Fence):
		n.leading, n.leadFence = now, state.Fence
		n.logLeader(true, state.Fence)
	case !held && !n.leading.IsZero():
		n.leading = time.Time{}
		n.logLeader(false, state.Fence)
	}
	n.mu.Unlock()
	for _, record := range records {
		n.appendLease(ctx, record)
	}
}

// leaseCandidates is how many instances claim a free lease: two may be lost at once.
const leaseCandidates = 3

func (n *Node) rank() int {
	for i, beat := range n.live {
		if beat.Instance == n.identity.Instance {
			return i
		}
	}
	return len(n.live)
}

func (n *Node) logLeader(leading bool, fence int64) {
	n.log.Write(jujubeevent.LeaderChanged, func() logrus.Fields {
		return logrus.Fields{"Leading": leading, "Fence": fence}
	})
}

func (n *Node) appendLease(ctx context.Context, record model.LeaseRecord) {
	value, err := json.Marshal(record)
	position := NoCondition
	n.mu.Lock()
	if record.Claim {
		position = n.lease.Next()
	}
	n.mu.Unlock()
	if err == nil {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = n.store.Append(call, topicLease, 0, []Record{{Value: value}}, position)
		cancel()
	}
	if err == nil {
		return
	}
	n.mu.Lock()
	n.lease.Failed()
	n.mu.Unlock()
	n.log.Write(jujubeevent.LeaseAppendFailed, func() logrus.Fields {
		return logrus.Fields{"Claim": record.Claim, "Renew": record.Renew, "Position": position, "Error": err.Error()}
	})
}

// order gives the orders that are due and reads the engines that have to be read.
func (n *Node) order(ctx context.Context) {
	n.mu.Lock()
	now := time.Now()
	// The former holder's last order is a lease time old before the first one of this instance.
	if n.leading.IsZero() || now.Sub(n.leading) < n.settings.LeaseTime-(leaseTTL-leaseMargin) {
		n.mu.Unlock()
		return
	}
	orders := n.fleet.Plan(now, n.leadFence)
	due := n.fleet.Due(now)
	n.mu.Unlock()
	for _, one := range orders {
		n.log.Write(jujubeevent.OrderSent, func() logrus.Fields {
			return logrus.Fields{
				"Endpoint": one.Engine, "Model": one.Model, "Version": one.Version, "Fence": one.Fence, "Expected": one.Expected, "Mode": one.Mode,
			}
		})
		n.tomb.Go(func() error { n.giveOrder(ctx, one); return nil })
	}
	for _, engine := range due {
		n.tomb.Go(func() error { n.readEngine(ctx, engine); return nil })
	}
}

func (n *Node) giveOrder(ctx context.Context, order jujubefleet.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := n.engines.Order(ctx, order, string(n.identity.Instance))
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.fleet.Result(now, order, outcome)
	switch outcome {
	case jujubefleet.Started:
		n.batches.MarkLoading(order.Engine, order.Model, now.Add(jujubefleet.DefaultSettings().LoadTime))
	case jujubefleet.Holds:
		n.batches.SetVersion(order.Engine, order.Model, order.Version)
	case jujubefleet.Fenced:
		// Another instance leads: this one gives the lease up until it has read why.
		n.leading = time.Time{}
		n.lease.Deny(order.Fence)
	}
	if outcome != jujubefleet.Started && outcome != jujubefleet.Holds {
		n.log.Write(jujubeevent.OrderFailed, func() logrus.Fields {
			return logrus.Fields{
				"Endpoint": order.Engine, "Model": order.Model, "Version": order.Version, "Fence": order.Fence,
				"Outcome": outcome, "Error": errorText(err),
			}
		})
	}
	n.wakeUp()
}

func (n *Node) readEngine(ctx context.Context, engine jujubefleet.Engine) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := n.engines.ReadState(ctx, engine)
	if err != nil {
		n.log.Write(jujubeevent.EndpointUnhealthy, func() logrus.Fields {
			return logrus.Fields{"Endpoint": engine.ID, "Error": errors.Cause(err).Error()}
		})
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fleet.Report(time.Now(), state)
	for name, version := range state.Versions {
		n.batches.SetVersion(engine.ID, name, version)
	}
	n.wakeUp()
}
