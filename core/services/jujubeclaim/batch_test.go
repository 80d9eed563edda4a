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

// Parameters of the simulated log of the alternative design, in which a claim is appended before each dispatch.
const (
	appendLatency  = 5 * time.Millisecond
	appendInterval = time.Second / 300
	outageStart    = 20 * time.Second
	outageEnd      = 30 * time.Second
	maxAppendWait  = time.Second
	instances      = 9
)

// appendResult holds the costs of the alternative design.
type appendResult struct {
	waits   []time.Duration
	appends int
	refused int
	// refusedInOutage counts the refused requests that arrived during the outage.
	refusedInOutage int
}

// simulateLogAppends processes arrivals (per instance, in order) with a log that accepts one append per appendInterval from
// all instances together. Each instance has at most one append in flight, with at most batch claims. A request that isn't
// durable after maxAppendWait is refused.
func simulateLogAppends(arrivals [instances][]time.Duration, batch int) (result appendResult) {
	var next [instances]int
	var busyUntil [instances]time.Duration
	for at := time.Duration(0); at < time.Minute+2*maxAppendWait; at += appendInterval {
		if at >= outageStart && at < outageEnd {
			continue
		}
		first := -1 // the instance whose oldest claim has waited longest appends next
		for i := range instances {
			for next[i] < len(arrivals[i]) && arrivals[i][next[i]]+maxAppendWait < at+appendLatency {
				next[i]++
				result.refused++
				if arrived := arrivals[i][next[i]-1]; arrived >= outageStart && arrived < outageEnd {
					result.refusedInOutage++
				}
			}
			ready := next[i] < len(arrivals[i]) && arrivals[i][next[i]] <= at && busyUntil[i] <= at
			if ready && (first < 0 || arrivals[i][next[i]] < arrivals[first][next[first]]) {
				first = i
			}
		}
		if first < 0 {
			continue
		}
		result.appends++
		busyUntil[first] = at + appendLatency
		for appended := 0; appended < batch && next[first] < len(arrivals[first]) && arrivals[first][next[first]] <= at; appended++ {
			result.waits = append(result.waits, at+appendLatency-arrivals[first][next[first]])
			next[first]++
		}
	}
	return result
}

// TestCompareWithLogAppends guards against a claim table that waits for the log. Compares key prefixes with a log append per
// dispatch (single and batched) on the same arrivals, with a log outage of 10 s in a minute.
func TestCompareWithLogAppends(t *testing.T) {
	for _, rate := range []int{100, 250, 1000} {
		random := rand.New(rand.NewPCG(1, uint64(rate)))
		var arrivals [instances][]time.Duration
		total, totalInOutage := 0, 0
		for at := time.Duration(0); at < time.Minute; at += time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)) {
			i := random.IntN(instances)
			arrivals[i] = append(arrivals[i], at)
			total++
			if at >= outageStart && at < outageEnd {
				totalInOutage++
			}
		}
		begin := time.Now()
		refused := 0
		for i, own := range arrivals {
			c := jujubeclaim.New(model.InstanceID(fmt.Sprint(i)), 1, jujubeclaim.Settings{})
			for n, at := range own {
				now := epoch.Add(at)
				key := model.IdempotencyKey(fmt.Sprintf("%s~%d", c.KeyPrefix(now), n))
				if c.Decide(now, key, 1).Kind != jujubeclaim.Run {
					refused++
				}
				c.Finish(now, key, jujubeclaim.Outcome{Ran: model.RanYes})
			}
		}
		t.Logf("%4d/s: key prefix: %v per request, 0 appends, refused %d of %d (during the outage: %d of %d)",
			rate, time.Since(begin)/time.Duration(total), refused, total, refused, totalInOutage)
		assert.Equal(t, refused, 0)
		for _, batch := range []int{1, 1000} {
			r := simulateLogAppends(arrivals, batch)
			slices.Sort(r.waits)
			assert.Equal(t, len(r.waits)+r.refused, total)
			t.Logf("%4d/s: log, batch up to %d: latency p50 %v p99 %v, %.2f appends per request, refused %.1f%% (%.0f%% of those arriving during the outage)",
				rate, batch, r.waits[len(r.waits)/2].Round(time.Microsecond), r.waits[len(r.waits)*99/100].Round(time.Microsecond),
				float64(r.appends)/float64(total), 100*float64(r.refused)/float64(total),
				100*float64(r.refusedInOutage)/float64(totalInOutage))
			assert.Assert(t, r.refusedInOutage > totalInOutage/2)
		}
	}
}
