package jujuberouter

import "cmp"

const (
	// minRelativeShare is the part of the share of all requests that is served which each flow gets at least, whatever its level and
	// however many other flows wait. A quarter is promised; requests that are refused in the queue take the rest.
	minRelativeShare = 0.35
	// dueCredit is the credit from which on a flow is due, and maxCredit what it may save, or owe, at most.
	dueCredit, maxCredit = 0.5, 2
	// shareMemory is the weight of the earlier requests in the share of all; it averages over some 200 requests.
	shareMemory = 0.995
)

// turns is what a class needs to keep the share of each of its flows. Levels alone would starve a higher one while lower ones wait, and
// turns alone would give an organisation with most of the requests the same as each of many small ones. So each flow gets a credit with
// each of its requests, of a part of the share that is served over all flows, and pays with one for each dispatch; a flow with enough of
// it goes first.
type turns struct {
	// isShared is true once there was a request with an organisation or a level; until then nothing is counted.
	isShared bool
	// arrived and served count requests, recent ones more than earlier ones.
	arrived, served float64
}

// recordArrival counts a request, whether it will be dispatched or not.
func (c *priorityClass) recordArrival(req *trackedRequest) {
	c.turns.isShared = c.turns.isShared || req.request.Organisation != "" || req.request.Level != 0
	if !c.turns.isShared {
		return
	}
	c.turns.arrived, c.turns.served = c.turns.arrived*shareMemory+1, c.turns.served*shareMemory
	q := c.queueFor(req)
	q.credit = min(maxCredit, q.credit+minRelativeShare*min(1, (c.turns.served+1)/c.turns.arrived))
}

// payDispatch counts a dispatch from a queue. It returns false if the dispatch was in turn.
func (c *priorityClass) payDispatch(q *flowQueue) (wasDue bool) {
	if !c.turns.isShared {
		return false
	}
	wasDue = q.isDue()
	c.turns.served++
	q.credit = max(-maxCredit, q.credit-1)
	return wasDue
}

// isDue reports whether the flow goes before those that aren't due.
func (q *flowQueue) isDue() bool { return q.credit >= dueCredit }

// compareQueues orders the queues of a class for a dispatch: those that are due by their credit, the others by level and virtual time.
func compareQueues(a, b *flowQueue) int {
	if a.isDue() || b.isDue() {
		return cmp.Compare(b.credit, a.credit)
	}
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.virtualTime, b.virtualTime))
}

// hasEligibleBefore reports whether a request of another flow waits that goes before those of a flow, and that its trainer's limit
// doesn't block. While requests are held, it has to be one that may use all endpoints.
func (c *priorityClass) hasEligibleBefore(own *flowQueue, isHolding bool) bool {
	if !c.turns.isShared || own.isDue() {
		return false
	}
	for _, q := range c.queues.All() {
		if (q.isDue() || q.level < own.level) && q.trainer.hasCapacity() && q.blocks(isHolding) {
			return true
		}
	}
	return false
}
