package jujubeentry

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
)

// watchPeriod is the time between two comparisons of the status. A change that is reverted within it isn't logged.
const watchPeriod = time.Second

// statusSnapshot is the part of the status whose changes are logged.
type statusSnapshot struct {
	members      map[model.InstanceID]model.Member
	leaving      map[model.EndpointID]bool
	isLeader     bool
	fencingToken int64
}

// logStatusChanges periodically logs changes of the status that result from gossip and load reports, which no request
// handler logs.
func (s *Service) logStatusChanges(ctx context.Context) error {
	var previous statusSnapshot
	return s.runPeriodically(ctx, watchPeriod, func(context.Context) {
		current := newStatusSnapshot(s.Status())
		s.logChanges(previous, current)
		previous = current
	})
}

func newStatusSnapshot(status model.Status) statusSnapshot {
	snapshot := statusSnapshot{
		members:  make(map[model.InstanceID]model.Member, len(status.Members)),
		leaving:  make(map[model.EndpointID]bool),
		isLeader: status.Lease.Held, fencingToken: status.Lease.Fence,
	}
	for _, member := range status.Members {
		snapshot.members[member.ID] = member
	}
	for _, endpoint := range status.Endpoints {
		if endpoint.State == model.EndpointLeaving {
			snapshot.leaving[endpoint.Endpoint.ID] = true
		}
	}
	return snapshot
}

func (s *Service) logChanges(previous, current statusSnapshot) {
	for _, id := range sortedKeys(previous.members, current.members) {
		before, existed := previous.members[id]
		after, exists := current.members[id]
		if !exists {
			after = model.Member{ID: id, Incarnation: before.Incarnation, State: model.MemberDead}
		}
		if existed && before.State == after.State && before.Incarnation == after.Incarnation {
			continue
		}
		s.log.Write(jujubeevent.MemberChanged, func() logrus.Fields {
			return logrus.Fields{"Member": id, "Incarnation": after.Incarnation, "From": before.State, "To": after.State}
		})
	}
	for _, id := range sortedKeys(current.leaving) {
		if !previous.leaving[id] {
			s.log.Write(jujubeevent.EndpointLeaving, func() logrus.Fields { return logrus.Fields{"Endpoint": id} })
		}
	}
	if previous.isLeader != current.isLeader {
		s.log.Write(jujubeevent.LeaderChanged, func() logrus.Fields {
			return logrus.Fields{"Leads": current.isLeader, "Fence": current.fencingToken}
		})
	}
}

// sortedKeys returns the union of the keys of the maps, sorted.
func sortedKeys[K ~string, V any](maps ...map[K]V) []K {
	var keys []K
	for _, m := range maps {
		for key := range m {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}
