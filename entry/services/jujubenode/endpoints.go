package jujubenode

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubefleet"
	"jujubepier.example/core/services/jujuberegistry"
)

// PutEndpoint applies an endpoint's registry entry; the incarnation in it is the endpoint's start time by its own clock.
// It is called from a feed, with the node's lock held. An entry of a service that the desired state doesn't name may be another writer's: it
// says nothing of the endpoint until a desired state names the service.
func (n *Node) PutEndpoint(now time.Time, s jujubebatch.Engine) {
	if n.desired == nil || !n.desired.Names(s.Service) {
		n.waitingEntries[s.ID] = s
		return
	}
	delete(n.waitingEntries, s.ID)
	n.endpoints.Put(s.ID)
	incarnation, ok := n.incarnations.ObserveEntry(now, s.ID, s.Incarnation)
	if !ok {
		if !n.incarnations.IsCertain(s.ID) {
			n.scheduler.DropTextsOnEngine(s.ID)
		}
		n.log.Write(jujubeevent.EndpointStale, func() logrus.Fields {
			return logrus.Fields{"Endpoint": s.ID, "Born": s.Incarnation, "Source": "Entry"}
		})
		return
	}
	s.Incarnation = incarnation
	n.applyEndpoint(now, s)
}

// putWaitingEntries applies the entries whose services the desired state names by now; the lock is held.
func (n *Node) putWaitingEntries(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(n.waitingEntries)) {
		n.PutEndpoint(now, n.waitingEntries[id])
	}
}

// applyEndpoint updates the router, the scheduler and the fleet with an endpoint's state. The lock is held.
func (n *Node) applyEndpoint(now time.Time, s jujubebatch.Engine) {
	s.Leaving = s.Leaving || n.endpoints.IsLeaving(s.ID, s.Incarnation)
	n.router.PutEndpoint(now, model.Endpoint{
		ID: s.ID, Kind: model.KindService, DataCentre: s.DataCentre, Address: s.Address, Incarnation: s.Incarnation,
		Service: s.Service, SoftwareVersion: s.SoftwareVersion, Leaving: s.Leaving,
	})
	current, known := n.scheduler.EngineState(s.ID)
	if known && current.Incarnation != s.Incarnation && !current.Leaving {
		n.recordReplacement(now, s.ID, current.Incarnation, s.Incarnation)
	}
	if !known || current.Leaving != s.Leaving || current.Incarnation != s.Incarnation {
		n.router.ReportLoad(now, model.LoadReport{Endpoint: s.ID, Incarnation: s.Incarnation, At: now, Slots: s.Slots})
		n.log.Write(jujubeevent.EndpointSeen, func() logrus.Fields {
			return logrus.Fields{
				"Endpoint": s.ID, "Service": s.Service, "Address": s.Address, "Incarnation": s.Incarnation, "Leaving": s.Leaving,
				"SoftwareVersion": s.SoftwareVersion,
			}
		})
	}
	batchEngine := s
	batchEngine.Versions = maps.Clone(s.Versions)
	n.scheduler.PutEngine(batchEngine)
	isLimited := n.throttle.SetIncarnation(s.ID, s.Incarnation)
	n.scheduler.SetLimited(s.ID, isLimited)
	if len(s.Versions) == 0 {
		return
	}
	engine := jujubefleet.Engine{
		ID: s.ID, Incarnation: s.Incarnation, Service: s.Service, Address: s.Address, Leaving: s.Leaving, Versions: maps.Clone(s.Versions),
	}
	for name := range s.Versions {
		engine.Models = append(engine.Models, name)
	}
	slices.Sort(engine.Models)
	n.fleet.PutEngine(engine)
	n.fleet.SetLimited(s.ID, isLimited)
}

// registryReadTimeout bounds a read of the registry before a stream is continued.
const registryReadTimeout = 500 * time.Millisecond

// refreshEndpoints reads the registry up to its present end. An endpoint may have started again with another software version.
func (n *Node) refreshEndpoints(ctx context.Context) error {
	if n.endpointFollower == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, registryReadTimeout)
	defer cancel()
	if err := n.endpointFollower.sync(ctx); err != nil {
		return refusal(jujubeerror.CodeStoreFailed, "the registry can't be read: "+err.Error())
	}
	return nil
}

// confirmProcess reports whether a connection leads to the process of an incarnation. It reads the registry if it
// was last read before the connection was opened.
func (n *Node) confirmProcess(ctx context.Context, id model.EndpointID, incarnation model.Incarnation, connectedAt time.Time) bool {
	if n.endpointFollower == nil {
		return true
	}
	isConfirmed := func() (confirmed, isCurrent bool) {
		n.mu.Lock()
		defer n.mu.Unlock()
		readAt := n.endpointFollower.caughtUpAt
		return n.incarnations.IsConfirmed(id, incarnation, connectedAt, readAt),
			!readAt.Before(jujuberegistry.ConfirmableAt(connectedAt))
	}
	if confirmed, isCurrent := isConfirmed(); confirmed || isCurrent {
		return confirmed
	}
	sleep(ctx, time.Until(jujuberegistry.ConfirmableAt(connectedAt)))
	if n.refreshEndpoints(ctx) != nil {
		return false
	}
	confirmed, _ := isConfirmed()
	return confirmed
}

// MarkLeaving records that an endpoint announced in a response that it is leaving. It gets no more work from this
// instance, even while its registry entry is still in the state ready.
func (n *Node) MarkLeaving(id model.EndpointID, incarnation model.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.endpoints.MarkLeaving(now, id, incarnation) {
		return
	}
	n.log.Write(jujubeevent.EndpointLeaving, func() logrus.Fields {
		return logrus.Fields{"Endpoint": id, "Incarnation": incarnation}
	})
	if engine, ok := n.scheduler.EngineState(id); ok && engine.Incarnation == incarnation {
		n.applyEndpoint(now, engine)
		n.notifyChange()
	}
}

// RemoveEndpoint records that an endpoint's registry entry was removed. It is called from a feed, with the node's lock
// held.
func (n *Node) RemoveEndpoint(now time.Time, id model.EndpointID) {
	delete(n.waitingEntries, id)
	n.endpoints.Remove(now, id)
}

// RetainEndpoints removes the endpoints that aren't in a complete list. It is called from a feed, with the node's lock
// held.
func (n *Node) RetainEndpoints(now time.Time, ids map[model.EndpointID]bool) {
	maps.DeleteFunc(n.waitingEntries, func(id model.EndpointID, _ jujubebatch.Engine) bool { return !ids[id] })
	n.endpoints.RetainOnly(now, ids)
}

func (n *Node) dropEndpoint(now time.Time, id model.EndpointID) {
	if current, ok := n.scheduler.EngineState(id); ok && !current.Leaving {
		n.recordRemoval(now, id, current.Incarnation)
	}
	n.router.RemoveEndpoint(now, id)
	n.scheduler.RemoveEngine(id)
	n.fleet.RemoveEngine(id)
	n.throttle.Remove(id)
	n.incarnations.Prune(now)
	n.log.Write(jujubeevent.EndpointGone, func() logrus.Fields { return logrus.Fields{"Endpoint": id} })
}
