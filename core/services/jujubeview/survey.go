package jujubeview

import (
	"cmp"
	"maps"
	"slices"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
)

// Part names a partition of the log.
type Part struct {
	Topic  string
	Number int
}

// Known is how far an instance has read a partition.
type Known struct {
	Part Part
	// Next is the offset after the last record that was read, and Holder the instance that has read it.
	Next   int64
	Holder model.InstanceID
	// Age is the time from the request of the latest read up to the partition's end until the question arrived; it is negative for a
	// later read. HasView is false if there was no such read.
	Age     time.Duration
	HasView bool
}

// Survey collects what all instances that may acknowledge records know. A record is known to the instance that acknowledged it, so one
// that none of them knows can only have been acknowledged after it was asked.
type Survey struct {
	// confirmedAt holds when each instance was last asked successfully, by the clock of the one that asks.
	confirmedAt map[model.InstanceID]jujubeclock.Instant
	// gone are the instances whose process was gone when they were last asked.
	gone  map[model.InstanceID]bool
	parts map[Part]*partKnowledge
}

// partKnowledge is what at least one instance knows of a partition. Both fields only increase.
type partKnowledge struct {
	next   int64
	holder model.InstanceID
	// viewAt is the time of the latest view; zero for none.
	viewAt jujubeclock.Instant
}

// NewSurvey returns a survey without answers.
func NewSurvey() *Survey {
	return &Survey{
		confirmedAt: make(map[model.InstanceID]jujubeclock.Instant), gone: make(map[model.InstanceID]bool),
		parts: make(map[Part]*partKnowledge),
	}
}

// Record adds the answer of an instance that was asked at a time.
func (s *Survey) Record(askedAt jujubeclock.Instant, from model.InstanceID, answer []Known) {
	s.confirmedAt[from] = max(s.confirmedAt[from], askedAt)
	delete(s.gone, from)
	for _, known := range answer {
		part, ok := s.parts[known.Part]
		if !ok {
			part = &partKnowledge{holder: from}
			s.parts[known.Part] = part
		}
		if known.Next > part.next || known.Next == part.next && s.gone[part.holder] {
			part.next, part.holder = known.Next, from
		}
		if known.HasView {
			part.viewAt = max(part.viewAt, askedAt.Add(-known.Age))
		}
	}
}

// RecordGone records that the process of an instance was gone at a time: it acknowledges nothing any more.
func (s *Survey) RecordGone(at jujubeclock.Instant, id model.InstanceID) {
	s.Record(at, id, nil)
	s.gone[id] = true
}

// Member is an instance that may acknowledge records.
type Member struct {
	ID         model.InstanceID
	DataCentre model.DataCentre
}

// GoneWitnesses returns the members of which one has to find the process of another one gone, too, after the connection of self to it was
// refused; none if that of self is enough. Links between data centres may refuse connections, so a member of the same data centre
// has to be among the two. If it is the only one there, any does.
func GoneWitnesses(self, gone Member, members []Member) []model.InstanceID {
	var neighbours, all []model.InstanceID
	for _, member := range members {
		if member.ID == self.ID || member.ID == gone.ID {
			continue
		}
		all = append(all, member.ID)
		if member.DataCentre == gone.DataCentre {
			neighbours = append(neighbours, member.ID)
		}
	}
	if len(neighbours) > 0 && self.DataCentre != gone.DataCentre {
		return neighbours
	}
	return all
}

// Report is the state of a survey.
type Report struct {
	// Age is the time since the question to the covered instance that was asked longest ago.
	Age time.Duration
	// Covered are the instances that have replied or are gone, Missing the other ones that were asked; both are sorted.
	Covered, Missing []model.InstanceID
	// Known is what at least one instance knows, sorted by partition.
	Known []Known
}

// Report returns the state of a survey among instances, by their names.
func (s *Survey) Report(now jujubeclock.Instant, instances []model.InstanceID) Report {
	var report Report
	for _, id := range slices.Sorted(slices.Values(instances)) {
		confirmedAt, ok := s.confirmedAt[id]
		if !ok {
			report.Missing = append(report.Missing, id)
			continue
		}
		if age := now.Sub(confirmedAt); len(report.Covered) == 0 || age > report.Age {
			report.Age = age
		}
		report.Covered = append(report.Covered, id)
	}
	compare := func(a, b Part) int { return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Number, b.Number)) }
	for _, name := range slices.SortedFunc(maps.Keys(s.parts), compare) {
		part := s.parts[name]
		report.Known = append(report.Known, Known{
			Part: name, Next: part.next, Holder: part.holder, Age: now.Sub(part.viewAt), HasView: part.viewAt != 0,
		})
	}
	return report
}

// covers reports whether nobody else can have acknowledged a record.
func (r Report) covers(others []model.InstanceID) bool {
	return len(r.Missing) == 0 && !slices.ContainsFunc(others, func(id model.InstanceID) bool {
		_, isCovered := slices.BinarySearch(r.Covered, id)
		return !isCovered
	})
}

// find returns what is known of a partition.
func (r Report) find(part Part) (Known, bool) {
	i := slices.IndexFunc(r.Known, func(known Known) bool { return known.Part == part })
	if i < 0 {
		return Known{}, false
	}
	return r.Known[i], true
}

// Lacks returns the instance that has records of a partition which one that has read up to next doesn't have.
func (r Report) Lacks(part Part, next int64) (holder model.InstanceID, lacks bool) {
	known, ok := r.find(part)
	return known.Holder, ok && next < known.Next
}

// Update returns a view of a partition, up to next, with what a report says that was requested at a time. The view is as recent as that
// of any instance that has read no further. It is vouched for if none of the others knows more.
func (r Report) Update(view View, part Part, next int64, requestedAt jujubeclock.Instant, others []model.InstanceID) View {
	known, ok := r.find(part)
	if !ok || next < known.Next || view.RequestedAt == 0 {
		return view
	}
	if known.HasView {
		view.RequestedAt = max(view.RequestedAt, requestedAt.Add(-known.Age))
	}
	if r.covers(others) {
		view.VouchedAt = max(view.VouchedAt, requestedAt.Add(-r.Age))
	}
	return view
}
