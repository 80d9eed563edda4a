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

// node is an entry instance: a Core and the state of its adapters.
type node struct {
	id          model.InstanceID
	incarnation model.Incarnation
	core        *core.Core
	pausedUntil time.Time
	// stableSince is when the last pause or restart ended.
	stableSince time.Time
	// appliedRevision is the latest revision that was put in force, appliedOffset the latest offset that the Core has applied.
	appliedRevision int64
	appliedOffset   int64
	// undecided holds the requests without a final decision.
	undecided map[model.RequestID]bool
	// running holds the dispatched requests.
	running map[model.RequestID]run
}

// run is a dispatched request: its engine and the engine's incarnation at the dispatch.
type run struct {
	engine      *engine
	incarnation model.Incarnation
}

// engine is a fake model engine. It keeps streams after their end, so that another instance can resume them.
type engine struct {
	id           model.EndpointID
	incarnation  model.Incarnation
	version      model.WeightVersion
	target       model.WeightVersion
	fencingToken int64
	up, leaving  bool
	// leavingAt is when the first instance learned that the incarnation is leaving, leavingOn is that instance.
	leavingAt time.Time
	leavingOn *node
	streams   map[model.StreamID]*stream
}

// stream is a stream on a fake engine.
type stream struct {
	total  int
	tokens int
	labels []model.Label
	// reader is the instance that reads the stream, core its Core at the start of the reading, sent the tokens reported to it.
	reader *node
	core   *core.Core
	sent   int
}

// testCluster simulates entry instances, engines, a trainer, the log, the instance list and the network between them.
type testCluster struct {
	t       *rapid.T
	random  *rand.Rand
	now     time.Time
	nodes   []*node
	engines []*engine
	lists   []model.InstanceList
	queue   []scheduledEvent
	healed  bool
	nextID  int

	log, leases   []model.LogRecord
	firstRetained int64
	outage        bool
	digests       map[int64]string

	runs    map[model.IdempotencyKey]int
	notRun  map[model.IdempotencyKey]bool
	trainer trainer
}

// scheduledEvent is a function that runs at a simulated time.
type scheduledEvent struct {
	at  time.Time
	run func()
}

func newTestCluster(t *rapid.T) *testCluster {
	c := &testCluster{
		t: t, random: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))), now: time.Unix(1767225600, 0),
		digests: map[int64]string{}, runs: map[model.IdempotencyKey]int{}, notRun: map[model.IdempotencyKey]bool{},
	}
	c.publishConfig(0)
	for i := range 3 {
		c.engines = append(c.engines, &engine{
			id: model.EndpointID(fmt.Sprintf("e%d", i)), incarnation: 1, version: 1, target: 1, up: true, streams: map[model.StreamID]*stream{},
		})
	}
	for i := range 3 {
		n := &node{id: model.InstanceID(fmt.Sprintf("entry-%d", i))}
		c.nodes = append(c.nodes, n)
		c.start(n)
		n.stableSince = time.Time{}
	}
	c.trainer = trainer{version: 1, owner: c.nodes[0]}
	for _, n := range c.nodes {
		c.readList(n)
		c.readLog(n)
		c.reportLoad(n)
	}
	return c
}

// start starts an instance, or replaces it by a new incarnation with empty state.
func (c *testCluster) start(n *node) {
	n.incarnation++
	member := model.Member{ID: n.id, Incarnation: n.incarnation, PeerAddress: string(n.id), State: model.MemberAlive}
	options := core.DefaultOptions(member)
	options.Seed = c.random.Int63()
	var err error
	if n.core, err = core.New(options); err != nil {
		c.t.Fatal(err)
	}
	n.appliedRevision, n.appliedOffset, n.undecided, n.running = 0, -1, map[model.RequestID]bool{}, map[model.RequestID]run{}
	n.pausedUntil, n.stableSince = time.Time{}, c.now
}

// after schedules a function; functions of the same time run in the order of scheduling.
func (c *testCluster) after(delay time.Duration, run func()) {
	at := c.now.Add(delay)
	index, _ := slices.BinarySearchFunc(c.queue, at, func(event scheduledEvent, at time.Time) int {
		if event.at.After(at) {
			return 1
		}
		return -1
	})
	c.queue = slices.Insert(c.queue, index, scheduledEvent{at, run})
}

// send delivers a message to an instance. Unless the cluster is healed, 3% are duplicated and 7% lost; random delays reorder
// messages. A message that is lost or can't be delivered calls onFailure.
func (c *testCluster) send(to model.InstanceID, deliver func(*node), onFailure func()) {
	chance := c.random.Intn(100)
	if c.healed {
		chance = 99
	}
	copies := 1
	if chance < 3 {
		copies = 2
	}
	for range copies {
		c.after(time.Duration(1+c.random.Intn(100))*time.Millisecond, func() {
			n := c.node(to)
			if chance >= 3 && chance < 10 || n == nil || c.now.Before(n.pausedUntil) {
				c.after(500*time.Millisecond, onFailure)
				return
			}
			deliver(n)
		})
	}
}

func (c *testCluster) node(id model.InstanceID) *node {
	index := slices.IndexFunc(c.nodes, func(n *node) bool { return n.id == id })
	if index < 0 {
		return nil
	}
	return c.nodes[index]
}

// apply applies an event to the Core of an instance and passes each action to onAction. If the instance is paused, the event is
// applied at the end of the pause.
func (c *testCluster) apply(n *node, event core.Event, onAction func(core.Action)) {
	if c.now.Before(n.pausedUntil) {
		original := n.core
		c.after(n.pausedUntil.Sub(c.now), func() {
			if n.core == original {
				c.apply(n, event, onAction)
			}
		})
		return
	}
	c.runActions(n, n.core.Apply(c.now, event), onAction)
}

// reply applies a response to the Core that sent the message, unless the instance was restarted since.
func (c *testCluster) reply(n *node, original *core.Core, event core.Event) {
	if n.core == original {
		c.apply(n, event, nil)
	}
}

// runActions does what the adapters of an instance do with the actions of its Core.
func (c *testCluster) runActions(n *node, actions []core.Action, onAction func(core.Action)) {
	original := n.core
	for _, action := range actions {
		switch a := action.(type) {
		case core.SendPeer:
			c.send(a.To, func(to *node) {
				c.apply(to, core.PeerReceived{Message: a.Message}, func(action core.Action) {
					if reply, ok := action.(core.PeerReply); ok {
						c.send(n.id, func(*node) { c.reply(n, original, core.PeerAnswered{Message: reply.Message}) }, func() {})
					}
				})
			}, func() { c.reply(n, original, core.PeerFailed{Instance: a.To}) })
		case core.FetchConfig:
			c.send(a.From.ID, func(from *node) {
				state := from.core.ConfigState()
				c.send(n.id, func(*node) { c.reply(n, original, core.ConfigReceived{State: state}) }, func() {})
			}, func() {})
		case core.AskSuspect:
			c.send(a.Steward.ID, func(to *node) {
				c.apply(to, a.Ask, func(action core.Action) {
					if granted, ok := action.(core.SuspectAnswered); ok {
						c.after(time.Millisecond, func() { c.reply(n, original, core.SuspectGranted{ID: a.ID, SuspectAnswered: granted}) })
					}
				})
			}, func() {})
		case core.ReleaseSuspect:
			c.send(a.Steward.ID, func(to *node) { c.apply(to, a.Release, nil) }, func() {})
		case core.ConfigApplied:
			c.checkConfigApplied(n, a)
		case core.AppendConfig:
			c.append(&c.log, a.Record)
		case core.AppendLease:
			c.append(&c.leases, a.Record)
		case core.SendOrder:
			c.handleOrder(n, a.Order)
		case core.RouteDecided:
			c.handleDecision(n, a.Decision)
		case core.AbortRequest:
			delete(n.running, a.ID)
			c.apply(n, core.RequestEnded{ID: a.ID}, nil)
		case core.RunStream:
			c.runStream(n, a)
		case core.StopStream:
			if s, e := c.stream(a.Stream); s != nil && s.reader == n {
				s.reader = nil
				if !a.Detach {
					delete(e.streams, a.Stream)
				}
			}
		}
		if onAction != nil {
			onAction(action)
		}
	}
}

func (c *testCluster) stream(id model.StreamID) (*stream, *engine) {
	for _, e := range c.engines {
		if s, ok := e.streams[id]; ok {
			return s, e
		}
	}
	return nil, nil
}

func (c *testCluster) append(records *[]model.LogRecord, body any) {
	if c.outage {
		return
	}
	text, _ := json.Marshal(body)
	*records = append(*records, model.LogRecord{Offset: int64(len(*records)), At: c.now, Body: text})
}

// publishConfig appends a configuration change, sometimes twice as after a lost response.
func (c *testCluster) publishConfig(base int64) {
	c.nextID++
	change := model.ConfigChange{ID: fmt.Sprint("c", c.nextID), Base: base, Document: fmt.Sprintf(document, 20+c.nextID)}
	for range 1 + c.random.Intn(2) {
		c.append(&c.log, model.ConfigRecord{Change: &change})
	}
}

// readLog lets an instance read the configuration and lease streams.
func (c *testCluster) readLog(n *node) {
	c.apply(n, core.LogReached{Away: c.outage}, nil)
	if c.outage {
		return
	}
	from := max(n.core.NextConfigOffset(), c.firstRetained)
	c.apply(n, core.ConfigRead{Read: model.LogRead{Records: slices.Clone(c.log[from:]), First: c.firstRetained, Next: int64(len(c.log))}}, nil)
	c.apply(n, core.LeaseRead{Read: model.LogRead{Records: slices.Clone(c.leases), Next: int64(len(c.leases))}}, nil)
}

// readList lets an instance read the instance list, of which it may get an old copy until the cluster is healed.
func (c *testCluster) readList(n *node) {
	var list model.InstanceList
	for _, e := range c.engines {
		list.Endpoints = append(list.Endpoints, model.Endpoint{
			ID: e.id, Kind: model.KindEngine, Address: string(e.id), Incarnation: e.incarnation, Model: "llm", Leaving: e.leaving && c.healed,
		})
	}
	for _, m := range c.nodes {
		list.Entries = append(list.Entries, model.Member{ID: m.id, Incarnation: m.incarnation, PeerAddress: string(m.id), State: model.MemberAlive})
	}
	c.lists = append(c.lists, list)
	if !c.healed {
		list = c.lists[max(0, len(c.lists)-1-c.random.Intn(3))]
	}
	c.apply(n, core.InstancesListed{List: list}, nil)
}

func (c *testCluster) report(e *engine) model.LoadReport {
	return model.LoadReport{
		Endpoint: e.id, Incarnation: e.incarnation, At: c.now, Slots: 8, TokensPerSecond: 50, Model: "llm", Leaving: e.leaving,
		Version: e.version, Target: e.target, Swapping: e.version != e.target,
	}
}

// reportLoad lets an instance poll all engines.
func (c *testCluster) reportLoad(n *node) {
	for _, e := range c.engines {
		if !e.up {
			c.apply(n, core.EndpointLost{Endpoint: e.id, Incarnation: e.incarnation}, nil)
			continue
		}
		c.observeLeaving(e, n)
		if e.leaving && e.leavingOn != n && !c.healed {
			continue // the other instances learn of it by gossip only
		}
		report := c.report(e)
		c.after(time.Duration(c.random.Intn(300))*time.Millisecond, func() { c.apply(n, core.LoadReported{Report: report}, nil) })
	}
}

// observeLeaving records the first instance that learns that an engine is leaving, and when.
func (c *testCluster) observeLeaving(e *engine, n *node) {
	if e.leaving && e.leavingAt.IsZero() {
		e.leavingAt, e.leavingOn = c.now.Add(300*time.Millisecond), n
	}
}

// handleOrder lets an engine handle an order; its swap takes two seconds.
func (c *testCluster) handleOrder(n *node, order model.Order) {
	original := n.core
	for _, e := range c.engines {
		if e.id != order.Endpoint {
			continue
		}
		answered := core.OrderAnswered{Endpoint: e.id, Lost: true}
		switch {
		case !e.up:
		case order.Fence < e.fencingToken:
			answered.Lost, answered.Refusal = false, model.EngineError{Code: model.EngineCodeStaleFence, Fence: e.fencingToken}
		default:
			e.fencingToken, e.target, answered.Lost = order.Fence, max(e.target, order.Version), false
			answered.Result = model.OrderResult{Accepted: true, Report: c.report(e)}
			incarnation := e.incarnation
			c.after(2*time.Second, func() {
				if e.incarnation == incarnation {
					e.version = e.target
				}
			})
		}
		c.after(20*time.Millisecond, func() { c.reply(n, original, answered) })
	}
}
