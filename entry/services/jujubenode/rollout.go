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
	"jujubepier.example/core/services/jujubethrottle"
	"jujubepier.example/core/services/jujubeusage"
)

const (
	// leaseTTL is the time after which an unrenewed lease may be claimed, and leaseMargin is how much earlier its
	// holder gives it up. The holder renews every third of the TTL, three times before it stops at 1.4 s; the margin
	// covers the delay of a renewal.
	leaseTTL    = 2 * time.Second
	leaseMargin = 600 * time.Millisecond
	// claimDelayAfterOutage is how long the log must have been readable again before a lease that seems unrenewed is
	// claimed: after an outage of the log the holder, which renews every third of the TTL, must be able to renew first.
	claimDelayAfterOutage = 700 * time.Millisecond
	// rolloutInterval is the time between two runs of the rollout; a load takes about a second.
	rolloutInterval = 40 * time.Millisecond
	// orderTimeout bounds the call that sends an order; engines respond immediately.
	orderTimeout = 700 * time.Millisecond
)

// runRollout maintains the lease and, while this instance holds it, orders engines to load weights and trims the log.
func (n *Node) runRollout(ctx context.Context) error {
	trimmed := time.Now()
	for ctx.Err() == nil {
		n.maintainLease(ctx)
		n.sendOrders(ctx)
		if n.isLeader() && time.Since(trimmed) > trimInterval {
			trimmed = time.Now()
			for _, p := range n.partitions {
				p.trim(ctx)
			}
			n.trimQuarantine(ctx)
		}
		sleep(ctx, rolloutInterval)
	}
	return nil
}

// LoadRecord announces a load to all instances, so that they know immediately where to send a model's items. It shares
// a topic with the lease records.
type LoadRecord struct {
	Engine  model.EndpointID
	Model   model.ModelName
	Version model.WeightVersion
	// Holder is the instance that sends the order to load; the order is sent once the record is on the log.
	Holder model.InstanceID `json:",omitempty"`
	// Ended is true once the engine serves the version.
	Ended bool `json:",omitempty"`
}

// rolloutRecord is a record of the rollout topic that isn't a lease record.
type rolloutRecord struct {
	Load  *LoadRecord         `json:",omitempty"`
	Usage *jujubeusage.Record `json:",omitempty"`
}

// applyRollout applies a record of the rollout topic; the lock is held.
func (n *Node) applyRollout(now time.Time, offset int64, record Record) {
	n.lease.Apply(model.LogRecord{Offset: offset, Body: record.Value})
	n.duties.observeLease(now, n.lease.State(now))
	var decoded rolloutRecord
	// The lease skips records that it can't decode, too.
	if err := json.Unmarshal(record.Value, &decoded); err != nil {
		return
	}
	if decoded.Load != nil {
		n.applyLoad(now, *decoded.Load)
	}
	if decoded.Usage != nil {
		n.applyUsageRecord(*decoded.Usage)
	}
}

// applyLoad records the start or end of a load; the lock is held.
func (n *Node) applyLoad(now time.Time, load LoadRecord) {
	if load.Ended {
		n.scheduler.SetVersion(load.Engine, load.Model, load.Version)
		n.fleet.SetVersion(load.Engine, load.Model, load.Version)
		n.router.DropPrompts(now, load.Engine)
		return
	}
	n.fleet.RecordHolder(now, load.Engine, load.Holder)
	n.scheduler.MarkLoading(load.Engine, load.Model, now.Add(maxLoadTime))
}

// maintainLease claims or renews the lease. Only the first few live instances by name claim it, so that there are few
// competing claims. An instance that is cut off from the endpoints releases it: orders aren't carried by others, as those would
// count as orders of two instances.
func (n *Node) maintainLease(ctx context.Context) {
	n.mu.Lock()
	now := time.Now()
	// The holder keeps the lease when other instances return, and the previous holder claims first after an outage of
	// the log: each change of the holder costs a lease time without orders.
	wasHolder := n.lease.State(now).Holder == n.identity.Instance
	mayClaim := n.rank() < leaseCandidates && now.Sub(n.rolloutFollower.recoveredAt) > claimDelayAfterOutage
	candidate := n.state == jujuberegistry.Ready && !n.isCutOff() && !n.duties.isYielding(now) &&
		(!n.leadingSince.IsZero() || n.rolloutFollower.wasReadRecently() && (wasHolder || mayClaim))
	if n.rolloutFollower.failingSince.IsZero() {
		n.lease.SetLogUnavailable(now, false)
	} else {
		// The holder as of the last read still holds the lease. The time of the last complete read is used, because a
		// failing read is only noticed after its timeout.
		n.lease.SetLogUnavailable(n.rolloutFollower.caughtUpAt, true)
	}
	if n.rolloutFollower.failingSince.IsZero() && !n.rolloutFollower.caughtUpAt.IsZero() {
		n.lease.SkipTo(n.rolloutFollower.next)
	}
	records := n.lease.Tick(now, candidate)
	state := n.lease.State(now)
	leads := (state.Held || n.leadsWithoutLog(now)) && n.state == jujuberegistry.Ready && !n.isCutOff()
	switch {
	case leads && (n.leadingSince.IsZero() || n.leaderFencingToken != state.Fence):
		n.leadingSince, n.leaderFencingToken = now, state.Fence
		n.logLeadership(true, state.Fence)
	case !leads && !n.leadingSince.IsZero():
		n.leadingSince = time.Time{}
		n.logLeadership(false, state.Fence)
	}
	n.mu.Unlock()
	for _, record := range records {
		n.appendLeaseRecord(ctx, record)
	}
	if state.Degraded {
		n.askForPromises(ctx, state.Fence)
	}
}

// leaseCandidates is the number of instances that may claim a free lease: two of them may be lost at once.
const leaseCandidates = 3

func (n *Node) isLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leadingSince.IsZero()
}

// rank returns the index of this instance in the list of live instances that reach endpoints; the lock is held.
func (n *Node) rank() int {
	rank := 0
	for _, heartbeat := range n.liveInstances {
		if heartbeat.Instance == n.identity.Instance {
			return rank
		}
		if !heartbeat.CutOff {
			rank++
		}
	}
	return rank
}

func (n *Node) logLeadership(leading bool, fencingToken int64) {
	n.log.Write(jujubeevent.LeaderChanged, func() logrus.Fields {
		return logrus.Fields{"Leading": leading, "Fence": fencingToken}
	})
}

func (n *Node) appendLeaseRecord(ctx context.Context, record model.LeaseRecord) {
	value, err := json.Marshal(record)
	position := NoCondition
	n.mu.Lock()
	if record.Claim {
		position = n.lease.NextOffset()
	}
	n.mu.Unlock()
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = n.store.Append(callCtx, topicRollout, 0, []Record{{Value: value}}, position)
		cancel()
	}
	if err == nil {
		return
	}
	n.mu.Lock()
	n.lease.HandleAppendFailure()
	n.mu.Unlock()
	n.log.Write(jujubeevent.LeaseAppendFailed, func() logrus.Fields {
		return logrus.Fields{"Claim": record.Claim, "Renew": record.Renew, "Position": position, "Error": err.Error()}
	})
}

// sendOrders sends the orders that are due and reads the state of engines that is due.
func (n *Node) sendOrders(ctx context.Context) {
	n.mu.Lock()
	now := time.Now()
	if n.leadingSince.IsZero() {
		n.mu.Unlock()
		return
	}
	orders := n.fleet.Plan(now, n.leaderFencingToken)
	due := n.fleet.EnginesToPoll(now)
	n.mu.Unlock()
	for _, order := range orders {
		n.log.Write(jujubeevent.OrderSent, func() logrus.Fields {
			return logrus.Fields{
				"Endpoint": order.Engine, "Model": order.Model, "Version": order.Version, "Fence": order.Fence,
				"Expected": order.Expected, "Mode": order.Mode,
			}
		})
		n.tomb.Go(func() error { n.sendOrder(ctx, order); return nil })
	}
	for _, engine := range due {
		n.tomb.Go(func() error { n.readEngine(ctx, engine); return nil })
	}
}

// sendOrder sends an order to an engine and applies the outcome.
func (n *Node) sendOrder(ctx context.Context, order jujubefleet.Order) {
	outcome, err := jujubefleet.Unsent, errors.New("the engine's rate is used up")
	if n.acquirePermit(ctx, order.Engine, jujubethrottle.Control).Decision == jujubethrottle.Permitted {
		outcome, err = n.announceAndSendOrder(ctx, order)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.fleet.HandleOutcome(now, order, outcome)
	switch outcome {
	case jujubefleet.Holds:
		n.scheduler.SetVersion(order.Engine, order.Model, order.Version)
	case jujubefleet.Fenced:
		// Another instance leads. This one gives up the lease until it has read the other's claim.
		n.leadingSince = time.Time{}
		n.lease.InvalidateFence(order.Fence)
	}
	if outcome != jujubefleet.Started && outcome != jujubefleet.Holds {
		n.log.Write(jujubeevent.OrderFailed, func() logrus.Fields {
			return logrus.Fields{
				"Endpoint": order.Engine, "Model": order.Model, "Version": order.Version, "Fence": order.Fence,
				"Outcome": outcome, "Error": errorText(err),
			}
		})
	}
	n.notifyChange()
}

// announceAndSendOrder announces an order on the log, and sends it if this instance still leads afterwards. A leader without the log
// sends it even if the announcement fails.
func (n *Node) announceAndSendOrder(ctx context.Context, order jujubefleet.Order) (jujubefleet.Outcome, error) {
	load := LoadRecord{Engine: order.Engine, Model: order.Model, Version: order.Version, Holder: n.identity.Instance}
	err := n.publishLoad(ctx, load)
	n.mu.Lock()
	now := time.Now()
	state, leadsWithoutLog := n.lease.State(now), n.leadsWithoutLog(now)
	n.mu.Unlock()
	if err != nil && !leadsWithoutLog {
		return jujubefleet.Refused, err
	}
	if !state.Held && !leadsWithoutLog || state.Fence != order.Fence {
		return jujubefleet.Refused, errors.New("the lease was lost")
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return n.engineClient.Order(ctx, order, string(n.identity.Instance))
}

// readEngine reads an engine's state and, if the engine has completed its outstanding load, announces the end of the load.
func (n *Node) readEngine(ctx context.Context, engine jujubefleet.Engine) {
	if n.acquirePermit(ctx, engine.ID, jujubethrottle.Background).Decision != jujubethrottle.Permitted {
		return // it is polled again
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state, err := n.engineClient.ReadState(callCtx, engine)
	if err != nil {
		n.log.Write(jujubeevent.EndpointUnhealthy, func() logrus.Fields {
			return logrus.Fields{"Endpoint": engine.ID, "Error": errors.Cause(err).Error()}
		})
		return
	}
	if order, ok := n.applyReport(state); ok && state.Versions[order.Model] >= order.Version {
		// If the record is lost, the others learn the version from the engine's registry entry.
		_ = n.publishLoad(ctx, LoadRecord{Engine: engine.ID, Model: order.Model, Version: order.Version, Ended: true})
	}
}

// applyReport applies an engine's state and returns the order that was outstanding before.
func (n *Node) applyReport(state jujubefleet.Report) (jujubefleet.Order, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	incarnation, ok := n.incarnations.ObserveResponse(now, state.Engine, state.Incarnation)
	if !ok {
		n.log.Write(jujubeevent.EndpointStale, func() logrus.Fields {
			return logrus.Fields{"Endpoint": state.Engine, "Born": state.Incarnation, "Source": "Answer"}
		})
		return jujubefleet.Order{}, false
	}
	state.Incarnation = incarnation
	order, ok := n.fleet.OutstandingOrder(state.Engine)
	n.fleet.ApplyReport(now, state)
	for name, version := range state.Versions {
		n.scheduler.SetVersion(state.Engine, name, version)
	}
	n.notifyChange()
	return order, ok
}
