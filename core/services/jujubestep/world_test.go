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
	// Set before Parse, so that the command line can choose others.
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

// engineStream is what a fake engine truly did; it stays known after it is gone from the engine.
type engineStream struct {
	gone     bool
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
	// stuck connections report nothing any more, not even their end.
	stuck bool
}

type world struct {
	t        *rapid.T
	random   *rand.Rand
	now      time.Time
	faults   bool
	engines  map[model.StreamID]*engineStream
	began    map[model.StreamID]bool
	readers  []*reader
	scores   []reader
	owners   [2]*jujubestep.Steps
	paused   [2]bool
	late     [2][]func()
	serving  model.WeightVersion
	trainer  model.WeightVersion
	attempt  int64
	at       int
	cursor   int
	wanted   map[int]int
	taken    map[int]model.Group
	failed   map[int]bool
	accepted bool
	answers  map[string]jujubestep.Delivery
}

func (w *world) chance(share float64) bool { return w.faults && w.random.Float64() < share }

// event reaches the owner now, or when it wakes up.
func (w *world) event(owner int, call func(s *jujubestep.Steps)) {
	if w.paused[owner] {
		w.late[owner] = append(w.late[owner], func() { call(w.owners[owner]) })
		return
	}
	call(w.owners[owner])
}

func (w *world) run(owner int, actions []jujubestep.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case jujubestep.StartStream:
			if a.Resume {
				assert.Assert(w.t, w.began[a.Stream], "resumed %s, which was never started", a.Stream)
			} else {
				assert.Assert(w.t, !w.began[a.Stream], "%s started twice", a.Stream)
				w.began[a.Stream] = true
				w.engines[a.Stream] = &engineStream{length: 1 + w.random.Intn(a.MaxTokens)}
			}
			w.readers = append(w.readers, &reader{owner: owner, id: a.Stream})
		case jujubestep.CancelStream:
			w.readers = slices.DeleteFunc(w.readers, func(r *reader) bool { return r.owner == owner && r.id == a.Stream })
			if !a.Detach {
				w.engines[a.Stream].gone = true
			}
		case jujubestep.ScoreSample:
			w.scores = append(w.scores, reader{owner: owner, id: a.Stream})
		case jujubestep.Discarded:
			assert.Assert(w.t, a.Cause != "", "%s discarded without a cause", a.Stream)
		}
	}
}

// generate advances the engines and reports to the readers.
func (w *world) generate() {
	for _, r := range slices.Clone(w.readers) {
		e, end := w.engines[r.id], jujubestep.StreamEnd{}
		r.stuck = r.stuck || r.started && w.chance(0.003)
		switch {
		case r.stuck:
			continue
		case e.gone || w.chance(0.005):
			end.Kind = jujubestep.EndLost
		case w.chance(0.005):
			end.Kind, end.RetryAfter = jujubestep.EndFailed, 200*time.Millisecond
		case !r.started && w.chance(0.05):
			end.Kind, end.Code = jujubestep.EndRefused, jujubeerror.CodeOverloaded
		case w.chance(0.0005):
			end.Kind, end.Code = jujubestep.EndRefused, jujubeerror.CodeQuarantined
		}
		if end.Kind == "" {
			if !r.started {
				r.started = true
				w.event(r.owner, func(s *jujubestep.Steps) { s.StreamStarted(w.now, r.id, "e") })
			}
			if !e.finished && r.sent == len(e.chunks) {
				from := e.tokens()
				to := min(e.length, from+1+w.random.Intn(8))
				e.chunks = append(e.chunks, model.Chunk{From: from, To: to, Version: w.serving})
				e.finished = to == e.length
			}
			for ; r.sent < len(e.chunks); r.sent++ {
				chunk := e.chunks[r.sent]
				if w.chance(0.01) {
					chunk.Version = 0
				}
				if w.chance(0.01) {
					continue
				}
				w.event(r.owner, func(s *jujubestep.Steps) { s.Progress(w.now, r.id, chunk.From, chunk.To, chunk.Version) })
			}
			if !e.finished {
				continue
			}
			end = jujubestep.StreamEnd{Kind: jujubestep.EndFinished, Tokens: e.length}
		}
		w.readers = slices.DeleteFunc(w.readers, func(other *reader) bool { return other == r })
		w.event(r.owner, func(s *jujubestep.Steps) { s.Ended(w.now, r.id, end) })
	}
	for _, r := range w.scores {
		var err error
		if w.chance(0.1) {
			err = fmt.Errorf("scorer failed")
		}
		w.event(r.owner, func(s *jujubestep.Steps) { s.Scored(w.now, r.id, 0.5, err) })
	}
	w.scores = nil
}

// submit sends the groups that were not taken to the current owner with a new attempt.
func (w *world) submit() {
	w.attempt++
	w.cursor, w.accepted = 0, false
	part := model.StepPart{
		Key: model.PartKey{Trainer: "t", Step: 1}, Attempt: w.attempt, Version: w.trainer, MaxTokens: 120,
		Timeout: model.Duration(time.Hour),
	}
	for group := range len(w.wanted) {
		if _, ok := w.taken[group]; !ok && !w.failed[group] {
			part.Groups = append(part.Groups, model.GroupRequest{
				Group: group, Prompt: fmt.Sprint("p", group), Samples: w.wanted[group],
			})
		}
	}
	if len(part.Groups) == 0 {
		return
	}
	steps := w.owners[w.at]
	_, err := steps.Submit(w.now, part)
	assert.NilError(w.t, err)
	_, err = steps.Submit(w.now, part) // the answer was lost: the repeat is answered the same
	assert.NilError(w.t, err)
	w.accepted = true
	var held []model.EngineStream
	for id, e := range w.engines {
		if !e.gone && strings.HasPrefix(string(id), part.Key.String()+"/") {
			held = append(held, model.EngineStream{Stream: id, Tokens: e.tokens(), Finished: e.finished})
		}
	}
	steps.Resume(w.now, held, "e")
}

func (w *world) pull() {
	if !w.accepted {
		w.submit()
		return
	}
	pull := model.Pull{
		Key: model.PartKey{Trainer: "t", Step: 1}, Attempt: w.attempt, Cursor: w.cursor, Version: w.trainer,
		MaxGroups: w.random.Intn(3),
	}
	answer, err := w.owners[w.at].Pull(w.now, pull)
	assert.NilError(w.t, err)
	w.checkAnswer(pull, answer)
	if w.chance(0.3) {
		return // the answer is lost
	}
	for _, g := range answer.Groups {
		_, twice := w.taken[g.Group]
		assert.Assert(w.t, !twice && !w.failed[g.Group], "group %d delivered twice", g.Group)
		w.taken[g.Group] = g
	}
	w.cursor += len(answer.Groups)
	for _, f := range answer.Failed {
		assert.Equal(w.t, f.Code, jujubeerror.CodeQuarantined)
		w.failed[f.Group] = true
	}
}

// checkAnswer compares each group with what the engines did, and with the first answer that had it.
func (w *world) checkAnswer(pull model.Pull, answer jujubestep.Delivery) {
	for i, g := range answer.Groups {
		place := fmt.Sprint(w.at, pull.Attempt, answer.Cursor+i)
		if first, ok := w.answers[place]; ok {
			assert.DeepEqual(w.t, first.Groups[0], g)
			continue
		}
		w.answers[place] = jujubestep.Delivery{Pulled: model.Pulled{Groups: []model.Group{g}}}
		assert.Assert(w.t, cmp.Len(g.Samples, w.wanted[g.Group]))
		for index, sample := range g.Samples {
			assert.Equal(w.t, sample.Index, index)
			assert.Assert(w.t, sample.Scored)
			var truth []model.Label
			for _, c := range w.engines[sample.Stream].chunks {
				assert.Assert(w.t, c.Version >= pull.Version-bound, "%s has version %d at %d", sample.Stream, c.Version, pull.Version)
				if last := len(truth) - 1; last >= 0 && truth[last].Version == c.Version {
					truth[last].To = c.To
				} else {
					truth = append(truth, model.Label{Version: c.Version, From: c.From, To: c.To})
				}
			}
			assert.DeepEqual(w.t, sample.Labels, truth)
			assert.Equal(w.t, sample.Tokens, truth[len(truth)-1].To)
		}
	}
}

// step is one tick of everything.
func (w *world) step() {
	w.now = w.now.Add(tick)
	if w.chance(0.03) {
		w.trainer = min(w.trainer+1, w.serving+1)
	}
	if w.random.Float64() < 0.05 {
		w.serving = max(w.serving, w.trainer)
	}
	if w.chance(0.02) { // the owner pauses and the trainer goes to the other one
		w.paused[w.at] = true
		w.wake(1 - w.at)
		w.at = 1 - w.at
		w.submit()
	} else if w.chance(0.02) {
		w.submit()
	}
	if !w.faults || w.chance(0.05) {
		w.wake(1 - w.at)
	}
	w.generate()
	for owner, steps := range w.owners {
		if !w.paused[owner] {
			w.run(owner, steps.Tick(w.now))
		}
	}
	if w.random.Float64() < 0.3 {
		w.pull()
	}
}

// wake delivers what a paused owner missed; it acts on its old state before it learns of the new attempt.
func (w *world) wake(owner int) {
	if !w.paused[owner] {
		return
	}
	w.paused[owner] = false
	for _, call := range w.late[owner] {
		call()
	}
	w.late[owner] = nil
	w.run(owner, w.owners[owner].Tick(w.now))
	w.owners[owner].Superseded(w.now, model.PartKey{Trainer: "t", Step: 1}, w.attempt)
}

// Guards against groups that are lost, delivered twice, changed, mislabelled or too old, and against parts that never
// complete, over two owners of which one is paused, while streams fail and versions change.
func TestModelTrainerGetsEachGroupOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, random: rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))), now: time.Unix(1e9, 0), faults: true,
			engines: map[model.StreamID]*engineStream{}, began: map[model.StreamID]bool{}, serving: 3, trainer: 3,
			wanted: map[int]int{}, taken: map[int]model.Group{}, failed: map[int]bool{},
			answers: map[string]jujubestep.Delivery{},
		}
		for owner := range w.owners {
			w.owners[owner] = jujubestep.New(jujubestep.Settings{Owner: fmt.Sprint("o", owner), MaxStarting: 8})
			w.owners[owner].SetLimits(limits("scorer"))
		}
		for group := range rapid.IntRange(1, 8).Draw(t, "groups") {
			w.wanted[group] = rapid.IntRange(1, 6).Draw(t, "samples")
		}
		for range rapid.IntRange(0, 300).Draw(t, "ticks with faults") {
			w.step()
		}
		w.faults = false
		left := 2000
		for ; left > 0 && len(w.taken)+len(w.failed) < len(w.wanted); left-- {
			w.step()
		}
		assert.Assert(t, left > 0, "taken %d and failed %d of %d groups: %+v", len(w.taken), len(w.failed), len(w.wanted), w.owners[w.at].Parts())
	})
}
