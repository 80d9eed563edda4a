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

// trainer submits one step part after the other and takes each group once.
type trainer struct {
	version model.WeightVersion
	owner   *node
	step    int64
	attempt int64
	cursor  int
	// wanted holds the groups that were not taken.
	wanted []int
}

// submit sends the groups that are left to an instance, as a new attempt.
func (w *world) submit(owner *node) {
	tr := &w.train
	if len(tr.wanted) == 0 {
		tr.step, tr.attempt, tr.wanted = tr.step+1, 0, []int{0, 1, 2}
	}
	tr.attempt, tr.cursor, tr.owner = tr.attempt+1, 0, owner
	part := model.StepPart{
		Key: model.PartKey{Trainer: "grading", Step: tr.step}, Attempt: tr.attempt, Version: tr.version, MaxTokens: 64,
		Timeout: model.Duration(time.Minute),
	}
	for _, g := range tr.wanted {
		part.Groups = append(part.Groups, model.GroupRequest{Group: g, Prompt: fmt.Sprint("p", tr.step%2, g), Samples: 2})
	}
	submitted := core.PartSubmitted{Part: part}
	for _, e := range w.engines {
		held := core.StreamsHeld{Endpoint: e.id}
		for id, s := range e.streams {
			if e.up && strings.HasPrefix(string(id), part.Key.String()+"/") {
				held.Streams = append(held.Streams, model.EngineStream{Stream: id, Tokens: s.tokens, Finished: s.tokens == s.total})
			}
		}
		slices.SortFunc(held.Streams, func(a, b model.EngineStream) int { return strings.Compare(string(a.Stream), string(b.Stream)) })
		submitted.Held = append(submitted.Held, held)
	}
	w.apply(owner, submitted, nil)
}

// pull takes groups from the owner of the part, unless the answer is lost.
func (w *world) pull() {
	tr := &w.train
	pull := model.Pull{Key: model.PartKey{Trainer: "grading", Step: tr.step}, Attempt: tr.attempt, Cursor: tr.cursor, Version: tr.version}
	lost := !w.healed && w.random.Intn(4) == 0
	w.apply(tr.owner, core.PartPulled{Pull: pull}, func(action core.Action) {
		answer, ok := action.(core.PullAnswered)
		if !ok || answer.Err != nil || lost || pull.Attempt != tr.attempt || pull.Key.Step != tr.step || pull.Cursor != tr.cursor {
			return
		}
		w.take(answer.Delivery, pull.Version)
	})
}

func (w *world) runStream(n *node, action core.RunStream) {
	e := w.checkStream(n, action)
	held := n.core
	s, known := e.streams[action.Stream]
	switch {
	case !e.up:
		w.after(time.Millisecond, func() { w.back(n, held, core.StreamEnded{Stream: action.Stream, Broken: true}) })
		return
	case action.Resume && !known:
		w.after(time.Millisecond, func() {
			w.back(n, held, core.StreamEnded{Stream: action.Stream, Code: model.EngineCodeStreamUnknown})
		})
		return
	case !action.Resume && known:
		w.t.Fatalf("stream %s started twice", action.Stream)
	case !known:
		s = &stream{total: 4 + w.random.Intn(40)}
		e.streams[action.Stream] = s
	}
	s.reader, s.core, s.sent = n, n.core, 0
}

func (w *world) checkStream(n *node, action core.RunStream) *engine {
	if action.Resume {
		return w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.id == action.Endpoint })]
	}
	return w.checkDispatch(n, action.Endpoint)
}

// generate produces tokens on all engines and reports them.
func (w *world) generate() {
	for _, e := range w.engines {
		for _, id := range slices.Sorted(maps.Keys(e.streams)) {
			// The end of one stream may stop another at once.
			if s, held := e.streams[id]; held {
				w.generateOne(e, id, s)
			}
		}
	}
}

func (w *world) generateOne(e *engine, id model.StreamID, s *stream) {
	if s.tokens < s.total && e.version == e.target {
		to := min(s.total, s.tokens+3)
		if last := len(s.labels) - 1; last >= 0 && s.labels[last].Version == e.version {
			s.labels[last].To = to
		} else {
			s.labels = append(s.labels, model.Label{Version: e.version, From: s.tokens, To: to})
		}
		s.tokens = to
	}
	if s.reader == nil || s.reader.core != s.core || w.now.Before(s.reader.pausedUntil) {
		return
	}
	for _, label := range s.labels {
		if label.To > s.sent && s.reader != nil {
			from := max(s.sent, label.From)
			s.sent = label.To
			w.apply(s.reader, core.StreamProgressed{Stream: id, From: from, To: label.To, Version: label.Version}, nil)
		}
	}
	if s.reader != nil && s.sent == s.total {
		reader := s.reader
		s.reader = nil
		w.apply(reader, core.StreamEnded{Stream: id, OK: true, Tokens: s.total}, nil)
	}
}

// advance runs the world for some time: deliveries, ticks, generation and each second the polls.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(core.TickPeriod)
		for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
			do := w.queue[0].do
			w.queue = w.queue[1:]
			do()
		}
		for _, n := range w.nodes {
			if !w.now.Before(n.pausedUntil) {
				w.perform(n, n.core.Tick(w.now), nil)
			}
		}
		w.generate()
		if w.now.UnixMilli()%1000 == 0 {
			for _, n := range w.nodes {
				w.readList(n)
				w.reportLoad(n)
				w.readLog(n)
			}
		}
	}
}

// crash ends the process of an engine with its streams and requests; another incarnation may follow later.
func (w *world) crash(e *engine) {
	e.up = false
	for _, id := range slices.Sorted(maps.Keys(e.streams)) {
		s := e.streams[id]
		if reader, held := s.reader, s.core; reader != nil {
			w.after(time.Millisecond, func() { w.back(reader, held, core.StreamEnded{Stream: id, Broken: true}) })
		}
	}
	e.streams = map[model.StreamID]*stream{}
}

func (w *world) restart(e *engine) {
	if e.up {
		w.crash(e)
	}
	e.incarnation, e.up, e.leaving, e.leavingAt, e.fence = e.incarnation+1, true, false, time.Time{}, 0
	e.version = max(1, e.version)
	e.target = e.version
}

// Guards against faults that only a sequence of faults, pauses and messages out of order brings out: a key that runs
// twice, work for a leaving engine, a configuration that goes back, samples that are lost, mislabelled or given twice,
// requests without a final decision, and rows that stay in the tables.
func TestCores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		node := func(t *rapid.T) *node { return w.nodes[rapid.IntRange(0, 2).Draw(t, "node")] }
		engine := func(t *rapid.T) *engine { return w.engines[rapid.IntRange(0, 2).Draw(t, "engine")] }
		var keys []model.IdempotencyKey
		var late jujubeconfig.State
		advance := func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * core.TickPeriod) }
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { w.checkConfig() },
			"advance": advance, "advance more": advance, "pull": func(*rapid.T) { w.pull() }, "pull again": func(*rapid.T) { w.pull() },
			"request": func(t *rapid.T) { w.request(node(t), model.Fingerprint(rapid.IntRange(1, 5).Draw(t, "fingerprint"))) },
			"quiet":   func(*rapid.T) { w.advance(16 * time.Second) },
			"many requests": func(t *rapid.T) {
				for i := range 50 {
					w.request(w.nodes[i%3], model.Fingerprint(100+rapid.IntRange(0, 200).Draw(t, "fingerprint")))
					w.advance(2 * core.TickPeriod)
				}
			},
			"key": func(t *rapid.T) {
				if n := node(t); len(keys) == 0 || rapid.Bool().Draw(t, "new") {
					w.next++
					keys = append(keys, model.IdempotencyKey(fmt.Sprint(n.core.KeyPrefix(w.now), "~k", w.next)))
				}
				w.present(node(t), rapid.SampledFrom(keys).Draw(t, "key"), false)
			},
			"crash":   func(t *rapid.T) { w.crash(engine(t)) },
			"restart": func(t *rapid.T) { w.restart(engine(t)) },
			"leave":   func(t *rapid.T) { engine(t).leaving = true },
			"drain": func(t *rapid.T) {
				e, n := engine(t), node(t)
				if e.up && w.now.After(n.pausedUntil) {
					e.leaving = true
					w.sign(e, n)
					w.apply(n, core.EndpointDrained{Endpoint: e.id}, nil)
				}
			},
			"pause": func(t *rapid.T) {
				n := node(t)
				n.pausedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
				n.steadySince = n.pausedUntil
			},
			"replace": func(t *rapid.T) {
				n := node(t)
				w.start(n)
				w.readList(n)
				w.readLog(n)
			},
			"publish": func(t *rapid.T) { w.publish(node(t).core.ConfigState().Revision) },
			"late config": func(t *rapid.T) {
				w.apply(node(t), core.ConfigReceived{State: late}, nil)
				late = node(t).core.ConfigState()
			},
			"outage": func(t *rapid.T) { w.outage = rapid.Bool().Draw(t, "outage") },
			"expire": func(t *rapid.T) { w.expire(node(t)) },
			"submit": func(t *rapid.T) { w.submit(node(t)) },
			"weights": func(t *rapid.T) {
				w.train.version++
				w.apply(node(t), core.VersionAnnounced{Model: "llm", Version: w.train.version}, nil)
			},
		})
		w.drain(t)
	})
}

func (w *world) request(n *node, f model.Fingerprint) {
	w.next++
	id := model.RequestID(fmt.Sprint("r", w.next))
	n.open[id] = true
	w.apply(n, core.RequestArrived{
		ID: id, Kind: model.KindEngine, Model: "llm", Deadline: w.now.Add(20 * time.Second), Tokens: 10, Fingerprint: f,
	}, nil)
}

// expire appends a checkpoint and drops the records that it covers.
func (w *world) expire(n *node) {
	state := n.core.ConfigState()
	if w.outage || !state.Known || state.Through+1 != int64(len(w.log)) {
		return
	}
	w.append(&w.log, model.ConfigRecord{Checkpoint: &model.ConfigCheckpoint{Through: state.Through, State: state.ConfigState}})
	w.first = state.Through + 1
}
