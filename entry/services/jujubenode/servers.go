package jujubenode

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubefleet"
)

// PutServer takes an endpoint's entry, whose incarnation is the endpoint's own time of its start. It is called from a feed,
// under the node's lock.
func (n *Node) PutServer(now time.Time, s jujubebatch.Engine) {
	n.servers.Put(s.ID)
	incarnation, ok := n.births.NoteEntry(now, s.ID, s.Incarnation)
	if !ok {
		n.log.Write(jujubeevent.EndpointStale, func() logrus.Fields {
			return logrus.Fields{"Endpoint": s.ID, "Born": s.Incarnation, "Source": "Entry"}
		})
		return
	}
	s.Incarnation = incarnation
	n.applyServer(now, s)
}

// applyServer takes an endpoint's state. The lock is held.
func (n *Node) applyServer(now time.Time, s jujubebatch.Engine) {
	s.Leaving = s.Leaving || n.servers.IsLeaving(s.ID, s.Incarnation)
	n.router.PutEndpoint(now, model.Endpoint{
		ID: s.ID, Kind: model.KindService, DataCentre: s.DataCentre, Address: s.Address, Incarnation: s.Incarnation,
		Service: s.Service, Leaving: s.Leaving,
	})
	known, seen := n.batches.EngineState(s.ID)
	if !seen || known.Leaving != s.Leaving || known.Incarnation != s.Incarnation {
		n.router.ReportLoad(now, model.LoadReport{Endpoint: s.ID, Incarnation: s.Incarnation, At: now, Slots: s.Slots})
		n.log.Write(jujubeevent.EndpointSeen, func() logrus.Fields {
			return logrus.Fields{
				"Endpoint": s.ID, "Service": s.Service, "Address": s.Address, "Incarnation": s.Incarnation, "Leaving": s.Leaving,
			}
		})
	}
	own := s
	own.Versions = maps.Clone(s.Versions)
	n.batches.PutEngine(own)
	if len(s.Versions) == 0 {
		return
	}
	engine := jujubefleet.Engine{
		ID: s.ID, Incarnation: s.Incarnation, Address: s.Address, Leaving: s.Leaving, Versions: maps.Clone(s.Versions),
	}
	for name := range s.Versions {
		engine.Models = append(engine.Models, name)
	}
	slices.Sort(engine.Models)
	n.fleet.PutEngine(engine)
}

// NoteLeaving takes note that an endpoint said in an answer that it leaves. It gets no more work from this instance, also
// while its entry says that it is ready.
func (n *Node) NoteLeaving(id model.EndpointID, incarnation model.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.servers.Leave(now, id, incarnation) {
		return
	}
	n.log.Write(jujubeevent.EndpointLeaving, func() logrus.Fields {
		return logrus.Fields{"Endpoint": id, "Incarnation": incarnation}
	})
	if known, ok := n.batches.EngineState(id); ok && known.Incarnation == incarnation {
		n.applyServer(now, known)
		n.wakeUp()
	}
}

// RemoveServer says that an endpoint's entry is gone. It is called from a feed, under the node's lock.
func (n *Node) RemoveServer(now time.Time, id model.EndpointID) { n.servers.Remove(now, id) }

// KeepServers removes the endpoints that a whole list doesn't name. It is called from a feed, under the node's lock.
func (n *Node) KeepServers(now time.Time, ids map[model.EndpointID]bool) { n.servers.Keep(now, ids) }

func (n *Node) dropServer(now time.Time, id model.EndpointID) {
	n.router.RemoveEndpoint(now, id)
	n.batches.RemoveEngine(id)
	n.fleet.RemoveEngine(id)
	n.births.Prune(now)
	n.log.Write(jujubeevent.EndpointGone, func() logrus.Fields { return logrus.Fields{"Endpoint": id} })
}
