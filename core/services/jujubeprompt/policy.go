package jujubeprompt

import "cmp"

// Policy ranks the servers that could run a request.
type Policy interface {
	Name() string
	// Score returns a candidate's score; lower is better. The one with the least load per slot is chosen among equals.
	Score(candidate Candidate, cost Cost) float64
}

// LeastCost prefers the server on which the request costs the least time.
type LeastCost struct{}

// Name returns the policy's name.
func (LeastCost) Name() string { return "LeastCost" }

// Score returns the whole cost, in ms.
func (LeastCost) Score(_ Candidate, cost Cost) float64 { return cost.Total().Seconds() * 1000 }

// LoadShare prefers the server with the least load per slot. It is a baseline, and applies to requests whose prompts aren't known.
type LoadShare struct{}

// Name returns the policy's name.
func (LoadShare) Name() string { return "LoadShare" }

// Score returns the load per slot.
func (LoadShare) Score(candidate Candidate, _ Cost) float64 { return candidate.share() }

// LeastWait prefers the server with the least wait and slowdown, whatever it keeps. It is a baseline.
type LeastWait struct{}

// Name returns the policy's name.
func (LeastWait) Name() string { return "LeastWait" }

// Score returns the wait and the slowdown, in ms.
func (LeastWait) Score(_ Candidate, cost Cost) float64 {
	return (cost.Wait + cost.Slowdown).Seconds() * 1000
}

// LongestPrefix prefers the server that keeps most of the prompt, whatever the wait. It is a baseline.
type LongestPrefix struct{}

// Name returns the policy's name.
func (LongestPrefix) Name() string { return "LongestPrefix" }

// Score returns the time of the prefill, in ms.
func (LongestPrefix) Score(_ Candidate, cost Cost) float64 { return cost.Prefill.Seconds() * 1000 }

// Choose returns the index of the candidate that a policy prefers; there has to be at least one. It sets the request's LeastLoad and
// Rounds.
func Choose[P Policy](policy P, rates Rates, candidates []Candidate, request Request) int {
	request.LeastLoad, request.Rounds = countRounds(candidates, len(request.Following))
	best, bestScore := 0, 0.0
	for i, c := range candidates {
		score := policy.Score(c, rates.Cost(c, request))
		if i == 0 || cmp.Or(cmp.Compare(score, bestScore), cmp.Compare(c.share(), candidates[best].share())) < 0 {
			best, bestScore = i, score
		}
	}
	return best
}

// countRounds returns the least load and the rounds that a number of requests fills.
func countRounds(candidates []Candidate, requests int) (least int, rounds []int) {
	least, most := candidates[0].Load, 0
	for _, c := range candidates {
		least, most = min(least, c.Load), max(most, c.Load)
	}
	for load := least + 1; load <= most; load++ {
		missing := 0
		for _, c := range candidates {
			missing += max(0, load-c.Load)
		}
		if missing > requests {
			break
		}
		rounds = append(rounds, missing)
	}
	return least, rounds
}
