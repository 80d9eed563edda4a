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
	// Set before the command line is parsed, so that it can override them.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "200"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

// referenceState is an independent implementation that applies the records; the readers are compared with it.
type referenceState struct {
	fencingToken int64
	holder       model.InstanceID
	incarnation  model.Incarnation
	expires      time.Time
}

func (r *referenceState) apply(record model.LeaseRecord, offset int64, at time.Time) {
	fromHolder := r.holder == record.Holder && r.incarnation == record.Incarnation && record.Renew == r.fencingToken
	switch {
	case record.Claim && (!at.Before(r.expires) || r.holder == record.Holder && r.incarnation < record.Incarnation):
		*r = referenceState{offset, record.Holder, record.Incarnation, at.Add(record.TTL.Std())}
	case record.Claim || !fromHolder:
	case record.Release:
		r.expires, r.holder, r.incarnation = time.Time{}, "", 0
	case at.Before(r.expires) && at.Add(record.TTL.Std()).After(r.expires):
		r.expires = at.Add(record.TTL.Std())
	}
}

// uniform draws from [0, n) without the bias of the integer generators towards small values, which would make the first cases
// of a step far more frequent than the others.
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
	lease        *jujubelease.Lease
	instance     model.InstanceID
	incarnation  model.Incarnation
	clockOffset  time.Duration
	paused       bool
	position     int
	fencingToken int64
}

// testCluster simulates a log, whose appends are delayed, lost or lose their response, and processes that read it late.
type testCluster struct {
	t              *rapid.T
	now            time.Time
	log            []model.LogRecord
	reference      referenceState
	delayed        []model.LeaseRecord
	processes      []*process
	logUnavailable bool
	// newestIncarnation holds the highest incarnation of each instance that held the lease.
	newestIncarnation map[model.InstanceID]model.Incarnation
	// states holds the state of the reference by log position; all readers have to agree with it.
	states map[int]jujubelease.State
	claims int
}

func (c *testCluster) startProcess(instance model.InstanceID, clockOffset time.Duration) {
	c.now = c.now.Add(time.Millisecond) // no two processes of an instance have the same incarnation
	p := &process{instance: instance, incarnation: model.Incarnation(c.now.UnixMilli()), clockOffset: clockOffset, fencingToken: -1}
	p.lease = jujubelease.New("weights", instance, p.incarnation, jujubelease.Settings{})
	p.lease.SetLogUnavailable(c.now.Add(clockOffset), c.logUnavailable)
	c.processes = append(c.processes, p)
}

func (c *testCluster) appendRecord(record model.LeaseRecord) {
	body, err := json.Marshal(record)
	assert.NilError(c.t, err)
	offset := int64(len(c.log))
	c.log = append(c.log, model.LogRecord{Offset: offset, At: c.now, Body: body})
	tokenBefore := c.reference.fencingToken
	defer func() {
		r := c.reference
		c.states[len(c.log)] = jujubelease.State{Holder: r.holder, Incarnation: r.incarnation, Fence: r.fencingToken}
	}()
	if c.reference.apply(record, offset, c.now); c.reference.fencingToken != tokenBefore {
		c.claims++
		assert.Assert(c.t, c.reference.fencingToken > tokenBefore)
		c.newestIncarnation[record.Holder] = max(c.newestIncarnation[record.Holder], record.Incarnation)
	}
}

func (c *testCluster) deliver(p *process, count int) {
	for ; count > 0 && p.position < len(c.log); count-- {
		p.lease.Apply(c.log[p.position])
		p.lease.Apply(c.log[p.position]) // a repeated read has no effect
		p.position++
		state := p.lease.State(time.Time{})
		actual := jujubelease.State{Holder: state.Holder, Incarnation: state.Incarnation, Fence: state.Fence}
		if expected := c.states[p.position]; expected != actual {
			c.t.Fatalf("%s disagrees with the reference after %d records: %+v and %+v", p.instance, p.position, actual, expected)
		}
		if state.Fence < p.fencingToken {
			c.t.Fatalf("the fencing token went back from %d to %d", p.fencingToken, state.Fence)
		}
		p.fencingToken = state.Fence
	}
}

// checkHolders compares whether each process would consider the lease held if it ran now, paused or not, with the state at
// the log's time.
func (c *testCluster) checkHolders() {
	for _, p := range c.processes {
		state := p.lease.State(c.now.Add(p.clockOffset))
		if !state.Held {
			continue
		}
		r := c.reference
		// A newer incarnation claims without waiting, on the assumption that the older process has ended. If the older one
		// was only paused, its view is outside the guarantee; the fencing tokens still order the two.
		superseded := c.newestIncarnation[p.instance] > p.incarnation
		if !superseded && (r.holder != p.instance || r.incarnation != p.incarnation || r.fencingToken != state.Fence || !c.now.Before(r.expires)) {
			c.t.Fatalf("%s~%d considers the lease held with fence %d, but the log has %+v at %v", p.instance, p.incarnation, state.Fence, r, c.now)
		}
	}
}

func (c *testCluster) advance() {
	p := c.processes[uniform(c.t, len(c.processes), "process")]
	localNow := c.now.Add(p.clockOffset)
	switch op := uniform(c.t, 16, "op"); {
	case op == 0:
		c.startProcess(p.instance, p.clockOffset)
	case op == 1:
		p.paused = !p.paused
	case op == 2 && len(c.delayed) > 0: // a delayed append takes effect
		c.appendRecord(c.delayed[0])
		c.delayed = c.delayed[1:]
	case op == 3:
		c.now = c.now.Add(time.Duration(1+uniform(c.t, 20, "long")) * time.Second)
	case op == 4 && !p.paused:
		c.logUnavailable = !c.logUnavailable
		for _, p := range c.processes {
			p.lease.SetLogUnavailable(c.now.Add(p.clockOffset), c.logUnavailable)
		}
	case p.paused:
	case op < 8:
		c.deliver(p, 1+uniform(c.t, 3, "count"))
	default:
		records := p.lease.Tick(localNow, uniform(c.t, 10, "candidate") > 0)
		assert.Assert(c.t, len(records) <= 1 && (len(records) == 0 || !c.logUnavailable))
		for _, record := range records {
			switch uniform(c.t, 6, "append") {
			case 0:
				c.delayed = append(c.delayed, record)
				p.lease.HandleAppendFailure()
			case 1:
				p.lease.HandleAppendFailure()
			case 2:
				c.appendRecord(record)
				p.lease.HandleAppendFailure()
			default:
				c.appendRecord(record)
				c.deliver(p, len(c.log))
			}
		}
	}
	c.checkHolders()
	c.now = c.now.Add(time.Duration(1+uniform(c.t, 1500, "short")) * time.Millisecond)
	c.checkHolders()
}

// TestAtMostOneHolder guards against two holders, a holder that considers the lease held past the expiry (paused, with delayed
// or lost appends, and with clocks an hour apart), fencing tokens that don't grow, and readers that disagree.
func TestAtMostOneHolder(t *testing.T) {
	claims := 0
	rapid.Check(t, func(t *rapid.T) {
		c := &testCluster{
			t: t, now: epoch, reference: referenceState{fencingToken: -1},
			states: make(map[int]jujubelease.State), newestIncarnation: make(map[model.InstanceID]model.Incarnation),
		}
		for i, instance := range []model.InstanceID{"a", "b", "c"} {
			c.startProcess(instance, time.Duration(i-1)*time.Hour)
		}
		for range 50 + uniform(t, 251, "steps") {
			c.advance()
		}
		claims += c.claims
	})
	t.Logf("%d accepted claims", claims)
	assert.Assert(t, claims > 600)
}

// applyRecord applies a record at a log offset to the readers.
func applyRecord(t *testing.T, record model.LeaseRecord, offset int64, at time.Time, readers ...*jujubelease.Lease) {
	t.Helper()
	body, err := json.Marshal(record)
	assert.NilError(t, err)
	for _, reader := range readers {
		reader.Apply(model.LogRecord{Offset: offset, At: at, Body: body})
	}
}

// TestLifeOfALease guards against a lease that isn't claimed, renewed, released or taken over, and against a holder that loses
// its fencing token during an outage of the log.
func TestLifeOfALease(t *testing.T) {
	a := jujubelease.New("weights", "a", 1, jujubelease.Settings{})
	b := jujubelease.New("weights", "b", 1, jujubelease.Settings{})
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	a.SkipTo(3)
	b.SkipTo(3)
	claim := a.Tick(at(0), true)
	assert.Assert(t, len(claim) == 1 && claim[0].Claim)
	assert.Equal(t, len(a.Tick(at(1), true)), 0, "one outstanding record")
	applyRecord(t, claim[0], 3, at(2), a, b)
	assert.DeepEqual(t, a.State(at(13)), jujubelease.State{Holder: "a", Incarnation: 1, Fence: 3, Held: true, Expires: at(14)})
	assert.Assert(t, !a.State(at(14)).Held, "held for a TTL from the time of sending, minus the margin")
	assert.Equal(t, len(b.Tick(at(2), true)), 0)
	assert.Equal(t, len(a.Tick(at(4), true)), 0)
	renewal := a.Tick(at(5), true)
	assert.Equal(t, renewal[0].Renew, int64(3))
	assert.Equal(t, len(a.Tick(at(5), false)), 0, "one outstanding record")
	applyRecord(t, renewal[0], 4, at(5), a, b)
	assert.Equal(t, a.State(at(5)).Expires, at(19))
	assert.Equal(t, len(b.Tick(at(5), true)), 0)

	a.SetLogUnavailable(at(6), true)
	b.SetLogUnavailable(at(6), true)
	assert.Equal(t, len(a.Tick(at(12), true)), 0)
	state := a.State(at(60))
	assert.Assert(t, !state.Held && state.Degraded && state.Fence == 3)
	assert.Assert(t, !b.State(at(60)).Degraded)
	a.SetLogUnavailable(at(60), false)
	b.SetLogUnavailable(at(60), false)
	assert.Assert(t, !a.State(at(60)).Degraded)
	takeOver := b.Tick(at(60), true)
	applyRecord(t, takeOver[0], 5, at(60), a, b)
	assert.Assert(t, b.State(at(60)).Held && b.State(at(60)).Fence == 5)
	applyRecord(t, renewal[0], 6, at(61), a, b)
	assert.Equal(t, a.State(at(61)).Holder, model.InstanceID("b"), "a late renewal has no effect")

	release := b.Tick(at(62), false)
	assert.Assert(t, release[0].Release && !b.State(at(62)).Held)
	applyRecord(t, release[0], 7, at(62), a, b)
	next := a.Tick(at(62), true)
	applyRecord(t, next[0], 8, at(62), a, b)
	assert.Assert(t, a.State(at(62)).Held)
	restarted := jujubelease.New("weights", "a", 2, jujubelease.Settings{})
	restarted.SkipTo(8) // the lease was released before
	applyRecord(t, next[0], 8, at(62), restarted)
	reclaim := restarted.Tick(at(63), true)
	applyRecord(t, reclaim[0], 9, at(63), a, b, restarted)
	assert.Assert(t, restarted.State(at(63)).Held && !a.State(at(63)).Held, "a newer incarnation takes over at once")
	late := model.LeaseRecord{Lease: "weights", Holder: "a", Incarnation: 2, Renew: 8, Release: true}
	applyRecord(t, late, 10, at(63), restarted)
	assert.Assert(t, restarted.State(at(63)).Held, "a release that names another claim has no effect")
}

// TestStartAfterTheClaimExpired guards against a second holder when an instance starts after the claim in force has expired
// from the log: the instance must not consider the lease free because it never read that claim.
func TestStartAfterTheClaimExpired(t *testing.T) {
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	renewal := model.LeaseRecord{Lease: "weights", Holder: "a", Incarnation: 1, Renew: 7, TTL: model.Duration(15 * time.Second)}
	otherClaim := model.LeaseRecord{Lease: "weights", Holder: "c", Incarnation: 1, Claim: true, TTL: renewal.TTL}
	late := jujubelease.New("weights", "b", 1, jujubelease.Settings{})
	applyRecord(t, otherClaim, 40, at(0), late)
	assert.Equal(t, len(late.Tick(at(0), true)), 0, "the claim in force may have expired from the log")
	assert.Equal(t, late.State(at(0)).Fence, int64(-1), "whether the claim was accepted isn't known")
	applyRecord(t, renewal, 41, at(3), late)
	assert.Equal(t, late.State(at(3)).Holder, model.InstanceID("a"))
	assert.Equal(t, late.State(at(3)).Fence, int64(7))
	assert.Equal(t, len(late.Tick(at(4), true)), 0)
	claim := late.Tick(at(20), true)
	assert.Assert(t, len(claim) == 1 && claim[0].Claim, "the lease expired")
	applyRecord(t, claim[0], 42, at(20), late)
	assert.Assert(t, late.State(at(20)).Held)
}
