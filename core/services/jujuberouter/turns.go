package jujuberouter

import (
	"cmp"
	"time"
)

// ageInterval is the interval of dispatches in order of age. Under overload, dispatches in turn alone would give an organisation with
// most of the requests the same as each of many small ones, and those of a higher level nothing while lower ones wait; with every
// fourth dispatch in order of age, each flow gets at least a quarter of its share of the requests.
const ageInterval = 4

// turns decides which dispatches of a class are in order of age.
type turns struct {
	// isShared is true once a request with an organisation or a level has waited; until then all dispatches are in turn.
	isShared bool
	// isAgeTurn is true while a waiting request is chosen by its age.
	isAgeTurn bool
	// count counts the dispatches of the class.
	count int
}

// isDue reports whether the next dispatch is in order of age.
func (t *turns) isDue() bool { return t.isShared && t.count%ageInterval == ageInterval-1 }

// estimateAhead estimates how many requests of a class are dispatched before one with ahead requests of its flow before it, itself
// included, if own ones of its flow wait. lower counts those of lower levels, all those of the class; flows is the number of flows of
// its level by weight.
func (t *turns) estimateAhead(ahead, own, lower, all int, flows float64) float64 {
	if !t.isShared {
		return float64(ahead) * flows
	}
	byAge := float64(own+1) / float64(all+1) / ageInterval
	inTurn := (1 - 1.0/ageInterval) / flows
	return min(float64(lower)/(1-1.0/ageInterval)+float64(ahead)/(inTurn+byAge), float64(ahead)/byAge)
}

// compareQueues orders the queues of a class for a dispatch: by level and virtual time, or by the age of their oldest requests.
func (c *priorityClass) compareQueues(a, b *flowQueue) int {
	if c.turns.isAgeTurn {
		return a.oldest().Compare(b.oldest())
	}
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.virtualTime, b.virtualTime))
}

// oldest returns when the first request of a queue arrived.
func (q *flowQueue) oldest() time.Time { return q.requests[0].request.Arrived }

// hasEligibleBefore reports whether a request of a lower level waits that its trainer's limit doesn't block.
func (c *priorityClass) hasEligibleBefore(level int) bool {
	if level == 0 {
		return false
	}
	for _, q := range c.queues.All() {
		if q.level < level && len(q.requests) > 0 && q.trainer.hasCapacity() {
			return true
		}
	}
	return false
}
