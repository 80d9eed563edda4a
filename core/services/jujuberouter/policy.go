package jujuberouter

import (
	"math/rand"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeprompt"
)

// Policy selects one of the endpoints that can accept a request. Choose gets at least one candidate and returns its index.
type Policy interface {
	Name() string
	Choose(candidates []Candidate, request *Request, random *rand.Rand) int
}

// Candidate is an endpoint that can accept a request, with the inputs of the choice.
type Candidate struct {
	Endpoint model.EndpointID
	// ExpectedWait is the estimated time until the endpoint has a free slot.
	ExpectedWait time.Duration
	// Cost is the time that running the request on the endpoint costs: the expected wait, the slowdown by the requests there and the
	// prefill of what the endpoint doesn't keep of the prompt.
	Cost jujubeprompt.Cost
	// Delayed is by how much longer than usual the request takes at the endpoint's pace; negative for a faster one.
	Delayed time.Duration
	Running int
	Waiting int
	// Occupied is the estimated number of requests on the endpoint now, including those of other instances.
	Occupied int
	InFlight int
	// Cached is true if the endpoint is assumed to keep a part of the prompt.
	Cached bool

	state *endpointState
}

// isBetter compares the cost and the delay by the endpoint's pace, then the occupancy.
func (c *Candidate) isBetter(other *Candidate) bool {
	own, others := c.Cost.Total()+c.Delayed, other.Cost.Total()+other.Delayed
	if own != others {
		return own < others
	}
	return c.Occupied < other.Occupied
}

// LeastExpectedWait chooses between the better of two random endpoints (power of two choices) and the best one that has the
// prefix cached. Comparing all endpoints would make all instances, which see the same stale load reports, choose the same one.
type LeastExpectedWait struct{}

// Name returns the policy's name in decisions.
func (LeastExpectedWait) Name() string { return "LeastExpectedWait" }

// Choose returns the index of the endpoint with the least expected wait among those compared.
func (LeastExpectedWait) Choose(candidates []Candidate, _ *Request, random *rand.Rand) int {
	best := random.Intn(len(candidates))
	if len(candidates) > 1 {
		second := random.Intn(len(candidates) - 1)
		if second >= best {
			second++
		}
		if candidates[second].isBetter(&candidates[best]) {
			best = second
		}
	}
	return preferCached(candidates, best)
}

// preferCached returns the best of a candidate and those that keep a part of the prompt.
func preferCached(candidates []Candidate, best int) int {
	for i := range candidates {
		if candidates[i].Cached && candidates[i].isBetter(&candidates[best]) {
			best = i
		}
	}
	return best
}

// mayChoose returns, for each candidate, whether Choose can return it.
func (LeastExpectedWait) mayChoose(candidates []Candidate) []bool {
	may := make([]bool, len(candidates))
	for i := range candidates {
		// The better of two candidates is one that another one isn't better than.
		isWinner := len(candidates) == 1
		for j := range candidates {
			isWinner = isWinner || i != j && !candidates[j].isBetter(&candidates[i])
		}
		if isWinner {
			may[preferCached(candidates, i)] = true
		}
	}
	return may
}

// Random chooses uniformly at random. It is a baseline.
type Random struct{}

// Name returns the policy's name in decisions.
func (Random) Name() string { return "Random" }

// Choose returns a random index.
func (Random) Choose(candidates []Candidate, _ *Request, random *rand.Rand) int {
	return random.Intn(len(candidates))
}

// RoundRobin cycles through the candidates. It is a baseline.
type RoundRobin struct {
	next int
}

// Name returns the policy's name in decisions.
func (*RoundRobin) Name() string { return "RoundRobin" }

// Choose returns the next index in cyclic order.
func (p *RoundRobin) Choose(candidates []Candidate, _ *Request, _ *rand.Rand) int {
	p.next++
	return p.next % len(candidates)
}

// LeastInFlight chooses the endpoint with the fewest requests of this instance in flight; ties are broken by a random rotation.
// It is a baseline.
type LeastInFlight struct{}

// Name returns the policy's name in decisions.
func (LeastInFlight) Name() string { return "LeastInFlight" }

// Choose returns the index of the endpoint with the fewest requests of this instance.
func (LeastInFlight) Choose(candidates []Candidate, _ *Request, random *rand.Rand) int {
	start := random.Intn(len(candidates))
	best := start
	for i := range candidates {
		index := (start + i) % len(candidates)
		if candidates[index].InFlight < candidates[best].InFlight {
			best = index
		}
	}
	return best
}
