package jujubebatch_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeplacement"
)

// leastLoad selects the engine with the smallest share of its slots in use.
type leastLoad struct{}

func (leastLoad) Choose(_ jujubeplacement.Item, engines []jujubeplacement.Engine) (jujubeplacement.Choice, bool) {
	least := -1
	for i, e := range engines {
		if e.Load < e.MaxLoad && (least < 0 || e.Load*engines[least].Slots < engines[least].Load*e.Slots) {
			least = i
		}
	}
	return jujubeplacement.Choice{Index: least}, least >= 0
}

// randomEngine selects any engine with a free slot, or else any with room.
type randomEngine struct{ source *rand.Rand }

func (r randomEngine) Choose(_ jujubeplacement.Item, engines []jujubeplacement.Engine) (jujubeplacement.Choice, bool) {
	for _, isFree := range []bool{true, false} {
		var found []int
		for i, e := range engines {
			if e.Load < e.MaxLoad && (!isFree || e.Load < e.Slots) {
				found = append(found, i)
			}
		}
		if len(found) > 0 {
			return jujubeplacement.Choice{Index: found[r.source.Intn(len(found))]}, true
		}
	}
	return jujubeplacement.Choice{}, false
}

// heavyTrainers are the groups and group sizes of a step of each trainer.
var heavyTrainers = [][2]int{{9, 16}, {22, 8}, {21, 8}, {9, 16}}

// heavyEngines are the numbers of engines with each event interval.
var heavyEngines = []struct {
	count    int
	interval time.Duration
}{{11, 27 * time.Millisecond}, {30, 59 * time.Millisecond}, {7, 120 * time.Millisecond}}

const (
	heavySlots  = 8
	heavyPeriod = 4 * time.Second
	simTick     = 20 * time.Millisecond
	// simStart is the time before the first event of a run: its connection and its prompt.
	simStart = 15 * time.Millisecond
)

// simRun is a run on an emulated engine.
type simRun struct {
	id        jujubebatch.RunID
	item      jujubebatch.ItemID
	submitted jujubebatch.SubmissionID
	emitted   int
	nextAt    time.Time
	isRunning bool
}

// simEngine emits events in up to heavySlots runs, in the order of their arrival.
type simEngine struct {
	interval time.Duration
	runs     []*simRun
}

// simStep is a submission of a trainer.
type simStep struct {
	id         jujubebatch.SubmissionID
	startedAt  time.Time
	groupCount int
	// open counts the items of each group that have no result.
	open map[string]int
	// whole counts the groups without open items.
	whole  int
	isOver bool
}

// simulation runs the steps of several trainers on emulated engines, with one scheduler.
type simulation struct {
	*testScheduler
	random  *rand.Rand
	engines map[model.EndpointID]*simEngine
	order   []model.EndpointID
	lengths map[jujubebatch.ItemID]int
	groups  map[jujubebatch.ItemID]string
	steps   map[jujubebatch.SubmissionID]*simStep
	took    []time.Duration
	moves   int
}

func newSimulation(t *testing.T, seed int64, settings jujubebatch.Settings) *simulation {
	sim := &simulation{
		testScheduler: newTestSchedulerWith(t, 0, settings), random: rand.New(rand.NewSource(seed)),
		engines: map[model.EndpointID]*simEngine{}, lengths: map[jujubebatch.ItemID]int{},
		groups: map[jujubebatch.ItemID]string{}, steps: map[jujubebatch.SubmissionID]*simStep{},
	}
	var intervals []time.Duration
	for _, kind := range heavyEngines {
		intervals = append(intervals, slices.Repeat([]time.Duration{kind.interval}, kind.count)...)
	}
	sim.random.Shuffle(len(intervals), func(i, j int) { intervals[i], intervals[j] = intervals[j], intervals[i] })
	versions := map[model.ModelName]model.WeightVersion{}
	for trainer := range heavyTrainers {
		versions[trainerModel(trainer)] = 1
	}
	for i, interval := range intervals {
		id := model.EndpointID(fmt.Sprintf("e%02d", i))
		sim.engines[id] = &simEngine{interval: interval}
		sim.order = append(sim.order, id)
		own := map[model.ModelName]model.WeightVersion{}
		for name, version := range versions {
			own[name] = version
		}
		sim.PutEngine(jujubebatch.Engine{ID: id, Incarnation: 1, Service: "s", Slots: heavySlots, SoftwareVersion: "v1", Versions: own})
	}
	return sim
}

func trainerModel(trainer int) model.ModelName { return model.ModelName(fmt.Sprintf("m%d", trainer)) }

// submit begins a step of a trainer. The estimates of lengths are right at the median.
func (sim *simulation) submit(trainer, step int) *simStep {
	groups, size := heavyTrainers[trainer][0], heavyTrainers[trainer][1]
	id := fmt.Sprintf("t%d-%d", trainer, step)
	s := newSubmission(id, 0, "a")
	s.Model, s.GroupCount = trainerModel(trainer), groups*9/10
	started := &simStep{id: s.ID, startedAt: sim.now, groupCount: s.GroupCount, open: map[string]int{}}
	for g := range groups {
		for i := range size {
			length := 12 * math.Exp(0.4*sim.random.NormFloat64()-0.08)
			if sim.random.Intn(12) == 0 {
				length *= 5
			}
			events := max(1, min(140, int(length)))
			item := jujubebatch.Item{
				ID: jujubebatch.ItemID(fmt.Sprintf("%s-%d-%d", id, g, i)), Path: "/p/i", Group: jujubebatch.GroupID(fmt.Sprintf("%s-%d", id, g)),
				ExpectedTokens: 1 + int(float64(events)*39*math.Exp(0.7*sim.random.NormFloat64())),
			}
			s.Items = append(s.Items, item)
			sim.lengths[item.ID], sim.groups[item.ID] = events, string(item.Group)
			started.open[string(item.Group)]++
		}
	}
	sim.steps[s.ID] = started
	sim.accept(s)
	return started
}

// run performs the trainers' steps, each one period after the one before or when that has ended.
func (sim *simulation) run(stepsEach int) {
	end := sim.now.Add(time.Duration(stepsEach+10) * heavyPeriod)
	current, count := make([]*simStep, len(heavyTrainers)), make([]int, len(heavyTrainers))
	dueAt := slices.Repeat([]time.Time{sim.now}, len(heavyTrainers))
	for isDone := false; !isDone && sim.now.Before(end); sim.now = sim.now.Add(simTick) {
		isDone = true
		for trainer := range heavyTrainers {
			if (current[trainer] == nil || current[trainer].isOver) && count[trainer] < stepsEach && !sim.now.Before(dueAt[trainer]) {
				current[trainer] = sim.submit(trainer, count[trainer])
				dueAt[trainer] = sim.now.Add(heavyPeriod)
				count[trainer]++
			}
			isDone = isDone && count[trainer] == stepsEach && current[trainer].isOver
		}
		for _, id := range sim.order {
			sim.advance(id)
		}
		sim.SetDesiredRead(sim.now)
		sim.perform(sim.Tick(sim.now))
	}
	assert.Equal(sim.t, len(sim.took), stepsEach*len(heavyTrainers), "a step hasn't ended")
}

func (sim *simulation) perform(actions []jujubebatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case jujubebatch.StartRun:
			e := sim.engines[a.Engine]
			e.runs = append(e.runs, &simRun{id: a.Run, item: a.Item, submitted: a.Submission, emitted: a.After})
			assert.Assert(sim.t, len(e.runs) <= heavySlots+heavySlots/4, "the bound of assigned items")
		case jujubebatch.CancelRun:
			if a.Move != "" {
				sim.moves++
			}
			for _, e := range sim.engines {
				e.runs = slices.DeleteFunc(e.runs, func(r *simRun) bool { return r.id == a.Run })
			}
		case jujubebatch.AppendEntry:
			if result := a.Entry.Result; result != nil && sim.Apply(sim.now, &a.Entry) {
				sim.complete(result)
			}
		}
	}
}

// complete counts a result and ends its submission once enough groups are whole.
func (sim *simulation) complete(result *jujubebatch.Result) {
	step := sim.steps[result.Submission]
	group := sim.groups[result.Item]
	step.open[group]--
	if step.open[group] > 0 {
		return
	}
	step.whole++
	if step.whole == step.groupCount {
		step.isOver = true
		sim.took = append(sim.took, sim.now.Sub(step.startedAt))
		sim.Apply(sim.now, &jujubebatch.Entry{End: &jujubebatch.End{Submission: step.id}})
	}
}

// advance emits the events of an engine that are due.
func (sim *simulation) advance(id model.EndpointID) {
	e := sim.engines[id]
	for i := 0; i < min(len(e.runs), heavySlots); i++ {
		r := e.runs[i]
		interval := time.Duration(float64(e.interval) * (1 + 0.125*(float64(min(len(e.runs), heavySlots))/heavySlots-0.5)))
		if !r.isRunning {
			r.isRunning, r.nextAt = true, sim.now.Add(simStart+interval)
		}
		for ; !r.nextAt.After(sim.now) && r.emitted < sim.lengths[r.item]; r.nextAt = r.nextAt.Add(interval) {
			r.emitted++
			sim.HandleRunEvent(r.nextAt, r.id, r.emitted, "x", 1) // has no effect on a run that the next tick cancels
		}
		if r.emitted == sim.lengths[r.item] {
			sim.HandleRunEnd(sim.now, r.id, jujubebatch.RunComplete)
			e.runs = slices.Delete(e.runs, i, i+1)
			i--
		}
	}
}

func mean(values []time.Duration) time.Duration {
	var sum time.Duration
	for _, v := range values {
		sum += v
	}
	return (sum / time.Duration(len(values))).Round(time.Millisecond)
}

// TestUnevenEngines guards against steps that last as long as a long item on a slow engine: with the engines and items of a heavy day,
// steps have to end earlier than with the ranking by classes, the least load and random engines.
func TestUnevenEngines(t *testing.T) {
	const seeds, steps = 3, 3
	byName := map[string]func(*jujubebatch.Settings, int64){
		"ByFinish":  func(*jujubebatch.Settings, int64) {},
		"ByClass":   func(s *jujubebatch.Settings, _ int64) { s.UnevenEngines = false },
		"LeastLoad": func(s *jujubebatch.Settings, _ int64) { s.Placement = leastLoad{} },
		"Random":    func(s *jujubebatch.Settings, seed int64) { s.Placement = randomEngine{rand.New(rand.NewSource(seed))} },
	}
	took := map[string][]time.Duration{}
	for seed := range int64(seeds) {
		for _, name := range slices.Sorted(maps.Keys(byName)) {
			settings := jujubebatch.DefaultSettings()
			byName[name](&settings, seed)
			sim := newSimulation(t, seed, settings)
			sim.run(steps)
			took[name] = append(took[name], mean(sim.took))
			t.Logf("seed %d, %s: mean %v, longest %v, %d moves of %d items", seed, name, mean(sim.took), slices.Max(sim.took), sim.moves, len(sim.lengths))
		}
		assert.Assert(t, took["ByFinish"][seed] <= took["ByClass"][seed], "seed %d", seed)
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		t.Logf("%s: mean %v", name, mean(took[name]))
		assert.Assert(t, name == "ByFinish" || mean(took["ByFinish"]) < mean(took[name]), name)
	}
}
