package jujubeprompt

import "time"

// Rates are the speeds by which the cost of running a request on a server is computed.
type Rates struct {
	// TokenTime is the time to generate one token.
	TokenTime time.Duration
	// Slowdown is the share by which each other running request lengthens a step.
	Slowdown float64
	// PrefillTime is the time to prefill one token of a prompt.
	PrefillTime time.Duration
	// OutputTokens is the number of generated tokens of a request for which none is expected.
	OutputTokens int
	// RequestTokens is the mean of the prompt tokens and the generated tokens of a request together.
	RequestTokens int
}

// Defaults of the rates until enough has been observed: an event of up to 78 tokens takes about 50 ms, of which each other running
// request takes 2.5%, and engines prefill between 514 and 749 tokens per ms.
const (
	DefaultEventInterval = 50 * time.Millisecond
	DefaultEventTokens   = 78
	DefaultEvents        = 16
	DefaultPromptTokens  = 1016
	DefaultSlowdown      = 0.025
	DefaultPrefillTime   = 1600 * time.Nanosecond
)

// DefaultRates returns the rates that are used until enough has been observed.
func DefaultRates() Rates {
	return Rates{
		TokenTime: DefaultEventInterval / DefaultEventTokens, Slowdown: DefaultSlowdown, PrefillTime: DefaultPrefillTime,
		OutputTokens: DefaultEvents * DefaultEventTokens, RequestTokens: DefaultPromptTokens + DefaultEvents*DefaultEventTokens,
	}
}

// RunTime returns the expected time to generate a number of tokens; zero if it isn't known.
func (r Rates) RunTime(tokens int) time.Duration {
	return time.Duration(r.ExpectTokens(tokens)) * r.TokenTime
}

// maxExpectedTokens bounds the number of tokens that a caller may expect, which is multiplied by a time.
const maxExpectedTokens = 1 << 20

// ExpectTokens returns the number of tokens that a request is expected to generate, of which the caller has given an estimate; zero
// or less for none.
func (r Rates) ExpectTokens(tokens int) int {
	if tokens <= 0 {
		return r.OutputTokens
	}
	return min(tokens, maxExpectedTokens)
}

// Prefill returns the time to prefill a number of tokens.
func (r Rates) Prefill(tokens int) time.Duration { return time.Duration(tokens) * r.PrefillTime }

// Request is a request for which a server is chosen.
type Request struct {
	PromptTokens int
	// RunTime is the expected time to generate its text.
	RunTime time.Duration
	// LeastLoad is the least load of all candidates. Rounds[k-1] is how many of the following requests bring all candidates to a load of
	// LeastLoad+k; there are at least that many.
	LeastLoad int
	Rounds    []int
	// Following are the run times of the requests that are assigned next, in this order. They fill the servers with less load.
	Following []time.Duration
}

// Candidate is a server that could run a request.
type Candidate struct {
	// Load is how many requests the server has or is about to get, Slots how many it runs concurrently.
	Load, Slots int
	// Kept is the number of prompt tokens that the server is assumed to keep.
	Kept int
}

// share returns the candidate's load per slot.
func (c Candidate) share() float64 { return float64(c.Load) / float64(max(1, c.Slots)) }

// Cost is the time that running a request on a server costs.
type Cost struct {
	// Wait is the time until a slot is free.
	Wait time.Duration
	// Slowdown is the time by which the requests that run beside it lengthen its run. It counts those that are certain on the
	// server, but not those that another server would get in its turn.
	Slowdown time.Duration
	// Prefill is the time to prefill the tokens that the server doesn't keep.
	Prefill time.Duration
}

// Total returns the sum.
func (c Cost) Total() time.Duration { return c.Wait + c.Slowdown + c.Prefill }

// Cost returns the cost of running a request on a candidate.
func (r Rates) Cost(c Candidate, request Request) Cost {
	running := min(c.Load, c.Slots)
	beside := time.Duration(running) * request.RunTime
	// A server with less load doesn't keep it while requests are waiting: those that follow are placed there. Each request that this
	// candidate has more is therefore made up for by the one with which the others get there, if there is one.
	for k := 0; k < min(running-request.LeastLoad, len(request.Rounds)); k++ {
		beside -= min(request.RunTime, request.Following[request.Rounds[k]-1])
	}
	cost := Cost{
		Slowdown: time.Duration(r.Slowdown * float64(beside)),
		Prefill:  r.Prefill(max(0, request.PromptTokens-c.Kept)),
	}
	if over := c.Load - c.Slots + 1; over > 0 {
		cost.Wait = time.Duration(over) * r.RunTime(0) / time.Duration(max(1, c.Slots))
	}
	return cost
}
