package jujubeplacement

import "time"

// minShare is the part of an equal share of the slots below which no model falls while its needed items wait.
const minShare = 0.25

// Claim is an open submission whose needed items wait for an engine.
type Claim[M comparable] struct {
	Model M
	// IsWaiting is true while an item waits; the other claims only count for their models' shares.
	IsWaiting bool
	// Held is how many slots its items have.
	Held int
	// Slack is the time between the expected end of its next item, if it started now, and the time at which its results are due.
	Slack time.Duration
}

// Next returns the claim whose item is assigned next, or -1 if none is waiting: that of the model with the fewest slots if it has less
// than a quarter of an equal share, otherwise the one with the least slack. Of equal ones it is the first.
func Next[M comparable](claims []Claim[M], slots int) int {
	held := make(map[M]int, len(claims))
	for _, c := range claims {
		held[c.Model] += c.Held
	}
	bound := minShare * float64(slots) / float64(max(1, len(held)))
	next := -1
	for i, c := range claims {
		if !c.IsWaiting {
			continue
		}
		if next < 0 {
			next = i
			continue
		}
		best := claims[next]
		isShort, isBestShort := float64(held[c.Model]) < bound, float64(held[best.Model]) < bound
		switch {
		case isShort && isBestShort:
			if held[c.Model] < held[best.Model] || held[c.Model] == held[best.Model] && c.Slack < best.Slack {
				next = i
			}
		case isShort != isBestShort:
			if isShort {
				next = i
			}
		case c.Slack < best.Slack:
			next = i
		}
	}
	return next
}
