package jujuberouter

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/models/jujubetable"
)

// poolName names the endpoints that are exchangeable.
type poolName struct {
	kind    model.EndpointKind
	model   model.ModelName
	service model.ServiceName
}

func poolKey(kind model.EndpointKind, name model.ModelName, service model.ServiceName) poolName {
	if kind == model.KindEngine {
		return poolName{kind: kind, model: name}
	}
	return poolName{kind: kind, service: service}
}

// pool is the endpoints of a model or service, and the requests that wait for one.
type pool struct {
	name poolName
	rows *jujubetable.Table[model.EndpointID, *row]
	// stale is true when watched, scale, capacity and the rows' shares must be computed again.
	stale bool
	// watched is sorted by endpoint id and holds open rows only.
	watched []*row
	// scale is how many instances are expected to dispatch to each watched endpoint.
	scale int
	// capacity is how many requests of this instance can run at once.
	capacity int
	inFlight int
	classes  [model.PriorityBackground + 1]class
	// hold averages the seconds from dispatch to finish, service those on an engine's slot.
	hold, service float64
	// tokensPerSecond is the latest reported rate of a stream.
	tokensPerSecond float64
}

func (r *Router[P]) getPool(name poolName) *pool {
	if p, ok := r.pools[name]; ok {
		return p
	}
	p := &pool{name: name, rows: jujubetable.New[model.EndpointID, *row](), stale: true}
	p.hold, p.service = r.settings.ServiceTime.Seconds(), r.settings.ServiceTime.Seconds()
	for i := range p.classes {
		p.classes[i].groups = jujubetable.New[model.TrainerID, *group]()
	}
	r.pools[name] = p
	r.poolOrder = append(r.poolOrder, p)
	return p
}

func hashPair(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }

// refresh computes which endpoints are watched. Those with a share of zero come last, since they can't be used.
func (r *Router[P]) refresh(p *pool) {
	if !p.stale {
		return
	}
	p.stale = false
	limit := r.limits.Services[p.name.service].MaxInFlightPerEndpoint
	if p.name.kind == model.KindEngine {
		limit = r.limits.Models[p.name.model].MaxInFlightPerEndpoint
	}
	open := make([]*row, 0, p.rows.Len())
	for id, e := range p.rows.All() {
		e.watched = false
		e.share, e.limited = r.keyedShare("endpoint/"+string(id), limit)
		if e.isOpen() {
			open = append(open, e)
		}
	}
	total := len(open)
	slices.SortFunc(open, func(a, b *row) int {
		if aHas, bHas := !a.limited || a.share > 0, !b.limited || b.share > 0; aHas != bHas {
			if aHas {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.rendezvous, a.rendezvous), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	p.watched = open[:r.countWatched(open)]
	slices.SortFunc(p.watched, func(a, b *row) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	p.scale, p.capacity = 1, 0
	if total > 0 {
		p.scale = max(1, (r.live*len(p.watched)+total/2)/total)
	}
	for _, e := range p.watched {
		e.watched = true
		if e.limited {
			p.capacity += e.share
		} else {
			p.capacity += e.load.Slots / p.scale
		}
	}
}

// countWatched returns how many of the endpoints, those with a share first, are watched. Many instances hold a share of
// one on few endpoints each; with only Watch of these, the other shares of the same instance would never be used.
func (r *Router[P]) countWatched(open []*row) int {
	capacity := 0
	for i, e := range open {
		if i >= r.settings.Watch && (!e.limited || e.share == 0 || capacity >= minSharesPerWatch*r.settings.Watch) {
			return i
		}
		capacity += e.share
	}
	return len(open)
}

// minSharesPerWatch is the number of own requests that the watched endpoints can hold at once, for each of Watch: 96,
// twice the streams of an instance at the target size.
const minSharesPerWatch = 4

// drainRate is how many waiting requests leave the queue in a second (Little's law).
func (p *pool) drainRate() float64 { return float64(max(p.capacity, p.inFlight, 1)) / p.hold }

// runTime estimates the time from a dispatch to the end of a request. Half of the mean service time is counted, as the
// lengths are heavy-tailed and most requests are shorter than the mean; more would refuse requests that would be in time.
func (p *pool) runTime(request *Request) time.Duration {
	seconds := p.service
	if request.Tokens > 0 && p.tokensPerSecond > 0 {
		seconds = min(seconds, float64(request.Tokens)/p.tokensPerSecond)
	}
	return time.Duration((max(0, p.hold-p.service) + seconds/2) * float64(time.Second))
}

// margin is the time that has to be left for a request when its turn comes, for it to be queued at all: a run of three
// and a half mean service times, but at most two thirds of the time until the deadline. Lengths are heavy-tailed, so with
// a run of two means and half of the time, the queue that an overload left behind still made one request in twenty miss
// its deadline 14 s later.
func (p *pool) margin(now time.Time, request *Request) time.Duration {
	margin := p.runTime(request) + time.Duration(3*p.service*float64(time.Second))
	return min(margin, request.Deadline.Sub(now)*2/3)
}

// weightOfOne is the weight of one request in the averages: about the last twenty count, as lengths vary too much for
// fewer.
const weightOfOne = 0.05

// learnHold averages the time that ended requests were in flight, whatever their end.
func (p *pool) learnHold(held time.Duration) {
	p.hold = max(0.001, p.hold+weightOfOne*(held.Seconds()-p.hold))
}

// learnService averages the service time of completed requests.
func (p *pool) learnService(held, expectedWait time.Duration, tokens int) {
	seconds := max(0, held.Seconds()-expectedWait.Seconds())
	if tokens > 0 && p.tokensPerSecond > 0 {
		seconds = float64(tokens) / p.tokensPerSecond
	}
	p.service = max(0.001, p.service+weightOfOne*(seconds-p.service))
}

// collect fills r.candidates with the endpoints that can take a request now. It returns how many open endpoints the
// request allows, and whether the own share is zero on all of them.
func (r *Router[P]) collect(now time.Time, p *pool, request *Request) (allowed int, shareless bool) {
	r.refresh(p)
	r.candidates = r.candidates[:0]
	healthy := slices.ContainsFunc(p.watched, func(e *row) bool { return !e.isAside(now) })
	shareless = true
	add := func(e *row) {
		if !e.isOpen() || slices.Contains(request.Exclude, e.endpoint.ID) {
			return
		}
		allowed++
		shareless = shareless && e.limited && e.share == 0 && !request.Held
		if !request.Held && (!e.hasRoom() || e.load.Version < request.MinVersion || healthy && e.isAside(now)) {
			return
		}
		r.candidates = append(r.candidates, r.estimate(p, e, request.Prefix))
	}
	if len(request.Only) > 0 {
		for i, id := range request.Only {
			if e, ok := p.rows.Get(id); ok && !slices.Contains(request.Only[:i], id) {
				add(e)
			}
		}
	} else {
		for _, e := range p.watched {
			add(e)
		}
		if allowed == 0 {
			for _, e := range p.rows.All() {
				add(e)
			}
		}
	}
	return allowed, shareless && allowed > 0
}

// preferVersion narrows the candidates to those that serve a version, if there are any.
func (r *Router[P]) preferVersion(version model.WeightVersion) {
	isOld := func(c Candidate) bool { return c.row.load.Version < version }
	if slices.ContainsFunc(r.candidates, func(c Candidate) bool { return !isOld(c) }) {
		r.candidates = slices.DeleteFunc(r.candidates, isOld)
	}
}

// estimate computes the expected wait: the reported load, plus own dispatches since the report times the number of
// instances, because the others send there at the same time.
func (r *Router[P]) estimate(p *pool, e *row, prefix uint64) Candidate {
	c := Candidate{
		Endpoint: e.endpoint.ID, Running: e.load.Running, Waiting: e.load.Waiting, InFlight: e.inFlight, row: e,
		Occupied: e.load.Running + e.load.Waiting + len(e.recent)*p.scale,
	}
	if over := c.Occupied - e.load.Slots + 1; e.load.Slots > 0 && over > 0 {
		c.ExpectedWait = time.Duration(float64(over) * p.service / float64(e.load.Slots) * float64(time.Second))
	}
	if e.cache.has(prefix) {
		c.Cached, c.Saved = true, r.settings.PrefillSaved
	}
	return c
}
