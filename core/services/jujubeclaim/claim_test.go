package jujubeclaim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubeclaim"
)

func TestMain(m *testing.M) {
	// Set before the command line is parsed, so that flags can override them.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

// uniform draws uniformly from [0, n). Rapid's integer generators are biased towards small values, which would make the
// first cases of a step far more frequent than the others.
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

// process is one incarnation of an instance.
type process struct {
	claims      *jujubeclaim.Claims
	instance    model.InstanceID
	incarnation model.Incarnation
	paused      bool
	skew        time.Duration
	// delayed holds the requests that arrived during a pause, running the dispatched keys without an outcome.
	delayed []func()
	running []model.IdempotencyKey
}

// testCluster sends requests to simulated instances and counts how often the endpoint runs each key.
type testCluster struct {
	t         *rapid.T
	now       time.Time
	processes []*process
	current   map[model.InstanceID]*process
	keys      []model.IdempotencyKey
	runs      map[model.IdempotencyKey]int
	refused   map[model.IdempotencyKey]bool
	repeated  int
}

const maxKeys = 6

// start starts a new incarnation of an instance.
func (c *testCluster) start(instance model.InstanceID) {
	c.now = c.now.Add(time.Millisecond)
	p := &process{instance: instance, incarnation: model.Incarnation(c.now.UnixMilli())}
	p.claims = jujubeclaim.New(instance, p.incarnation, jujubeclaim.Settings{MaxKeys: maxKeys, MaxResponseBytes: 8, MaxTotalResponseBytes: 20})
	c.processes = append(c.processes, p)
	c.current[instance] = p
}

// runOnEndpoint simulates the endpoint, which runs every request that it receives.
func (c *testCluster) runOnEndpoint(key model.IdempotencyKey) {
	c.runs[key]++
	if c.runs[key] > 1 {
		c.t.Fatalf("%s ran %d times", key, c.runs[key])
	}
	if c.refused[key] {
		c.t.Fatalf("%s ran after it was refused as NotRun", key)
	}
}

// deliver passes a request to a process and checks the decision and the limits of the table.
func (c *testCluster) deliver(p *process, key model.IdempotencyKey, forwarded bool) {
	if p.paused {
		p.delayed = append(p.delayed, func() { c.deliver(p, key, forwarded) })
		return
	}
	now := c.now.Add(p.skew)
	switch d := p.claims.Decide(now, key, 1); d.Kind {
	case jujubeclaim.Run:
		switch uniform(c.t, 4, "end") {
		case 0: // the endpoint responds
			c.runOnEndpoint(key)
			p.claims.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanYes, Answer: []byte(key[len(key)-4:])})
		case 1: // no endpoint was available
			p.claims.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanNo, Code: jujubeerror.CodeNoEndpoint})
			c.refused[key] = true
		case 2: // the connection broke before or after the endpoint ran the request
			if rapid.Bool().Draw(c.t, "reached") {
				c.runOnEndpoint(key)
			}
			p.claims.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanUnknown})
		default:
			c.runOnEndpoint(key)
			p.running = append(p.running, key)
		}
	case jujubeclaim.Refuse:
		if d.Outcome.Ran != model.RanNo || c.runs[key] > 0 {
			c.t.Fatalf("%s was refused as %q after %d runs", key, d.Outcome.Ran, c.runs[key])
		}
		c.refused[key] = true
	case jujubeclaim.Repeat:
		c.repeated++
		if d.Outcome.Ran == model.RanYes && (c.runs[key] != 1 || !d.Outcome.Truncated && string(d.Outcome.Answer) != string(key[len(key)-4:])) {
			c.t.Fatalf("%s: wrong response %+v after %d runs", key, d.Outcome, c.runs[key])
		}
	case jujubeclaim.Forward:
		if target := c.current[d.Owner]; target != nil && !forwarded {
			c.deliver(target, key, true)
		}
	}
	if stats := p.claims.Stats(); stats.Keys > maxKeys || stats.Imported > maxKeys || stats.AnswerBytes > 20 {
		c.t.Fatalf("table exceeds its limits: %+v", stats)
	}
}

// step performs one random operation.
func (c *testCluster) step() {
	p := c.processes[uniform(c.t, len(c.processes), "process")]
	switch uniform(c.t, 12, "op") {
	case 0:
		c.now = c.now.Add(time.Duration(1+uniform(c.t, 150, "seconds")) * time.Second)
		for _, p := range c.processes {
			if !p.paused {
				p.claims.Expire(c.now.Add(p.skew))
			}
		}
	case 1:
		p.paused = true
	case 2:
		p.paused = false
		delayed := p.delayed
		p.delayed = nil
		for _, deliver := range delayed {
			deliver()
		}
	case 3: // restart; the old process may be paused and resume later
		c.start(p.instance)
	case 4:
		newest := c.current[p.instance]
		for _, other := range c.processes {
			if rapid.Bool().Draw(c.t, "informed") {
				other.claims.SetIncarnation(newest.instance, newest.incarnation)
			}
		}
	case 5: // a hand-over whose acknowledgement is lost is repeated with another successor
		if p.paused {
			return
		}
		entries := p.claims.Freeze(c.now.Add(p.skew))
		for range 1 + uniform(c.t, 2, "attempts") {
			to := c.processes[uniform(c.t, len(c.processes), "successor")]
			to.claims.Import(c.now.Add(to.skew), p.instance, p.incarnation, entries)
			for _, other := range c.processes {
				if rapid.Bool().Draw(c.t, "informed") {
					other.claims.SetSuccessor(p.instance, p.incarnation, to.instance)
				}
			}
		}
	case 6:
		p.skew = time.Duration(-60+uniform(c.t, 121, "skew")) * time.Second
	case 7:
		if len(p.running) > 0 && !p.paused {
			p.claims.Finish(c.now.Add(p.skew), p.running[0], jujubeclaim.Outcome{Ran: model.RanYes, Answer: []byte(p.running[0][len(p.running[0])-4:])})
			p.running = p.running[1:]
		}
	case 8, 9:
		key := fmt.Sprintf("%s~%04d", p.claims.KeyPrefix(c.now.Add(p.skew)), len(c.keys))
		c.keys = append(c.keys, model.IdempotencyKey(key))
		c.deliver(p, c.keys[len(c.keys)-1], false)
	default:
		if len(c.keys) > 0 {
			c.deliver(p, rapid.SampledFrom(c.keys).Draw(c.t, "key"), false)
		}
	}
}

// TestKeyRunsAtMostOnce guards against a key that runs twice, against a false NotRun and against a table that exceeds its
// limits, in the presence of lost responses, repetitions through any instance, pauses, restarts, clocks that are set back and
// repeated hand-overs.
func TestKeyRunsAtMostOnce(t *testing.T) {
	ran, refused, repeated := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := &testCluster{
			t: t, now: epoch, current: make(map[model.InstanceID]*process),
			runs: make(map[model.IdempotencyKey]int), refused: make(map[model.IdempotencyKey]bool),
		}
		for _, instance := range []model.InstanceID{"a", "b", "c"} {
			c.start(instance)
		}
		for range 20 + uniform(t, 101, "steps") {
			c.step()
		}
		ran += len(c.runs)
		refused += len(c.refused)
		repeated += c.repeated
	})
	t.Logf("%d keys ran, %d were refused as NotRun, %d responses were repeated", ran, refused, repeated)
	assert.Assert(t, ran > 6000 && refused > 6000 && repeated > 1600, "the steps reach too few of the decisions")
}

// TestDecisions guards against wrong decisions, with at least one case for each kind.
func TestDecisions(t *testing.T) {
	c := jujubeclaim.New("a", 5, jujubeclaim.Settings{MaxKeys: 3, MaxResponseBytes: 4})
	key := func(part string) model.IdempotencyKey { return model.IdempotencyKey(c.KeyPrefix(epoch) + "~" + part) }
	first := key("1")
	begin := func(key model.IdempotencyKey) jujubeclaim.Decision { return c.Decide(epoch, key, 1) }
	assert.Equal(t, begin(key("1")).Kind, jujubeclaim.Run)
	assert.Equal(t, begin(key("1")).Kind, jujubeclaim.InProgress)
	assert.Equal(t, c.Decide(epoch, key("1"), 2).Kind, jujubeclaim.Conflict)
	c.Finish(epoch, key("1"), jujubeclaim.Outcome{Ran: model.RanYes, Answer: []byte("done")})
	c.Finish(epoch, key("1"), jujubeclaim.Outcome{Ran: model.RanNo})
	assert.Equal(t, string(begin(key("1")).Outcome.Answer), "done", "the first outcome is kept")
	assert.Equal(t, begin(key("2~tilde")).Kind, jujubeclaim.Run)
	c.Finish(epoch, key("2~tilde"), jujubeclaim.Outcome{Ran: model.RanYes, Answer: []byte("large")})
	assert.DeepEqual(t, begin(key("2~tilde")).Outcome, jujubeclaim.Outcome{Ran: model.RanYes, Truncated: true})
	assert.Equal(t, begin(key("3")).Kind, jujubeclaim.Run)
	overloaded := begin(key("4"))
	assert.Equal(t, overloaded.Kind, jujubeclaim.Unknown)
	assert.Equal(t, overloaded.RetryAfter, time.Second)
	for _, malformed := range []model.IdempotencyKey{"a~5~x~1", "a~05~1800000000~1", "a~5~1800000000~", "1"} {
		assert.Equal(t, begin(malformed).Kind, jujubeclaim.Refuse, "%s", malformed)
	}
	c.SetIncarnation("b", 7)
	assert.Equal(t, begin("b~7~1800000000~1").Owner, model.InstanceID("b"))
	assert.Equal(t, begin("b~6~1800000000~1").Kind, jujubeclaim.Unknown)
	assert.Equal(t, begin("b~8~1800000000~1").RetryAfter, time.Second)
	assert.Equal(t, begin("a~4~1800000000~1").Code, jujubeerror.CodeKeyOwnerGone)
	c.SetSuccessor("b", 6, "d")
	assert.Equal(t, begin("b~6~1800000000~1").Owner, model.InstanceID("d"))
	c.MarkGone("b", 7)
	assert.Equal(t, begin("b~7~1800000000~1").Kind, jujubeclaim.Unknown)

	entries := c.Freeze(epoch)
	assert.Equal(t, begin(key("5")).Code, jujubeerror.CodeLeaving)
	next := jujubeclaim.New("d", 1, jujubeclaim.Settings{})
	next.Import(epoch, "a", 5, entries)
	assert.Equal(t, next.Decide(epoch, key("3"), 1).Outcome.Ran, model.RanUnknown, "in progress at the freeze")
	c.Finish(epoch, key("3"), jujubeclaim.Outcome{Ran: model.RanNo})
	next.Import(epoch, "a", 5, c.Freeze(epoch))
	assert.Equal(t, next.Decide(epoch, key("3"), 1).Outcome.Ran, model.RanNo)
	assert.Equal(t, next.Decide(epoch, key("5"), 1).Kind, jujubeclaim.Unknown)

	expired := epoch.Add(10 * time.Minute)
	c.Expire(expired)
	assert.Equal(t, c.Decide(expired, first, 1).Kind, jujubeclaim.Repeat, "kept for the margin")
	c.Expire(expired.Add(time.Minute))
	assert.Equal(t, c.Stats().Keys, 0)
	assert.Equal(t, c.Decide(epoch, first, 1).Code, jujubeerror.CodeKeyExpired, "the clock was set back")
}

// BenchmarkDecideFinish measures one request through a table that is three quarters full.
func BenchmarkDecideFinish(b *testing.B) {
	c := jujubeclaim.New("a", 5, jujubeclaim.Settings{})
	now := epoch
	response := make([]byte, 64)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%64 == 0 { // 64 keys per 0.9 s keep about 47,000 in the table
			now = now.Add(900 * time.Millisecond)
			c.Expire(now)
		}
		key := model.IdempotencyKey(fmt.Sprintf("%s~%d", c.KeyPrefix(now), i))
		if d := c.Decide(now, key, 1); d.Kind != jujubeclaim.Run {
			b.Fatal(d)
		}
		c.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanYes, Answer: response})
	}
	b.ReportMetric(float64(c.Stats().Keys), "keys")
}
