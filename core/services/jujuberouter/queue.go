package jujuberouter

import (
	"cmp"
	"math"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

const (
	// maxPassed is how often a class is passed over before it goes first: a lower class gets at least an eighth.
	maxPassed = 7
	// scanOnFinish bounds the waiting requests that a finished one tries; a tick tries all.
	scanOnFinish = 64
)

// class is the waiting requests of one priority.
type class struct {
	// groups is by trainer; requests without a configured trainer are in the group with the empty name.
	groups *jujubetable.Table[model.TrainerID, *group]
	length int
	passed int
	// turn is the turn of the latest group that was served; new groups start from it.
	turn float64
}

// group is the waiting requests of one trainer, oldest first.
type group struct {
	trainer *trainer
	jobs    []*job
	// turn grows by 1/share with each dispatch; the group with the lowest turn is next.
	turn float64
}

// trainer is what is kept of a trainer of the environment document.
type trainer struct {
	id model.TrainerID
	// share is this instance's part of MaxInFlight.
	share    int
	limited  bool
	weight   float64
	inFlight int
}

func (t *trainer) hasRoom() bool { return t == nil || !t.limited || t.inFlight < t.share }

func (c *class) group(t *trainer) *group {
	var id model.TrainerID
	if t != nil {
		id = t.id
	}
	g, ok := c.groups.Get(id)
	if !ok {
		g = &group{trainer: t}
		c.groups.Put(id, g)
	}
	if len(g.jobs) == 0 {
		g.turn = max(g.turn, c.turn)
	}
	return g
}

// served records a dispatch of the group.
func (c *class) served(g *group) {
	c.turn = g.turn
	weight := 1.0
	if g.trainer != nil && g.trainer.weight > 0 {
		weight = g.trainer.weight
	}
	g.turn += 1 / weight
}

// isReady tells whether a waiting request isn't held back by its trainer's limit.
func (c *class) isReady() bool {
	if c.length == 0 {
		return false
	}
	for _, g := range c.groups.All() {
		if len(g.jobs) > 0 && g.trainer.hasRoom() {
			return true
		}
	}
	return false
}

func (r *Router[P]) enqueue(p *pool, j *job) {
	c := &p.classes[j.request.Priority]
	g := c.group(j.trainer)
	g.jobs = append(g.jobs, j)
	c.length++
	r.queued++
	j.group = g
}

func (r *Router[P]) dequeue(j *job) {
	if j.group == nil {
		return
	}
	at := slices.Index(j.group.jobs, j)
	j.group.jobs = slices.Delete(j.group.jobs, at, at+1)
	j.pool.classes[j.request.Priority].length--
	r.queued--
	j.group = nil
}

// countPassed keeps how often lower classes were passed over by a dispatch.
func (p *pool) countPassed(priority model.Priority) {
	p.classes[priority].passed = 0
	for lower := priority + 1; int(lower) < len(p.classes); lower++ {
		if p.classes[lower].isReady() {
			p.classes[lower].passed++
		}
	}
}

// mustQueue tells whether a new request has to wait for its turn behind others.
func (p *pool) mustQueue(j *job) bool {
	for priority := range p.classes {
		c := &p.classes[priority]
		switch own := int(j.request.Priority); {
		case priority < own && c.isReady(), priority > own && c.passed >= maxPassed && c.isReady():
			return true
		case priority == own && c.length > 0 && len(c.group(j.trainer).jobs) > 0:
			return true
		}
	}
	return false
}

// pump dispatches waiting requests while endpoints have room, and refuses those that it finds too late.
func (r *Router[P]) pump(now time.Time, p *pool, scan int) []Decision {
	var decisions []Decision
	for r.queued > 0 {
		decision, ok := r.pumpOne(now, p, scan)
		if !ok {
			break
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// pumpOne dispatches or refuses one waiting request. A class that is due but has nothing dispatchable loses its turn only
// to another class that has, not to a lack of room.
func (r *Router[P]) pumpOne(now time.Time, p *pool, scan int) (Decision, bool) {
	var due [len(p.classes)]bool
	for priority := len(p.classes) - 1; priority > 0; priority-- {
		if c := &p.classes[priority]; c.passed >= maxPassed {
			if decision, ok := r.pumpClass(now, c, scan); ok {
				return decision, true
			}
			due[priority] = true
		}
	}
	for priority := range p.classes {
		if due[priority] {
			continue
		}
		if decision, ok := r.pumpClass(now, &p.classes[priority], scan); ok {
			for lower := priority + 1; lower < len(p.classes) && decision.Kind == Dispatch; lower++ {
				if due[lower] {
					p.classes[lower].passed = 0
				}
			}
			return decision, true
		}
	}
	return Decision{}, false
}

func (r *Router[P]) pumpClass(now time.Time, c *class, scan int) (Decision, bool) {
	if c.length == 0 {
		return Decision{}, false
	}
	r.groups = r.groups[:0]
	for _, g := range c.groups.All() {
		if len(g.jobs) > 0 && g.trainer.hasRoom() {
			r.groups = append(r.groups, g)
		}
	}
	slices.SortStableFunc(r.groups, func(a, b *group) int { return cmp.Compare(a.turn, b.turn) })
	full := model.WeightVersion(math.MaxInt64) // no endpoint has room for this version or a later one
	for _, g := range r.groups {
		for _, j := range g.jobs[:min(scan, len(g.jobs))] {
			plain := len(j.request.Only) == 0 && len(j.request.Exclude) == 0
			if plain && j.request.MinVersion >= full {
				continue
			}
			if decision := r.try(now, j); decision.Kind != Wait {
				return decision, true
			}
			if plain {
				full = min(full, j.request.MinVersion)
			}
		}
	}
	return Decision{}, false
}

// queueWait estimates the wait of a request with some others ahead of it in its group.
func (r *Router[P]) queueWait(p *pool, j *job, ahead int) time.Duration {
	higher, weights, own := 0, 0.0, 1.0
	for priority := model.PriorityInteractive; priority < j.request.Priority; priority++ {
		higher += p.classes[priority].length
	}
	for _, g := range p.classes[j.request.Priority].groups.All() {
		weight := 1.0
		if g.trainer != nil && g.trainer.weight > 0 {
			weight = g.trainer.weight
		}
		if g.trainer == j.trainer {
			own = weight
			weights += weight
		} else if len(g.jobs) > 0 {
			weights += weight
		}
	}
	rate := p.drainRate()
	seconds := (float64(higher) + float64(ahead)*max(1, weights/own)) / rate
	if t := j.trainer; t != nil && t.limited {
		seconds = max(seconds, float64(ahead)*p.hold/float64(max(t.share, 1)))
	}
	return time.Duration(seconds * float64(time.Second))
}

// shed refuses the waiting requests that are past their deadline, can't meet it or have lost their trainer's share.
func (r *Router[P]) shed(now time.Time, p *pool) []Decision {
	var decisions []Decision
	for priority := range p.classes {
		for _, g := range p.classes[priority].groups.All() {
			ahead := 0
			for _, j := range slices.Clone(g.jobs) {
				if t := j.trainer; t != nil && t.limited && t.share == 0 {
					decisions = append(decisions, r.refuseElsewhere(j, "other instances hold the trainer's limit"))
					continue
				}
				wait := r.queueWait(p, j, ahead)
				if late := r.lateness(now, j, wait); late > 0 {
					decisions = append(decisions, r.refuseLate(now, j, wait, late))
					continue
				}
				ahead++
			}
		}
	}
	return decisions
}
