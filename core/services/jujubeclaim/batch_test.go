package jujubeclaim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeclaim"
)

// The simulated log of the alternative: a claim is appended before each dispatch.
const (
	appendLatency = 5 * time.Millisecond
	appendGap     = time.Second / 300
	outageFrom    = 20 * time.Second
	outageTo      = 30 * time.Second
	patience      = time.Second
	instances     = 9
)

// appendResult is what the alternative costs.
type appendResult struct {
	waits   []time.Duration
	appends int
	refused int
	outage  int
}

// appendClaims serves arrivals (per instance, in order) from a log that accepts one append per appendGap from all
// instances together. Each instance has one append outstanding, with at most batch claims. A request that isn't durable
// after patience is refused.
func appendClaims(arrivals [instances][]time.Duration, batch int) (result appendResult) {
	var next [instances]int
	var busy [instances]time.Duration
	for at := time.Duration(0); at < time.Minute+2*patience; at += appendGap {
		if at >= outageFrom && at < outageTo {
			continue
		}
		first := -1 // the instance whose oldest claim has waited longest gets the slot
		for i := range instances {
			for next[i] < len(arrivals[i]) && arrivals[i][next[i]]+patience < at+appendLatency {
				next[i]++
				result.refused++
				if arrived := arrivals[i][next[i]-1]; arrived >= outageFrom && arrived < outageTo {
					result.outage++
				}
			}
			ready := next[i] < len(arrivals[i]) && arrivals[i][next[i]] <= at && busy[i] <= at
			if ready && (first < 0 || arrivals[i][next[i]] < arrivals[first][next[first]]) {
				first = i
			}
		}
		if first < 0 {
			continue
		}
		result.appends++
		busy[first] = at + appendLatency
		for taken := 0; taken < batch && next[first] < len(arrivals[first]) && arrivals[first][next[first]] <= at; taken++ {
			result.waits = append(result.waits, at+appendLatency-arrivals[first][next[first]])
			next[first]++
		}
	}
	return result
}

// Compares key prefixes with a log append per dispatch (plain and batched) on the same arrivals, with a log outage of 10 s
// in a minute. Guards against a claim table that waits for the log.
func TestCompareWithLogAppends(t *testing.T) {
	for _, rate := range []int{100, 250, 1000} {
		random := rand.New(rand.NewPCG(1, uint64(rate)))
		var arrivals [instances][]time.Duration
		total, during := 0, 0
		for at := time.Duration(0); at < time.Minute; at += time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)) {
			i := random.IntN(instances)
			arrivals[i] = append(arrivals[i], at)
			total++
			if at >= outageFrom && at < outageTo {
				during++
			}
		}
		begin := time.Now()
		refused := 0
		for i, own := range arrivals {
			c := jujubeclaim.New(model.InstanceID(fmt.Sprint(i)), 1, jujubeclaim.Settings{})
			for n, at := range own {
				now := epoch.Add(at)
				key := model.IdempotencyKey(fmt.Sprintf("%s~%d", c.KeyPrefix(now), n))
				if c.Begin(now, key, 1).Kind != jujubeclaim.Run {
					refused++
				}
				c.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanYes})
			}
		}
		t.Logf("%4d/s: key prefix: %v per request, 0 appends, refused %d of %d (during the outage: %d of %d)",
			rate, time.Since(begin)/time.Duration(total), refused, total, refused, during)
		assert.Equal(t, refused, 0)
		for _, batch := range []int{1, 1000} {
			r := appendClaims(arrivals, batch)
			slices.Sort(r.waits)
			assert.Equal(t, len(r.waits)+r.refused, total)
			t.Logf("%4d/s: log, batch up to %d: latency p50 %v p99 %v, %.2f appends per request, refused %.1f%% (%.0f%% of those arriving during the outage)",
				rate, batch, r.waits[len(r.waits)/2].Round(time.Microsecond), r.waits[len(r.waits)*99/100].Round(time.Microsecond),
				float64(r.appends)/float64(total), 100*float64(r.refused)/float64(total),
				100*float64(r.outage)/float64(during))
			assert.Assert(t, r.outage > during/2)
		}
	}
}
