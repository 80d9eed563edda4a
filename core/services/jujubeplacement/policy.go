package jujubeplacement

import (
	"math"
	"time"
)

const (
	// loadSlope is how much longer an event takes on a full engine than on an empty one.
	loadSlope = 0.125
	// competingFactor is by which share each other model that needs an engine next makes it less attractive.
	competingFactor = 0.25
	// classRatio is how much longer the interval of an engine must be than that of another one to count as slower. Load adds an eighth, and
	// the intervals of equal engines differ by a fifth for a while.
	classRatio = 1.25
	// spareFactor is how many times its expected time an item must have until the end of its step to be left to a slower engine.
	// The estimates of lengths are often too low.
	spareFactor = 2
	// queueFactor is how much earlier an item must end that queues on a faster engine instead of taking a free slot. A wait depends
	// on the lengths of several other items.
	queueFactor = 1.25
)

// Engine is an engine that may run an item.
type Engine struct {
	Slots int
	// Load is how many items the engine has, MaxLoad how many it may have.
	Load, MaxLoad int
	// Interval is the time between two events of a run while half of the slots are in use.
	Interval time.Duration
	// Delay is the time that passes before the first event apart from the wait for a slot, such as that of a new connection.
	Delay time.Duration
	// CompetingModels counts the other models whose next step can run on the engine.
	CompetingModels int
}

// Item is an item for which an engine is selected.
type Item struct {
	// Events is the expected number of events that the item still has.
	Events float64
	// StepEvents is that of the longest needed item of its step.
	StepEvents float64
	// MeanEvents is the mean length of the items on an engine.
	MeanEvents float64
}

// Reason is why an engine was selected.
type Reason string

// Reasons for an engine.
const (
	// EarliestFinish means that the item has a free slot on the engine where it is expected to end first.
	EarliestFinish Reason = "EarliestFinish"
	// InTime means that the item ends long before its step on this engine, and leaves faster ones to others.
	InTime Reason = "InTime"
	// QueuedFaster means that the item waits for a slot, and ends earlier than in any free one.
	QueuedFaster Reason = "QueuedFaster"
	// QueuedOnly means that no engine has a free slot.
	QueuedOnly Reason = "QueuedOnly"
)

// Choice is a selected engine.
type Choice struct {
	// Index is the engine's in the slice that the policy was given.
	Index int
	// Finish is the time until the item is expected to end.
	Finish time.Duration
	Reason Reason
}

// Policy selects the engine of an item; ok is false if none has room. Engines are in a fixed order, and the same arguments have the same
// result, apart from a policy's own source of random numbers.
type Policy interface {
	Choose(item Item, engines []Engine) (choice Choice, ok bool)
}

// IntervalAt returns the engine's interval with one more item.
func (e Engine) IntervalAt() time.Duration {
	slots := max(1, e.Slots)
	busy := float64(min(e.Load+1, slots)) / float64(slots)
	return time.Duration(float64(e.Interval) * (1 + loadSlope*(busy-0.5)))
}

// Finish returns the time until an item is expected to end on the engine: the wait for a slot and the time of its events.
func (e Engine) Finish(item Item) time.Duration {
	interval := float64(e.IntervalAt())
	queued := max(0, e.Load+1-max(1, e.Slots))
	wait := float64(queued) * item.MeanEvents / float64(max(1, e.Slots))
	return e.Delay + time.Duration((wait+item.Events)*interval)
}

// ByFinish selects the engine with the earliest expected finish for the items that decide when a step ends, and the slowest one on
// which they end in time for the others.
type ByFinish struct{}

// Choose selects an engine.
func (ByFinish) Choose(item Item, engines []Engine) (Choice, bool) {
	var fastest time.Duration
	for _, e := range engines {
		if fastest == 0 || e.Interval < fastest {
			fastest = e.Interval
		}
	}
	stepTime := item.StepEvents * float64(fastest)
	spare, free, queued := newBest(), newBest(), newBest()
	var earliest time.Duration // of the free slots
	for i, e := range engines {
		if e.Load >= e.MaxLoad {
			continue
		}
		finish := e.Finish(item)
		class := speedClass(e.Interval, fastest)
		// Engines of one class are compared by their load, not by intervals that differ by chance.
		e.Interval = time.Duration(float64(fastest) * math.Pow(classRatio, float64(class)))
		classFinish := e.Finish(item)
		competing := competingFactor * float64(e.CompetingModels)
		if e.Load >= e.Slots {
			queued.offer(i, finish, float64(classFinish)*(1+competing))
			continue
		}
		if earliest == 0 || finish < earliest {
			earliest = finish
		}
		free.offer(i, finish, float64(classFinish)*(1+competing))
		if spareFactor*float64(classFinish) <= stepTime {
			spare.offer(i, finish, float64(e.Load)/float64(max(1, e.Slots))+competing-maxLoadShare*float64(class))
		}
	}
	switch {
	case spare.index >= 0:
		return Choice{spare.index, spare.finish, InTime}, true
	case free.index >= 0 && (queued.index < 0 || queueFactor*float64(queued.finish) >= float64(earliest)):
		return Choice{free.index, free.finish, EarliestFinish}, true
	case free.index >= 0:
		return Choice{queued.index, queued.finish, QueuedFaster}, true
	case queued.index >= 0:
		return Choice{queued.index, queued.finish, QueuedOnly}, true
	}
	return Choice{}, false
}

// maxLoadShare exceeds the load share of an engine with a free slot, with competing models.
const maxLoadShare = 8

// speedClass returns how many times slower than the fastest engine an engine is, in factors of classRatio. Engines of one class count as
// equally fast.
func speedClass(interval, fastest time.Duration) int {
	if interval <= fastest || fastest <= 0 {
		return 0
	}
	return int(math.Log(float64(interval)/float64(fastest)) / math.Log(classRatio))
}

// IsEqual reports whether an item may as well have the other engine as the chosen one, apart from their load: both have a free slot, are
// about equally fast, and are needed by as many other models.
func IsEqual(chosen, other Engine) bool {
	hasSlots := chosen.Load < min(chosen.Slots, chosen.MaxLoad) && other.Load < min(other.Slots, other.MaxLoad)
	return hasSlots && chosen.CompetingModels == other.CompetingModels && chosen.Interval > 0 && other.Interval > 0 &&
		speedClass(chosen.Interval, other.Interval) == 0 && speedClass(other.Interval, chosen.Interval) == 0
}

// best is the engine with the lowest cost so far; of equal ones, the first.
type best struct {
	index  int
	finish time.Duration
	cost   float64
}

func newBest() best { return best{index: -1} }

func (b *best) offer(index int, finish time.Duration, cost float64) {
	if b.index < 0 || cost < b.cost {
		*b = best{index, finish, cost}
	}
}

const (
	// moveDelay is the time that a run loses when it moves: a connection, its prompt and its place in the batch.
	moveDelay = 40 * time.Millisecond
	// minMoveGain and minMoveShare are how much earlier a run must end after a move, at least and as a share of its remaining time.
	minMoveGain  = 150 * time.Millisecond
	minMoveShare = 0.15
	// minFasterGain and minFasterShare are the same for a move to a faster engine, as intervals vary.
	minFasterGain  = 200 * time.Millisecond
	minFasterShare = 0.18
)

// ShouldMove reports whether a run continues on another engine that has a free slot: it decides when its step ends, and it is expected to
// end much earlier there. Here is the run's own engine without the run.
func ShouldMove(item Item, here, there Engine) bool {
	if there.Load >= there.Slots || there.Load >= there.MaxLoad {
		return false
	}
	minGain, minShare := minFasterGain, minFasterShare
	if speedClass(here.Interval, there.Interval) == 0 {
		// Only the wait for a slot differs.
		there.Interval, minGain, minShare = here.Interval, minMoveGain, minMoveShare
	}
	stay := here.Finish(item)
	there.Delay += moveDelay
	gain := stay - there.Finish(item)
	if gain < minGain || float64(gain) < minShare*float64(stay) {
		return false
	}
	return spareFactor*float64(stay) > item.StepEvents*float64(min(here.Interval, there.Interval))
}
