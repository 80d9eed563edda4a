package jujuberouter_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	router "jujubepier.example/core/services/jujuberouter"
)

const (
	simRouters  = 9
	simServers  = 10
	simSlots    = 16
	simLimit    = 36   // per server over all routers; allows queues of up to 20 on a server, so that the choice matters
	simRate     = 50.0 // tokens per second of a request
	simLag      = 400 * time.Millisecond
	simPrefill  = 150 * time.Millisecond
	simMean     = 2.0 // mean seconds of a request; the capacity is then 80 requests per second
	simCapacity = simServers * simSlots / simMean
)

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simRequest struct {
	id                model.RequestID
	router, server    int
	arrived, deadline time.Time
	tokens            int
	prefix            uint64
	ended, completed  bool
}

type simServer struct {
	slots   int
	running int
	queue   []*simRequest
	cache   []uint64
}

// sim simulates routers and servers in virtual time.
type sim[P router.Policy] struct {
	now      time.Time
	seq      int
	events   simEvents
	random   *rand.Rand
	routers  []*router.Router[P]
	servers  []simServer
	requests map[model.RequestID]*simRequest
	// uneven gives half of the servers half as many slots as the others, and one router twice the requests of another.
	uneven  bool
	all     []*simRequest
	waits   []float64
	depths  []float64
	latency []float64
	refused int
}

// schedule runs a function after a delay in virtual time.
func (s *sim[P]) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

func newSim[P router.Policy](policy func() P, uneven bool, seed int64) *sim[P] {
	s := &sim[P]{
		now: time.Unix(1000, 0), random: rand.New(rand.NewSource(seed)), uneven: uneven,
		requests: map[model.RequestID]*simRequest{}, servers: make([]simServer, simServers),
	}
	for e := range s.servers {
		s.servers[e].slots = simSlots
		if uneven {
			s.servers[e].slots = simSlots * (2 + e%2*2) / 3 // 10 and 21: the capacity is about the same
		}
	}
	for i := range simRouters {
		r := router.New(policy(), router.Settings{Instance: model.InstanceID(fmt.Sprint(i))}, rand.New(rand.NewSource(int64(i))))
		r.SetMembers(simRouters, i)
		r.SetLimits(model.Limits{Models: map[model.ModelName]model.ModelLimits{"m": {MaxInFlightPerEndpoint: simLimit}}})
		for e := range simServers {
			r.PutEndpoint(s.now, model.Endpoint{ID: model.EndpointID(fmt.Sprint(e)), Kind: model.KindEngine, Model: "m"})
		}
		s.routers = append(s.routers, r)
		s.tick(i)
	}
	for e := range simServers {
		s.report(e)
	}
	return s
}

func (s *sim[P]) tick(i int) {
	s.apply(s.routers[i].Tick(s.now))
	s.schedule(50*time.Millisecond, func() { s.tick(i) })
}

// report sends the load of a server to all routers periodically; it arrives after simLag.
func (s *sim[P]) report(e int) {
	server := &s.servers[e]
	load := model.LoadReport{
		Endpoint: model.EndpointID(fmt.Sprint(e)), At: s.now, Running: server.running, Waiting: len(server.queue),
		Slots: server.slots, TokensPerSecond: simRate,
	}
	s.depths = append(s.depths, float64(len(server.queue)))
	s.schedule(simLag, func() {
		for _, r := range s.routers {
			r.ReportLoad(s.now, load)
		}
	})
	s.schedule(200*time.Millisecond, func() { s.report(e) })
}

// apply carries out the decisions of a router.
func (s *sim[P]) apply(decisions []router.Decision) {
	for _, d := range decisions {
		request := s.requests[d.Request]
		switch d.Kind {
		case router.Refuse:
			request.ended = true
			s.refused++
		case router.Dispatch:
			_, _ = fmt.Sscan(string(d.Endpoint), &request.server)
			s.servers[request.server].queue = append(s.servers[request.server].queue, request)
			s.start(request.server)
		}
	}
}

// start runs queued requests on the free slots of a server.
func (s *sim[P]) start(e int) {
	server := &s.servers[e]
	for server.running < server.slots && len(server.queue) > 0 {
		request := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		s.waits = append(s.waits, s.now.Sub(request.arrived).Seconds())
		runTime := time.Duration(float64(request.tokens) / simRate * float64(time.Second))
		if !slices.Contains(server.cache, request.prefix) {
			runTime += simPrefill
			server.cache = append(server.cache, request.prefix)
			server.cache = server.cache[max(0, len(server.cache)-32):]
		}
		s.schedule(runTime, func() {
			server.running--
			if !request.ended {
				request.ended, request.completed = true, true
				s.latency = append(s.latency, s.now.Sub(request.arrived).Seconds())
				s.apply(s.routers[request.router].Finish(s.now, request.id, router.Outcome{OK: true, Tokens: request.tokens}))
			}
			s.start(e)
		})
	}
}

// arrive creates requests at a rate that is a function of the time since begin. Four consecutive requests share a prompt.
func (s *sim[P]) arrive(begin time.Time, rate func(time.Duration) float64) {
	request := &simRequest{
		id: model.RequestID(fmt.Sprint(len(s.all))), router: s.random.Intn(simRouters), arrived: s.now,
		deadline: s.now.Add(12 * time.Second), prefix: uint64(len(s.all)/4 + 1),
		// Log-normal with sigma 1; its mean is exp(mu + 1/2).
		tokens: 1 + int(min(8, math.Exp(s.random.NormFloat64()-0.5)*(simMean-0.15))*simRate),
	}
	if s.uneven && s.random.Intn(10) == 0 {
		request.router = 0
	}
	s.all = append(s.all, request)
	s.requests[request.id] = request
	s.apply([]router.Decision{s.routers[request.router].Route(s.now, router.Request{
		ID: request.id, Kind: model.KindEngine, Model: "m", Arrived: s.now, Deadline: request.deadline, Prefix: request.prefix,
	})})
	s.schedule(request.deadline.Sub(s.now), func() {
		if request.ended {
			return
		}
		request.ended = true
		s.servers[request.server].queue = slices.DeleteFunc(s.servers[request.server].queue, func(r *simRequest) bool { return r == request })
		s.apply(s.routers[request.router].Cancel(s.now, request.id))
	})
	gap := s.random.ExpFloat64() / rate(s.now.Sub(begin))
	s.schedule(time.Duration(gap*float64(time.Second)), func() { s.arrive(begin, rate) })
}

// run simulates the given time.
func (s *sim[P]) run(length time.Duration, rate func(time.Duration) float64) {
	begin := s.now
	s.arrive(begin, rate)
	for s.now.Before(begin.Add(length)) {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
}

func quantile(values []float64, q float64) float64 {
	values = slices.Clone(values)
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func mean(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total / float64(len(values))
}

type simFigures struct{ p50, p99, depth float64 }

// simulate runs a policy below the capacity and returns the waits and queue depths.
func simulate[P router.Policy](t *testing.T, uneven bool, policy func() P) simFigures {
	s := newSim(policy, uneven, 7)
	s.run(3*time.Minute, func(time.Duration) float64 { return 0.85 * simCapacity })
	figures := simFigures{p50: quantile(s.waits, 0.5), p99: quantile(s.waits, 0.99), depth: quantile(s.depths, 0.99)}
	t.Logf("uneven %-5v %-18s p50 wait %.3f s, p99 wait %.3f s, p99 queue depth %.0f, mean latency %.3f s, refused %d of %d",
		uneven, policy().Name(), figures.p50, figures.p99, figures.depth, mean(s.latency), s.refused, len(s.all))
	return figures
}

// TestPolicyAgainstBaselines guards against a policy that does worse than a baseline when load reports lag and several
// instances dispatch. LeastInFlight is a baseline only on uneven servers: on equal ones its own counts suffice, and it
// compares all servers instead of two.
func TestPolicyAgainstBaselines(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		leastWait := simulate(t, uneven, func() router.LeastExpectedWait { return router.LeastExpectedWait{} })
		baselines := []simFigures{
			simulate(t, uneven, func() router.Random { return router.Random{} }),
			simulate(t, uneven, func() *router.RoundRobin { return &router.RoundRobin{} }),
		}
		if leastInFlight := simulate(t, uneven, func() router.LeastInFlight { return router.LeastInFlight{} }); uneven {
			baselines = append(baselines, leastInFlight)
		}
		for _, baseline := range baselines {
			assert.Check(t, leastWait.p99 < baseline.p99 && leastWait.depth < baseline.depth)
		}
	}
}

// TestRecoveryFromOverload guards against an overload that leaves a queue full of requests that will miss their
// deadline, so that goodput doesn't recover.
func TestRecoveryFromOverload(t *testing.T) {
	for seed := int64(1); seed <= 7; seed++ {
		s := newSim(func() router.LeastExpectedWait { return router.LeastExpectedWait{} }, false, seed)
		s.run(95*time.Second, func(at time.Duration) float64 {
			if at >= 20*time.Second && at < 50*time.Second {
				return 2 * simCapacity
			}
			return 0.7 * simCapacity
		})
		offered, completed := make([]float64, 95), make([]float64, 95)
		for _, request := range s.all {
			second := int(request.arrived.Sub(time.Unix(1000, 0)).Seconds())
			offered[second]++
			if request.completed {
				completed[second]++
			}
		}
		recovered := 80
		for recovered > 50 && completed[recovered-1] >= 0.95*offered[recovered-1] {
			recovered--
		}
		t.Logf("seed %d: during overload %.0f of %.0f requests/s complete in time; back to 95%% after %d s",
			seed, mean(completed[25:50]), mean(offered[25:50]), recovered-50)
		assert.Check(t, recovered-50 <= 10, "goodput is back after %d s", recovered-50)
		assert.Check(t, mean(completed[25:50]) > simCapacity, "goodput during the overload")
	}
}
