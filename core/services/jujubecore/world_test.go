package jujubecore_test

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	core "jujubepier.example/core/services/jujubecore"
)

const document = `Models:
  llm: {Engines: 3, MaxInFlightPerEndpoint: 24, MaxSwapping: 1, MinServing: 1, SwapTimeout: 10s}
Trainers:
  grading: {Model: llm, Share: 100%%, StalenessBound: 2, MaxInFlight: %d, StepDeadline: 5m}
`

// node is one entry instance with what its adapters know.
type node struct {
	id          model.InstanceID
	incarnation model.Incarnation
	core        *core.Core
	pausedUntil time.Time
	// steadySince is when the last pause or restart ended.
	steadySince time.Time
	// applied is the latest revision that was put in force, through the latest offset known.
	applied int64
	through int64
	// open holds the requests without a final decision.
	open map[model.RequestID]bool
	// running holds the dispatched requests with the endpoint and its incarnation.
	running map[model.RequestID]run
}

type run struct {
	engine      *engine
	incarnation model.Incarnation
}

// engine is a small model engine. Its streams stay after their end, so that another instance can resume them.
type engine struct {
	id          model.EndpointID
	incarnation model.Incarnation
	version     model.WeightVersion
	target      model.WeightVersion
	fence       int64
	up, leaving bool
	// leavingAt is when an instance first learned that the incarnation leaves, and leavingOn which one.
	leavingAt time.Time
	leavingOn *node
	streams   map[model.StreamID]*stream
}

type stream struct {
	total  int
	tokens int
	labels []model.Label
	// reader is the instance that reads the stream, sent what it was told.
	reader *node
	core   *core.Core
	sent   int
}

type world struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	nodes   []*node
	engines []*engine
	list    []model.InstanceList
	queue   []delivery
	healed  bool
	next    int

	log, leases []model.LogRecord
	first       int64
	outage      bool
	digests     map[int64]string

	runs   map[model.IdempotencyKey]int
	notRun map[model.IdempotencyKey]bool
	train  trainer
}

type delivery struct {
	at time.Time
	do func()
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, random: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))), now: time.Unix(1767225600, 0),
		digests: map[int64]string{}, runs: map[model.IdempotencyKey]int{}, notRun: map[model.IdempotencyKey]bool{},
	}
	w.publish(0)
	for i := range 3 {
		w.engines = append(w.engines, &engine{
			id: model.EndpointID(fmt.Sprintf("e%d", i)), incarnation: 1, version: 1, target: 1, up: true, streams: map[model.StreamID]*stream{},
		})
	}
	for i := range 3 {
		n := &node{id: model.InstanceID(fmt.Sprintf("entry-%d", i))}
		w.nodes = append(w.nodes, n)
		w.start(n)
		n.steadySince = time.Time{}
	}
	w.train = trainer{version: 1, owner: w.nodes[0]}
	for _, n := range w.nodes {
		w.readList(n)
		w.readLog(n)
		w.reportLoad(n)
	}
	return w
}

func (w *world) start(n *node) {
	n.incarnation++
	member := model.Member{ID: n.id, Incarnation: n.incarnation, PeerAddress: string(n.id), State: model.MemberAlive}
	options := core.DefaultOptions(member)
	options.Seed = w.random.Int63()
	var err error
	if n.core, err = core.New(options); err != nil {
		w.t.Fatal(err)
	}
	n.applied, n.through, n.open, n.running = 0, -1, map[model.RequestID]bool{}, map[model.RequestID]run{}
	n.pausedUntil, n.steadySince = time.Time{}, w.now
}

func (w *world) after(delay time.Duration, do func()) {
	at := w.now.Add(delay)
	index, _ := slices.BinarySearchFunc(w.queue, at, func(d delivery, at time.Time) int {
		if d.at.After(at) {
			return 1
		}
		return -1
	})
	w.queue = slices.Insert(w.queue, index, delivery{at, do})
}

// send passes a message between instances, with delays that reorder, loss and duplicates. A lost one calls failed.
func (w *world) send(to model.InstanceID, do func(*node), failed func()) {
	chance := w.random.Intn(100)
	if w.healed {
		chance = 99
	}
	copies := 1
	if chance < 3 {
		copies = 2
	}
	for range copies {
		w.after(time.Duration(1+w.random.Intn(100))*time.Millisecond, func() {
			n := w.node(to)
			if chance >= 3 && chance < 10 || n == nil || w.now.Before(n.pausedUntil) {
				w.after(500*time.Millisecond, failed)
				return
			}
			do(n)
		})
	}
}

func (w *world) node(id model.InstanceID) *node {
	at := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == id })
	if at < 0 {
		return nil
	}
	return w.nodes[at]
}

// apply gives an event to a core; answer gets the actions. A paused instance gets it when it goes on.
func (w *world) apply(n *node, event core.Event, answer func(core.Action)) {
	if w.now.Before(n.pausedUntil) {
		held := n.core
		w.after(n.pausedUntil.Sub(w.now), func() {
			if n.core == held {
				w.apply(n, event, answer)
			}
		})
		return
	}
	w.perform(n, n.core.Apply(w.now, event), answer)
}

// back gives an event to the core that sent a message, unless it was restarted.
func (w *world) back(n *node, held *core.Core, event core.Event) {
	if n.core == held {
		w.apply(n, event, nil)
	}
}

func (w *world) perform(n *node, actions []core.Action, answer func(core.Action)) {
	held := n.core
	for _, action := range actions {
		switch a := action.(type) {
		case core.SendPeer:
			w.send(a.To, func(to *node) {
				w.apply(to, core.PeerReceived{Message: a.Message}, func(action core.Action) {
					if reply, ok := action.(core.PeerReply); ok {
						w.send(n.id, func(*node) { w.back(n, held, core.PeerAnswered{Message: reply.Message}) }, func() {})
					}
				})
			}, func() { w.back(n, held, core.PeerFailed{Instance: a.To}) })
		case core.FetchConfig:
			w.send(a.From.ID, func(from *node) {
				state := from.core.ConfigState()
				w.send(n.id, func(*node) { w.back(n, held, core.ConfigReceived{State: state}) }, func() {})
			}, func() {})
		case core.AskSuspect:
			w.send(a.Steward.ID, func(to *node) {
				w.apply(to, a.Ask, func(action core.Action) {
					if granted, ok := action.(core.SuspectAnswered); ok {
						w.after(time.Millisecond, func() { w.back(n, held, core.SuspectGranted{ID: a.ID, SuspectAnswered: granted}) })
					}
				})
			}, func() {})
		case core.ReleaseSuspect:
			w.send(a.Steward.ID, func(to *node) { w.apply(to, a.Release, nil) }, func() {})
		case core.ConfigApplied:
			w.checkApplied(n, a)
		case core.AppendConfig:
			w.append(&w.log, a.Record)
		case core.AppendLease:
			w.append(&w.leases, a.Record)
		case core.SendOrder:
			w.order(n, a.Order)
		case core.RouteDecided:
			w.decided(n, a.Decision)
		case core.AbortRequest:
			delete(n.running, a.ID)
			w.apply(n, core.RequestEnded{ID: a.ID}, nil)
		case core.RunStream:
			w.runStream(n, a)
		case core.StopStream:
			if s, e := w.stream(a.Stream); s != nil && s.reader == n {
				s.reader = nil
				if !a.Detach {
					delete(e.streams, a.Stream)
				}
			}
		}
		if answer != nil {
			answer(action)
		}
	}
}

func (w *world) stream(id model.StreamID) (*stream, *engine) {
	for _, e := range w.engines {
		if s, ok := e.streams[id]; ok {
			return s, e
		}
	}
	return nil, nil
}

func (w *world) append(records *[]model.LogRecord, body any) {
	if w.outage {
		return
	}
	text, _ := json.Marshal(body)
	*records = append(*records, model.LogRecord{Offset: int64(len(*records)), At: w.now, Body: text})
}

// publish proposes a change; its answer may be lost, so that it is appended again.
func (w *world) publish(base int64) {
	w.next++
	change := model.ConfigChange{ID: fmt.Sprint("c", w.next), Base: base, Document: fmt.Sprintf(document, 20+w.next)}
	for range 1 + w.random.Intn(2) {
		w.append(&w.log, model.ConfigRecord{Change: &change})
	}
}

func (w *world) readLog(n *node) {
	w.apply(n, core.LogReached{Away: w.outage}, nil)
	if w.outage {
		return
	}
	from := max(n.core.ConfigNext(), w.first)
	w.apply(n, core.ConfigRead{Read: model.LogRead{Records: slices.Clone(w.log[from:]), First: w.first, Next: int64(len(w.log))}}, nil)
	w.apply(n, core.LeaseRead{Read: model.LogRead{Records: slices.Clone(w.leases), Next: int64(len(w.leases))}}, nil)
}

// readList gives an instance a list that may be old.
func (w *world) readList(n *node) {
	var list model.InstanceList
	for _, e := range w.engines {
		list.Endpoints = append(list.Endpoints, model.Endpoint{
			ID: e.id, Kind: model.KindEngine, Address: string(e.id), Incarnation: e.incarnation, Model: "llm", Leaving: e.leaving && w.healed,
		})
	}
	for _, m := range w.nodes {
		list.Entries = append(list.Entries, model.Member{ID: m.id, Incarnation: m.incarnation, PeerAddress: string(m.id), State: model.MemberAlive})
	}
	w.list = append(w.list, list)
	if !w.healed {
		list = w.list[max(0, len(w.list)-1-w.random.Intn(3))]
	}
	w.apply(n, core.InstancesListed{List: list}, nil)
}

func (w *world) report(e *engine) model.LoadReport {
	return model.LoadReport{
		Endpoint: e.id, Incarnation: e.incarnation, At: w.now, Slots: 8, TokensPerSecond: 50, Model: "llm", Leaving: e.leaving,
		Version: e.version, Target: e.target, Swapping: e.version != e.target,
	}
}

func (w *world) reportLoad(n *node) {
	for _, e := range w.engines {
		if !e.up {
			w.apply(n, core.EndpointLost{Endpoint: e.id, Incarnation: e.incarnation}, nil)
			continue
		}
		w.sign(e, n)
		if e.leaving && e.leavingOn != n && !w.healed {
			continue // the others learn of it by rumour only
		}
		report := w.report(e)
		w.after(time.Duration(w.random.Intn(300))*time.Millisecond, func() { w.apply(n, core.LoadReported{Report: report}, nil) })
	}
}

func (w *world) sign(e *engine, n *node) {
	if e.leaving && e.leavingAt.IsZero() {
		e.leavingAt, e.leavingOn = w.now.Add(300*time.Millisecond), n
	}
}

func (w *world) order(n *node, order model.Order) {
	held := n.core
	for _, e := range w.engines {
		if e.id != order.Endpoint {
			continue
		}
		answered := core.OrderAnswered{Endpoint: e.id, Lost: true}
		switch {
		case !e.up:
		case order.Fence < e.fence:
			answered.Lost, answered.Refusal = false, model.EngineError{Code: model.EngineCodeStaleFence, Fence: e.fence}
		default:
			e.fence, e.target, answered.Lost = order.Fence, max(e.target, order.Version), false
			answered.Result = model.OrderResult{Accepted: true, Report: w.report(e)}
			incarnation := e.incarnation
			w.after(2*time.Second, func() {
				if e.incarnation == incarnation {
					e.version = e.target
				}
			})
		}
		w.after(20*time.Millisecond, func() { w.back(n, held, answered) })
	}
}
