package jujubenode

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubethrottle"
)

// NamedRate is what an endpoint's response says about the rate of requests that it accepts from all instances together.
type NamedRate struct {
	// Limited is false if the response names no rate.
	Limited   bool
	PerSecond float64
	// Malformed is the error of a rate that can't be decoded; nil for none.
	Malformed error
}

// ObserveRate records the rate that an endpoint named in a response. A malformed rate has no effect.
func (n *Node) ObserveRate(id model.EndpointID, incarnation model.Incarnation, rate NamedRate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rate.Malformed != nil {
		n.metrics.countMalformedRate()
		n.log.Write(jujubeevent.RateUnusable, func() logrus.Fields {
			return logrus.Fields{"Endpoint": id, "Error": rate.Malformed.Error()}
		})
		return
	}
	if n.endpointIncarnation(id) != incarnation {
		return
	}
	now := time.Now()
	notice := jujubethrottle.Notice{Endpoint: id, Limited: rate.Limited, PerSecond: rate.PerSecond}
	if !n.applyRate(now, notice, "Response") {
		return
	}
	if peer, isSelf := n.gateway(id); !isSelf && peer != "" {
		n.tomb.Go(func() error { n.reportRate(peer, notice); return nil })
	}
}

// applyRate applies an observation of an endpoint's rate and reports whether the rate changed. Endpoints are unknown while this
// instance starts; later, an unknown one is gone. The lock is held.
func (n *Node) applyRate(now time.Time, notice jujubethrottle.Notice, source string) bool {
	incarnation := n.endpointIncarnation(notice.Endpoint)
	if n.ready && incarnation == 0 || !n.throttle.Apply(now, incarnation, notice) {
		return false
	}
	n.scheduler.SetLimited(notice.Endpoint, notice.Limited)
	n.fleet.SetLimited(notice.Endpoint, notice.Limited)
	if !notice.Limited {
		n.router.Throttle(notice.Endpoint, model.PriorityInteractive, time.Time{})
	}
	n.logRate(notice, source)
	return true
}

// gateway returns the peer address of an endpoint's gateway, which issues the permits for its rate; isSelf is true if that is
// this instance. The lock is held.
func (n *Node) gateway(id model.EndpointID) (address string, isSelf bool) {
	gateway := n.scheduler.Gateway(id)
	for _, heartbeat := range n.liveInstances {
		if heartbeat.Instance == gateway {
			return heartbeat.PeerAddress, gateway == n.identity.Instance
		}
	}
	return "", false
}

// reportRate tells an endpoint's gateway that the endpoint has changed its rate. If the message is lost, the gateway learns the
// rate from the next request for a permit.
func (n *Node) reportRate(peer string, notice jujubethrottle.Notice) {
	ctx, cancel := context.WithTimeout(n.tomb.Context(nil), permitTimeout)
	defer cancel()
	if err := n.store.pool.Call(ctx, peer, "Relay.ReportRate", notice, &Empty{}); err != nil {
		n.logPermitFailure(notice.Endpoint, peer, err)
	}
}

// ReportRate applies a rate that another instance has observed.
func (r *Relay) ReportRate(notice jujubethrottle.Notice, _ *Empty) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyRate(time.Now(), notice, "Peer")
	return nil
}

// RequestPermit issues a permit for a request of another instance to an endpoint whose gateway this instance is.
func (r *Relay) RequestPermit(request jujubethrottle.Request, reply *jujubethrottle.Reply) error {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.applyRate(now, request.Notice, "Peer")
	*reply = n.throttle.Issue(now, request)
	return nil
}

const (
	// permitTimeout bounds a request for a permit. A call that times out closes the connection that other calls share.
	permitTimeout = 250 * time.Millisecond
	// maxPermitWait is how long a request waits for the gateway's reply before this instance decides by its own share. A reply
	// takes some ms.
	maxPermitWait = 60 * time.Millisecond
)

// acquirePermit decides whether a request may be sent to an endpoint now. A denial includes the time until which it lasts, and
// excludes the endpoint until then.
func (n *Node) acquirePermit(ctx context.Context, id model.EndpointID, class jujubethrottle.Class) jujubethrottle.Verdict {
	n.mu.Lock()
	now := time.Now()
	peer, isSelf := n.gateway(id)
	verdict := n.throttle.Check(now, id, class, isSelf)
	if verdict.Decision == jujubethrottle.Ask && peer == "" {
		verdict = n.throttle.HandleNoReply(now, id)
	}
	if verdict.Decision != jujubethrottle.Ask {
		n.applyVerdict(id, class, verdict)
		n.mu.Unlock()
		return verdict
	}
	request := n.throttle.NewRequest(now, id, class)
	n.mu.Unlock()
	verdicts := make(chan jujubethrottle.Verdict, 1)
	n.tomb.Go(func() error {
		verdicts <- n.requestPermit(peer, request)
		return nil
	})
	timer := time.NewTimer(maxPermitWait)
	defer timer.Stop()
	select {
	case verdict = <-verdicts:
		return verdict
	case <-ctx.Done():
		return jujubethrottle.Verdict{Decision: jujubethrottle.Denied}
	case <-timer.C:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	verdict = n.throttle.HandleNoReply(time.Now(), id)
	n.applyVerdict(id, class, verdict)
	return verdict
}

// requestPermit asks the gateway of an endpoint for a permit.
func (n *Node) requestPermit(peer string, request jujubethrottle.Request) jujubethrottle.Verdict {
	id := request.Notice.Endpoint
	ctx, cancel := context.WithTimeout(n.tomb.Context(nil), permitTimeout)
	defer cancel()
	var reply jujubethrottle.Reply
	err := n.store.pool.Call(ctx, peer, "Relay.RequestPermit", request, &reply)
	if err != nil {
		n.logPermitFailure(id, peer, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	var verdict jujubethrottle.Verdict
	if err != nil {
		verdict = n.throttle.HandleNoReply(now, id)
	} else {
		n.applyRate(now, reply.Notice, "Gateway")
		verdict = n.throttle.HandleReply(now, request.Class, reply)
	}
	n.applyVerdict(id, request.Class, verdict)
	return verdict
}

// applyVerdict counts a denial and excludes the endpoint from the choices for requests of its class until the next permit. The
// lock is held.
func (n *Node) applyVerdict(id model.EndpointID, class jujubethrottle.Class, verdict jujubethrottle.Verdict) {
	if verdict.Decision == jujubethrottle.Denied {
		n.metrics.countDenial()
	}
	if verdict.RetryAt.IsZero() {
		return
	}
	switch class {
	case jujubethrottle.Interactive:
		n.router.Throttle(id, model.PriorityInteractive, verdict.RetryAt)
		n.scheduler.Throttle(id, verdict.RetryAt)
	case jujubethrottle.Background:
		n.router.Throttle(id, model.PriorityTrainer, verdict.RetryAt)
	}
}

func (n *Node) logPermitFailure(id model.EndpointID, peer string, err error) {
	n.log.Write(jujubeevent.PermitFailed, func() logrus.Fields {
		return logrus.Fields{"Endpoint": id, "Gateway": peer, "Error": err.Error()}
	})
}

// limitNotices returns the rates of the endpoints whose gateway this instance is. The lock is held.
func (n *Node) limitNotices(now time.Time) []jujubethrottle.Notice {
	return slices.DeleteFunc(n.throttle.Limited(now), func(notice jujubethrottle.Notice) bool {
		return n.scheduler.Gateway(notice.Endpoint) != n.identity.Instance
	})
}

// logRate logs a changed rate of an endpoint and where this instance learned of it.
func (n *Node) logRate(notice jujubethrottle.Notice, source string) {
	n.log.Write(jujubeevent.EndpointLimited, func() logrus.Fields {
		return logrus.Fields{
			"Endpoint": notice.Endpoint, "Limited": notice.Limited, "PerSecond": notice.PerSecond, "Age": notice.Age.Std().String(),
			"Source": source,
		}
	})
}
