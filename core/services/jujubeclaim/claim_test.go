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
	// Set before the command line is parsed, so that it can ask for other seeds.
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

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

// process is one incarnation of an instance.
type process struct {
	claims      *jujubeclaim.Claims
	instance    model.InstanceID
	incarnation model.Incarnation
	paused      bool
	skew        time.Duration
	// late are the copies that arrived during a pause; running are the dispatched keys without an outcome.
	late    []func()
	running []model.IdempotencyKey
}

// world runs requests on simulated instances and counts how often the endpoint ran each key.
type world struct {
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

func (w *world) start(instance model.InstanceID) {
	w.now = w.now.Add(time.Millisecond)
	p := &process{instance: instance, incarnation: model.Incarnation(w.now.UnixMilli())}
	p.claims = jujubeclaim.New(instance, p.incarnation, jujubeclaim.Settings{MaxKeys: maxKeys, MaxAnswer: 8, MaxAnswerBytes: 20})
	w.processes = append(w.processes, p)
	w.current[instance] = p
}

// run is the endpoint: it runs whatever it receives.
func (w *world) run(key model.IdempotencyKey) {
	w.runs[key]++
	if w.runs[key] > 1 {
		w.t.Fatalf("%s ran %d times", key, w.runs[key])
	}
	if w.refused[key] {
		w.t.Fatalf("%s ran after an answer NotRun", key)
	}
}

func (w *world) deliver(p *process, key model.IdempotencyKey, forwarded bool) {
	if p.paused {
		p.late = append(p.late, func() { w.deliver(p, key, forwarded) })
		return
	}
	now := w.now.Add(p.skew)
	switch d := p.claims.Begin(now, key, 1); d.Kind {
	case jujubeclaim.Run:
		switch uniform(w.t, 4, "end") {
		case 0: // the endpoint answers
			w.run(key)
			p.claims.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanYes, Answer: []byte(key[len(key)-4:])})
		case 1: // no endpoint was available
			p.claims.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanNo, Code: jujubeerror.CodeNoEndpoint})
			w.refused[key] = true
		case 2: // the connection broke before or after the endpoint ran the request
			if rapid.Bool().Draw(w.t, "reached") {
				w.run(key)
			}
			p.claims.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanUnknown})
		default:
			w.run(key)
			p.running = append(p.running, key)
		}
	case jujubeclaim.Refuse:
		if d.Outcome.Ran != model.RanNo || w.runs[key] > 0 {
			w.t.Fatalf("%s was refused as %q after %d runs", key, d.Outcome.Ran, w.runs[key])
		}
		w.refused[key] = true
	case jujubeclaim.Repeat:
		w.repeated++
		if d.Outcome.Ran == model.RanYes && (w.runs[key] != 1 || !d.Outcome.Truncated && string(d.Outcome.Answer) != string(key[len(key)-4:])) {
			w.t.Fatalf("%s: wrong answer %+v after %d runs", key, d.Outcome, w.runs[key])
		}
	case jujubeclaim.Forward:
		if target := w.current[d.Owner]; target != nil && !forwarded {
			w.deliver(target, key, true)
		}
	}
	if stats := p.claims.Stats(); stats.Keys > maxKeys || stats.Imported > maxKeys || stats.AnswerBytes > 20 {
		w.t.Fatalf("table above its bounds: %+v", stats)
	}
}

func (w *world) step() {
	p := w.processes[uniform(w.t, len(w.processes), "process")]
	switch uniform(w.t, 12, "op") {
	case 0:
		w.now = w.now.Add(time.Duration(1+uniform(w.t, 150, "seconds")) * time.Second)
		for _, p := range w.processes {
			if !p.paused {
				p.claims.Tick(w.now.Add(p.skew))
			}
		}
	case 1:
		p.paused = true
	case 2:
		p.paused = false
		late := p.late
		p.late = nil
		for _, deliver := range late {
			deliver()
		}
	case 3: // restart; the old process may be a paused one that wakes up later
		w.start(p.instance)
	case 4:
		newest := w.current[p.instance]
		for _, other := range w.processes {
			if rapid.Bool().Draw(w.t, "informed") {
				other.claims.SetIncarnation(newest.instance, newest.incarnation)
			}
		}
	case 5: // a hand-over whose acknowledgement is lost is repeated with another successor
		if p.paused {
			return
		}
		entries := p.claims.Freeze(w.now.Add(p.skew))
		for range 1 + uniform(w.t, 2, "attempts") {
			to := w.processes[uniform(w.t, len(w.processes), "successor")]
			to.claims.Import(w.now.Add(to.skew), p.instance, p.incarnation, entries)
			for _, other := range w.processes {
				if rapid.Bool().Draw(w.t, "informed") {
					other.claims.SetSuccessor(p.instance, p.incarnation, to.instance)
				}
			}
		}
	case 6:
		p.skew = time.Duration(-60+uniform(w.t, 121, "skew")) * time.Second
	case 7:
		if len(p.running) > 0 && !p.paused {
			p.claims.Finish(w.now.Add(p.skew), p.running[0], jujubeclaim.Outcome{Ran: model.RanYes, Answer: []byte(p.running[0][len(p.running[0])-4:])})
			p.running = p.running[1:]
		}
	case 8, 9:
		key := fmt.Sprintf("%s~%04d", p.claims.KeyPrefix(w.now.Add(p.skew)), len(w.keys))
		w.keys = append(w.keys, model.IdempotencyKey(key))
		w.deliver(p, w.keys[len(w.keys)-1], false)
	default:
		if len(w.keys) > 0 {
			w.deliver(p, rapid.SampledFrom(w.keys).Draw(w.t, "key"), false)
		}
	}
}

// Guards against a key that runs twice, a NotRun that isn't true, and a table above its bounds, with lost answers, copies
// through any instance, pauses, restarts, clocks that are set back, and repeated hand-overs.
func TestKeyRunsAtMostOnce(t *testing.T) {
	ran, refused, repeated := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, now: epoch, current: make(map[model.InstanceID]*process),
			runs: make(map[model.IdempotencyKey]int), refused: make(map[model.IdempotencyKey]bool),
		}
		for _, instance := range []model.InstanceID{"a", "b", "c"} {
			w.start(instance)
		}
		for range 20 + uniform(t, 101, "steps") {
			w.step()
		}
		ran += len(w.runs)
		refused += len(w.refused)
		repeated += w.repeated
	})
	t.Logf("%d keys ran, %d were refused as NotRun, %d answers were repeated", ran, refused, repeated)
	assert.Assert(t, ran > 6000 && refused > 6000 && repeated > 1600, "the steps don't reach the decisions")
}

// Guards against each kind of decision being taken for another.
func TestDecisions(t *testing.T) {
	c := jujubeclaim.New("a", 5, jujubeclaim.Settings{MaxKeys: 3, MaxAnswer: 4})
	key := func(part string) model.IdempotencyKey { return model.IdempotencyKey(c.KeyPrefix(epoch) + "~" + part) }
	first := key("1")
	begin := func(key model.IdempotencyKey) jujubeclaim.Decision { return c.Begin(epoch, key, 1) }
	assert.Equal(t, begin(key("1")).Kind, jujubeclaim.Run)
	assert.Equal(t, begin(key("1")).Kind, jujubeclaim.InProgress)
	assert.Equal(t, c.Begin(epoch, key("1"), 2).Kind, jujubeclaim.Conflict)
	c.Finish(epoch, key("1"), jujubeclaim.Outcome{Ran: model.RanYes, Answer: []byte("done")})
	c.Finish(epoch, key("1"), jujubeclaim.Outcome{Ran: model.RanNo})
	assert.Equal(t, string(begin(key("1")).Outcome.Answer), "done", "the first outcome stays")
	assert.Equal(t, begin(key("2~tilde")).Kind, jujubeclaim.Run)
	c.Finish(epoch, key("2~tilde"), jujubeclaim.Outcome{Ran: model.RanYes, Answer: []byte("large")})
	assert.DeepEqual(t, begin(key("2~tilde")).Outcome, jujubeclaim.Outcome{Ran: model.RanYes, Truncated: true})
	assert.Equal(t, begin(key("3")).Kind, jujubeclaim.Run)
	full := begin(key("4"))
	assert.Equal(t, full.Kind, jujubeclaim.Unknown)
	assert.Equal(t, full.RetryAfter, time.Second)
	for _, bad := range []model.IdempotencyKey{"a~5~x~1", "a~05~1800000000~1", "a~5~1800000000~", "1"} {
		assert.Equal(t, begin(bad).Kind, jujubeclaim.Refuse, "%s", bad)
	}
	c.SetIncarnation("b", 7)
	assert.Equal(t, begin("b~7~1800000000~1").Owner, model.InstanceID("b"))
	assert.Equal(t, begin("b~6~1800000000~1").Kind, jujubeclaim.Unknown)
	assert.Equal(t, begin("b~8~1800000000~1").RetryAfter, time.Second)
	assert.Equal(t, begin("a~4~1800000000~1").Code, jujubeerror.CodeKeyOwnerGone)
	c.SetSuccessor("b", 6, "d")
	assert.Equal(t, begin("b~6~1800000000~1").Owner, model.InstanceID("d"))
	c.SetGone("b", 7)
	assert.Equal(t, begin("b~7~1800000000~1").Kind, jujubeclaim.Unknown)

	entries := c.Freeze(epoch)
	assert.Equal(t, begin(key("5")).Code, jujubeerror.CodeLeaving)
	next := jujubeclaim.New("d", 1, jujubeclaim.Settings{})
	next.Import(epoch, "a", 5, entries)
	assert.Equal(t, next.Begin(epoch, key("3"), 1).Outcome.Ran, model.RanUnknown, "in progress at the freeze")
	c.Finish(epoch, key("3"), jujubeclaim.Outcome{Ran: model.RanNo})
	next.Import(epoch, "a", 5, c.Freeze(epoch))
	assert.Equal(t, next.Begin(epoch, key("3"), 1).Outcome.Ran, model.RanNo)
	assert.Equal(t, next.Begin(epoch, key("5"), 1).Kind, jujubeclaim.Unknown)

	expired := epoch.Add(10 * time.Minute)
	c.Tick(expired)
	assert.Equal(t, c.Begin(expired, first, 1).Kind, jujubeclaim.Repeat, "remembered for the margin")
	c.Tick(expired.Add(time.Minute))
	assert.Equal(t, c.Stats().Keys, 0)
	assert.Equal(t, c.Begin(epoch, first, 1).Code, jujubeerror.CodeKeyExpired, "the clock was set back")
}

// BenchmarkBeginFinish measures one request through a table that is three quarters full.
func BenchmarkBeginFinish(b *testing.B) {
	c := jujubeclaim.New("a", 5, jujubeclaim.Settings{})
	now := epoch
	answer := make([]byte, 64)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%64 == 0 { // 64 keys per 0.9 s keep about 47,000 in the table
			now = now.Add(900 * time.Millisecond)
			c.Tick(now)
		}
		key := model.IdempotencyKey(fmt.Sprintf("%s~%d", c.KeyPrefix(now), i))
		if d := c.Begin(now, key, 1); d.Kind != jujubeclaim.Run {
			b.Fatal(d)
		}
		c.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanYes, Answer: answer})
	}
	b.ReportMetric(float64(c.Stats().Keys), "keys")
}
