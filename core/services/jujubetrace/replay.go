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

// callTimeout is when the sender of a message that can't be delivered learns of it.
const callTimeout = 500 * time.Millisecond

// Ranks order what happens at the same moment.
const (
	rankLine = iota
	rankDelivery
	rankTick
	rankStatus
)

// node is one core of a replay.
type node struct {
	settings    Instance
	core        *jujubecore.Core
	pausedUntil time.Duration
}

// step is something that happens at an offset.
type step struct {
	at     time.Duration
	rank   int
	number int
	run    func(at time.Duration) error
}

// steps is a heap, because a recorded trace may have hundreds of thousands of ticks.
type steps []step

func (s steps) Len() int      { return len(s) }
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)   { *s = append(*s, x.(step)) }

func (s steps) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(s[i].at, s[j].at), cmp.Compare(s[i].rank, s[j].rank), cmp.Compare(s[i].number, s[j].number)) < 0
}

func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

type link struct{ a, b model.InstanceID }

type replay struct {
	trace  *Trace
	nodes  map[model.InstanceID]*node
	order  []*node
	steps  steps
	added  int
	cuts   map[link]time.Duration
	checks []*check
}

// Run replays a trace and returns the outcome of each expectation in the order of the lines' times.
func Run(trace *Trace) ([]Result, error) {
	r := &replay{trace: trace, nodes: make(map[model.InstanceID]*node), cuts: make(map[link]time.Duration)}
	for _, settings := range trace.Header.Instances {
		n := &node{settings: settings}
		if err := r.start(n); err != nil {
			return nil, err
		}
		r.nodes[settings.ID] = n
		r.order = append(r.order, n)
	}
	r.schedule()
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

// start gives a node an empty core, with the header's document in force.
func (r *replay) start(n *node) error {
	member := memberOf(n.settings)
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

func memberOf(settings Instance) model.Member {
	return model.Member{
		ID: settings.ID, Incarnation: settings.Incarnation, DataCentre: settings.DataCentre,
		PeerAddress: string(settings.ID), CallerAddress: string(settings.ID), State: model.MemberAlive,
	}
}

func (r *replay) schedule() {
	var end time.Duration
	for _, line := range r.trace.Lines {
		end = max(end, line.At.Std()+line.Within.Std(), line.Until.Std())
		switch {
		case line.Expect != "" || line.Never != "":
			r.checks = append(r.checks, &check{line: line})
		case line.Status != nil:
			c := &check{line: line}
			r.checks = append(r.checks, c)
			r.add(line.At.Std(), rankStatus, r.statusStep(c))
		default:
			r.add(line.At.Std(), rankLine, func(at time.Duration) error { return r.runLine(at, line) })
		}
	}
	for at := jujubecore.TickPeriod; r.trace.Header.Ticks && at <= end; at += jujubecore.TickPeriod {
		for _, n := range r.order {
			r.add(at, rankTick, func(at time.Duration) error { r.tick(at, n); return nil })
		}
	}
}

// statusStep looks at the status each tick period until it is as expected.
func (r *replay) statusStep(c *check) func(time.Duration) error {
	return func(at time.Duration) error {
		status := r.nodes[c.line.Instance].core.Status(Start().Add(at))
		c.see(at, encode(reflect.ValueOf(status)))
		next := at + jujubecore.TickPeriod
		if c.count == 0 && c.covers(string(c.line.Instance), next) {
			r.add(next, rankStatus, r.statusStep(c))
		}
		return nil
	}
}

// add keeps the steps in the order of their time and rank; equal ones stay in the order of their addition.
func (r *replay) add(at time.Duration, rank int, run func(time.Duration) error) {
	r.added++
	heap.Push(&r.steps, step{at, rank, r.added, run})
}

func (r *replay) runLine(at time.Duration, line *Line) error {
	n := r.nodes[line.Instance]
	switch {
	case line.Cut != nil:
		r.cuts[link{line.Cut[0], line.Cut[1]}] = line.Until.Std()
		r.cuts[link{line.Cut[1], line.Cut[0]}] = line.Until.Std()
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
		r.perform(at, n, n.core.Tick(Start().Add(at)), nil)
	}
}

// apply gives an event to a core, once the core isn't paused. The answer to a message goes to answer.
func (r *replay) apply(at time.Duration, n *node, event jujubecore.Event, answer func(jujubecore.Action)) {
	if at < n.pausedUntil {
		core := n.core
		r.add(n.pausedUntil, rankLine, func(at time.Duration) error {
			if n.core == core {
				r.apply(at, n, event, answer)
			}
			return nil
		})
		return
	}
	r.perform(at, n, n.core.Apply(Start().Add(at), event), answer)
}

// perform records the actions and delivers those that go to another core.
func (r *replay) perform(at time.Duration, n *node, actions []jujubecore.Action, answer func(jujubecore.Action)) {
	for _, action := range actions {
		r.record(at, n, action)
		switch a := action.(type) {
		case jujubecore.SendPeer:
			r.call(at, n, a.To, jujubecore.PeerReceived{Message: a.Message}, jujubecore.PeerFailed{Instance: a.To})
		case jujubecore.AskSuspect:
			r.callFor(at, n, a.Steward.ID, a.Ask, jujubecore.SuspectGranted{ID: a.ID}, a.ID)
		case jujubecore.ReleaseSuspect:
			r.call(at, n, a.Steward.ID, a.Release, nil)
		case jujubecore.FetchConfig:
			r.fetch(at, n, a.From.ID)
		case jujubecore.PeerReply, jujubecore.SuspectAnswered:
			if answer != nil {
				answer(action)
			}
		}
	}
}

func (r *replay) record(at time.Duration, n *node, action jujubecore.Action) {
	var tree any
	name := reflect.TypeOf(action).Name()
	for _, c := range r.checks {
		if name == c.line.Expect+c.line.Never && c.covers(string(n.settings.ID), at) {
			if tree == nil {
				tree = encode(reflect.ValueOf(action))
			}
			c.see(at, tree)
		}
	}
}

func (r *replay) call(at time.Duration, from *node, to model.InstanceID, event, failed jujubecore.Event) {
	r.callFor(at, from, to, event, failed, "")
}

// callFor delivers a message after the delay and its answer after another one. Without a connection, and when the receiver
// is paused, the sender gets failed instead. A sender that was restarted meanwhile gets nothing.
func (r *replay) callFor(at time.Duration, from *node, to model.InstanceID, event, failed jujubecore.Event, id model.RequestID) {
	delay, sender := r.trace.Header.Delay.Std(), from.core
	back := func(at time.Duration, event jujubecore.Event) {
		r.add(at, rankDelivery, func(at time.Duration) error {
			if event != nil && from.core == sender {
				r.apply(at, from, event, nil)
			}
			return nil
		})
	}
	reply := func(arrived time.Duration, event jujubecore.Event) {
		r.add(arrived+delay, rankDelivery, func(now time.Duration) error {
			if r.isCut(now, from.settings.ID, to) {
				now, event = max(now, at+callTimeout), failed
			}
			back(now, event)
			return nil
		})
	}
	r.add(at+delay, rankDelivery, func(arrived time.Duration) error {
		receiver := r.nodes[to]
		if receiver == nil || r.isCut(arrived, from.settings.ID, to) || arrived < receiver.pausedUntil {
			back(at+callTimeout, failed)
			return nil
		}
		r.apply(arrived, receiver, event, func(action jujubecore.Action) {
			switch answer := action.(type) {
			case jujubecore.PeerReply:
				reply(arrived, jujubecore.PeerAnswered{Message: answer.Message})
			case jujubecore.SuspectAnswered:
				reply(arrived, jujubecore.SuspectGranted{ID: id, SuspectAnswered: answer})
			}
		})
		return nil
	})
}

func (r *replay) fetch(at time.Duration, from *node, to model.InstanceID) {
	delay, asker := r.trace.Header.Delay.Std(), from.core
	r.add(at+2*delay, rankDelivery, func(at time.Duration) error {
		peer := r.nodes[to]
		if peer != nil && !r.isCut(at, from.settings.ID, to) && at >= peer.pausedUntil && from.core == asker {
			r.apply(at, from, jujubecore.ConfigReceived{State: peer.core.ConfigState()}, nil)
		}
		return nil
	})
}

func (r *replay) isCut(at time.Duration, a, b model.InstanceID) bool { return at < r.cuts[link{a, b}] }
