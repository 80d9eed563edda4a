package jujubebatch

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedesired"
)

// maxServiceWait bounds how long an item waits for an engine of its service while another service of its route has room.
const maxServiceWait = time.Second

// assignItems assigns engines to the items that have none, the longest first: a step ends with its longest items, and right
// after a new weight version only some engines can run them. An item that finds no engine doesn't hold back those of other services.
func (s *Scheduler) assignItems(now time.Time, submission *submission, fleet fleetIntervals) {
	if submission.unassigned == 0 || !s.mayDecide(submission) {
		return
	}
	serving := s.servingServices(submission)
	// full holds the services without an engine for items that have no text.
	full := map[model.ServiceName]bool{}
	s.prompts.following = s.listRunTimes(now, submission)
	defer func() { s.prompts.following = nil }()
	for _, at := range s.assignable(submission) {
		item := &submission.items[at]
		if !s.awaitsEngine(now, item) {
			continue
		}
		s.prompts.following = s.prompts.following[min(1, len(s.prompts.following)):]
		route, ok := s.matchWaiting(now, item)
		if ok && !s.assignItem(now, item, route, serving, full, fleet) && areAllFull(serving, full) {
			return
		}
	}
}

// assignable returns the indexes of the items to which this instance may have to assign an engine, the longest first.
func (s *Scheduler) assignable(submission *submission) []int32 {
	if submission.By != s.self && submission.isAcceptorLive {
		return submission.modifiedLongestFirst() // only those that were delegated to this instance
	}
	return submission.unresolvedLongestFirst()
}

// awaitsEngine reports whether this instance has to assign an engine to an item now.
func (s *Scheduler) awaitsEngine(now time.Time, item *item) bool {
	return item.assignedEngine == "" && !item.hasResult && !item.resultQueued && item.unscored == nil &&
		!now.Before(item.notBefore) && s.isResponsible(now, item)
}

// matchWaiting returns the route of an item that waits for an engine; ok is false for any other item.
func (s *Scheduler) matchWaiting(now time.Time, item *item) (route *jujubedesired.Route, ok bool) {
	if !s.awaitsEngine(now, item) {
		return nil, false
	}
	route, ok = s.matchRoute(item)
	if !ok || item.hasUsedAttempts(route) || s.isPastRetention(now, item.submission, route) {
		return nil, false // startItems queues its errored result
	}
	return route, true
}

// matchRoute returns the route of an item.
func (s *Scheduler) matchRoute(item *item) (*jujubedesired.Route, bool) {
	if item.match.desired != s.desired {
		route, _ := s.desired.Match(item.submission.Host, item.Path)
		item.match = routeMatch{s.desired, route}
	}
	return item.match.route, item.match.route != nil
}

// assignItem assigns an engine to a waiting item; it returns false if none has room.
func (s *Scheduler) assignItem(now time.Time, item *item, route *jujubedesired.Route, serving, full map[model.ServiceName]bool, fleet fleetIntervals) bool {
	e := s.selectForItem(now, item, route, serving, full, fleet)
	if e == nil {
		if item.serviceBlockedSince.IsZero() {
			item.modify().serviceBlockedSince = now
		}
		return false
	}
	state := item.modify()
	state.textBlockedSince, state.serviceBlockedSince, state.assignedAt = time.Time{}, time.Time{}, now
	s.assign(item, e)
	return true
}

// areAllFull reports whether no service that could run items has an engine with room.
func areAllFull(serving, full map[model.ServiceName]bool) bool {
	for service := range serving {
		if !full[service] {
			return false
		}
	}
	return true
}

// servingServices returns the services with engines that could run items of a submission if they had room.
func (s *Scheduler) servingServices(submission *submission) map[model.ServiceName]bool {
	serving := map[model.ServiceName]bool{}
	for _, e := range s.engines.All() {
		if !e.Leaving && e.Versions[submission.Model] >= submission.MinVersion {
			serving[e.Service] = true
		}
	}
	return serving
}

// selectForItem returns the engine that should run an item, or nil. The weights of its route choose the service; another one is used if
// that has no engine which could run the item, or has had no room for a while.
func (s *Scheduler) selectForItem(now time.Time, item *item, route *jujubedesired.Route, serving, full map[model.ServiceName]bool, fleet fleetIntervals) *engine {
	chosen := route.ChooseAmong(string(item.ID), func(service model.ServiceName) bool { return serving[service] })
	if e := s.selectInService(now, item, chosen, route.SingleVersion, full, fleet); e != nil {
		return e
	}
	if item.serviceBlockedSince.IsZero() || now.Sub(item.serviceBlockedSince) < maxServiceWait {
		return nil
	}
	for _, target := range route.Targets {
		if target.Service == chosen || !route.HasTarget(target.Service) {
			continue
		}
		if e := s.selectInService(now, item, target.Service, route.SingleVersion, full, fleet); e != nil {
			return e
		}
	}
	return nil
}

// selectInService returns the engine of a service that should run an item, or nil. It drops the item's text if no engine may continue
// it.
func (s *Scheduler) selectInService(now time.Time, item *item, service model.ServiceName, singleVersion bool, full map[model.ServiceName]bool, fleet fleetIntervals) *engine {
	if full[service] {
		return nil // an engine without room for an item that has no text has none for any other
	}
	e := s.selectEngine(now, item, service, singleVersion, fleet)
	if e != nil {
		return e
	}
	if item.textLength() == 0 {
		full[service] = true
		return nil
	}
	if s.selectUsableEngine(now, item, service, fleet) == nil {
		return nil
	}
	if reason, ok := s.shouldDropText(now, item, service, singleVersion, fleet); ok {
		s.dropUnfitText(item, reason)
		return s.selectEngine(now, item, service, singleVersion, fleet)
	}
	return nil
}

func (s *Scheduler) assign(item *item, e *engine) {
	item.modify().assignedEngine = e.ID
	item.submission.unassigned--
	e.assigned++
	s.sendPrompt(item, e)
}

func (s *Scheduler) unassign(item *item) {
	if item.assignedEngine == "" {
		return
	}
	if e, ok := s.engines.Get(item.assignedEngine); ok {
		e.assigned = max(0, e.assigned-1)
	}
	item.assignedEngine = ""
	item.submission.unassigned++
	s.endPrompt(item)
}

// unassignAll unassigns all items without a run from an engine that was removed or has restarted.
func (s *Scheduler) unassignAll(id model.EndpointID) {
	for _, submission := range s.submissions.All() {
		for item := range submission.modified() {
			if item.assignedEngine == id && item.run == nil {
				s.unassign(item)
			}
		}
	}
}
