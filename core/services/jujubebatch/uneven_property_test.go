package jujubebatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
)

// placementModel drives two schedulers with the same operations. The engines of the model end runs in any order.
type placementModel struct {
	t         *rapid.T
	now       time.Time
	first     *jujubebatch.Scheduler
	second    *jujubebatch.Scheduler
	slots     map[model.EndpointID]int
	running   map[jujubebatch.RunID]jujubebatch.StartRun
	events    map[jujubebatch.RunID]int
	waiting   map[jujubebatch.SubmissionID]map[jujubebatch.ItemID]jujubebatch.GroupID
	submitted int
}

func newPlacementModel(t *rapid.T) *placementModel {
	m := &placementModel{
		t: t, now: start, first: jujubebatch.New("a", jujubebatch.DefaultSettings()), second: jujubebatch.New("a", jujubebatch.DefaultSettings()),
		slots: map[model.EndpointID]int{}, running: map[jujubebatch.RunID]jujubebatch.StartRun{}, events: map[jujubebatch.RunID]int{},
		waiting: map[jujubebatch.SubmissionID]map[jujubebatch.ItemID]jujubebatch.GroupID{},
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
		id, slots := model.EndpointID(fmt.Sprintf("e%d", i)), rapid.IntRange(1, 6).Draw(t, "slots")
		m.slots[id] = slots
		m.both(func(s *jujubebatch.Scheduler) {
			s.PutEngine(jujubebatch.Engine{
				ID: id, Incarnation: 1, Service: "s", Slots: slots, SoftwareVersion: "v1", Versions: map[model.ModelName]model.WeightVersion{"m0": 1, "m1": 1, "m2": 1},
			})
		})
	}
	m.both(func(s *jujubebatch.Scheduler) {
		s.SetLiveMembers(members("a"))
		s.SetDesired(testDesired())
	})
	return m
}

func (m *placementModel) both(do func(*jujubebatch.Scheduler)) {
	do(m.first)
	do(m.second)
}

func (m *placementModel) submit() {
	id := fmt.Sprintf("s%d", m.submitted)
	m.submitted++
	s := newSubmission(id, 0, "a")
	s.Model = model.ModelName(fmt.Sprintf("m%d", rapid.IntRange(0, 2).Draw(m.t, "model")))
	groups, size := rapid.IntRange(1, 6).Draw(m.t, "groups"), rapid.IntRange(1, 4).Draw(m.t, "size")
	s.GroupCount = rapid.IntRange(0, groups).Draw(m.t, "needed")
	m.waiting[s.ID] = map[jujubebatch.ItemID]jujubebatch.GroupID{}
	for i := range groups * size {
		item := jujubebatch.Item{
			ID: jujubebatch.ItemID(fmt.Sprintf("%s-%d", id, i)), Path: "/p/i", Group: jujubebatch.GroupID(fmt.Sprintf("%s-%d", id, i/size)),
			ExpectedTokens: rapid.IntRange(0, 4000).Draw(m.t, "hint"),
		}
		s.Items = append(s.Items, item)
		m.waiting[s.ID][item.ID] = item.Group
	}
	m.both(func(scheduler *jujubebatch.Scheduler) { scheduler.Apply(m.now, &jujubebatch.Entry{Submission: s}) })
}

// tick checks the promises after each tick: the same actions from the same inputs, the bound of an engine's items, and no item that waits
// while an engine has a free slot.
func (m *placementModel) tick() {
	actions, again := m.first.Tick(m.now), m.second.Tick(m.now)
	assert.DeepEqual(m.t, actions, again)
	var results []*jujubebatch.Result
	for _, action := range actions {
		switch a := action.(type) {
		case jujubebatch.StartRun:
			m.running[a.Run] = a
			m.events[a.Run] = a.After
			delete(m.waiting[a.Submission], a.Item)
		case jujubebatch.CancelRun:
			cancelled := m.running[a.Run]
			delete(m.running, a.Run)
			m.waiting[cancelled.Submission][cancelled.Item] = ""
			assert.Assert(m.t, a.Move != "", a.Reason)
		case jujubebatch.AppendEntry:
			if a.Entry.Result != nil {
				results = append(results, a.Entry.Result)
			}
		}
	}
	for _, result := range results {
		m.both(func(s *jujubebatch.Scheduler) { s.Apply(m.now, &jujubebatch.Entry{Result: result}) })
	}
	load, free := map[model.EndpointID]int{}, false
	for _, run := range m.running {
		load[run.Engine]++
	}
	for id, slots := range m.slots {
		assert.Assert(m.t, load[id] <= max(1, slots*5/4), "engine %s has %d of %d", id, load[id], slots)
		free = free || load[id] < slots
	}
	for id, items := range m.waiting {
		assert.Assert(m.t, !free || len(items) == 0, "%d items of %s wait while a slot is free", len(items), id)
	}
}

// endSome ends or advances some of the runs.
func (m *placementModel) endSome(share int) {
	ids := make([]jujubebatch.RunID, 0, len(m.running))
	for id := range m.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		m.events[id]++
		m.both(func(s *jujubebatch.Scheduler) { s.HandleRunEvent(m.now, id, m.events[id], "x", 1) })
		if rapid.IntRange(0, 9).Draw(m.t, "end") < share {
			m.both(func(s *jujubebatch.Scheduler) { s.HandleRunEnd(m.now, id, jujubebatch.RunComplete) })
			delete(m.running, id)
		}
	}
}

// TestPlacementProperties guards against items that starve, that wait while there is room, or that exceed an engine's bound, for any
// submissions of three models and any order in which runs end.
func TestPlacementProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlacementModel(t)
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			if m.submitted < 6 && rapid.Bool().Draw(t, "submit") {
				m.submit()
			}
			m.tick()
			m.endSome(3)
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "pass")) * time.Millisecond)
		}
		for range 400 {
			m.tick()
			m.endSome(10)
			m.now = m.now.Add(50 * time.Millisecond)
		}
		m.tick()
		for id, items := range m.waiting {
			assert.Equal(t, len(items), 0, "items of %s starve", id)
		}
	})
}
