package jujuberouter

import (
	"math/rand"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Policy chooses among endpoints that may all take the request. Choose is called with one candidate or more.
type Policy interface {
	Name() string
	Choose(candidates []Candidate, request *Request, random *rand.Rand) int
}

// Candidate is an endpoint that may take a request.
type Candidate struct {
	Endpoint model.EndpointID
	// ExpectedWait is the time until a slot of the endpoint is free.
	ExpectedWait time.Duration
	// Saved is the prefill time that the cached prefix saves.
	Saved   time.Duration
	Running int
	Waiting int
	// Occupied estimates the requests on the endpoint now, with those of the other instances.
	Occupied int
	InFlight int
	Cached   bool

	row *row
}

func (c *Candidate) isBetter(other *Candidate) bool {
	own, others := c.ExpectedWait-c.Saved, other.ExpectedWait-other.Saved
	if own != others {
		return own < others
	}
	return c.Occupied < other.Occupied
}

// LeastExpectedWait compares two random endpoints and the best one that caches the prefix. Only two are drawn because
// instances that all choose the best of the same stale reports would send to the same endpoint.
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
	for i := range candidates {
		if candidates[i].Cached && candidates[i].isBetter(&candidates[best]) {
			best = i
		}
	}
	return best
}

// Random is a baseline.
type Random struct{}

// Name returns the policy's name in decisions.
func (Random) Name() string { return "Random" }

// Choose returns any index.
func (Random) Choose(candidates []Candidate, _ *Request, random *rand.Rand) int {
	return random.Intn(len(candidates))
}

// RoundRobin is a baseline.
type RoundRobin struct {
	next int
}

// Name returns the policy's name in decisions.
func (*RoundRobin) Name() string { return "RoundRobin" }

// Choose returns the indexes in turn.
func (p *RoundRobin) Choose(candidates []Candidate, _ *Request, _ *rand.Rand) int {
	p.next++
	return p.next % len(candidates)
}

// LeastInFlight is a baseline: the least own requests in flight, the first of a random rotation among equals.
type LeastInFlight struct{}

// Name returns the policy's name in decisions.
func (LeastInFlight) Name() string { return "LeastInFlight" }

// Choose returns the index of an endpoint with the least own requests.
func (LeastInFlight) Choose(candidates []Candidate, _ *Request, random *rand.Rand) int {
	start := random.Intn(len(candidates))
	best := start
	for i := range candidates {
		at := (start + i) % len(candidates)
		if candidates[at].InFlight < candidates[best].InFlight {
			best = at
		}
	}
	return best
}
