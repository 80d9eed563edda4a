package jujubebatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
)

// Each engine has a keeper, one instance through which all items reach it: engines then see a few connections instead of
// some from each instance, and the keeper knows how many requests the engine has and whether it works. The instance that
// accepted a submission plans its items and lends each one to the keeper of its engine, which runs it and lists the result.
// The lender asks for its items regularly and takes back those that the keeper hasn't any more. Nothing of this is on the
// log: a copy that runs twice after a fault costs engine time only.

const (
	// confirmPeriod is the time between two questions after lent items.
	confirmPeriod = 500 * time.Millisecond
	// confirmLimit is how long an item stays lent without an answer: two questions and their timeouts. A beat that is
	// missing shows later.
	confirmLimit = 1200 * time.Millisecond
	// avoidKeeper is how long the engines of a keeper that didn't answer are reached directly.
	avoidKeeper = 1500 * time.Millisecond
	// loadMemory is how long a keeper's word about an engine's load is trusted; a slot gets free each 60 to 90 ms.
	loadMemory = 60 * time.Millisecond
	// loadTrial is how many items are offered to a full engine after that.
	loadTrial = 2
	// foreignMemory is how long written progress shows that an instance still runs an item of a lost lender: texts are
	// written after 1, 2 and 4 s.
	foreignMemory = 4500 * time.Millisecond
)

// Member is an instance that is alive.
type Member struct {
	ID         model.InstanceID
	DataCentre model.DataCentre
	// Ready members may keep engines; leaving ones finish what they have.
	Ready bool
}

// Offer asks an engine's keeper to run an item.
type Offer struct {
	Submission SubmissionID
	Item       ItemID
	Engine     model.EndpointID
	// Content is where the request lies, and Given is what lies there.
	Content Place
	Given   Content
	// Events and Versions are the part of the text that the lender has.
	Events   []string
	Versions []model.WeightVersion
	// Failures and Crashes are what the item has met with so far.
	Failures, Crashes int
}

// OfferItems asks an instance to take items; NoteOffer or FailOffer gives the outcome.
type OfferItems struct {
	To     model.InstanceID
	Offers []Offer
}

// ItemRef names an item of a submission.
type ItemRef struct {
	Submission SubmissionID
	Item       ItemID
}

// ConfirmItems asks an instance whether it still has items; NoteConfirmed or FailConfirm gives the outcome.
type ConfirmItems struct {
	To    model.InstanceID
	Items []ItemRef
}

func (OfferItems) isAction()   {}
func (ConfirmItems) isAction() {}

// loan is an item that another instance runs.
type loan struct {
	to model.InstanceID
	// taken is true once the other instance has accepted it.
	taken bool
	// confirmed is when it last said that it has the item, or when the offer was made; asked is when it was last asked.
	confirmed, asked time.Time
	// moving is why a run here should go on there. It ends once the other instance has taken the item.
	moving string
}

// SetLive sets the instances that are alive, sorted by name.
func (b *Batches) SetLive(live []Member) {
	b.live = live
	for _, e := range b.engines.All() {
		b.setKeeper(e)
	}
}

// concerns tells whether this instance may have something to do for a submission.
func (b *Batches) concerns(one *submission) bool {
	return one.By == b.self || one.adopted > 0 || !b.isLive(one.By)
}

func (b *Batches) isLive(id model.InstanceID) bool {
	return slices.ContainsFunc(b.live, func(m Member) bool { return m.ID == id })
}

// setKeeper finds an engine's keeper: of the ready instances in its data centre, or of all if there is none, the one whose
// hash with the engine is the highest. A change of the live instances moves only the engines of those that come or go.
func (b *Batches) setKeeper(e *engine) {
	var best Member
	var bestNear bool
	var bestHash uint64
	for _, m := range b.live {
		if !m.Ready {
			continue
		}
		near := m.DataCentre == e.DataCentre
		hash := xxhash.Sum64String(string(e.ID) + "/" + string(m.ID))
		if best.ID == "" || near && !bestNear || near == bestNear && hash > bestHash {
			best, bestNear, bestHash = m, near, hash
		}
	}
	e.keeper = best.ID
}

// isKept tells whether an engine is reached through another instance now.
func (b *Batches) isKept(now time.Time, e *engine) bool {
	return e.keeper != "" && e.keeper != b.self && !now.Before(b.unreachable[e.keeper])
}

// isOwn tells whether this instance sees to an item: it has it from a lender or runs it, it accepted the submission, or the
// instance that did is gone and it is the next one by the item's number.
func (b *Batches) isOwn(now time.Time, row *item) bool {
	switch {
	case row.loan != nil:
		return false
	case row.adopted || row.run != nil || row.of.By == b.self:
		return true
	case b.isLive(row.of.By):
		return false
	case row.unscored != nil && row.unscored.By != b.self && b.isLive(row.unscored.By) && now.Sub(row.unscoredAt) < foreignMemory:
		return false
	case row.progress != nil && row.progress.By != b.self && b.isLive(row.progress.By) && now.Sub(row.progressAt) < foreignMemory:
		return false
	}
	return len(b.live) > 0 && b.live[row.index%len(b.live)].ID == b.self
}

// lend adds an item to the offers to its engine's keeper.
func (b *Batches) lend(now time.Time, row *item, e *engine) {
	row.loan = &loan{to: e.keeper, confirmed: now, asked: now}
	offer := Offer{
		Submission: row.of.ID, Item: row.ID, Engine: e.ID, Given: row.Content, Events: row.events, Versions: row.versions, Failures: row.failures, Crashes: row.crashes,
	}
	offer.Content, _ = row.place()
	at := slices.IndexFunc(b.offers, func(o OfferItems) bool { return o.To == e.keeper })
	if at < 0 {
		b.offers = append(b.offers, OfferItems{To: e.keeper})
		at = len(b.offers) - 1
	}
	b.offers[at].Offers = append(b.offers[at].Offers, offer)
}

// Take decides on an offer of another instance. An item that this instance has already stays with it.
func (b *Batches) Take(now time.Time, offer Offer) bool {
	if b.draining {
		return false
	}
	one, ok := b.submissions.Get(offer.Submission)
	if !ok {
		return b.takeEarly(now, offer)
	}
	row, ok := one.items[offer.Item]
	switch {
	case !ok:
		return false
	case one.ended || row.listed || row.finished || row.run != nil || row.adopted && row.loan == nil:
		return true // it is here or over
	}
	route, ok := b.desired.Match(one.Host, row.Path)
	e, known := b.engines.Get(offer.Engine)
	if !ok || !known || e.planned >= e.limit() || !b.isEligible(now, e, row, route.Choose(string(row.ID)), route.SingleVersion) {
		return false
	}
	b.adopt(now, row, offer)
	b.unplan(row)
	if row.unscored == nil {
		b.plan(row, e)
	}
	return true
}

func (b *Batches) adopt(now time.Time, row *item, offer Offer) {
	if !row.adopted {
		row.of.adopted++
	}
	row.adopted, row.loan, row.notBefore, row.here, row.Content = true, nil, now, offer.Engine, offer.Given
	row.failures, row.crashes = max(row.failures, offer.Failures), max(row.crashes, offer.Crashes)
	if len(offer.Events) > len(row.events) && row.fits(offer.Versions) {
		row.events, row.versions = offer.Events, offer.Versions
	}
}

// Has tells whether this instance has an item from a lender or runs it, or knows that it needs no run any more.
func (b *Batches) Has(ref ItemRef) bool {
	one, ok := b.submissions.Get(ref.Submission)
	if !ok {
		return slices.ContainsFunc(b.early, func(early earlyOffer) bool {
			return early.Submission == ref.Submission && early.Item == ref.Item
		})
	}
	row, ok := one.items[ref.Item]
	return ok && (row.adopted || row.run != nil || row.finished || row.listed || one.ended)
}

// Load returns how many items this instance has for an engine.
func (b *Batches) Load(id model.EndpointID) int {
	e, ok := b.engines.Get(id)
	if !ok {
		return 0
	}
	return e.planned + b.earlyFor(id)
}

// NoteOffer takes an instance's answer to an offer: what it took, and how many items it has for each engine.
func (b *Batches) NoteOffer(now time.Time, offer OfferItems, taken []bool, loads map[model.EndpointID]int) {
	refused := map[model.EndpointID]bool{}
	for i, one := range offer.Offers {
		isTaken := i < len(taken) && taken[i]
		refused[one.Engine] = refused[one.Engine] || !isTaken
		row, ok := b.lent(one.Submission, one.Item, offer.To)
		switch {
		case !ok:
		case isTaken:
			row.loan.taken, row.loan.confirmed = true, now
			b.leave(row, one.Engine)
		default:
			b.takeBack(row)
		}
	}
	for id, load := range loads {
		e, ok := b.engines.Get(id)
		if !ok {
			continue
		}
		e.others, e.othersAt = max(0, load-e.planned), now
		if refused[id] {
			e.others = e.limit() // whatever the reason was, it holds for a while
		}
	}
}

// FailOffer says that an offer has got no answer. The items may have been taken.
func (b *Batches) FailOffer(now time.Time, offer OfferItems) {
	b.unreachable[offer.To] = now.Add(avoidKeeper)
	for _, one := range offer.Offers {
		if row, ok := b.lent(one.Submission, one.Item, offer.To); ok {
			b.takeBack(row)
		}
	}
}

// NoteConfirmed takes an instance's answer about lent items.
func (b *Batches) NoteConfirmed(now time.Time, to model.InstanceID, items []ItemRef, has []bool) {
	for i, ref := range items {
		row, ok := b.lent(ref.Submission, ref.Item, to)
		switch {
		case !ok || !row.loan.taken:
		case i < len(has) && has[i]:
			row.loan.confirmed = now
		default:
			b.takeBack(row)
		}
	}
}

// FailConfirm says that an instance gave no answer about lent items.
func (b *Batches) FailConfirm(now time.Time, to model.InstanceID) {
	b.unreachable[to] = now.Add(avoidKeeper)
}

func (b *Batches) lent(id SubmissionID, name ItemID, to model.InstanceID) (*item, bool) {
	one, ok := b.submissions.Get(id)
	if !ok {
		return nil, false
	}
	row, ok := one.items[name]
	return row, ok && row.loan != nil && row.loan.to == to
}

// takeBack ends a loan. A run that was to move goes on here.
func (b *Batches) takeBack(row *item) {
	row.loan = nil
	if row.run == nil {
		b.unplan(row)
	}
}

// leave ends the run of an item that another instance goes on with, at an engine that it keeps.
func (b *Batches) leave(row *item, to model.EndpointID) {
	if row.run == nil {
		return
	}
	b.cancel(row.run, row.loan.moving)
	if e, ok := b.engines.Get(to); ok {
		b.plan(row, e)
	}
}

// move lets a run go on at another engine. One that another instance keeps has to be accepted there first, since the run
// here is better than none.
func (b *Batches) move(now time.Time, r *run, to *engine, reason string) {
	row := r.item
	row.movedAt = now
	if !b.isKept(now, to) {
		b.cancel(r, reason)
		return
	}
	b.lend(now, row, to)
	row.loan.moving = reason
}

// checkLoans takes back what is overdue and asks for the rest.
func (b *Batches) checkLoans(now time.Time, one *submission) {
	due := map[model.InstanceID][]ItemRef{}
	for _, row := range one.order {
		if row.loan == nil || row.listed {
			continue
		}
		if now.Sub(row.loan.confirmed) > confirmLimit || !b.isLive(row.loan.to) {
			b.takeBack(row)
			continue
		}
		if row.loan.taken && now.Sub(row.loan.asked) >= confirmPeriod {
			row.loan.asked = now
			due[row.loan.to] = append(due[row.loan.to], ItemRef{one.ID, row.ID})
		}
	}
	for _, m := range b.live {
		if items := due[m.ID]; len(items) > 0 {
			b.actions = append(b.actions, ConfirmItems{m.ID, items})
		}
	}
}

// loadOf returns how many items an engine has or is expected to get, of all instances.
func (e *engine) loadOf(now time.Time) int {
	others := e.others
	switch age := now.Sub(e.othersAt); {
	case age > time.Second:
		others = 0
	case age > loadMemory:
		others = max(0, min(others, e.limit()-loadTrial-e.planned))
	}
	return e.planned + others
}
