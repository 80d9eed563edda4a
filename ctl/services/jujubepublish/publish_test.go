package jujubepublish_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/ctl/services/jujubepublish"
)

// fakeLog is a log in memory. Each append takes one step of plan; without a step the append is made and answered.
type fakeLog struct {
	mutex   sync.Mutex
	records []model.LogRecord
	first   int64
	away    bool
	plan    []string // "lose": made, no answer; "drop": not made, no answer; "away": made, no answer, then an outage
	barrier *sync.WaitGroup
}

func (f *fakeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.barrier != nil && r.Method == http.MethodPost {
		f.barrier.Done()
		f.barrier.Wait()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet {
		from, _ := strconv.ParseInt(r.URL.Query().Get("From"), 10, 64)
		read := model.LogRead{First: f.first, Next: int64(len(f.records))}
		for at := max(from, f.first); at < read.Next && len(read.Records) < 2; at++ {
			read.Records = append(read.Records, f.records[at])
		}
		_ = json.NewEncoder(w).Encode(read)
		return
	}
	step := ""
	if len(f.plan) > 0 {
		step, f.plan = f.plan[0], f.plan[1:]
	}
	body, _ := io.ReadAll(r.Body)
	record := model.LogRecord{Offset: int64(len(f.records)), At: time.Now(), Body: body}
	if step != "drop" {
		f.records = append(f.records, record)
	}
	f.away = step == "away"
	if step != "" {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(model.LogAppended{Offset: record.Offset, At: record.At})
}

func (f *fakeLog) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.records)
}

func (f *fakeLog) setAway(away bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.away = away
}

func serve(t *testing.T, log *fakeLog) *jujubeclient.LogClient {
	server := httptest.NewServer(log)
	t.Cleanup(server.Close)
	client, closeIdle := jujubeclient.NewLogClient(strings.TrimPrefix(server.URL, "http://"), time.Second)
	t.Cleanup(closeIdle)
	return client
}

func newChange(id, document string) jujubepublish.Change {
	return jujubepublish.Change{ID: id, Document: []byte(document), Base: jujubepublish.CurrentBase, Author: id}
}

func within(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a change that is published twice, or reported as failed, after its answer was lost.
func TestPublishLostAnswer(t *testing.T) {
	for _, test := range []struct {
		plan    []string
		appends int
		records int
	}{
		{nil, 1, 2},
		{[]string{"lose"}, 1, 2},
		{[]string{"drop"}, 2, 2},
		{[]string{"drop", "lose"}, 2, 2},
	} {
		t.Run(strings.Join(test.plan, ","), func(t *testing.T) {
			log := &fakeLog{}
			client := serve(t, log)
			_, err := jujubepublish.Publish(within(t, 5*time.Second), client, newChange("a", "one"))
			assert.NilError(t, err)
			log.plan = test.plan
			result, err := jujubepublish.Publish(within(t, 5*time.Second), client, newChange("b", "two"))
			assert.NilError(t, err)
			assert.Assert(t, result.Outcome.Accepted)
			assert.Equal(t, result.InForce.Revision, int64(2))
			assert.Equal(t, result.Appends, test.appends)
			assert.Equal(t, log.count(), test.records)
		})
	}
}

// Guards against two operators who are both told that their change is in force.
func TestPublishRace(t *testing.T) {
	log := &fakeLog{barrier: &sync.WaitGroup{}}
	log.barrier.Add(2)
	client := serve(t, log)
	errs := make(chan error, 2)
	for _, id := range []string{"a", "b"} {
		go func() {
			_, err := jujubepublish.Publish(within(t, 5*time.Second), client, newChange(id, "document "+id))
			errs <- err
		}()
	}
	failure := <-errs
	if other := <-errs; failure == nil {
		failure = other
	} else {
		assert.NilError(t, other)
	}
	var conflict jujubepublish.ErrConflict
	assert.Assert(t, asError(failure, &conflict), "%v", failure)
	assert.Equal(t, conflict.Outcome.Revision, int64(1))
	assert.Assert(t, conflict.Winner.ID != "" && conflict.Winner.ID != conflict.Outcome.ID)
}

// Guards against a report that nothing was appended when it was, and against a repeated command that publishes twice.
func TestPublishOutage(t *testing.T) {
	log := &fakeLog{away: true}
	client := serve(t, log)
	_, err := jujubepublish.Publish(within(t, 300*time.Millisecond), client, newChange("a", "one"))
	assert.ErrorType(t, err, jujubepublish.ErrNotAppended{})

	log.setAway(false)
	log.plan = []string{"away"}
	_, err = jujubepublish.Publish(within(t, 500*time.Millisecond), client, newChange("a", "one"))
	var unknown jujubepublish.ErrUnknownOutcome
	assert.Assert(t, asError(err, &unknown), "%v", err)
	assert.Equal(t, log.count(), 1)

	log.setAway(false)
	change := newChange(unknown.ID, "one")
	change.Base = unknown.Base
	result, err := jujubepublish.Publish(within(t, 5*time.Second), client, change)
	assert.NilError(t, err)
	assert.Equal(t, result.InForce.Revision, int64(1))
	assert.Equal(t, log.count(), 1)

	log.plan = []string{"away"}
	go func() {
		time.Sleep(300 * time.Millisecond)
		log.setAway(false)
	}()
	result, err = jujubepublish.Publish(within(t, 5*time.Second), client, newChange("b", "two"))
	assert.NilError(t, err)
	assert.Equal(t, result.InForce.Revision, int64(2))
}

// Guards against a change that is based on a revision which the log can no longer prove.
func TestPublishNeedsKnownState(t *testing.T) {
	log := &fakeLog{}
	client := serve(t, log)
	for _, id := range []string{"a", "b", "c"} {
		_, err := jujubepublish.Publish(within(t, 5*time.Second), client, newChange(id, id))
		assert.NilError(t, err)
	}
	for _, first := range []int64{1, 3} {
		log.first = first
		_, err := jujubepublish.Publish(within(t, 5*time.Second), client, newChange("d", "d"))
		var unknown jujubepublish.ErrStateUnknown
		assert.Assert(t, asError(err, &unknown), "%v", err)
		assert.Equal(t, log.count(), 3)
	}
}

// Guards against an environment that nobody can publish to any more, and against a restore over a known configuration.
func TestRestore(t *testing.T) {
	log := &fakeLog{}
	client := serve(t, log)
	_, err := jujubepublish.Publish(within(t, 5*time.Second), client, newChange("a", "one"))
	assert.NilError(t, err)
	_, err = jujubepublish.Restore(within(t, 5*time.Second), client, nil, []byte("two"), 9, "operator")
	var known jujubepublish.ErrStateKnown
	assert.Assert(t, errors.As(err, &known) && known.Revision == 1)

	log.first = 1 // the only record has expired
	_, err = jujubepublish.Publish(within(t, time.Second), client, newChange("b", "two"))
	assert.Assert(t, err != nil)
	state, err := jujubepublish.Restore(within(t, 5*time.Second), client, nil, []byte("two"), 9, "operator")
	assert.NilError(t, err)
	assert.Equal(t, state.Revision, int64(9))
	result, err := jujubepublish.Publish(within(t, 5*time.Second), client, newChange("c", "three"))
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome.Revision, int64(10))
}
