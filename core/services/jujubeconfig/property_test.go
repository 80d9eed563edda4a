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

// TestMain sets a fixed seed, so that failures are reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// fakeLog is the log's configuration stream. states and outcomes are a reference implementation of the result of all records.
type fakeLog struct {
	records  []model.LogRecord
	first    int64
	now      time.Time
	states   []model.ConfigState // states after each record, by offset
	outcomes map[string]model.ConfigOutcome
}

func newFakeLog() *fakeLog {
	return &fakeLog{now: start, outcomes: map[string]model.ConfigOutcome{}}
}

func (s *fakeLog) append(body any) {
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
			outcome := model.ConfigOutcome{
				ID: change.ID, Offset: record.Offset, At: record.At, Accepted: accepted,
				Revision: state.Revision, Base: change.Base, Digest: digest,
			}
			s.outcomes[change.ID] = outcome
			state.History = append(state.History[:len(state.History):len(state.History)], outcome)
		}
	}
	s.states = append(s.states, state)
}

func (s *fakeLog) read(from int64, limit int) model.LogRead {
	from = max(from, s.first)
	end := min(from+int64(limit), int64(len(s.records)))
	return model.LogRead{Records: s.records[min(from, end):end], First: s.first, Next: int64(len(s.records))}
}

func newReader() *reader {
	reducer := jujubeconfig.NewReducer()
	return &reader{reducer: reducer, last: reducer.State()}
}

// reader is one reader of the stream, which may also publish changes; pending is its change without a known outcome.
type reader struct {
	reducer *jujubeconfig.Reducer
	last    jujubeconfig.State
	pending *model.ConfigChange
}

// TestReducersAgree guards against readers with different states, a revision that decreases, and a publisher that reads a wrong
// outcome, under lost responses, repeated and delayed appends, expiring records, outages and readers that start at any time.
func TestReducersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, unavailable := newFakeLog(), false
		readers := []*reader{newReader(), newReader()}
		var delayed []model.ConfigRecord
		changes := 0
		pickReader := func(t *rapid.T) *reader { return readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")] }
		appendChange := func(r *reader) {
			if !unavailable {
				log.append(model.ConfigRecord{Change: r.pending})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				r := pickReader(t)
				if r.pending == nil {
					changes++
					base := max(0, r.last.Revision+int64(rapid.IntRange(-1, 1).Draw(t, "base error")))
					r.pending = &model.ConfigChange{ID: fmt.Sprint(changes), Base: base, Document: fmt.Sprint("document ", changes)}
				}
				appendChange(r) // the response is always lost: the publisher learns the outcome from the stream only
			},
			"learn": func(t *rapid.T) {
				r := pickReader(t)
				if r.pending == nil {
					return
				}
				if outcome, ok := r.reducer.State().Find(r.pending.ID); ok {
					assert.DeepEqual(t, outcome, log.outcomes[r.pending.ID])
					r.pending = nil
				}
			},
			"malformed": func(*rapid.T) {
				if !unavailable {
					log.append("not a record")
				}
			},
			"read": func(t *rapid.T) {
				if r := pickReader(t); !unavailable {
					r.reducer.ApplyRead(log.read(r.reducer.NextOffset(), rapid.IntRange(1, 8).Draw(t, "most")))
				}
			},
			"expire": func(t *rapid.T) {
				log.first = min(log.first+int64(rapid.IntRange(1, 6).Draw(t, "records")), int64(len(log.records)))
			},
			"checkpoint": func(t *rapid.T) {
				log.now = log.now.Add(jujubeconfig.CheckpointInterval)
				if record, ok := pickReader(t).reducer.Checkpoint(log.now); ok {
					delayed = append(delayed, record)
				}
			},
			"append checkpoint": func(t *rapid.T) {
				if len(delayed) > 0 && !unavailable {
					log.append(delayed[rapid.IntRange(0, len(delayed)-1).Draw(t, "checkpoint")])
				}
			},
			"adopt": func(t *rapid.T) {
				pickReader(t).reducer.Adopt(pickReader(t).reducer.State())
			},
			"start": func(*rapid.T) {
				if len(readers) < 6 {
					readers = append(readers, newReader())
				}
			},
			"outage": func(*rapid.T) { unavailable = !unavailable },
			"": func(*rapid.T) {
				for i, r := range readers {
					state := r.reducer.State()
					assert.Assert(t, state.Revision >= r.last.Revision && state.Through >= r.last.Through,
						"reader %d: revision or offset decreased", i)
					assert.Assert(t, state.Known || !r.last.Known, "reader %d: known state became unknown", i)
					if state.Known {
						assert.DeepEqual(t, state.ConfigState, log.states[state.Through])
					}
					r.last = state
				}
			},
		})
		checkNewReader(t, log, readers[0].reducer)
	})
}

// checkNewReader lets an up-to-date reader append a checkpoint and checks that a reader that starts later gets the same state.
func checkNewReader(t *rapid.T, log *fakeLog, reducer *jujubeconfig.Reducer) {
	catchUp := func(reducer *jujubeconfig.Reducer) {
		for range 3 {
			reducer.ApplyRead(log.read(reducer.NextOffset(), len(log.records)))
		}
	}
	catchUp(reducer)
	reducer.Checkpoint(log.now) // starts the checkpoint interval if a peer's state was adopted
	checkpoint, ok := reducer.Checkpoint(log.now.Add(2 * jujubeconfig.CheckpointInterval))
	if !ok {
		assert.Assert(t, !reducer.IsCurrent() || len(log.records) == 0)
		return
	}
	if checkpoint.Checkpoint.Through < log.first-1 {
		return
	}
	log.append(checkpoint)
	log.first = max(log.first, checkpoint.Checkpoint.Through+1)
	late := jujubeconfig.NewReducer()
	catchUp(late)
	assert.DeepEqual(t, late.State().ConfigState, log.states[len(log.states)-1])
}
