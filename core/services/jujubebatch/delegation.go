package jujubebatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	model "jujubepier.example/core/models/jujubemodel"
)

// Each engine has a gateway, one instance through which all items reach it. Engines then see a few connections instead of
// some from every instance, and the gateway has a count of the requests on the engine and notices when it fails. The
// instance that accepted a submission assigns its items to engines and delegates each one to the engine's gateway, which
// runs it and appends the result. The delegator regularly asks whether the gateway still has its items and reclaims those
// that it has lost. None of this is logged: an item that runs twice after a fault only costs engine time.

const (
	// confirmInterval is the time between two confirmation requests for delegated items.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout is how long an item stays delegated without a confirmation: two requests and their timeouts. Missing
	// heartbeats are noticed later than that.
	confirmTimeout = 1200 * time.Millisecond
	// gatewayBackoff is how long the engines of a gateway that didn't respond are reached directly.
	gatewayBackoff = 1500 * time.Millisecond
	// remoteLoadTTL is how long a gateway's report of an engine's load is used. A slot becomes free every 60 to 90 ms.
	remoteLoadTTL = 60 * time.Millisecond
	// probeItems is how many items are offered to a full engine once the report has expired.
	probeItems = 2
	// remoteRunTTL is how long a checkpoint indicates that another instance still runs an item whose delegator was lost.
	// Texts are written after 1, 2 and 4 s.
	remoteRunTTL = 4500 * time.Millisecond
)

// Member is a live instance.
type Member struct {
	ID         model.InstanceID
	DataCentre model.DataCentre
	// Ready members may be gateways; leaving ones only finish their items.
	Ready bool
	// Deferred are the submissions that the instance doesn't keep.
	Deferred []SubmissionID
}

// Offer asks an engine's gateway to run an item.
type Offer struct {
	Submission SubmissionID
	Item       ItemID
	Engine     model.EndpointID
	// Content is where the request is stored, and Given is the request itself if the delegator sends it along.
	Content Place
	Given   Content
	// Events, Versions and SoftwareVersion are the part of the text that the delegator has.
	Events          []string
	Versions        []model.WeightVersion
	SoftwareVersion model.SoftwareVersion
	// Failures, Crashes and DiscardedTexts are the item's counts so far.
	Failures, Crashes, DiscardedTexts int
}

// OfferItems offers items to an instance; HandleOfferReply or HandleOfferFailure handles the outcome.
type OfferItems struct {
	To     model.InstanceID
	Offers []Offer
}

// ItemRef identifies an item across submissions.
type ItemRef struct {
	Submission SubmissionID
	Item       ItemID
}

// ConfirmItems asks an instance whether it still has the items; HandleConfirmReply or HandleConfirmFailure handles the outcome.
type ConfirmItems struct {
	To    model.InstanceID
	Items []ItemRef
}

func (OfferItems) isAction()   {}
func (ConfirmItems) isAction() {}

// delegation is the state of an item that another instance runs.
type delegation struct {
	to model.InstanceID
	// accepted is true once the other instance has accepted the offer.
	accepted bool
	// confirmedAt is when the other instance last confirmed the item, or when the offer was made. askedAt is when it was
	// last asked.
	confirmedAt, askedAt time.Time
	// moveReason is why a run here should continue there. The run is cancelled once the other instance has accepted the
	// item.
	moveReason MoveReason
}

// SetLiveMembers sets the live instances, sorted by id.
func (s *Scheduler) SetLiveMembers(live []Member) {
	s.live = live
	clear(s.liveIDs)
	for _, m := range live {
		s.liveIDs[m.ID] = true
	}
	for _, submission := range s.submissions.All() {
		submission.isAcceptorLive = s.isKeptBy(submission.By, submission.ID)
	}
	for _, e := range s.engines.All() {
		s.selectGateway(e)
	}
}

// mayHaveWork reports whether this instance may be responsible for items of the submission.
func (s *Scheduler) mayHaveWork(submission *submission) bool {
	return submission.By == s.self || submission.delegatedHere > 0 || !submission.isAcceptorLive
}

func (s *Scheduler) isLive(id model.InstanceID) bool { return s.liveIDs[id] }

// selectGateway selects an engine's gateway by rendezvous hashing: of the ready instances in its data centre, or of all if
// there are none, the one with the highest hash. A membership change moves only the engines of the instances that joined or
// left.
func (s *Scheduler) selectGateway(e *engine) {
	var best Member
	var bestIsLocal bool
	var bestHash uint64
	key := append([]byte(e.ID), '/')
	prefix := len(key)
	for _, m := range s.live {
		if !m.Ready {
			continue
		}
		isLocal := m.DataCentre == e.DataCentre
		key = append(key[:prefix], m.ID...)
		hash := xxhash.Sum64(key)
		if best.ID == "" || isLocal && !bestIsLocal || isLocal == bestIsLocal && hash > bestHash {
			best, bestIsLocal, bestHash = m, isLocal, hash
		}
	}
	e.gateway = best.ID
}

// hasRemoteGateway reports whether the engine is currently reached through another instance.
func (s *Scheduler) hasRemoteGateway(now time.Time, e *engine) bool {
	return e.gateway != "" && e.gateway != s.self && !now.Before(s.unreachableUntil[e.gateway])
}

// isResponsible reports whether this instance has to run an item: it was delegated to this instance, runs here, or belongs
// to a submission that this instance accepted. The items of a lost instance are distributed over the live ones by index.
func (s *Scheduler) isResponsible(now time.Time, item *item) bool {
	switch {
	case item.delegation != nil:
		return false
	case item.delegatedHere || item.run != nil || item.submission.By == s.self:
		return true
	case item.submission.isAcceptorLive:
		return false
	case item.unscored != nil && item.unscored.By != s.self && s.isLive(item.unscored.By) && now.Sub(item.unscoredAt) < remoteRunTTL:
		return false
	case item.progress != nil && item.progress.By != s.self && s.isLive(item.progress.By) && now.Sub(item.progressAt) < remoteRunTTL:
		return false
	}
	return s.substitute(item) == s.self
}

// delegate adds an item to the offers for its engine's gateway.
func (s *Scheduler) delegate(now time.Time, item *item, e *engine) {
	item.modify().delegation = &delegation{to: e.gateway, confirmedAt: now, askedAt: now}
	offer := Offer{
		Submission: item.submission.ID, Item: item.ID, Engine: e.ID, Given: item.given, Events: item.events, Versions: item.versions,
		SoftwareVersion: item.softwareVersion, Failures: item.failures, Crashes: item.earlyBreaks, DiscardedTexts: item.discardedTexts,
	}
	if item.run != nil && !s.isConfirmed(item.run) {
		offer.SoftwareVersion = ""
	}
	offer.Content, _ = item.contentPlace()
	at := slices.IndexFunc(s.offers, func(o OfferItems) bool { return o.To == e.gateway })
	if at < 0 {
		s.offers = append(s.offers, OfferItems{To: e.gateway})
		at = len(s.offers) - 1
	}
	s.offers[at].Offers = append(s.offers[at].Offers, offer)
}

// AcceptOffer decides on an offer from another instance and reports whether it is accepted. An item that this instance already
// has stays here.
func (s *Scheduler) AcceptOffer(now time.Time, offer Offer) bool {
	if s.draining || s.IsDeferred(offer.Submission) {
		return false
	}
	s.prompts.now = now
	submission, ok := s.submissions.Get(offer.Submission)
	if !ok || !s.hasDesired(submission) {
		return s.addPendingOffer(now, offer)
	}
	item, ok := submission.find(offer.Item)
	switch {
	case !ok || s.isWithheld(submission):
		return false
	case item.isSettled() || item.delegatedHere && item.delegation == nil:
		return true // already here, or needs no run
	}
	route, ok := s.matchRoute(item)
	e, known := s.engines.Get(offer.Engine)
	if !ok || !known || e.assigned+s.countPendingOffers(e.ID) >= s.maxAssigned(e) || !route.HasTarget(e.Service) || !s.isUsable(now, e, item, e.Service) {
		return false
	}
	s.acceptDelegation(now, item, offer)
	s.unassign(item)
	if item.unscored == nil {
		s.assign(item, e)
	}
	return true
}

// isSettled reports whether an item runs here or needs no run.
func (it *item) isSettled() bool {
	return it.submission.ended || it.hasResult || it.resultQueued || it.run != nil
}

func (s *Scheduler) acceptDelegation(now time.Time, item *item, offer Offer) {
	if !item.delegatedHere {
		item.submission.delegatedHere++
	}
	item.delegatedHere = true
	state := item.modify()
	state.delegation, state.notBefore, state.offeredEngine, state.given = nil, now, offer.Engine, offer.Given
	item.failures, item.earlyBreaks = max(item.failures, offer.Failures), max(item.earlyBreaks, offer.Crashes)
	item.discardedTexts = max(item.discardedTexts, offer.DiscardedTexts)
	s.mergeOfferedText(item, offer)
}

// mergeOfferedText selects the text with which an item starts here: the longer one of the offer's and of that here, if the
// offer's engine may continue it.
func (s *Scheduler) mergeOfferedText(item *item, offer Offer) {
	var software model.SoftwareVersion
	if e, ok := s.engines.Get(offer.Engine); ok {
		software = e.SoftwareVersion
	}
	if !item.fitsText(software) {
		s.dropUnfitText(item, "the engine of the offer has another software version")
	}
	if len(offer.Events) > item.textLength() && offer.SoftwareVersion == software && software != "" && item.allowsVersions(offer.Versions) {
		item.dropText()
		item.events, item.versions, item.softwareVersion = offer.Events, offer.Versions, offer.SoftwareVersion
	}
}

// HasItem reports whether this instance runs an item or was delegated it, or has a record that the item needs no more runs.
func (s *Scheduler) HasItem(ref ItemRef) bool {
	if s.hasPendingOffer(ref) {
		return true
	}
	submission, ok := s.submissions.Get(ref.Submission)
	if !ok {
		return false
	}
	item, ok := submission.find(ref.Item)
	return ok && (item.delegatedHere || item.run != nil || item.resultQueued || item.hasResult || submission.ended)
}

// EngineLoad returns how many items this instance has for an engine.
func (s *Scheduler) EngineLoad(id model.EndpointID) int {
	e, ok := s.engines.Get(id)
	if !ok {
		return 0
	}
	return e.assigned + s.countPendingOffers(id)
}

// HandleOfferReply handles the reply to an offer: which items were accepted, and how many items the instance has for each engine.
func (s *Scheduler) HandleOfferReply(now time.Time, request OfferItems, accepted []bool, loads map[model.EndpointID]int) {
	refused := map[model.EndpointID]bool{}
	for i, offer := range request.Offers {
		isAccepted := i < len(accepted) && accepted[i]
		refused[offer.Engine] = refused[offer.Engine] || !isAccepted
		item, ok := s.findDelegated(offer.Submission, offer.Item, request.To)
		switch {
		case !ok:
		case isAccepted:
			item.delegation.accepted, item.delegation.confirmedAt = true, now
			item.confirmPrompt()
			s.completeMove(item, offer.Engine)
		default:
			s.reclaim(item)
		}
	}
	for id, load := range loads {
		e, ok := s.engines.Get(id)
		if !ok {
			continue
		}
		e.remoteLoad, e.remoteLoadAt = max(0, load-e.assigned), now
		if refused[id] {
			e.remoteLoad = s.maxAssigned(e) // full until the report expires: the cause is likely to last
		}
	}
}

// HandleOfferFailure handles an offer without a reply. Its items may have been accepted.
func (s *Scheduler) HandleOfferFailure(now time.Time, request OfferItems) {
	s.unreachableUntil[request.To] = now.Add(gatewayBackoff)
	for _, offer := range request.Offers {
		if item, ok := s.findDelegated(offer.Submission, offer.Item, request.To); ok {
			s.reclaim(item)
		}
	}
}

// HandleConfirmReply handles the reply to a confirmation request.
func (s *Scheduler) HandleConfirmReply(now time.Time, to model.InstanceID, items []ItemRef, has []bool) {
	for i, ref := range items {
		item, ok := s.findDelegated(ref.Submission, ref.Item, to)
		switch {
		case !ok || !item.delegation.accepted:
		case i < len(has) && has[i]:
			item.delegation.confirmedAt = now
		default:
			s.reclaim(item)
		}
	}
}

// HandleConfirmFailure handles a confirmation request without a reply.
func (s *Scheduler) HandleConfirmFailure(now time.Time, to model.InstanceID) {
	s.unreachableUntil[to] = now.Add(gatewayBackoff)
}

func (s *Scheduler) findDelegated(id SubmissionID, itemID ItemID, to model.InstanceID) (*item, bool) {
	submission, ok := s.submissions.Get(id)
	if !ok {
		return nil, false
	}
	item, ok := submission.find(itemID)
	return item, ok && item.delegation != nil && item.delegation.to == to
}

// reclaim ends a delegation. A run that was about to move continues here.
func (s *Scheduler) reclaim(item *item) {
	item.delegation = nil
	if item.run == nil {
		s.unassign(item)
	}
}

// completeMove cancels the run of an item that the gateway of another engine has accepted.
func (s *Scheduler) completeMove(item *item, to model.EndpointID) {
	if item.run == nil {
		return
	}
	s.endRun(item.run, newMove(item.run, item.delegation.moveReason))
	if e, ok := s.engines.Get(to); ok {
		s.assign(item, e)
	}
}

// moveRun continues a run on another engine. If that engine has a remote gateway, the run here continues until the gateway
// has accepted the item, because a slow run is better than none.
func (s *Scheduler) moveRun(now time.Time, r *run, to *engine, reason MoveReason) {
	item := r.item
	item.movedAt = now
	if !s.hasRemoteGateway(now, to) {
		s.endRun(r, newMove(r, reason))
		if s.settings.UnevenEngines {
			s.assign(item, to)
		}
		return
	}
	s.delegate(now, item, to)
	item.delegation.moveReason = reason
}

// checkDelegations reclaims items whose confirmation is overdue and requests confirmation of the others.
func (s *Scheduler) checkDelegations(now time.Time, submission *submission) {
	due := map[model.InstanceID][]ItemRef{}
	for item := range submission.modified() {
		if item.delegation == nil || item.hasResult {
			continue
		}
		if now.Sub(item.delegation.confirmedAt) > confirmTimeout || !s.isLive(item.delegation.to) {
			s.reclaim(item)
			continue
		}
		if item.delegation.accepted && now.Sub(item.delegation.askedAt) >= confirmInterval {
			item.delegation.askedAt = now
			due[item.delegation.to] = append(due[item.delegation.to], ItemRef{submission.ID, item.ID})
		}
	}
	for _, m := range s.live {
		if items := due[m.ID]; len(items) > 0 {
			s.actions = append(s.actions, ConfirmItems{m.ID, items})
		}
	}
}
