package jujubelease_test

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubelease"
)

func TestMain(m *testing.M) {
	// Set before the command line is parsed, so that it can ask for other seeds.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

// reference is an independent fold that the readers are compared with.
type reference struct {
	fence   int64
	holder  model.InstanceID
	started model.Incarnation
	expires time.Time
}

func (r *reference) apply(record model.LeaseRecord, offset int64, at time.Time) {
	same := r.holder == record.Holder && r.started == record.Incarnation && record.Renew == r.fence
	switch {
	case record.Claim && (!at.Before(r.expires) || r.holder == record.Holder && r.started < record.Incarnation):
		*r = reference{offset, record.Holder, record.Incarnation, at.Add(record.TTL.Std())}
	case record.Claim || !same:
	case record.Release:
		r.expires, r.holder, r.started = time.Time{}, "", 0
	case at.Before(r.expires) && at.Add(record.TTL.Std()).After(r.expires):
		r.expires = at.Add(record.TTL.Std())
	}
}

// uniform draws from [0, n) without the bias towards small values of the integer generators, which would make the first
// cases of a step far more frequent than the others.
func uniform(t *rapid.T, n int, label string) int {
	value := 0
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 13, 13).Draw(t, label) {
		value *= 2
		if bit {
			value++
		}
	}
	return value % n
}

// process is one incarnation of an instance with its own clock and its position in the log.
type process struct {
	lease       *jujubelease.Lease
	instance    model.InstanceID
	incarnation model.Incarnation
	clock       time.Duration
	paused      bool
	read        int
	fence       int64
}

// world is a log whose appends arrive late, get lost or lose their answer, and processes that read it late.
type world struct {
	t         *rapid.T
	now       time.Time
	log       []model.LogRecord
	reference reference
	pending   []model.LeaseRecord
	processes []*process
	away      bool
	// newest is the highest incarnation of each instance that held the lease.
	newest map[model.InstanceID]model.Incarnation
	// views are the states of the reference by log position, on which all readers have to agree.
	views  map[int]jujubelease.State
	claims int
}

func (w *world) start(instance model.InstanceID, clock time.Duration) {
	w.now = w.now.Add(time.Millisecond) // no two processes of an instance have the same incarnation
	p := &process{instance: instance, incarnation: model.Incarnation(w.now.UnixMilli()), clock: clock, fence: -1}
	p.lease = jujubelease.New("weights", instance, p.incarnation, jujubelease.Settings{})
	p.lease.SetLogAway(w.now.Add(clock), w.away)
	w.processes = append(w.processes, p)
}

func (w *world) land(record model.LeaseRecord) {
	body, err := json.Marshal(record)
	assert.NilError(w.t, err)
	offset := int64(len(w.log))
	w.log = append(w.log, model.LogRecord{Offset: offset, At: w.now, Body: body})
	before := w.reference.fence
	defer func() {
		r := w.reference
		w.views[len(w.log)] = jujubelease.State{Holder: r.holder, Incarnation: r.started, Fence: r.fence}
	}()
	if w.reference.apply(record, offset, w.now); w.reference.fence != before {
		w.claims++
		assert.Assert(w.t, w.reference.fence > before)
		w.newest[record.Holder] = max(w.newest[record.Holder], record.Incarnation)
	}
}

func (w *world) read(p *process, count int) {
	for ; count > 0 && p.read < len(w.log); count-- {
		p.lease.Apply(w.log[p.read])
		p.lease.Apply(w.log[p.read]) // a repeated read has no effect
		p.read++
		state := p.lease.State(time.Time{})
		view := jujubelease.State{Holder: state.Holder, Incarnation: state.Incarnation, Fence: state.Fence}
		if other := w.views[p.read]; other != view {
			w.t.Fatalf("%s disagrees with the reference after %d records: %+v and %+v", p.instance, p.read, view, other)
		}
		if state.Fence < p.fence {
			w.t.Fatalf("fence went back from %d to %d", p.fence, state.Fence)
		}
		p.fence = state.Fence
	}
}

// check compares what each process would believe if it ran now, paused or not, with the fold at the log's time.
func (w *world) check() {
	for _, p := range w.processes {
		state := p.lease.State(w.now.Add(p.clock))
		if !state.Held {
			continue
		}
		r := w.reference
		// The rule that a newer incarnation claims at once takes the older process to have ended, so that its belief,
		// were it only paused, is outside the guarantee; the fences still order them.
		replaced := w.newest[p.instance] > p.incarnation
		if !replaced && (r.holder != p.instance || r.started != p.incarnation || r.fence != state.Fence || !w.now.Before(r.expires)) {
			w.t.Fatalf("%s~%d believes that it holds %d, but the log says %+v at %v", p.instance, p.incarnation, state.Fence, r, w.now)
		}
	}
}

func (w *world) step() {
	p := w.processes[uniform(w.t, len(w.processes), "process")]
	local := w.now.Add(p.clock)
	switch op := uniform(w.t, 16, "op"); {
	case op == 0:
		w.start(p.instance, p.clock)
	case op == 1:
		p.paused = !p.paused
	case op == 2 && len(w.pending) > 0: // a delayed append takes effect after all
		w.land(w.pending[0])
		w.pending = w.pending[1:]
	case op == 3:
		w.now = w.now.Add(time.Duration(1+uniform(w.t, 20, "long")) * time.Second)
	case op == 4 && !p.paused:
		w.away = !w.away
		for _, p := range w.processes {
			p.lease.SetLogAway(w.now.Add(p.clock), w.away)
		}
	case p.paused:
	case op < 8:
		w.read(p, 1+uniform(w.t, 3, "count"))
	default:
		records := p.lease.Tick(local, uniform(w.t, 10, "candidate") > 0)
		assert.Assert(w.t, len(records) <= 1 && (len(records) == 0 || !w.away))
		for _, record := range records {
			switch uniform(w.t, 6, "append") {
			case 0:
				w.pending = append(w.pending, record)
				p.lease.Failed()
			case 1:
				p.lease.Failed()
			case 2:
				w.land(record)
				p.lease.Failed()
			default:
				w.land(record)
				w.read(p, len(w.log))
			}
		}
	}
	w.check()
	w.now = w.now.Add(time.Duration(1+uniform(w.t, 1500, "short")) * time.Millisecond)
	w.check()
}

// Guards against two holders, a holder that believes past the expiry (paused, with delayed or lost appends, and clocks an
// hour apart), fences that don't grow, and readers that disagree.
func TestAtMostOneHolder(t *testing.T) {
	claims := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, now: epoch, reference: reference{fence: -1},
			views: make(map[int]jujubelease.State), newest: make(map[model.InstanceID]model.Incarnation),
		}
		for i, instance := range []model.InstanceID{"a", "b", "c"} {
			w.start(instance, time.Duration(i-1)*time.Hour)
		}
		for range 50 + uniform(t, 251, "steps") {
			w.step()
		}
		claims += w.claims
	})
	t.Logf("%d accepted claims", claims)
	assert.Assert(t, claims > 600)
}

// append1 puts a record on a log and gives it to the readers.
func append1(t *testing.T, record model.LeaseRecord, offset int64, at time.Time, readers ...*jujubelease.Lease) {
	t.Helper()
	body, err := json.Marshal(record)
	assert.NilError(t, err)
	for _, reader := range readers {
		reader.Apply(model.LogRecord{Offset: offset, At: at, Body: body})
	}
}

// Guards against a lease that isn't claimed, renewed, released or taken over, and against a holder that loses its fence
// during an outage of the log.
func TestLifeOfALease(t *testing.T) {
	a := jujubelease.New("weights", "a", 1, jujubelease.Settings{})
	b := jujubelease.New("weights", "b", 1, jujubelease.Settings{})
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	a.Skip(3)
	b.Skip(3)
	claim := a.Tick(at(0), true)
	assert.Assert(t, len(claim) == 1 && claim[0].Claim)
	assert.Equal(t, len(a.Tick(at(1), true)), 0, "one outstanding record")
	append1(t, claim[0], 3, at(2), a, b)
	assert.DeepEqual(t, a.State(at(13)), jujubelease.State{Holder: "a", Incarnation: 1, Fence: 3, Held: true, Expires: at(14)})
	assert.Assert(t, !a.State(at(14)).Held, "believes by the time of sending, minus the margin")
	assert.Equal(t, len(b.Tick(at(2), true)), 0)
	assert.Equal(t, len(a.Tick(at(4), true)), 0)
	renewal := a.Tick(at(5), true)
	assert.Equal(t, renewal[0].Renew, int64(3))
	assert.Equal(t, len(a.Tick(at(5), false)), 0, "one outstanding record")
	append1(t, renewal[0], 4, at(5), a, b)
	assert.Equal(t, a.State(at(5)).Expires, at(19))
	assert.Equal(t, len(b.Tick(at(5), true)), 0)

	a.SetLogAway(at(6), true)
	b.SetLogAway(at(6), true)
	assert.Equal(t, len(a.Tick(at(12), true)), 0)
	state := a.State(at(60))
	assert.Assert(t, !state.Held && state.Degraded && state.Fence == 3)
	assert.Assert(t, !b.State(at(60)).Degraded)
	a.SetLogAway(at(60), false)
	b.SetLogAway(at(60), false)
	assert.Assert(t, !a.State(at(60)).Degraded)
	taken := b.Tick(at(60), true)
	append1(t, taken[0], 5, at(60), a, b)
	assert.Assert(t, b.State(at(60)).Held && b.State(at(60)).Fence == 5)
	append1(t, renewal[0], 6, at(61), a, b)
	assert.Equal(t, a.State(at(61)).Holder, model.InstanceID("b"), "a late renewal has no effect")

	release := b.Tick(at(62), false)
	assert.Assert(t, release[0].Release && !b.State(at(62)).Held)
	append1(t, release[0], 7, at(62), a, b)
	next := a.Tick(at(62), true)
	append1(t, next[0], 8, at(62), a, b)
	assert.Assert(t, a.State(at(62)).Held)
	restarted := jujubelease.New("weights", "a", 2, jujubelease.Settings{})
	restarted.Skip(8) // the lease was released before
	append1(t, next[0], 8, at(62), restarted)
	again := restarted.Tick(at(63), true)
	append1(t, again[0], 9, at(63), a, b, restarted)
	assert.Assert(t, restarted.State(at(63)).Held && !a.State(at(63)).Held, "a newer incarnation takes over at once")
	late := model.LeaseRecord{Lease: "weights", Holder: "a", Incarnation: 2, Renew: 8, Release: true}
	append1(t, late, 10, at(63), restarted)
	assert.Assert(t, restarted.State(at(63)).Held, "a release that names another claim has no effect")
}

// Guards against a second holder when an instance starts after the claim in force has expired from the log: it must not
// take the lease for free because it has never read that claim.
func TestStartAfterTheClaimExpired(t *testing.T) {
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	renewal := model.LeaseRecord{Lease: "weights", Holder: "a", Incarnation: 1, Renew: 7, TTL: model.Duration(15 * time.Second)}
	foreign := model.LeaseRecord{Lease: "weights", Holder: "c", Incarnation: 1, Claim: true, TTL: renewal.TTL}
	late := jujubelease.New("weights", "b", 1, jujubelease.Settings{})
	append1(t, foreign, 40, at(0), late)
	assert.Equal(t, len(late.Tick(at(0), true)), 0, "the claim in force may have expired from the log")
	assert.Equal(t, late.State(at(0)).Fence, int64(-1), "whether the claim was accepted isn't known")
	append1(t, renewal, 41, at(3), late)
	assert.Equal(t, late.State(at(3)).Holder, model.InstanceID("a"))
	assert.Equal(t, late.State(at(3)).Fence, int64(7))
	assert.Equal(t, len(late.Tick(at(4), true)), 0)
	claim := late.Tick(at(20), true)
	assert.Assert(t, len(claim) == 1 && claim[0].Claim, "the lease ran out")
	append1(t, claim[0], 42, at(20), late)
	assert.Assert(t, late.State(at(20)).Held)
}
