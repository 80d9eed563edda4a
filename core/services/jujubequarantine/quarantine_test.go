package jujubequarantine_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	quarantine "jujubepier.example/core/services/jujubequarantine"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "21"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

const crasher model.Fingerprint = 100

// processOf returns the first process of an endpoint.
func processOf(endpoint model.EndpointID) quarantine.Process {
	return quarantine.Process{Endpoint: endpoint, Incarnation: 1}
}

// testCluster is a set of instances whose gossip updates arrive late, out of order and more than once. Instance 0 is the
// coordinator.
type testCluster struct {
	instances []*quarantine.Quarantine
	sent      []model.Rumour
	// inFlight maps each endpoint and fingerprint to the instance that runs it there.
	inFlight map[model.EndpointID]map[model.Fingerprint]int
	starts   int
	crashes  int
}

// deliver delivers the sent updates in random order, each to some instances or to all. Then instances other than the coordinator
// cancel their runs of suspects.
func (c *testCluster) deliver(t *rapid.T, all bool) {
	permuted := rapid.Permutation(c.sent).Draw(t, "order")
	for _, update := range permuted {
		for _, q := range c.instances {
			if all || rapid.Bool().Draw(t, "delivered") {
				q.ApplyUpdate(start, update)
				c.sent = append(c.sent, q.PopDerived()...)
			}
		}
	}
	for _, q := range c.instances[1:] {
		for _, run := range q.RunningSuspects(start) {
			q.RemoveRun(start, run.Fingerprint, run.Endpoint)
			delete(c.inFlight[run.Endpoint], run.Fingerprint)
		}
	}
}

// run starts a run of a fingerprint through an instance, as the entry program does, and returns its endpoint.
func (c *testCluster) run(t *rapid.T, via int, f model.Fingerprint) (model.EndpointID, bool) {
	q := c.instances[via]
	if q.IsSuspect(start, f) {
		for _, update := range q.UpdatesFor(start, f) {
			c.instances[0].ApplyUpdate(start, update)
		}
		via, q = 0, c.instances[0]
	}
	for _, number := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "endpoints") {
		endpoint := model.EndpointID(fmt.Sprintf("e%d", number))
		if _, running := c.inFlight[endpoint][f]; !running && q.Admit(start, f, endpoint) {
			q.AddRun(start, f, endpoint)
			c.inFlight[endpoint][f] = via
			return endpoint, true
		}
	}
	return "", false
}

// crash simulates the crash of an endpoint; each instance blames the fingerprints that it runs there.
func (c *testCluster) crash(endpoint model.EndpointID) {
	c.crashes++
	for i, q := range c.instances {
		var blamed []model.Fingerprint
		for f, via := range c.inFlight[endpoint] {
			if via == i {
				blamed = append(blamed, f)
			}
		}
		c.sent = append(c.sent, q.RecordCrash(start, quarantine.Process{Endpoint: endpoint, Incarnation: model.Incarnation(c.crashes)}, blamed)...)
	}
	clear(c.inFlight[endpoint])
}

// TestTwoCrashesAtMost guards against a request that crashes a third endpoint, and against other requests that are
// quarantined along with it.
func TestTwoCrashesAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &testCluster{inFlight: map[model.EndpointID]map[model.Fingerprint]int{}}
		for range 3 {
			c.instances = append(c.instances, quarantine.New(quarantine.Settings{MaxSuspects: 12, MaxVerdicts: 4}))
		}
		for i := range 3 {
			c.inFlight[model.EndpointID(fmt.Sprintf("e%d", i))] = map[model.Fingerprint]int{}
		}
		running := map[model.Fingerprint]model.EndpointID{}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			via := rapid.IntRange(0, 2).Draw(t, "via")
			f := model.Fingerprint(rapid.IntRange(1, 4).Draw(t, "innocent"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2, 3, 4:
				if owner, isRunning := c.inFlight[running[f]][f]; !isRunning {
					running[f], _ = c.run(t, via, f)
				} else if rapid.IntRange(0, 4).Draw(t, "complete") == 0 {
					c.sent = append(c.sent, c.instances[owner].CompleteRun(start, f, processOf(running[f]))...)
					delete(c.inFlight[running[f]], f)
				}
			case 5, 6, 7, 8:
				c.deliver(t, false)
			default: // retries are sequential: the updates of the last crash have arrived
				c.deliver(t, true)
				if endpoint, ok := c.run(t, via, crasher); ok {
					c.crash(endpoint)
				}
			}
			assert.Assert(t, c.crashes <= 2, "%d endpoints crashed", c.crashes)
			for _, q := range c.instances {
				verdicts := 0
				entries := q.List()
				for _, entry := range entries {
					if entry.State == quarantine.Quarantined {
						verdicts++
						assert.Equal(t, entry.Fingerprint, crasher, "an innocent fingerprint is quarantined: %+v", entry)
					}
				}
				assert.Assert(t, len(entries)-verdicts <= 12 && verdicts <= 4)
			}
		}
		c.deliver(t, true)
		c.deliver(t, true)
		for _, q := range c.instances {
			assert.Equal(t, q.Check(start, crasher) == quarantine.Quarantined, c.crashes == 2)
			assert.Equal(t, q.RetryAfter(start, crasher) > 0, c.crashes == 2, "a quarantine without a retry-after time")
		}
		lift := c.instances[1].Lift(start, crasher)
		c.instances[0].ApplyUpdate(start, lift)
		c.deliver(t, true) // late copies of the crash updates
		assert.Equal(t, c.instances[0].Check(start, crasher), quarantine.Clear, "a late update undid the lift")
		assert.Equal(t, c.instances[1].Check(start, crasher), quarantine.Clear, "a late update undid the lift")
	})
}

// TestMergeOrder guards against merges whose result depends on the order or the number of copies of the updates.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := quarantine.New(quarantine.Settings{})
		var updates []model.Rumour
		for i := range rapid.IntRange(1, 4).Draw(t, "crashes") {
			other := quarantine.New(quarantine.Settings{})
			crash := processOf(model.EndpointID(fmt.Sprint(i)))
			updates = append(updates, other.RecordCrash(start, crash, []model.Fingerprint{crasher})...)
		}
		for _, update := range updates {
			source.ApplyUpdate(start, update)
		}
		updates = append(updates, source.UpdatesFor(start, crasher)...)
		reverse := quarantine.New(quarantine.Settings{}) // derives its verdict from other crashes
		for i := len(updates) - 1; i >= 0; i-- {
			if updates[i].Kind == model.GossipSuspect {
				reverse.ApplyUpdate(start, updates[i])
			}
		}
		updates = append(updates, reverse.UpdatesFor(start, crasher)...)
		if rapid.Bool().Draw(t, "lift") {
			updates = append(updates, source.Lift(start, crasher))
		}
		var results [2][]quarantine.Entry
		for i := range results {
			q := quarantine.New(quarantine.Settings{})
			for range i + 1 {
				for _, update := range rapid.Permutation(updates).Draw(t, "order") {
					q.ApplyUpdate(start, update)
				}
			}
			for _, update := range updates {
				assert.Assert(t, !q.ApplyUpdate(start, update), "a copy changed something")
			}
			q.Check(start, crasher)
			results[i] = q.List()
		}
		assert.DeepEqual(t, results[0], results[1])
	})
}

// TestBounds guards against tables that grow without bound, entries that never expire, and first runs on several
// endpoints at a time.
func TestBounds(t *testing.T) {
	q := quarantine.New(quarantine.Settings{})
	for i := range 5000 {
		f, now := model.Fingerprint(i), start.Add(time.Duration(i)*time.Millisecond)
		q.RecordCrash(now, processOf("a"), []model.Fingerprint{f})
		if i < 1100 {
			q.RecordCrash(now, processOf("b"), []model.Fingerprint{f})
		}
		assert.Equal(t, q.Check(now, f) == quarantine.Quarantined, i < 1100)
	}
	now := start.Add(time.Minute)
	assert.Equal(t, len(q.List()), 4096-1100+1024, "the latest suspects beside those with two crashes, and the latest verdicts")
	assert.Equal(t, q.Check(now, 0), quarantine.Quarantined, "its verdict was evicted, its crashes remain")
	assert.Equal(t, q.Check(now, 1099), quarantine.Quarantined)
	assert.Equal(t, q.Check(now, 1100), quarantine.Clear, "the oldest suspects with one crash are evicted first")
	assert.Equal(t, q.Check(now, 4999), quarantine.Suspect)
	assert.Equal(t, q.Check(now.Add(time.Hour), 4999), quarantine.Clear)
	assert.Equal(t, q.Check(now.Add(24*time.Hour), 1099), quarantine.Clear)

	q.AddRun(now, crasher+10000, "x")
	q.AddRun(now, crasher+10000, "y")
	assert.Assert(t, !q.Admit(now, crasher+10000, "z"))
	q.CompleteRun(now, crasher+10000, processOf("x"))
	assert.Assert(t, q.Admit(now, crasher+10000, "z"))
}

// TestCompletionClears guards against suspicions that remain after a completion, or that a late gossip update restores.
func TestCompletionClears(t *testing.T) {
	q, other := quarantine.New(quarantine.Settings{}), quarantine.New(quarantine.Settings{})
	suspected := q.RecordCrash(start, processOf("a"), []model.Fingerprint{crasher})
	assert.Assert(t, q.IsSuspect(start, crasher))
	assert.Assert(t, q.Admit(start, crasher, "b"))
	q.AddRun(start, crasher, "b")
	assert.Assert(t, !q.Admit(start, crasher, "c"), "a suspect runs on one endpoint at a time")
	cleared := q.CompleteRun(start, crasher, processOf("b"))
	for _, update := range append(cleared, suspected...) {
		other.ApplyUpdate(start, update)
		q.ApplyUpdate(start, update)
	}
	assert.Equal(t, q.Check(start, crasher), quarantine.Clear)
	assert.Equal(t, other.Check(start, crasher), quarantine.Clear)
}
