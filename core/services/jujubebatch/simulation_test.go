package jujubebatch_test

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
)

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
	// simCall is how long a message between instances takes, simAppend an append to the log, and simRead how long records take at most
	// to be read.
	simCall, simAppend, simRead = 3 * time.Millisecond, 30 * time.Millisecond, 200 * time.Millisecond
	simHeartbeat                = 800 * time.Millisecond
)

// simRun is a run on an emulated engine.
type simRun struct {
	id        jujubebatch.RunID
	owner     int
	item      jujubebatch.ItemID
	emitted   int
	nextAt    time.Time
	isRunning bool
}

// simEngine emits events in up to heavySlots runs, in the order of their arrival.
type simEngine struct {
	id       model.EndpointID
	interval time.Duration
	runs     []*simRun
}

// simStep is a submission of a trainer.
type simStep struct {
	id         jujubebatch.SubmissionID
	startedAt  time.Time
	groupCount int
	// open counts the items of each group that have no result.
	open map[jujubebatch.GroupID]int
	// whole counts the groups without open items.
	whole  int
	isOver bool
}

// simMessage is something that happens at a time; those of the same time happen in the order in which they were sent.
type simMessage struct {
	at      time.Time
	deliver func()
}

// simulation runs the steps of several trainers on emulated engines, with the schedulers of several instances. Each trainer submits to
// an instance of its own.
type simulation struct {
	t         *testing.T
	now       time.Time
	random    *rand.Rand
	instances []*jujubebatch.Scheduler
	names     []model.InstanceID
	engines   []*simEngine
	messages  []simMessage
	lengths   map[jujubebatch.ItemID]int
	groups    map[jujubebatch.ItemID]jujubebatch.GroupID
	results   map[jujubebatch.ItemID]bool
	steps     map[jujubebatch.SubmissionID]*simStep
	took      []time.Duration
	moves     int
}

func newSimulation(t *testing.T, seed int64, instances int, settings jujubebatch.Settings) *simulation {
	sim := &simulation{
		t: t, now: start, random: rand.New(rand.NewSource(seed)), lengths: map[jujubebatch.ItemID]int{},
		groups: map[jujubebatch.ItemID]jujubebatch.GroupID{}, results: map[jujubebatch.ItemID]bool{},
		steps: map[jujubebatch.SubmissionID]*simStep{},
	}
	var intervals []time.Duration
	for _, kind := range heavyEngines {
		intervals = append(intervals, slices.Repeat([]time.Duration{kind.interval}, kind.count)...)
	}
	sim.random.Shuffle(len(intervals), func(i, j int) { intervals[i], intervals[j] = intervals[j], intervals[i] })
	for i, interval := range intervals {
		sim.engines = append(sim.engines, &simEngine{id: model.EndpointID(fmt.Sprintf("e%02d", i)), interval: interval})
	}
	for i := range instances {
		sim.names = append(sim.names, model.InstanceID(fmt.Sprintf("a%02d", i)))
	}
	for _, name := range sim.names {
		s := jujubebatch.New(name, settings)
		s.SetLiveMembers(members(sim.names...))
		s.SetDesired(testDesired())
		for _, e := range sim.engines {
			versions := map[model.ModelName]model.WeightVersion{}
			for trainer := range heavyTrainers {
				versions[trainerModel(trainer)] = 1
			}
			s.PutEngine(jujubebatch.Engine{ID: e.id, Incarnation: 1, Service: "s", Slots: heavySlots, SoftwareVersion: "v1", Versions: versions})
		}
		sim.instances = append(sim.instances, s)
	}
	return sim
}

func trainerModel(trainer int) model.ModelName { return model.ModelName(fmt.Sprintf("m%d", trainer)) }

// after delivers a message after a delay.
func (sim *simulation) after(delay time.Duration, deliver func()) {
	sim.messages = append(sim.messages, simMessage{sim.now.Add(delay), deliver})
}

// appendEntry appends an entry to the log, from which each instance reads it.
func (sim *simulation) appendEntry(entry *jujubebatch.Entry) {
	for _, s := range sim.instances {
		delay := simAppend + time.Duration(sim.random.Int63n(int64(simRead)))
		if len(sim.instances) == 1 {
			delay = 0
		}
		sim.after(delay, func() { s.Apply(sim.now, entry) })
	}
}

// submit begins a step of a trainer. The estimates of lengths are right at the median.
func (sim *simulation) submit(trainer, step int) *simStep {
	groups, size := heavyTrainers[trainer][0], heavyTrainers[trainer][1]
	id := fmt.Sprintf("t%d-%d", trainer, step)
	s := newSubmission(id, 0, sim.names[trainer%len(sim.names)])
	s.Model, s.GroupCount = trainerModel(trainer), groups*9/10
	started := &simStep{id: s.ID, startedAt: sim.now, groupCount: s.GroupCount, open: map[jujubebatch.GroupID]int{}}
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
			sim.lengths[item.ID], sim.groups[item.ID] = events, item.Group
			started.open[item.Group]++
		}
	}
	sim.steps[s.ID] = started
	sim.appendEntry(&jujubebatch.Entry{Submission: s})
	return started
}

// run performs the trainers' steps, each one period after the one before or when that has ended.
func (sim *simulation) run(stepsEach int) {
	end, nextHeartbeat := sim.now.Add(time.Duration(stepsEach+10)*heavyPeriod), sim.now
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
		if !sim.now.Before(nextHeartbeat) {
			nextHeartbeat = sim.now.Add(simHeartbeat)
			sim.publishNotes()
		}
		for _, e := range sim.engines {
			sim.advance(e)
		}
		sim.deliver()
		for i, s := range sim.instances {
			s.SetDesiredRead(sim.now)
			sim.perform(i, s.Tick(sim.now))
		}
	}
	assert.Equal(sim.t, len(sim.took), stepsEach*len(heavyTrainers), "a step hasn't ended")
}

// deliver delivers the messages that are due.
func (sim *simulation) deliver() {
	pending := sim.messages
	sim.messages = nil
	slices.SortStableFunc(pending, func(x, y simMessage) int { return x.at.Compare(y.at) })
	for _, message := range pending {
		if message.at.After(sim.now) {
			sim.messages = append(sim.messages, message)
			continue
		}
		message.deliver()
	}
}

func (sim *simulation) publishNotes() {
	for i, s := range sim.instances {
		for _, note := range s.EngineNotes() {
			for j, other := range sim.instances {
				if j != i {
					sim.after(simAppend+simRead/2, func() { other.ApplyEngineNote(sim.now, note) })
				}
			}
		}
	}
}

func (sim *simulation) perform(owner int, actions []jujubebatch.Action) {
	s := sim.instances[owner]
	for _, action := range actions {
		switch a := action.(type) {
		case jujubebatch.StartRun:
			e := sim.engines[slices.IndexFunc(sim.engines, func(e *simEngine) bool { return e.id == a.Engine })]
			e.runs = append(e.runs, &simRun{id: a.Run, owner: owner, item: a.Item, emitted: a.After})
			assert.Assert(sim.t, len(e.runs) <= heavySlots+heavySlots/4, "the bound of assigned items")
		case jujubebatch.CancelRun:
			if a.Move != "" {
				sim.moves++
			}
			for _, e := range sim.engines {
				e.runs = slices.DeleteFunc(e.runs, func(r *simRun) bool { return r.id == a.Run && r.owner == owner })
			}
		case jujubebatch.AppendEntry:
			if result := a.Entry.Result; result != nil {
				sim.appendEntry(&a.Entry)
				sim.complete(result)
			}
		case jujubebatch.OfferItems:
			sim.after(simCall, func() { sim.offer(owner, a) })
		case jujubebatch.ConfirmItems:
			sim.after(simCall, func() {
				other := sim.instances[slices.Index(sim.names, a.To)]
				var has []bool
				for _, ref := range a.Items {
					has = append(has, other.HasItem(ref))
				}
				sim.after(simCall, func() { s.HandleConfirmReply(sim.now, a.To, a.Items, has) })
			})
		}
	}
}

func (sim *simulation) offer(from int, request jujubebatch.OfferItems) {
	to := sim.instances[slices.Index(sim.names, request.To)]
	var accepted []bool
	loads := map[model.EndpointID]int{}
	for _, offer := range request.Offers {
		accepted = append(accepted, to.AcceptOffer(sim.now, offer))
		loads[offer.Engine] = 0
	}
	for id := range loads {
		loads[id] = to.EngineLoad(id)
	}
	sim.after(simCall, func() { sim.instances[from].HandleOfferReply(sim.now, request, accepted, loads) })
}

// complete counts a result and ends its submission once enough groups are whole.
func (sim *simulation) complete(result *jujubebatch.Result) {
	if sim.results[result.Item] {
		return
	}
	sim.results[result.Item] = true
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
		sim.appendEntry(&jujubebatch.Entry{End: &jujubebatch.End{Submission: step.id}})
	}
}

// advance emits the events of an engine that are due.
func (sim *simulation) advance(e *simEngine) {
	for i := 0; i < min(len(e.runs), heavySlots); i++ {
		r := e.runs[i]
		interval := time.Duration(float64(e.interval) * (1 + 0.125*(float64(min(len(e.runs), heavySlots))/heavySlots-0.5)))
		if !r.isRunning {
			r.isRunning, r.nextAt = true, sim.now.Add(simStart+interval)
		}
		for ; !r.nextAt.After(sim.now) && r.emitted < sim.lengths[r.item]; r.nextAt = r.nextAt.Add(interval) {
			r.emitted++
			// This has no effect on a run that the next tick cancels.
			sim.instances[r.owner].HandleRunEvent(r.nextAt, r.id, r.emitted, "x", 1)
		}
		if r.emitted == sim.lengths[r.item] {
			sim.instances[r.owner].HandleRunEnd(sim.now, r.id, jujubebatch.RunComplete)
			e.runs = slices.Delete(e.runs, i, i+1)
			i--
		}
	}
}
