package jujubetrace

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"reflect"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubecore"
)

// callTimeout is the time after which the sender of an undeliverable message receives the failure.
const callTimeout = 500 * time.Millisecond

// Ranks order the steps of the same offset.
const (
	rankLine = iota
	rankDelivery
	rankTick
	rankStatus
)

// node is one instance of a replay and its core.
type node struct {
	settings Instance
	core     *jujubecore.Core
	// pausedUntil is the offset at which the latest pause ends.
	pausedUntil time.Duration
}

// step is a function that runs at an offset from Start.
type step struct {
	at       time.Duration
	rank     int
	sequence int
	run      func(at time.Duration) error
}

// steps is a min-heap ordered by offset, rank and sequence. A recorded trace may have hundreds of thousands of ticks.
type steps []step

func (s steps) Len() int      { return len(s) }
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }

func (s steps) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(s[i].at, s[j].at), cmp.Compare(s[i].rank, s[j].rank), cmp.Compare(s[i].sequence, s[j].sequence)) < 0
}

func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// link is the connection from one instance to another.
type link struct{ from, to model.InstanceID }

type replay struct {
	trace *Trace
	nodes map[model.InstanceID]*node
	// nodeOrder holds the nodes in the order of the header.
	nodeOrder    []*node
	steps        steps
	lastSequence int
	// partitions maps a link to the end of its latest partition.
	partitions map[link]time.Duration
	checks     []*check
}

// Run replays a trace and returns the result of each expectation, ordered by the time of the lines.
func Run(trace *Trace) ([]Result, error) {
	r := &replay{trace: trace, nodes: make(map[model.InstanceID]*node), partitions: make(map[link]time.Duration)}
	for _, settings := range trace.Header.Instances {
		n := &node{settings: settings}
		if err := r.start(n); err != nil {
			return nil, err
		}
		r.nodes[settings.ID] = n
		r.nodeOrder = append(r.nodeOrder, n)
	}
	r.scheduleTrace()
	for len(r.steps) > 0 {
		next := heap.Pop(&r.steps).(step)
		if err := next.run(next.at); err != nil {
			return nil, err
		}
	}
	var results []Result
	for _, c := range r.checks {
		results = append(results, c.result(trace.File))
	}
	return results, nil
}

// start creates an empty core for a node and puts the header's document in force.
func (r *replay) start(n *node) error {
	member := newMember(n.settings)
	options := jujubecore.DefaultOptions(member)
	options.Seed = n.settings.Seed
	options.Policy = cmp.Or(n.settings.Policy, options.Policy)
	core, err := jujubecore.New(options)
	if err != nil {
		return errors.Wrapf(err, "instance %s", n.settings.ID)
	}
	n.core = core
	if r.trace.Header.Document == "" {
		return nil
	}
	body, err := json.Marshal(model.ConfigRecord{Change: &model.ConfigChange{ID: "header", Document: r.trace.Header.Document}})
	if err != nil {
		return errors.Wrap(err, "document")
	}
	record := model.LogRecord{At: Start(), Body: body}
	for _, action := range core.Apply(Start(), jujubecore.ConfigRead{Read: model.LogRead{Records: []model.LogRecord{record}, Next: 1}}) {
		if applied, ok := action.(jujubecore.ConfigApplied); ok && applied.Err != nil {
			return errors.Wrap(applied.Err, "document of the header")
		}
	}
	return nil
}

func newMember(settings Instance) model.Member {
	return model.Member{
		ID: settings.ID, Incarnation: settings.Incarnation, DataCentre: settings.DataCentre,
		PeerAddress: string(settings.ID), CallerAddress: string(settings.ID), State: model.MemberAlive,
	}
}

func (r *replay) scheduleTrace() {
	var end time.Duration
	for _, line := range r.trace.Lines {
		end = max(end, line.At.Std()+line.Within.Std(), line.Until.Std())
		switch {
		case line.Expect != "" || line.Never != "":
			r.checks = append(r.checks, &check{line: line})
		case line.Status != nil:
			c := &check{line: line}
			r.checks = append(r.checks, c)
			r.schedule(line.At.Std(), rankStatus, r.statusStep(c))
		default:
			r.schedule(line.At.Std(), rankLine, func(at time.Duration) error { return r.runLine(at, line) })
		}
	}
	for at := jujubecore.TickInterval; r.trace.Header.Ticks && at <= end; at += jujubecore.TickInterval {
		for _, n := range r.nodeOrder {
			r.schedule(at, rankTick, func(at time.Duration) error { r.tick(at, n); return nil })
		}
	}
}

// statusStep returns a step that compares the status with the expectation, and schedules the next comparison one tick
// period later until one matches.
func (r *replay) statusStep(c *check) func(time.Duration) error {
	return func(at time.Duration) error {
		status := r.nodes[c.line.Instance].core.Status(Start().Add(at))
		c.observe(at, encode(reflect.ValueOf(status)))
		next := at + jujubecore.TickInterval
		if c.matches == 0 && c.covers(string(c.line.Instance), next) {
			r.schedule(next, rankStatus, r.statusStep(c))
		}
		return nil
	}
}

// schedule adds a step. Steps run in the order of offset and rank; those with the same offset and rank run in the order of
// their scheduling.
func (r *replay) schedule(at time.Duration, rank int, run func(time.Duration) error) {
	r.lastSequence++
	heap.Push(&r.steps, step{at, rank, r.lastSequence, run})
}

func (r *replay) runLine(at time.Duration, line *Line) error {
	n := r.nodes[line.Instance]
	switch {
	case line.Cut != nil:
		r.partitions[link{line.Cut[0], line.Cut[1]}] = line.Until.Std()
		r.partitions[link{line.Cut[1], line.Cut[0]}] = line.Until.Std()
	case line.Pause:
		n.pausedUntil = line.Until.Std()
	case line.Restart != 0:
		n.settings.Incarnation, n.pausedUntil = line.Restart, 0
		return r.start(n)
	case line.Tick:
		r.tick(at, n)
	default:
		r.apply(at, n, line.event, nil)
	}
	return nil
}

func (r *replay) tick(at time.Duration, n *node) {
	if at >= n.pausedUntil {
		r.handleActions(at, n, n.core.Tick(Start().Add(at)), nil)
	}
}

// apply applies an event to a core, or schedules it for the end of the core's pause. reply, if not nil, receives the action
// that replies to a message.
func (r *replay) apply(at time.Duration, n *node, event jujubecore.Event, reply func(jujubecore.Action)) {
	if at < n.pausedUntil {
		core := n.core
		r.schedule(n.pausedUntil, rankLine, func(at time.Duration) error {
			if n.core == core {
				r.apply(at, n, event, reply)
			}
			return nil
		})
		return
	}
	r.handleActions(at, n, n.core.Apply(Start().Add(at), event), reply)
}

// handleActions compares actions with the expectations and delivers those that are messages to another core.
func (r *replay) handleActions(at time.Duration, n *node, actions []jujubecore.Action, reply func(jujubecore.Action)) {
	for _, action := range actions {
		r.checkAction(at, n, action)
		switch a := action.(type) {
		case jujubecore.SendPeer:
			r.call(at, n, a.To, jujubecore.PeerReceived{Message: a.Message}, jujubecore.PeerFailed{Instance: a.To})
		case jujubecore.AskSuspect:
			r.roundTrip(at, n, a.Steward.ID, a.Ask, jujubecore.SuspectGranted{ID: a.ID}, a.ID)
		case jujubecore.ReleaseSuspect:
			r.call(at, n, a.Steward.ID, a.Release, nil)
		case jujubecore.FetchConfig:
			r.fetchConfig(at, n, a.From.ID)
		case jujubecore.PeerReply, jujubecore.SuspectAnswered:
			if reply != nil {
				reply(action)
			}
		}
	}
}

// checkAction compares an action with every expectation of its type.
func (r *replay) checkAction(at time.Duration, n *node, action jujubecore.Action) {
	var tree any
	name := reflect.TypeOf(action).Name()
	for _, c := range r.checks {
		if name == c.line.Expect+c.line.Never && c.covers(string(n.settings.ID), at) {
			if tree == nil {
				tree = encode(reflect.ValueOf(action))
			}
			c.observe(at, tree)
		}
	}
}

func (r *replay) call(at time.Duration, from *node, to model.InstanceID, event, failed jujubecore.Event) {
	r.roundTrip(at, from, to, event, failed, "")
}

// roundTrip delivers an event to another instance after the delay, and its reply to the sender after another delay. id is
// the request that a SuspectGranted reply belongs to. If the instances are partitioned or the receiver is paused, the
// sender receives failed after callTimeout instead. A sender that was restarted in that time receives nothing.
func (r *replay) roundTrip(at time.Duration, from *node, to model.InstanceID, event, failed jujubecore.Event, id model.RequestID) {
	delay, sender := r.trace.Header.Delay.Std(), from.core
	deliver := func(at time.Duration, event jujubecore.Event) {
		r.schedule(at, rankDelivery, func(at time.Duration) error {
			if event != nil && from.core == sender {
				r.apply(at, from, event, nil)
			}
			return nil
		})
	}
	reply := func(repliedAt time.Duration, event jujubecore.Event) {
		r.schedule(repliedAt+delay, rankDelivery, func(now time.Duration) error {
			if r.isPartitioned(now, from.settings.ID, to) {
				now, event = max(now, at+callTimeout), failed
			}
			deliver(now, event)
			return nil
		})
	}
	r.schedule(at+delay, rankDelivery, func(arrived time.Duration) error {
		receiver := r.nodes[to]
		if receiver == nil || r.isPartitioned(arrived, from.settings.ID, to) || arrived < receiver.pausedUntil {
			deliver(at+callTimeout, failed)
			return nil
		}
		r.apply(arrived, receiver, event, func(action jujubecore.Action) {
			switch a := action.(type) {
			case jujubecore.PeerReply:
				reply(arrived, jujubecore.PeerAnswered{Message: a.Message})
			case jujubecore.SuspectAnswered:
				reply(arrived, jujubecore.SuspectGranted{ID: id, SuspectAnswered: a})
			}
		})
		return nil
	})
}

// fetchConfig delivers the configuration of another instance to the requester after a round trip.
func (r *replay) fetchConfig(at time.Duration, from *node, to model.InstanceID) {
	delay, requester := r.trace.Header.Delay.Std(), from.core
	r.schedule(at+2*delay, rankDelivery, func(at time.Duration) error {
		peer := r.nodes[to]
		if peer != nil && !r.isPartitioned(at, from.settings.ID, to) && at >= peer.pausedUntil && from.core == requester {
			r.apply(at, from, jujubecore.ConfigReceived{State: peer.core.ConfigState()}, nil)
		}
		return nil
	})
}

func (r *replay) isPartitioned(at time.Duration, from, to model.InstanceID) bool {
	return at < r.partitions[link{from, to}]
}
