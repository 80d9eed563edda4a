package jujubestep_test

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubestep"
)

func TestMain(m *testing.M) {
	// Set before Parse, so that the command line can override them.
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	tick  = 50 * time.Millisecond
	bound = model.WeightVersion(2)
)

func limits(scorer model.ServiceName) model.Limits {
	return model.Limits{Trainers: map[model.TrainerID]model.TrainerLimits{
		"t": {Model: "m", StalenessBound: bound, Scorer: scorer},
	}}
}

// engineStream is what a fake engine has generated. It is kept after the engine has removed the stream.
type engineStream struct {
	removed  bool
	chunks   []model.Chunk
	length   int
	finished bool
}

func (e *engineStream) tokens() int {
	if len(e.chunks) == 0 {
		return 0
	}
	return e.chunks[len(e.chunks)-1].To
}

// reader is one owner's connection to a stream.
type reader struct {
	owner   int
	id      model.StreamID
	sent    int
	started bool
	// stalled connections report nothing any more, not even their end.
	stalled bool
}

type simulation struct {
	t               *rapid.T
	random          *rand.Rand
	now             time.Time
	faults          bool
	engines         map[model.StreamID]*engineStream
	startedStreams  map[model.StreamID]bool
	readers         []*reader
	scoreRequests   []reader
	owners          [2]*jujubestep.Steps
	paused          [2]bool
	delayedEvents   [2][]func()
	engineVersion   model.WeightVersion
	trainerVersion  model.WeightVersion
	attempt         int64
	currentOwner    int
	cursor          int
	expectedSamples map[int]int
	delivered       map[int]model.Group
	failed          map[int]bool
	accepted        bool
	firstDeliveries map[string]jujubestep.Delivery
}

func (sim *simulation) chance(share float64) bool { return sim.faults && sim.random.Float64() < share }

// notifyOwner delivers an event to the owner, or queues it until the owner resumes.
func (sim *simulation) notifyOwner(owner int, call func(s *jujubestep.Steps)) {
	if sim.paused[owner] {
		sim.delayedEvents[owner] = append(sim.delayedEvents[owner], func() { call(sim.owners[owner]) })
		return
	}
	call(sim.owners[owner])
}

func (sim *simulation) applyActions(owner int, actions []jujubestep.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case jujubestep.StartStream:
			if a.Resume {
				assert.Assert(sim.t, sim.startedStreams[a.Stream], "resumed %s, which was never started", a.Stream)
			} else {
				assert.Assert(sim.t, !sim.startedStreams[a.Stream], "%s started twice", a.Stream)
				sim.startedStreams[a.Stream] = true
				sim.engines[a.Stream] = &engineStream{length: 1 + sim.random.Intn(a.MaxTokens)}
			}
			sim.readers = append(sim.readers, &reader{owner: owner, id: a.Stream})
		case jujubestep.CancelStream:
			sim.readers = slices.DeleteFunc(sim.readers, func(r *reader) bool { return r.owner == owner && r.id == a.Stream })
			if !a.Detach {
				sim.engines[a.Stream].removed = true
			}
		case jujubestep.ScoreSample:
			sim.scoreRequests = append(sim.scoreRequests, reader{owner: owner, id: a.Stream})
		case jujubestep.ReportDiscarded:
			assert.Assert(sim.t, a.Cause != "", "%s discarded without a cause", a.Stream)
		}
	}
}

// generate advances the engines and reports progress to the readers.
func (sim *simulation) generate() {
	for _, r := range slices.Clone(sim.readers) {
		e, end := sim.engines[r.id], jujubestep.StreamEnd{}
		r.stalled = r.stalled || r.started && sim.chance(0.003)
		switch {
		case r.stalled:
			continue
		case e.removed || sim.chance(0.005):
			end.Kind = jujubestep.EndLost
		case sim.chance(0.005):
			end.Kind, end.RetryAfter = jujubestep.EndFailed, 200*time.Millisecond
		case !r.started && sim.chance(0.05):
			end.Kind, end.Code = jujubestep.EndRefused, jujubeerror.CodeOverloaded
		case sim.chance(0.0005):
			end.Kind, end.Code = jujubestep.EndRefused, jujubeerror.CodeQuarantined
		}
		if end.Kind == "" {
			if !r.started {
				r.started = true
				sim.notifyOwner(r.owner, func(s *jujubestep.Steps) { s.HandleStreamStart(sim.now, r.id, "e") })
			}
			if !e.finished && r.sent == len(e.chunks) {
				from := e.tokens()
				to := min(e.length, from+1+sim.random.Intn(8))
				e.chunks = append(e.chunks, model.Chunk{From: from, To: to, Version: sim.engineVersion})
				e.finished = to == e.length
			}
			for ; r.sent < len(e.chunks); r.sent++ {
				chunk := e.chunks[r.sent]
				if sim.chance(0.01) {
					chunk.Version = 0
				}
				if sim.chance(0.01) {
					continue
				}
				sim.notifyOwner(r.owner, func(s *jujubestep.Steps) { s.HandleStreamProgress(sim.now, r.id, chunk.From, chunk.To, chunk.Version) })
			}
			if !e.finished {
				continue
			}
			end = jujubestep.StreamEnd{Kind: jujubestep.EndFinished, Tokens: e.length}
		}
		sim.readers = slices.DeleteFunc(sim.readers, func(other *reader) bool { return other == r })
		sim.notifyOwner(r.owner, func(s *jujubestep.Steps) { s.HandleStreamEnd(sim.now, r.id, end) })
	}
	for _, r := range sim.scoreRequests {
		var err error
		if sim.chance(0.1) {
			err = fmt.Errorf("scorer failed")
		}
		sim.notifyOwner(r.owner, func(s *jujubestep.Steps) { s.HandleSampleScore(sim.now, r.id, 0.5, err) })
	}
	sim.scoreRequests = nil
}

// submit submits the groups that were not delivered to the current owner, with a new attempt.
func (sim *simulation) submit() {
	sim.attempt++
	sim.cursor, sim.accepted = 0, false
	part := model.StepPart{
		Key: model.PartKey{Trainer: "t", Step: 1}, Attempt: sim.attempt, Version: sim.trainerVersion, MaxTokens: 120,
		Timeout: model.Duration(time.Hour),
	}
	for group := range len(sim.expectedSamples) {
		if _, ok := sim.delivered[group]; !ok && !sim.failed[group] {
			part.Groups = append(part.Groups, model.GroupRequest{
				Group: group, Prompt: fmt.Sprint("p", group), Samples: sim.expectedSamples[group],
			})
		}
	}
	if len(part.Groups) == 0 {
		return
	}
	steps := sim.owners[sim.currentOwner]
	_, err := steps.Submit(sim.now, part)
	assert.NilError(sim.t, err)
	_, err = steps.Submit(sim.now, part) // the response was lost: the repeated request returns the same one
	assert.NilError(sim.t, err)
	sim.accepted = true
	var held []model.EngineStream
	for id, e := range sim.engines {
		if !e.removed && strings.HasPrefix(string(id), part.Key.String()+"/") {
			held = append(held, model.EngineStream{Stream: id, Tokens: e.tokens(), Finished: e.finished})
		}
	}
	steps.Resume(sim.now, held, "e")
}

func (sim *simulation) pull() {
	if !sim.accepted {
		sim.submit()
		return
	}
	pull := model.Pull{
		Key: model.PartKey{Trainer: "t", Step: 1}, Attempt: sim.attempt, Cursor: sim.cursor, Version: sim.trainerVersion,
		MaxGroups: sim.random.Intn(3),
	}
	delivery, err := sim.owners[sim.currentOwner].Pull(sim.now, pull)
	assert.NilError(sim.t, err)
	sim.checkDelivery(pull, delivery)
	if sim.chance(0.3) {
		return // the response is lost
	}
	for _, g := range delivery.Groups {
		_, duplicate := sim.delivered[g.Group]
		assert.Assert(sim.t, !duplicate && !sim.failed[g.Group], "group %d delivered twice", g.Group)
		sim.delivered[g.Group] = g
	}
	sim.cursor += len(delivery.Groups)
	for _, f := range delivery.Failed {
		assert.Equal(sim.t, f.Code, jujubeerror.CodeQuarantined)
		sim.failed[f.Group] = true
	}
}

// checkDelivery compares each group with what the engines generated, and with its first delivery.
func (sim *simulation) checkDelivery(pull model.Pull, delivery jujubestep.Delivery) {
	for i, g := range delivery.Groups {
		position := fmt.Sprint(sim.currentOwner, pull.Attempt, delivery.Cursor+i)
		if first, ok := sim.firstDeliveries[position]; ok {
			assert.DeepEqual(sim.t, first.Groups[0], g)
			continue
		}
		sim.firstDeliveries[position] = jujubestep.Delivery{Pulled: model.Pulled{Groups: []model.Group{g}}}
		assert.Assert(sim.t, cmp.Len(g.Samples, sim.expectedSamples[g.Group]))
		for index, sample := range g.Samples {
			assert.Equal(sim.t, sample.Index, index)
			assert.Assert(sim.t, sample.Scored)
			var expected []model.Label
			for _, c := range sim.engines[sample.Stream].chunks {
				assert.Assert(sim.t, c.Version >= pull.Version-bound, "%s has version %d at %d", sample.Stream, c.Version, pull.Version)
				if last := len(expected) - 1; last >= 0 && expected[last].Version == c.Version {
					expected[last].To = c.To
				} else {
					expected = append(expected, model.Label{Version: c.Version, From: c.From, To: c.To})
				}
			}
			assert.DeepEqual(sim.t, sample.Labels, expected)
			assert.Equal(sim.t, sample.Tokens, expected[len(expected)-1].To)
		}
	}
}

// advance runs one tick of all components.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(tick)
	if sim.chance(0.03) {
		sim.trainerVersion = min(sim.trainerVersion+1, sim.engineVersion+1)
	}
	if sim.random.Float64() < 0.05 {
		sim.engineVersion = max(sim.engineVersion, sim.trainerVersion)
	}
	if sim.chance(0.02) { // the owner pauses and the trainer switches to the other one
		sim.paused[sim.currentOwner] = true
		sim.resumeOwner(1 - sim.currentOwner)
		sim.currentOwner = 1 - sim.currentOwner
		sim.submit()
	} else if sim.chance(0.02) {
		sim.submit()
	}
	if !sim.faults || sim.chance(0.05) {
		sim.resumeOwner(1 - sim.currentOwner)
	}
	sim.generate()
	for owner, steps := range sim.owners {
		if !sim.paused[owner] {
			sim.applyActions(owner, steps.Tick(sim.now))
		}
	}
	if sim.random.Float64() < 0.3 {
		sim.pull()
	}
}

// resumeOwner delivers the events that a paused owner missed. The owner acts on its old state before it learns of the new
// attempt.
func (sim *simulation) resumeOwner(owner int) {
	if !sim.paused[owner] {
		return
	}
	sim.paused[owner] = false
	for _, call := range sim.delayedEvents[owner] {
		call()
	}
	sim.delayedEvents[owner] = nil
	sim.applyActions(owner, sim.owners[owner].Tick(sim.now))
	sim.owners[owner].SupersedePart(sim.now, model.PartKey{Trainer: "t", Step: 1}, sim.attempt)
}

// TestModelTrainerGetsEachGroupOnce guards against groups that are lost, delivered twice, changed, mislabelled or too old, and
// against parts that never complete, with two owners of which one is paused, while streams fail and versions change.
func TestModelTrainerGetsEachGroupOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{
			t: t, random: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))), now: time.Unix(1e9, 0), faults: true,
			engines: map[model.StreamID]*engineStream{}, startedStreams: map[model.StreamID]bool{}, engineVersion: 3, trainerVersion: 3,
			expectedSamples: map[int]int{}, delivered: map[int]model.Group{}, failed: map[int]bool{},
			firstDeliveries: map[string]jujubestep.Delivery{},
		}
		for owner := range sim.owners {
			sim.owners[owner] = jujubestep.New(jujubestep.Settings{Owner: fmt.Sprint("o", owner), MaxStarting: 8})
			sim.owners[owner].SetLimits(limits("scorer"))
		}
		for group := range rapid.IntRange(1, 8).Draw(t, "groups") {
			sim.expectedSamples[group] = rapid.IntRange(1, 6).Draw(t, "samples")
		}
		for range rapid.IntRange(0, 300).Draw(t, "ticks with faults") {
			sim.advance()
		}
		sim.faults = false
		ticksLeft := 2000
		for ; ticksLeft > 0 && len(sim.delivered)+len(sim.failed) < len(sim.expectedSamples); ticksLeft-- {
			sim.advance()
		}
		assert.Assert(t, ticksLeft > 0, "delivered %d and failed %d of %d groups: %+v",
			len(sim.delivered), len(sim.failed), len(sim.expectedSamples), sim.owners[sim.currentOwner].Parts())
	})
}
