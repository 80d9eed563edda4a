package jujubecore_test

import (
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
	core "jujubepier.example/core/services/jujubecore"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/core/services/jujubestep"
)

// handleDecision checks that a request has one final decision, and runs a dispatched request for a random time.
func (c *testCluster) handleDecision(n *node, decision jujuberouter.Decision) {
	if strings.Contains(string(decision.Request), "/") {
		return // a stream that is queued
	}
	if !n.undecided[decision.Request] {
		c.t.Fatalf("%s: decision %s for request %s, which already has a final decision", n.id, decision.Kind, decision.Request)
	}
	if decision.Kind == jujuberouter.Wait {
		return
	}
	delete(n.undecided, decision.Request)
	if decision.Kind == jujuberouter.Refuse {
		return
	}
	e := c.checkDispatch(n, decision.Endpoint)
	n.running[decision.Request] = run{e, e.incarnation}
	original, incarnation := n.core, e.incarnation
	c.after(time.Duration(100+c.random.Intn(2000))*time.Millisecond, func() {
		if _, runs := n.running[decision.Request]; runs && n.core == original {
			delete(n.running, decision.Request)
			ok := e.up && e.incarnation == incarnation
			c.apply(n, core.RequestEnded{ID: decision.Request, OK: ok, Broken: !ok, Tokens: 10}, nil)
		}
	})
}

// checkDispatch checks R7: an engine gets no new work later than 3 s after the first instance learned that it is leaving, unless
// an instance was paused or restarted around that time.
func (c *testCluster) checkDispatch(n *node, id model.EndpointID) *engine {
	e := c.engines[slices.IndexFunc(c.engines, func(e *engine) bool { return e.id == id })]
	if e.leavingAt.IsZero() || c.now.Sub(e.leavingAt) <= 3*time.Second {
		return e
	}
	for _, m := range c.nodes {
		if m.stableSince.Add(15 * time.Second).After(e.leavingAt) {
			return e
		}
	}
	c.t.Fatalf("%s dispatched to %s %s after %s learned that it is leaving", n.id, id, c.now.Sub(e.leavingAt), e.leavingOn.id)
	return e
}

// checkConfigApplied checks R9: the revision in force never decreases, and all instances have the same document for a revision.
func (c *testCluster) checkConfigApplied(n *node, applied core.ConfigApplied) {
	known, ok := c.digests[applied.Revision]
	if applied.Err != nil || applied.Revision <= n.appliedRevision || ok && known != applied.Digest {
		c.t.Fatalf("%s applied revision %d after %d: error %v, digests %s and %s",
			n.id, applied.Revision, n.appliedRevision, applied.Err, applied.Digest, known)
	}
	n.appliedRevision, c.digests[applied.Revision] = applied.Revision, applied.Digest
}

// presentKey sends a copy of a keyed request to an instance and checks R5 and R6: a key runs at most once, and no copy is
// answered NotRun after a run.
func (c *testCluster) presentKey(n *node, key model.IdempotencyKey, forwarded bool) {
	c.apply(n, core.KeyPresented{Key: key, Body: 1}, func(action core.Action) {
		decided, ok := action.(core.KeyDecided)
		if !ok {
			return
		}
		switch decided.Decision.Kind {
		case jujubeclaim.Forward:
			if !forwarded {
				c.send(decided.Owner.ID, func(owner *node) { c.presentKey(owner, key, true) }, func() {})
			}
		case jujubeclaim.Refuse:
			c.notRun[key] = true
		case jujubeclaim.Run:
			original, outcome := n.core, jujubeclaim.Outcome{Ran: model.RanNo}
			if c.random.Intn(3) > 0 {
				c.runs[key]++
				outcome.Ran = model.RanYes
			}
			c.after(time.Duration(c.random.Intn(2000))*time.Millisecond, func() {
				// This outcome is the response to the first copy.
				c.notRun[key] = c.notRun[key] || outcome.Ran == model.RanNo
				c.reply(n, original, core.KeyFinished{Key: key, Outcome: outcome})
			})
		}
	})
	if c.runs[key] > 1 || c.runs[key] > 0 && c.notRun[key] {
		c.t.Fatalf("key %s ran %d times, answered NotRun: %t", key, c.runs[key], c.notRun[key])
	}
}

// acceptDelivery checks R1 to R3: groups are complete and delivered once, and their samples have the labels that the engine
// produced and are within the staleness bound.
func (c *testCluster) acceptDelivery(delivery jujubestep.Delivery, version model.WeightVersion) {
	trainer := &c.trainer
	for _, group := range delivery.Groups {
		index := slices.Index(trainer.pending, group.Group)
		if index < 0 || len(group.Samples) != 2 {
			c.t.Fatalf("group %d of step %d has %d samples; pending groups: %v",
				group.Group, trainer.step, len(group.Samples), trainer.pending)
		}
		trainer.pending = slices.Delete(trainer.pending, index, index+1)
		for _, sample := range group.Samples {
			s, _ := c.stream(sample.Stream)
			if s != nil && (sample.Tokens != s.total || !slices.Equal(sample.Labels, s.labels)) {
				c.t.Fatalf("%s: delivered labels %v, produced %v", sample.Stream, sample.Labels, s.labels)
			}
			if slices.ContainsFunc(sample.Labels, func(l model.Label) bool { return l.Version < version-2 }) {
				c.t.Fatalf("%s: labels %v exceed the staleness bound at version %d", sample.Stream, sample.Labels, version)
			}
		}
	}
	trainer.cursor += len(delivery.Groups)
	for _, failed := range delivery.Failed {
		trainer.pending = slices.DeleteFunc(trainer.pending, func(g int) bool { return g == failed.Group })
	}
}

// checkConfig checks R9: the applied offset never decreases, and all instances have the same document for a revision.
func (c *testCluster) checkConfig() {
	for _, n := range c.nodes {
		state := n.core.ConfigState()
		known, ok := c.digests[state.Revision]
		if state.Through < n.appliedOffset || state.InForce() && ok && known != state.Digest {
			c.t.Fatalf("%s: applied offset %d after %d, revision %d has digests %s and %s",
				n.id, state.Through, n.appliedOffset, state.Revision, state.Digest, known)
		}
		n.appliedOffset = state.Through
	}
}

// healAndCheckEmpty ends all faults, lets all requests end and checks that no request, part or in-flight count is left.
func (c *testCluster) healAndCheckEmpty(t *rapid.T) {
	c.healed, c.outage = true, false
	for _, e := range c.engines {
		c.restart(e)
	}
	c.advance(30 * time.Second)
	for range 10 {
		c.pullGroups()
		c.advance(time.Second)
	}
	c.advance(2*time.Minute + 30*time.Second)
	for _, n := range c.nodes {
		remaining := n.core.InFlightOn("")
		for _, e := range c.engines {
			remaining += n.core.InFlightOn(e.id)
		}
		status := n.core.Status(c.now)
		for _, endpoint := range status.Endpoints {
			remaining += endpoint.InFlight
		}
		if len(n.undecided) > 0 || remaining > 0 || len(status.Parts) > 0 || len(n.running) > 0 {
			t.Fatalf("%s: without a final decision %v, requests left %d (%d queued), parts %v, endpoints %v",
				n.id, n.undecided, remaining, n.core.InFlightOn(""), status.Parts, status.Endpoints)
		}
		if status.Config.Digest != c.nodes[0].core.Status(c.now).Config.Digest || !status.Config.Known {
			t.Fatalf("%s: configuration %+v", n.id, status.Config)
		}
	}
}
