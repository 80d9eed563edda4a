package jujubecore_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeconfig"
	core "jujubepier.example/core/services/jujubecore"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "60", "rapid.steps": "100", "rapid.nofailfile": "true"} {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// trainer submits step parts one after the other and accepts each group once.
type trainer struct {
	version model.WeightVersion
	owner   *node
	step    int64
	attempt int64
	cursor  int
	// pending holds the groups of the step that weren't delivered yet.
	pending []int
}

// submitPart submits the pending groups to an instance as a new attempt, or the next step when none are pending.
func (c *testCluster) submitPart(owner *node) {
	trainer := &c.trainer
	if len(trainer.pending) == 0 {
		trainer.step, trainer.attempt, trainer.pending = trainer.step+1, 0, []int{0, 1, 2}
	}
	trainer.attempt, trainer.cursor, trainer.owner = trainer.attempt+1, 0, owner
	part := model.StepPart{
		Key: model.PartKey{Trainer: "grading", Step: trainer.step}, Attempt: trainer.attempt, Version: trainer.version,
		MaxTokens: 64, Timeout: model.Duration(time.Minute),
	}
	for _, g := range trainer.pending {
		part.Groups = append(part.Groups, model.GroupRequest{Group: g, Prompt: fmt.Sprint("p", trainer.step%2, g), Samples: 2})
	}
	submitted := core.PartSubmitted{Part: part}
	for _, e := range c.engines {
		held := core.StreamsHeld{Endpoint: e.id}
		for id, s := range e.streams {
			if e.up && strings.HasPrefix(string(id), part.Key.String()+"/") {
				held.Streams = append(held.Streams, model.EngineStream{Stream: id, Tokens: s.tokens, Finished: s.tokens == s.total})
			}
		}
		slices.SortFunc(held.Streams, func(a, b model.EngineStream) int { return strings.Compare(string(a.Stream), string(b.Stream)) })
		submitted.Held = append(submitted.Held, held)
	}
	c.apply(owner, submitted, nil)
}

// pullGroups pulls groups from the owner of the part; one response in four is lost until the cluster is healed.
func (c *testCluster) pullGroups() {
	trainer := &c.trainer
	pull := model.Pull{
		Key: model.PartKey{Trainer: "grading", Step: trainer.step}, Attempt: trainer.attempt, Cursor: trainer.cursor, Version: trainer.version,
	}
	lost := !c.healed && c.random.Intn(4) == 0
	c.apply(trainer.owner, core.PartPulled{Pull: pull}, func(action core.Action) {
		pulled, ok := action.(core.PullAnswered)
		if !ok || pulled.Err != nil || lost ||
			pull.Attempt != trainer.attempt || pull.Key.Step != trainer.step || pull.Cursor != trainer.cursor {
			return
		}
		c.acceptDelivery(pulled.Delivery, pull.Version)
	})
}

// runStream starts a stream on a fake engine or resumes it.
func (c *testCluster) runStream(n *node, action core.RunStream) {
	e := c.checkStream(n, action)
	original := n.core
	s, known := e.streams[action.Stream]
	switch {
	case !e.up:
		c.after(time.Millisecond, func() { c.reply(n, original, core.StreamEnded{Stream: action.Stream, Broken: true}) })
		return
	case action.Resume && !known:
		c.after(time.Millisecond, func() {
			c.reply(n, original, core.StreamEnded{Stream: action.Stream, Code: model.EngineCodeStreamUnknown})
		})
		return
	case !action.Resume && known:
		c.t.Fatalf("stream %s started twice", action.Stream)
	case !known:
		s = &stream{total: 4 + c.random.Intn(40)}
		e.streams[action.Stream] = s
	}
	s.reader, s.core, s.sent = n, n.core, 0
}

// checkStream returns the engine of a stream, and checks the dispatch of one that is started.
func (c *testCluster) checkStream(n *node, action core.RunStream) *engine {
	if action.Resume {
		return c.engines[slices.IndexFunc(c.engines, func(e *engine) bool { return e.id == action.Endpoint })]
	}
	return c.checkDispatch(n, action.Endpoint)
}

// generate produces tokens on all engines and reports them.
func (c *testCluster) generate() {
	for _, e := range c.engines {
		for _, id := range slices.Sorted(maps.Keys(e.streams)) {
			// The end of one stream may remove another in the same round.
			if s, exists := e.streams[id]; exists {
				c.generateStream(e, id, s)
			}
		}
	}
}

// generateStream generates up to three tokens of a stream and reports the tokens that its reader hasn't got yet.
func (c *testCluster) generateStream(e *engine, id model.StreamID, s *stream) {
	if s.tokens < s.total && e.version == e.target {
		to := min(s.total, s.tokens+3)
		if last := len(s.labels) - 1; last >= 0 && s.labels[last].Version == e.version {
			s.labels[last].To = to
		} else {
			s.labels = append(s.labels, model.Label{Version: e.version, From: s.tokens, To: to})
		}
		s.tokens = to
	}
	if s.reader == nil || s.reader.core != s.core || c.now.Before(s.reader.pausedUntil) {
		return
	}
	for _, label := range s.labels {
		if label.To > s.sent && s.reader != nil {
			from := max(s.sent, label.From)
			s.sent = label.To
			c.apply(s.reader, core.StreamProgressed{Stream: id, From: from, To: label.To, Version: label.Version}, nil)
		}
	}
	if s.reader != nil && s.sent == s.total {
		reader := s.reader
		s.reader = nil
		c.apply(reader, core.StreamEnded{Stream: id, OK: true, Tokens: s.total}, nil)
	}
}

// advance moves the simulated time: it runs due events, ticks and generation, and each second the polls.
func (c *testCluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(core.TickInterval)
		for len(c.queue) > 0 && !c.queue[0].at.After(c.now) {
			run := c.queue[0].run
			c.queue = c.queue[1:]
			run()
		}
		for _, n := range c.nodes {
			if !c.now.Before(n.pausedUntil) {
				c.runActions(n, n.core.Tick(c.now), nil)
			}
		}
		c.generate()
		if c.now.UnixMilli()%1000 == 0 {
			for _, n := range c.nodes {
				c.readList(n)
				c.reportLoad(n)
				c.readLog(n)
			}
		}
	}
}

// crash ends an engine's process with its streams and requests; restart may start another incarnation later.
func (c *testCluster) crash(e *engine) {
	e.up = false
	for _, id := range slices.Sorted(maps.Keys(e.streams)) {
		s := e.streams[id]
		if reader, original := s.reader, s.core; reader != nil {
			c.after(time.Millisecond, func() { c.reply(reader, original, core.StreamEnded{Stream: id, Broken: true}) })
		}
	}
	e.streams = map[model.StreamID]*stream{}
}

// restart starts a new incarnation of an engine.
func (c *testCluster) restart(e *engine) {
	if e.up {
		c.crash(e)
	}
	e.incarnation, e.up, e.leaving, e.leavingAt, e.fencingToken = e.incarnation+1, true, false, time.Time{}, 0
	e.version = max(1, e.version)
	e.target = e.version
}

// TestCores guards against failures that need a sequence of faults, pauses and reordered messages: a key that runs twice, work
// sent to a leaving engine, a configuration that reverts to an older revision, samples that are lost, mislabelled or delivered
// twice, requests without a final decision, and entries that are never removed from the tables.
func TestCores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(t)
		node := func(t *rapid.T) *node { return c.nodes[rapid.IntRange(0, 2).Draw(t, "node")] }
		engine := func(t *rapid.T) *engine { return c.engines[rapid.IntRange(0, 2).Draw(t, "engine")] }
		var keys []model.IdempotencyKey
		var late jujubeconfig.State
		advance := func(t *rapid.T) { c.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * core.TickInterval) }
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { c.checkConfig() },
			"advance": advance, "advance more": advance, "pull": func(*rapid.T) { c.pullGroups() }, "pull again": func(*rapid.T) { c.pullGroups() },
			"request": func(t *rapid.T) {
				c.sendRequest(node(t), model.Fingerprint(rapid.IntRange(1, 5).Draw(t, "fingerprint")))
			},
			"quiet": func(*rapid.T) { c.advance(16 * time.Second) },
			"many requests": func(t *rapid.T) {
				for i := range 50 {
					c.sendRequest(c.nodes[i%3], model.Fingerprint(100+rapid.IntRange(0, 200).Draw(t, "fingerprint")))
					c.advance(2 * core.TickInterval)
				}
			},
			"key": func(t *rapid.T) {
				if n := node(t); len(keys) == 0 || rapid.Bool().Draw(t, "new") {
					c.nextID++
					keys = append(keys, model.IdempotencyKey(fmt.Sprint(n.core.KeyPrefix(c.now), "~k", c.nextID)))
				}
				c.presentKey(node(t), rapid.SampledFrom(keys).Draw(t, "key"), false)
			},
			"crash":   func(t *rapid.T) { c.crash(engine(t)) },
			"restart": func(t *rapid.T) { c.restart(engine(t)) },
			"leave":   func(t *rapid.T) { engine(t).leaving = true },
			"drain": func(t *rapid.T) {
				e, n := engine(t), node(t)
				if e.up && c.now.After(n.pausedUntil) {
					e.leaving = true
					c.observeLeaving(e, n)
					c.apply(n, core.EndpointDrained{Endpoint: e.id}, nil)
				}
			},
			"pause": func(t *rapid.T) {
				n := node(t)
				n.pausedUntil = c.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
				n.stableSince = n.pausedUntil
			},
			"replace": func(t *rapid.T) {
				n := node(t)
				c.start(n)
				c.readList(n)
				c.readLog(n)
			},
			"publish": func(t *rapid.T) { c.publishConfig(node(t).core.ConfigState().Revision) },
			"late config": func(t *rapid.T) {
				c.apply(node(t), core.ConfigReceived{State: late}, nil)
				late = node(t).core.ConfigState()
			},
			"outage": func(t *rapid.T) { c.outage = rapid.Bool().Draw(t, "outage") },
			"expire": func(t *rapid.T) { c.trimLog(node(t)) },
			"submit": func(t *rapid.T) { c.submitPart(node(t)) },
			"weights": func(t *rapid.T) {
				c.trainer.version++
				c.apply(node(t), core.VersionAnnounced{Model: "llm", Version: c.trainer.version}, nil)
			},
		})
		c.healAndCheckEmpty(t)
	})
}

// sendRequest sends a caller's request to an instance.
func (c *testCluster) sendRequest(n *node, f model.Fingerprint) {
	c.nextID++
	id := model.RequestID(fmt.Sprint("r", c.nextID))
	n.undecided[id] = true
	c.apply(n, core.RequestArrived{
		ID: id, Kind: model.KindEngine, Model: "llm", Deadline: c.now.Add(20 * time.Second), Tokens: 10, Fingerprint: f,
	}, nil)
}

// trimLog appends a checkpoint and removes the records that it covers, if the instance has applied the whole log.
func (c *testCluster) trimLog(n *node) {
	state := n.core.ConfigState()
	if c.outage || !state.Known || state.Through+1 != int64(len(c.log)) {
		return
	}
	c.append(&c.log, model.ConfigRecord{Checkpoint: &model.ConfigCheckpoint{Through: state.Through, State: state.ConfigState}})
	c.firstRetained = state.Through + 1
}
