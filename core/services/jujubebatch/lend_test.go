package jujubebatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
)

// group is the schedulers of several instances, which read the same records and answer one another at once.
type group struct {
	t         *testing.T
	now       time.Time
	ids       []model.InstanceID
	instances map[model.InstanceID]*world
	// silent instances answer nobody.
	silent map[model.InstanceID]bool
	// runs are those that were started, by engine and instance.
	runs map[model.EndpointID]map[model.InstanceID]int
	// started are the items' runs in their order.
	started map[jujubebatch.ItemID][]string
	offers  int
	// live are the runs in flight with the number of their events.
	live map[model.InstanceID]map[jujubebatch.RunID]int
}

func newGroup(t *testing.T, instances, engines, slots int) *group {
	g := &group{
		t: t, now: start, instances: map[model.InstanceID]*world{}, silent: map[model.InstanceID]bool{},
		runs: map[model.EndpointID]map[model.InstanceID]int{}, started: map[jujubebatch.ItemID][]string{},
		live: map[model.InstanceID]map[jujubebatch.RunID]int{},
	}
	for i := range instances {
		g.ids = append(g.ids, model.InstanceID(fmt.Sprintf("i%02d", i)))
	}
	for _, id := range g.ids {
		w := newWorld(t, 0)
		w.Batches = jujubebatch.New(id, jujubebatch.DefaultSettings())
		w.SetDesired(oneRoute())
		w.SetLive(members(g.ids...))
		for i := range engines {
			w.PutEngine(jujubebatch.Engine{
				ID: model.EndpointID(fmt.Sprintf("e%02d", i)), Incarnation: 1, Service: "s", Slots: slots,
				Versions: map[model.ModelName]model.WeightVersion{"m": 1},
			})
		}
		g.instances[id] = w
	}
	return g
}

func (g *group) accept(s *jujubebatch.Submission) {
	for _, id := range g.ids {
		g.instances[id].Apply(g.now, &jujubebatch.Entry{Submission: s})
	}
}

// step ticks all instances once and carries out what they ask for.
func (g *group) step() {
	for _, id := range g.ids {
		if g.silent[id] {
			continue
		}
		w := g.instances[id]
		for _, action := range w.Tick(g.now) {
			switch a := action.(type) {
			case jujubebatch.StartRun:
				if g.runs[a.Engine] == nil {
					g.runs[a.Engine] = map[model.InstanceID]int{}
				}
				g.runs[a.Engine][id]++
				g.started[a.Item] = append(g.started[a.Item], string(id))
				if g.live[id] == nil {
					g.live[id] = map[jujubebatch.RunID]int{}
				}
				g.live[id][a.Run] = a.After
			case jujubebatch.CancelRun:
				delete(g.live[id], a.Run)
			case jujubebatch.OfferItems:
				g.offers++
				g.offer(w, a)
			case jujubebatch.ConfirmItems:
				g.confirm(w, a)
			}
		}
	}
}

// stream gives each run one more event.
func (g *group) stream() {
	for id, runs := range g.live {
		for run, last := range runs {
			if !g.silent[id] && g.instances[id].Event(g.now, run, last+1, "x", 1) {
				runs[run]++
			}
		}
	}
}

func (g *group) offer(from *world, a jujubebatch.OfferItems) {
	if g.silent[a.To] {
		from.FailOffer(g.now, a)
		return
	}
	to := g.instances[a.To]
	var taken []bool
	loads := map[model.EndpointID]int{}
	for _, one := range a.Offers {
		taken = append(taken, to.Take(g.now, one))
		loads[one.Engine] = to.Load(one.Engine)
	}
	from.NoteOffer(g.now, a, taken, loads)
}

func (g *group) confirm(from *world, a jujubebatch.ConfirmItems) {
	if g.silent[a.To] {
		from.FailConfirm(g.now, a.To)
		return
	}
	var has []bool
	for _, ref := range a.Items {
		has = append(has, g.instances[a.To].Has(ref))
	}
	from.NoteConfirmed(g.now, a.To, a.Items, has)
}

// TestEnginesFillEvenly plays the burst of the grown sites: four submissions of 160 items at once, at four of 31 instances,
// for 18 engines of 8 slots. All places are filled within a few rounds, no engine gets more than it can queue, and each one
// is reached through one instance.
func TestEnginesFillEvenly(t *testing.T) {
	g := newGroup(t, 31, 18, 8)
	for i := range 4 {
		g.accept(submission(fmt.Sprintf("s%d", i), 160, g.ids[i*7]))
	}
	for range 12 {
		g.step()
		g.now = g.now.Add(10 * time.Millisecond)
	}
	total := 0
	for id, instances := range g.runs {
		assert.Equal(t, len(instances), 1, "%s is reached through %v", id, instances)
		for _, count := range instances {
			assert.Equal(t, count, 10, "%s", id)
			total += count
		}
	}
	assert.Equal(t, total, 180)
	for item, runs := range g.started {
		assert.Equal(t, len(runs), 1, "%s", item)
	}
	assert.Assert(t, g.offers <= 4*18*4, "%d offers", g.offers)
}

// TestKeeperFrozen takes the items of a keeper that doesn't answer any more back within 1.4 s, although it still counts as
// alive, and reaches its engines directly. Load pattern: an instance freezes while steps run.
func TestKeeperFrozen(t *testing.T) {
	g := newGroup(t, 3, 4, 8)
	g.accept(submission("s", 24, g.ids[0]))
	for range 3 {
		g.step()
	}
	assert.Equal(t, len(g.started), 24)
	var frozen model.InstanceID
	for _, instances := range g.runs {
		for id := range instances {
			if id != g.ids[0] {
				frozen = id
			}
		}
	}
	assert.Assert(t, frozen != "", "all engines have the same keeper")
	g.silent[frozen] = true
	for range 28 { // 1.4 s
		g.now = g.now.Add(50 * time.Millisecond)
		g.stream()
		g.step()
	}
	for item, runs := range g.started {
		if runs[0] == string(frozen) {
			assert.Equal(t, len(runs), 2, "%s", item)
			assert.Assert(t, runs[1] != string(frozen))
		} else {
			assert.Equal(t, len(runs), 1, "%s", item)
		}
	}
}

// TestOfferBeforeRecord takes an item whose submission's record has not been read yet and runs it once it has. Load
// pattern: the keeper reads the log some 100 ms later than the instance that plans.
func TestOfferBeforeRecord(t *testing.T) {
	w := newWorld(t, 2)
	w.SetLive(members("a", "b"))
	offer := jujubebatch.Offer{Submission: "s", Item: "s-1", Engine: "e0", Events: []string{"x"}, Versions: []model.WeightVersion{1}}
	assert.Assert(t, w.Take(w.now, offer))
	assert.Assert(t, w.Has(jujubebatch.ItemRef{Submission: "s", Item: "s-1"}))
	assert.Equal(t, len(tick[jujubebatch.StartRun](w)), 0)
	w.accept(submission("s", 3, "b"))
	runs := tick[jujubebatch.StartRun](w)
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Item, jujubebatch.ItemID("s-1"))
	assert.Equal(t, runs[0].Engine, model.EndpointID("e0"))
	assert.Equal(t, runs[0].After, 1)
	assert.Assert(t, !w.Has(jujubebatch.ItemRef{Submission: "s", Item: "s-2"}))
}

// TestTakeKeepsToSlots refuses what an engine has no place for, or whose weights are too old, and says how many items there
// are.
func TestTakeKeepsToSlots(t *testing.T) {
	w := newWorld(t, 1)
	w.SetLive(members("a", "b"))
	w.accept(submission("s", 20, "b"))
	taken := 0
	for i := range 20 {
		if w.Take(w.now, jujubebatch.Offer{Submission: "s", Item: jujubebatch.ItemID(fmt.Sprintf("s-%d", i)), Engine: "e0"}) {
			taken++
		}
	}
	assert.Equal(t, taken, 15)
	assert.Equal(t, w.Load("e0"), 15)
	newer := submission("n", 1, "b")
	newer.MinVersion = 2
	w.putEngine(1, 1, 1)
	w.accept(newer)
	assert.Assert(t, !w.Take(w.now, jujubebatch.Offer{Submission: "n", Item: "n-0", Engine: "e1"}))
	w.Drain()
	assert.Assert(t, !w.Take(w.now, jujubebatch.Offer{Submission: "s", Item: "s-19", Engine: "e1"}))
}

// TestItemComesBack takes an item back from the instance that it was lent to, when the run moves on to an engine that is
// kept here. Each of the two would otherwise wait for the other one for ever.
func TestItemComesBack(t *testing.T) {
	w := newWorld(t, 0)
	w.SetLive([]jujubebatch.Member{{ID: "a", DataCentre: "dc-a", Ready: true}, {ID: "b", DataCentre: "dc-b", Ready: true}})
	engine := func(id model.EndpointID, dataCentre model.DataCentre) {
		w.PutEngine(jujubebatch.Engine{
			ID: id, Incarnation: 1, Service: "s", DataCentre: dataCentre, Slots: 8, Versions: map[model.ModelName]model.WeightVersion{"m": 1},
		})
	}
	engine("far", "dc-b")
	w.accept(submission("s", 1, "a"))
	offers := tick[jujubebatch.OfferItems](w)
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, offers[0].To, model.InstanceID("b"))
	w.NoteOffer(w.now, offers[0], []bool{true}, nil)
	engine("near", "dc-a")
	back := jujubebatch.Offer{Submission: "s", Item: "s-0", Engine: "near", Events: []string{"x", "y"}, Versions: []model.WeightVersion{1}}
	assert.Assert(t, w.Take(w.now, back))
	runs := tick[jujubebatch.StartRun](w)
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Engine, model.EndpointID("near"))
	assert.Equal(t, runs[0].After, 2)
}

// TestAdoptedItemComesBack takes an item back that another instance accepted, that was taken here and lent on when its
// engine went: an offer for an engine that is kept here means that it is to run here again.
func TestAdoptedItemComesBack(t *testing.T) {
	w := newWorld(t, 0)
	w.SetLive([]jujubebatch.Member{{ID: "a", DataCentre: "dc-a", Ready: true}, {ID: "b", DataCentre: "dc-b", Ready: true}, {ID: "c", DataCentre: "dc-c", Ready: true}})
	engine := func(id model.EndpointID, dataCentre model.DataCentre) {
		w.PutEngine(jujubebatch.Engine{
			ID: id, Incarnation: 1, Service: "s", DataCentre: dataCentre, Slots: 8, Versions: map[model.ModelName]model.WeightVersion{"m": 1},
		})
	}
	engine("near", "dc-a")
	w.accept(submission("s", 1, "c"))
	offer := jujubebatch.Offer{Submission: "s", Item: "s-0", Engine: "near"}
	assert.Assert(t, w.Take(w.now, offer))
	w.RemoveEngine("near")
	engine("far", "dc-b")
	offers := tick[jujubebatch.OfferItems](w)
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, offers[0].To, model.InstanceID("b"))
	w.NoteOffer(w.now, offers[0], []bool{true}, nil)
	engine("near", "dc-a")
	assert.Assert(t, w.Take(w.now, offer))
	runs := tick[jujubebatch.StartRun](w)
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Engine, model.EndpointID("near"))
}

// TestNotesOfKeepers learns which engines have weaker hardware from the instances that keep them, as each one keeps an
// engine or two of dozens and has nothing to compare them with.
func TestNotesOfKeepers(t *testing.T) {
	w := newWorld(t, 0)
	w.SetLive([]jujubebatch.Member{{ID: "a", DataCentre: "dc-a", Ready: true}, {ID: "b", DataCentre: "dc-b", Ready: true}})
	for i := range 4 {
		w.PutEngine(jujubebatch.Engine{
			ID: model.EndpointID(fmt.Sprintf("e%d", i)), Incarnation: 1, Service: "s", DataCentre: "dc-b", Slots: 8,
			Versions: map[model.ModelName]model.WeightVersion{"m": 1},
		})
		usual := 50 * time.Millisecond
		if i == 0 {
			usual = 65 * time.Millisecond
		}
		w.TakeNote(w.now, model.EngineNote{Engine: model.EndpointID(fmt.Sprintf("e%d", i)), Usual: model.Duration(usual), Load: 2 * i})
	}
	w.accept(submission("s", 15, "a"))
	counts := map[model.EndpointID]int{}
	for _, offer := range tick[jujubebatch.OfferItems](w) {
		for _, one := range offer.Offers {
			counts[one.Engine]++
		}
	}
	assert.DeepEqual(t, counts, map[model.EndpointID]int{"e1": 6, "e2": 4, "e3": 2, "e0": 3})
	assert.Equal(t, len(w.Notes()), 0, "nothing is kept here")
}

// TestMoveNeedsAcceptance lets a run go on where it is until the keeper of a better engine has taken it: a run that was
// ended first, and then refused, would begin again at its old engine. Load pattern: a few engines are slow while the others
// are full.
func TestMoveNeedsAcceptance(t *testing.T) {
	w := newWorld(t, 0)
	w.SetLive([]jujubebatch.Member{{ID: "a", DataCentre: "dc-a", Ready: true}, {ID: "b", DataCentre: "dc-b", Ready: true}})
	for i, dataCentre := range []model.DataCentre{"dc-a", "dc-b", "dc-b", "dc-b"} {
		w.PutEngine(jujubebatch.Engine{
			ID: model.EndpointID(fmt.Sprintf("e%d", i)), Incarnation: 1, Service: "s", DataCentre: dataCentre, Slots: 8,
			Versions: map[model.ModelName]model.WeightVersion{"m": 1},
		})
	}
	w.accept(submission("s", 1, "a"))
	run := tick[jujubebatch.StartRun](w)[0]
	w.stream(run.Run, 1, 10, 200*time.Millisecond)
	note := func() {
		for _, id := range []model.EndpointID{"e1", "e2", "e3"} {
			w.TakeNote(w.now, model.EngineNote{Engine: id, Recent: model.Duration(50 * time.Millisecond), Usual: model.Duration(50 * time.Millisecond)})
		}
	}
	note()
	offers := tick[jujubebatch.OfferItems](w)
	assert.Equal(t, len(offers), 1)
	assert.Equal(t, len(offers[0].Offers[0].Events), 10)
	w.NoteOffer(w.now, offers[0], []bool{false}, nil)
	w.stream(run.Run, 11, 1, 0)
	assert.Equal(t, len(tick[jujubebatch.OfferItems](w)), 0, "the next try waits")
	assert.Equal(t, w.Runs(), 1)
	w.stream(run.Run, 12, 10, 200*time.Millisecond)
	note()
	offers = tick[jujubebatch.OfferItems](w)
	assert.Equal(t, len(offers), 1)
	w.NoteOffer(w.now, offers[0], []bool{true}, nil)
	assert.Equal(t, len(tick[jujubebatch.CancelRun](w)), 1)
	assert.Equal(t, w.Runs(), 0)
	assert.Equal(t, w.Load(offers[0].Offers[0].Engine), 1)
}
