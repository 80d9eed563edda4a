package jujubeconfig_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubeconfig"
	"jujubepier.example/core/services/jujubedocument"
)

// A fixed seed makes a failure repeatable; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// stream is the log's configuration stream, with a straightforward fold of all records as the reference.
type stream struct {
	records  []model.LogRecord
	first    int64
	now      time.Time
	states   []model.ConfigState // by offset
	outcomes map[string]model.ConfigOutcome
}

func newStream() *stream {
	return &stream{now: start, outcomes: map[string]model.ConfigOutcome{}}
}

func (s *stream) append(body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	s.now = s.now.Add(time.Second)
	record := model.LogRecord{Offset: int64(len(s.records)), At: s.now, Body: data}
	s.records = append(s.records, record)
	var state model.ConfigState
	if len(s.states) > 0 {
		state = s.states[len(s.states)-1]
	}
	state.Through = record.Offset
	if config, ok := body.(model.ConfigRecord); ok && config.Change != nil {
		change := *config.Change
		if _, repeated := s.outcomes[change.ID]; !repeated {
			digest := jujubedocument.Digest([]byte(change.Document))
			accepted := change.Base == state.Revision
			if accepted {
				state.Revision, state.Document, state.Digest = state.Revision+1, change.Document, digest
			}
			outcome := model.ConfigOutcome{ID: change.ID, Offset: record.Offset, At: record.At, Accepted: accepted, Revision: state.Revision, Base: change.Base, Digest: digest}
			s.outcomes[change.ID] = outcome
			state.History = append(state.History[:len(state.History):len(state.History)], outcome)
		}
	}
	s.states = append(s.states, state)
}

func (s *stream) read(from int64, most int) model.LogRead {
	from = max(from, s.first)
	upTo := min(from+int64(most), int64(len(s.records)))
	return model.LogRead{Records: s.records[min(from, upTo):upTo], First: s.first, Next: int64(len(s.records))}
}

func newReader() *reader {
	fold := jujubeconfig.NewFold()
	return &reader{fold: fold, last: fold.State()}
}

type reader struct {
	fold    *jujubeconfig.Fold
	last    jujubeconfig.State
	pending *model.ConfigChange
}

// Guards against readers that disagree, a revision that goes back, and a publisher that learns a wrong outcome, under
// lost answers, repeated and delayed appends, expiring records, outages and readers that start at any time.
func TestFoldsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, away := newStream(), false
		readers := []*reader{newReader(), newReader()}
		var delayed []model.ConfigRecord
		changes := 0
		pick := func(t *rapid.T) *reader { return readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")] }
		send := func(r *reader) {
			if !away {
				log.append(model.ConfigRecord{Change: r.pending})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				r := pick(t)
				if r.pending == nil {
					changes++
					base := max(0, r.last.Revision+int64(rapid.IntRange(-1, 1).Draw(t, "base error")))
					r.pending = &model.ConfigChange{ID: fmt.Sprint(changes), Base: base, Document: fmt.Sprint("document ", changes)}
				}
				send(r) // the answer is lost each time: the publisher learns from its fold only
			},
			"learn": func(t *rapid.T) {
				r := pick(t)
				if r.pending == nil {
					return
				}
				if outcome, ok := r.fold.State().Find(r.pending.ID); ok {
					assert.DeepEqual(t, outcome, log.outcomes[r.pending.ID])
					r.pending = nil
				}
			},
			"malformed": func(*rapid.T) {
				if !away {
					log.append("not a record")
				}
			},
			"read": func(t *rapid.T) {
				if r := pick(t); !away {
					r.fold.ApplyRead(log.read(r.fold.Next(), rapid.IntRange(1, 8).Draw(t, "most")))
				}
			},
			"expire": func(t *rapid.T) {
				log.first = min(log.first+int64(rapid.IntRange(1, 6).Draw(t, "records")), int64(len(log.records)))
			},
			"checkpoint": func(t *rapid.T) {
				log.now = log.now.Add(jujubeconfig.CheckpointInterval)
				if record, ok := pick(t).fold.Checkpoint(log.now); ok {
					delayed = append(delayed, record)
				}
			},
			"append checkpoint": func(t *rapid.T) {
				if len(delayed) > 0 && !away {
					log.append(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "checkpoint")])
				}
			},
			"adopt": func(t *rapid.T) {
				pick(t).fold.Adopt(pick(t).fold.State())
			},
			"start": func(*rapid.T) {
				if len(readers) < 6 {
					readers = append(readers, newReader())
				}
			},
			"outage": func(*rapid.T) { away = !away },
			"": func(*rapid.T) {
				for i, r := range readers {
					state := r.fold.State()
					assert.Assert(t, state.Revision >= r.last.Revision && state.Through >= r.last.Through, "reader %d goes back", i)
					assert.Assert(t, state.Known || !r.last.Known, "reader %d forgets", i)
					if state.Known {
						assert.DeepEqual(t, state.ConfigState, log.states[state.Through])
					}
					r.last = state
				}
			},
		})
		checkNewReader(t, log, readers[0].fold)
	})
}

// checkNewReader lets a current reader append a checkpoint and expects a reader that starts later to catch up with it.
func checkNewReader(t *rapid.T, log *stream, fold *jujubeconfig.Fold) {
	catchUp := func(fold *jujubeconfig.Fold) {
		for range 3 {
			fold.ApplyRead(log.read(fold.Next(), len(log.records)))
		}
	}
	catchUp(fold)
	fold.Checkpoint(log.now) // starts the interval of a fold that has adopted a peer's state
	checkpoint, ok := fold.Checkpoint(log.now.Add(2 * jujubeconfig.CheckpointInterval))
	if !ok {
		assert.Assert(t, !fold.Current() || len(log.records) == 0)
		return
	}
	if checkpoint.Checkpoint.Through < log.first-1 {
		return
	}
	log.append(checkpoint)
	log.first = max(log.first, checkpoint.Checkpoint.Through+1)
	late := jujubeconfig.NewFold()
	catchUp(late)
	assert.DeepEqual(t, late.State().ConfigState, log.states[len(log.states)-1])
}
