package jujubeentry

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
)

// watchPeriod is how often the status is compared with the last one. A change that is undone within it isn't logged.
const watchPeriod = time.Second

// watched is what is compared.
type watched struct {
	members map[model.InstanceID]model.Member
	leaving map[model.EndpointID]bool
	leads   bool
	fence   int64
}

// watchStatus logs changes that come from rumours and reports and therefore have no caller that would log them.
func (s *Service) watchStatus(ctx context.Context) error {
	var last watched
	return s.every(ctx, watchPeriod, func(context.Context) {
		now := newWatched(s.Status())
		s.logChanges(last, now)
		last = now
	})
}

func newWatched(status model.Status) watched {
	w := watched{
		members: make(map[model.InstanceID]model.Member, len(status.Members)),
		leaving: make(map[model.EndpointID]bool),
		leads:   status.Lease.Held, fence: status.Lease.Fence,
	}
	for _, member := range status.Members {
		w.members[member.ID] = member
	}
	for _, row := range status.Endpoints {
		if row.State == model.EndpointLeaving {
			w.leaving[row.Endpoint.ID] = true
		}
	}
	return w
}

func (s *Service) logChanges(last, now watched) {
	for _, id := range sortedKeys(last.members, now.members) {
		before, was := last.members[id]
		after, is := now.members[id]
		if !is {
			after = model.Member{ID: id, Incarnation: before.Incarnation, State: model.MemberDead}
		}
		if was && before.State == after.State && before.Incarnation == after.Incarnation {
			continue
		}
		s.log.Write(jujubeevent.MemberChanged, func() logrus.Fields {
			return logrus.Fields{"Member": id, "Incarnation": after.Incarnation, "From": before.State, "To": after.State}
		})
	}
	for _, id := range sortedKeys(now.leaving) {
		if !last.leaving[id] {
			s.log.Write(jujubeevent.EndpointLeaving, func() logrus.Fields { return logrus.Fields{"Endpoint": id} })
		}
	}
	if last.leads != now.leads {
		s.log.Write(jujubeevent.LeaderChanged, func() logrus.Fields {
			return logrus.Fields{"Leads": now.leads, "Fence": now.fence}
		})
	}
}

// sortedKeys returns the keys of some maps, each once.
func sortedKeys[K ~string, V any](maps ...map[K]V) []K {
	var keys []K
	for _, one := range maps {
		for key := range one {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}
