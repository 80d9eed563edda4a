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
	"jujubepier.example/core/services/jujubelease"
	"jujubepier.example/core/services/jujuberegistry"
)

const (
	// leaseTTL is when an unrenewed lease may be claimed, and leaseMargin how much earlier its holder gives it up. The
	// holder renews each third of the TTL, three times before it stops at 1.4 s; the rest covers a renewal's way.
	leaseTTL    = 2 * time.Second
	leaseMargin = 600 * time.Millisecond
	// leaseCalm is how long the log has to be readable before a lease that seems unrenewed is claimed: after an outage of
	// the log its holder needs a moment to renew.
	leaseCalm = 700 * time.Millisecond
	// rolloutPeriod is the time between two looks at the rollout; a load takes about a second.
	rolloutPeriod = 40 * time.Millisecond
	// orderTimeout bounds an order's call; engines answer at once.
	orderTimeout = 700 * time.Millisecond
)

// rollOut keeps the lease and, while this instance holds it, orders weights.
func (n *Node) rollOut(ctx context.Context) error {
	trimmed := time.Now()
	for ctx.Err() == nil {
		n.keepLease(ctx)
		n.order(ctx)
		if n.isLeading() && time.Since(trimmed) > trimPeriod {
			trimmed = time.Now()
			for _, p := range n.partitions {
				p.trim(ctx)
			}
		}
		sleep(ctx, rolloutPeriod)
	}
	return nil
}

// LoadRecord tells all instances of a load, so that they know at once where to send a model's items. It shares a topic
// with the records of the lease.
type LoadRecord struct {
	Engine  model.EndpointID
	Model   model.ModelName
	Version model.WeightVersion
	// Holder announces the order that begins the load; the order is given after the record is on the log.
	Holder model.InstanceID `json:",omitempty"`
	// Ended is true when the version serves.
	Ended bool `json:",omitempty"`
}

// rolloutRecord is a record of the topic that isn't the lease's.
type rolloutRecord struct {
	Load *LoadRecord
}

func (n *Node) applyRollout(now time.Time, offset int64, record Record) {
	n.lease.Apply(model.LogRecord{Offset: offset, Body: record.Value})
	var other rolloutRecord
	// A record that can't be read is passed over by the lease as well.
	if err := json.Unmarshal(record.Value, &other); err != nil || other.Load == nil {
		return
	}
	n.takeLoad(now, *other.Load)
}

// takeLoad takes note of a load; the lock is held.
func (n *Node) takeLoad(now time.Time, load LoadRecord) {
	if load.Ended {
		n.batches.SetVersion(load.Engine, load.Model, load.Version)
		n.fleet.SetVersion(load.Engine, load.Model, load.Version)
		return
	}
	n.fleet.NoteHolder(now, load.Engine, load.Holder)
	n.batches.MarkLoading(load.Engine, load.Model, now.Add(loadNotice))
}

// keepLease claims or renews the lease. The instances with the lowest names try, so that a claim has few rivals.
func (n *Node) keepLease(ctx context.Context) {
	n.mu.Lock()
	now := time.Now()
	// A holder stays one when others come back, and the last one goes first after an outage of the log: each change of hands
	// costs a lease time without orders.
	isLast := n.lease.State(now).Holder == n.identity.Instance
	isNext := n.rank() < leaseCandidates && now.Sub(n.rollout.recovered) > leaseCalm
	candidate := n.state == jujuberegistry.Ready && (!n.leading.IsZero() || n.rollout.isFresh(now) && (isLast || isNext))
	if n.rollout.failing.IsZero() {
		n.lease.SetLogAway(now, false)
	} else {
		// Whoever held the lease when the log was last read still does; a failing read shows only after its timeout.
		n.lease.SetLogAway(n.rollout.caughtUp, true)
	}
	if n.rollout.failing.IsZero() && !n.rollout.caughtUp.IsZero() {
		n.lease.Skip(n.rollout.next)
	}
	records := n.lease.Tick(now, candidate)
	state := n.lease.State(now)
	held := (state.Held || n.leadsAlone(state)) && n.state == jujuberegistry.Ready
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

// leadsAlone tells whether this instance held the lease when the log went away, and the log is away for all: nobody can
// have claimed it since, and the engines' fences keep out whoever leads next.
func (n *Node) leadsAlone(state jujubelease.State) bool {
	return state.Degraded && n.store.isAwayForAll(time.Now())
}

// leaseCandidates is how many instances claim a free lease: two may be lost at once.
const leaseCandidates = 3

func (n *Node) isLeading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leading.IsZero()
}

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
		_, err = n.store.Append(call, topicRollout, 0, []Record{{Value: value}}, position)
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
	if n.leading.IsZero() {
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
	outcome, err := n.callOrder(ctx, order)
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.fleet.Result(now, order, outcome)
	switch outcome {
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

// callOrder announces an order and gives it if this instance still leads then.
func (n *Node) callOrder(ctx context.Context, order jujubefleet.Order) (jujubefleet.Outcome, error) {
	load := LoadRecord{Engine: order.Engine, Model: order.Model, Version: order.Version, Holder: n.identity.Instance}
	err := n.tellLoad(ctx, load)
	n.mu.Lock()
	state := n.lease.State(time.Now())
	n.mu.Unlock()
	if err != nil && !n.leadsAlone(state) {
		return jujubefleet.Refused, err
	}
	if !state.Held && !n.leadsAlone(state) || state.Fence != order.Fence {
		return jujubefleet.Refused, errors.New("the lease has ended")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return n.engines.Order(ctx, order, string(n.identity.Instance))
}

func (n *Node) readEngine(ctx context.Context, engine jujubefleet.Engine) {
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := n.engines.ReadState(call, engine)
	if err != nil {
		n.log.Write(jujubeevent.EndpointUnhealthy, func() logrus.Fields {
			return logrus.Fields{"Endpoint": engine.ID, "Error": errors.Cause(err).Error()}
		})
		return
	}
	if order, ok := n.takeReport(state); ok && state.Versions[order.Model] >= order.Version {
		// Without the record the others learn of the version from the engine's entry.
		_ = n.tellLoad(ctx, LoadRecord{Engine: engine.ID, Model: order.Model, Version: order.Version, Ended: true})
	}
}

// takeReport applies an engine's state and returns the order that was out until then.
func (n *Node) takeReport(state jujubefleet.Report) (jujubefleet.Order, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	incarnation, ok := n.births.NoteAnswer(now, state.Engine, state.Incarnation)
	if !ok {
		n.log.Write(jujubeevent.EndpointStale, func() logrus.Fields {
			return logrus.Fields{"Endpoint": state.Engine, "Born": state.Incarnation, "Source": "Answer"}
		})
		return jujubefleet.Order{}, false
	}
	state.Incarnation = incarnation
	order, ok := n.fleet.Outstanding(state.Engine)
	n.fleet.Report(now, state)
	for name, version := range state.Versions {
		n.batches.SetVersion(state.Engine, name, version)
	}
	n.wakeUp()
	return order, ok
}
