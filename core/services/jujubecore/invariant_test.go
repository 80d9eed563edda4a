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

// decided checks a routing decision and runs the request.
func (w *world) decided(n *node, decision jujuberouter.Decision) {
	if strings.Contains(string(decision.Request), "/") {
		return // a stream that waits
	}
	if !n.open[decision.Request] {
		w.t.Fatalf("%s: another decision %s on %s", n.id, decision.Kind, decision.Request)
	}
	if decision.Kind == jujuberouter.Wait {
		return
	}
	delete(n.open, decision.Request)
	if decision.Kind == jujuberouter.Refuse {
		return
	}
	e := w.checkDispatch(n, decision.Endpoint)
	n.running[decision.Request] = run{e, e.incarnation}
	held, incarnation := n.core, e.incarnation
	w.after(time.Duration(100+w.random.Intn(2000))*time.Millisecond, func() {
		if _, runs := n.running[decision.Request]; runs && n.core == held {
			delete(n.running, decision.Request)
			ok := e.up && e.incarnation == incarnation
			w.apply(n, core.RequestEnded{ID: decision.Request, OK: ok, Broken: !ok, Tokens: 10}, nil)
		}
	})
}

// checkDispatch guards R7: no new work 3 s after the first sign, unless an instance was paused or restarted about then.
func (w *world) checkDispatch(n *node, id model.EndpointID) *engine {
	e := w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.id == id })]
	if e.leavingAt.IsZero() || w.now.Sub(e.leavingAt) <= 3*time.Second {
		return e
	}
	for _, m := range w.nodes {
		if m.steadySince.Add(15 * time.Second).After(e.leavingAt) {
			return e
		}
	}
	w.t.Fatalf("%s dispatches to %s %s after %s learned that it leaves", n.id, id, w.now.Sub(e.leavingAt), e.leavingOn.id)
	return e
}

// checkApplied guards R9: a revision never goes back, and has the same document everywhere.
func (w *world) checkApplied(n *node, applied core.ConfigApplied) {
	known, ok := w.digests[applied.Revision]
	if applied.Err != nil || applied.Revision <= n.applied || ok && known != applied.Digest {
		w.t.Fatalf("%s applies revision %d after %d: %v, digest %s and %s", n.id, applied.Revision, n.applied, applied.Err, applied.Digest, known)
	}
	n.applied, w.digests[applied.Revision] = applied.Revision, applied.Digest
}

// present gives a copy of a keyed request to an instance and guards R5 and R6.
func (w *world) present(n *node, key model.IdempotencyKey, forwarded bool) {
	w.apply(n, core.KeyPresented{Key: key, Body: 1}, func(action core.Action) {
		decided, ok := action.(core.KeyDecided)
		if !ok {
			return
		}
		switch decided.Decision.Kind {
		case jujubeclaim.Forward:
			if !forwarded {
				w.send(decided.Owner.ID, func(owner *node) { w.present(owner, key, true) }, func() {})
			}
		case jujubeclaim.Refuse:
			w.notRun[key] = true
		case jujubeclaim.Run:
			held, outcome := n.core, jujubeclaim.Outcome{Ran: model.RanNo}
			if w.random.Intn(3) > 0 {
				w.runs[key]++
				outcome.Ran = model.RanYes
			}
			w.after(time.Duration(w.random.Intn(2000))*time.Millisecond, func() {
				// Whoever presented the first copy gets this answer.
				w.notRun[key] = w.notRun[key] || outcome.Ran == model.RanNo
				w.back(n, held, core.KeyFinished{Key: key, Outcome: outcome})
			})
		}
	})
	if w.runs[key] > 1 || w.runs[key] > 0 && w.notRun[key] {
		w.t.Fatalf("key %s ran %d times, answered NotRun: %t", key, w.runs[key], w.notRun[key])
	}
}

// take guards R1 to R3: whole groups, each wanted and once, with the labels that the engine produced and not too old.
func (w *world) take(delivery jujubestep.Delivery, version model.WeightVersion) {
	tr := &w.train
	for _, g := range delivery.Groups {
		at := slices.Index(tr.wanted, g.Group)
		if at < 0 || len(g.Samples) != 2 {
			w.t.Fatalf("group %d of step %d with %d samples, wanted %v", g.Group, tr.step, len(g.Samples), tr.wanted)
		}
		tr.wanted = slices.Delete(tr.wanted, at, at+1)
		for _, sample := range g.Samples {
			s, _ := w.stream(sample.Stream)
			if s != nil && (sample.Tokens != s.total || !slices.Equal(sample.Labels, s.labels)) {
				w.t.Fatalf("%s: delivered %v, produced %v", sample.Stream, sample.Labels, s.labels)
			}
			if slices.ContainsFunc(sample.Labels, func(l model.Label) bool { return l.Version < version-2 }) {
				w.t.Fatalf("%s: labels %v at version %d", sample.Stream, sample.Labels, version)
			}
		}
	}
	tr.cursor += len(delivery.Groups)
	for _, failed := range delivery.Failed {
		tr.wanted = slices.DeleteFunc(tr.wanted, func(g int) bool { return g == failed.Group })
	}
}

// checkConfig guards R9: what an instance knows never goes back, and a revision has the same document everywhere.
func (w *world) checkConfig() {
	for _, n := range w.nodes {
		state := n.core.ConfigState()
		known, ok := w.digests[state.Revision]
		if state.Through < n.through || state.InForce() && ok && known != state.Digest {
			w.t.Fatalf("%s: through %d after %d, revision %d is %s and %s", n.id, state.Through, n.through, state.Revision, state.Digest, known)
		}
		n.through = state.Through
	}
}

// drain ends all faults and requests and checks that nothing is left.
func (w *world) drain(t *rapid.T) {
	w.healed, w.outage = true, false
	for _, e := range w.engines {
		w.restart(e)
	}
	w.advance(30 * time.Second)
	for range 10 {
		w.pull()
		w.advance(time.Second)
	}
	w.advance(2*time.Minute + 30*time.Second)
	for _, n := range w.nodes {
		waiting := n.core.InFlightOn("")
		for _, e := range w.engines {
			waiting += n.core.InFlightOn(e.id)
		}
		status := n.core.Status(w.now)
		for _, row := range status.Endpoints {
			waiting += row.InFlight
		}
		if len(n.open) > 0 || waiting > 0 || len(status.Parts) > 0 || len(n.running) > 0 {
			t.Fatalf("%s: %v without a final decision, %d rows (%d waiting), parts %v, %v", n.id, n.open, waiting, n.core.InFlightOn(""), status.Parts, status.Endpoints)
		}
		if status.Config.Digest != w.nodes[0].core.Status(w.now).Config.Digest || !status.Config.Known {
			t.Fatalf("%s: configuration %+v", n.id, status.Config)
		}
	}
}
