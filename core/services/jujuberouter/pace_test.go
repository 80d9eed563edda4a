package jujuberouter_test

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	router "jujubepier.example/core/services/jujuberouter"
)

// paceTest chooses servers by reports of one age and returns the mean time of a request, in units of the usual time. Each server's pace is
// measured ten times a second, independently of the measurement before.
func paceTest(age time.Duration, isReported bool) float64 {
	const servers, requests, resample = 3, 6000, 100 * time.Millisecond
	random := rand.New(rand.NewSource(7))
	r := router.New(router.LeastExpectedWait{}, router.Settings{Instance: "i", ServiceTime: 23 * time.Millisecond}, rand.New(rand.NewSource(1)))
	ids := []model.EndpointID{"a", "b", "c"}
	paces, measuredAt := make([]int, servers), make([]time.Time, servers)
	for i, id := range ids {
		r.PutEndpoint(start, model.Endpoint{ID: id, Kind: model.KindService, Service: "s", Incarnation: 1})
		measuredAt[i] = start.Add(time.Duration(i) * 31 * time.Millisecond)
	}
	// advance measures the paces that are due up to a time.
	advance := func(now time.Time) {
		for i := range ids {
			for ; !measuredAt[i].After(now); measuredAt[i] = measuredAt[i].Add(resample) {
				paces[i] = []int{80, 100, 150, 400}[random.Intn(4)]
			}
		}
	}
	sum := 0.0
	for n := range requests {
		reportedAt := start.Add(time.Duration(n+1) * 1237 * time.Millisecond)
		advance(reportedAt)
		for i, id := range ids {
			report := model.LoadReport{Endpoint: id, Incarnation: 1, At: reportedAt, Slots: 6}
			if isReported {
				report.Pace = paces[i]
			}
			r.ReportLoad(reportedAt, report)
		}
		now := reportedAt.Add(age)
		advance(now)
		request := newRequest(n, model.PriorityInteractive, "")
		request.Kind, request.Model, request.Service, request.Deadline = model.KindService, "", "s", now.Add(time.Hour)
		chosen := r.Route(now, request).Endpoint
		pace := float64(paces[slices.Index(ids, chosen)]) / 100
		sum += pace
		r.Finish(now.Add(23*time.Millisecond), request.ID, router.Outcome{})
	}
	return sum / requests
}

// TestPaceHelpsWhileYoung guards against choices by a figure that has been replaced since, and against ignoring one that hasn't: it helps
// at 5 and 50 ms of age, and is ignored at 200 and 1,000 ms.
func TestPaceHelpsWhileYoung(t *testing.T) {
	for _, test := range []struct {
		age     time.Duration
		minGain float64
	}{{5 * time.Millisecond, 0.25}, {50 * time.Millisecond, 0.1}, {200 * time.Millisecond, 0}, {time.Second, 0}} {
		with, without := paceTest(test.age, true), paceTest(test.age, false)
		t.Logf("age %v: %.2f of the usual time with the pace, %.2f without", test.age, with, without)
		assert.Assert(t, with <= without*(1-test.minGain), "%v", test.age)
		assert.Equal(t, with == without, test.minGain == 0, "%v: an old pace is ignored", test.age)
	}
}

// TestPaceDecays checks the use of a figure by its age, and of figures that a server can't mean.
func TestPaceDecays(t *testing.T) {
	for _, test := range []struct {
		pace int
		age  time.Duration
		want float64
	}{
		{300, 0, 300},
		{300, 50 * time.Millisecond, 200},
		{300, 100 * time.Millisecond, 100},
		{300, -time.Second, 100},
		{50, 50 * time.Millisecond, 75},
		{0, 0, 100},
		{-5, 0, 100},
		{1 << 20, 0, 1000},
	} {
		assert.Equal(t, router.PaceAt(test.pace, test.age), test.want, "%+v", test)
	}
}

// TestRefusedCallersReturnSpread guards against a second burst when the callers of a first one return: 200 that are refused at once
// are told times over a span of nearly half of the shortest.
func TestRefusedCallersReturnSpread(t *testing.T) {
	r := newRouter(1, 4)
	var times []time.Duration
	for id := 0; len(times) < 200; id++ {
		request := newRequest(id, model.PriorityInteractive, "")
		request.Deadline = start.Add(2 * time.Second)
		if decision := r.Route(start, request); decision.Kind == router.Refuse {
			times = append(times, decision.RetryAfter)
		}
	}
	slices.Sort(times)
	shortest, longest := times[0], times[len(times)-1]
	t.Logf("from %v to %v", shortest, longest)
	assert.Assert(t, longest <= shortest*3/2 && longest-shortest >= shortest*2/5, "from %v to %v", shortest, longest)
	for at := shortest; at < longest; at += shortest / 20 {
		together := 0
		for _, after := range times {
			if after >= at && after < at+shortest/20 {
				together++
			}
		}
		assert.Assert(t, together <= 50, "%d callers return within %v", together, shortest/20)
	}
}
