package jujubelease_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubelease"
)

// cutSettings are those of instances on the platform.
var cutSettings = jujubelease.Settings{TTL: 2 * time.Second, Margin: 600 * time.Millisecond, AppendTimeout: time.Second, Conditional: true}

// cutInstance is an instance whose links to the log and to the others can be cut.
type cutInstance struct {
	id          model.InstanceID
	incarnation model.Incarnation
	lease       *jujubelease.Lease
	next        int64
	reachesLog  bool
	paused      bool
	leads       bool
	fence       int64
}

// cutCluster is a set of instances, their log and the links between them.
type cutCluster struct {
	now       time.Time
	instances []*cutInstance
	log       [][]byte
	late      []lateAppend
	// cut holds the pairs of instances whose calls from the first to the second get no response.
	cut map[[2]int]bool
	// lastFence is the highest fencing token of a leader so far.
	lastFence int64
}

func newCutCluster(count int) *cutCluster {
	c := &cutCluster{now: time.Unix(1_700_000_000, 0), cut: map[[2]int]bool{}, lastFence: -1}
	for i := range count {
		c.instances = append(c.instances, &cutInstance{id: model.InstanceID(fmt.Sprint("i", i)), reachesLog: true})
		c.restart(i)
	}
	return c
}

func (c *cutCluster) restart(i int) {
	inst := c.instances[i]
	inst.incarnation++
	inst.lease, inst.next, inst.leads = jujubelease.New("l", inst.id, inst.incarnation, cutSettings), 0, false
}

// others returns the other instances; all of them may claim the lease.
func (c *cutCluster) others(i int) []model.InstanceID {
	var ids []model.InstanceID
	for j, inst := range c.instances {
		if j != i {
			ids = append(ids, inst.id)
		}
	}
	return ids
}

// appendFate is what happens to an append.
type appendFate int

const (
	appendDone appendFate = iota
	// appendUnanswered is done, and its response is lost.
	appendUnanswered
	// appendLate is done later, if its condition still holds.
	appendLate
)

// lateAppend is a claim that is appended later.
type lateAppend struct {
	position int64
	body     []byte
}

// executeLate appends what is late, if its condition still holds.
func (c *cutCluster) executeLate() {
	for _, late := range c.late {
		if late.position == int64(len(c.log)) {
			c.log = append(c.log, late.body)
		}
	}
	c.late = nil
}

// advance lets an instance read the log, ask for promises, and claim or renew the lease, as the node does.
func (c *cutCluster) advance(i int, fate appendFate) {
	inst := c.instances[i]
	if inst.paused {
		inst.leads = false // it sends no orders
		return
	}
	if inst.reachesLog {
		inst.lease.SetLogUnavailable(c.now, false)
		for ; inst.next < int64(len(c.log)); inst.next++ {
			inst.lease.Apply(model.LogRecord{Offset: inst.next, Body: c.log[inst.next]})
		}
	} else {
		inst.lease.SetLogUnavailable(c.now, true)
	}
	state := inst.lease.State(c.now)
	if state.Degraded {
		for j, other := range c.instances {
			if j != i && !other.paused && !c.cut[[2]int{i, j}] && other.lease.Promise(c.now, inst.id, state.Fence) && !c.cut[[2]int{j, i}] {
				inst.lease.RecordPromise(c.now, other.id)
			}
		}
	}
	for _, record := range inst.lease.Tick(c.now, true) {
		body, err := json.Marshal(record)
		if err != nil {
			panic(err)
		}
		if !inst.reachesLog || record.Claim && inst.lease.NextOffset() != int64(len(c.log)) {
			inst.lease.HandleAppendFailure()
			continue
		}
		if record.Claim && fate == appendLate {
			c.late = append(c.late, lateAppend{inst.lease.NextOffset(), body})
		} else {
			c.log = append(c.log, body)
		}
		if fate != appendDone {
			inst.lease.HandleAppendFailure()
		}
	}
	state = inst.lease.State(c.now)
	inst.leads, inst.fence = state.Held || inst.lease.LeadsWithoutLog(c.now, c.others(i)), state.Fence
}

// check returns what is wrong with the leaders of this moment, or "".
func (c *cutCluster) check() string {
	leaders := 0
	for _, inst := range c.instances {
		if !inst.leads {
			continue
		}
		leaders++
		if inst.fence < c.lastFence {
			return fmt.Sprintf("%s leads with %d after %d", inst.id, inst.fence, c.lastFence)
		}
		c.lastFence = inst.fence
	}
	if leaders > 1 {
		return fmt.Sprintf("%d instances lead", leaders)
	}
	return ""
}

// TestOneLeaderUnderCuts guards against two instances that give orders at the same time or in turns: instances are cut off from the
// log and from each other, in any groups and in one direction only, pause, restart, and lose responses.
func TestOneLeaderUnderCuts(t *testing.T) {
	const step = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		c := newCutCluster(rapid.IntRange(2, 5).Draw(t, "instances"))
		number := rapid.IntRange(0, len(c.instances)-1)
		for range rapid.IntRange(10, 60).Draw(t, "changes") {
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0: // a group of instances is cut off from the log and from the others
				inGroup := rapid.SliceOfN(rapid.Bool(), len(c.instances), len(c.instances)).Draw(t, "group")
				for i, inst := range c.instances {
					inst.reachesLog = !inGroup[i]
					for j := range c.instances {
						c.cut[[2]int{i, j}] = inGroup[i] != inGroup[j]
					}
				}
			case 1: // the log is away for some
				for _, inst := range c.instances {
					inst.reachesLog = rapid.Bool().Draw(t, "reaches the log")
				}
			case 2: // the log is away for all
				for _, inst := range c.instances {
					inst.reachesLog = false
				}
			case 3: // one direction of a link
				c.cut[[2]int{number.Draw(t, "from"), number.Draw(t, "to")}] = true
			case 4: // all is well
				clear(c.cut)
				for _, inst := range c.instances {
					inst.reachesLog, inst.paused = true, false
				}
			case 5:
				inst := c.instances[number.Draw(t, "paused")]
				inst.paused = !inst.paused
			case 6:
				c.restart(number.Draw(t, "restarted"))
			}
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				c.now = c.now.Add(step)
				first := number.Draw(t, "first")
				for i := range c.instances {
					c.advance((first+i)%len(c.instances), appendFate(rapid.IntRange(0, 9).Draw(t, "fate")))
				}
				if rapid.IntRange(0, 19).Draw(t, "late") == 0 {
					c.executeLate()
				}
				if problem := c.check(); problem != "" {
					t.Fatal(problem)
				}
			}
		}
	})
}

// TestLeaderGoesOnWithoutLog checks that the holder leads on while the log is away for all instances, that it stops within the lease
// time when it doesn't reach one of them, and that a refused fencing token ends its leadership for good.
func TestLeaderGoesOnWithoutLog(t *testing.T) {
	run := func(c *cutCluster, span time.Duration) {
		for end := c.now.Add(span); c.now.Before(end); {
			c.now = c.now.Add(100 * time.Millisecond)
			for i := range c.instances {
				c.advance(i, appendDone)
			}
			assert.Equal(t, c.check(), "")
		}
	}
	c := newCutCluster(3)
	run(c, 5*time.Second)
	assert.Assert(t, c.instances[0].leads)
	for _, inst := range c.instances {
		inst.reachesLog = false
	}
	run(c, 10*time.Second)
	assert.Assert(t, c.instances[0].leads, "it doesn't lead while the log is away for all")
	c.cut[[2]int{0, 2}] = true
	run(c, cutSettings.TTL)
	assert.Assert(t, !c.instances[0].leads, "it leads although another instance may have claimed the lease")
	clear(c.cut)
	run(c, cutSettings.TTL)
	assert.Assert(t, c.instances[0].leads)
	c.instances[0].lease.InvalidateFence(c.instances[0].fence)
	run(c, 10*time.Second)
	assert.Assert(t, !c.instances[0].leads, "it leads with a token that an endpoint has refused")
}

// TestNoPromiseWhileClaimMayTakeEffect guards against a holder that leads on while a claim of another instance, whose response was
// lost, takes effect late.
func TestNoPromiseWhileClaimMayTakeEffect(t *testing.T) {
	c := newCutCluster(2)
	holder, other := c.instances[0], c.instances[1]
	for range 10 {
		c.now = c.now.Add(100 * time.Millisecond)
		c.advance(0, appendDone)
		c.advance(1, appendDone)
	}
	assert.Assert(t, holder.leads)
	holder.reachesLog = false
	c.cut[[2]int{0, 1}] = true
	for len(c.late) == 0 {
		c.now = c.now.Add(100 * time.Millisecond)
		c.advance(0, appendDone)
		c.advance(1, appendLate)
	}
	assert.Assert(t, !holder.leads)
	clear(c.cut)
	assert.Assert(t, !other.lease.Promise(c.now, holder.id, holder.fence), "its claim may still take effect")
	c.advance(0, appendDone)
	assert.Assert(t, !holder.leads)
}
