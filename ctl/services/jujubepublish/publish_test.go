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

// fakeLog is an in-memory log with fault injection. Each append consumes the next entry of faults; without an entry the
// append succeeds.
type fakeLog struct {
	mutex   sync.Mutex
	records []model.LogRecord
	first   int64
	// isUnavailable makes all requests fail.
	isUnavailable bool
	// faults holds "lose" (appended, but the connection is aborted), "drop" (not appended and aborted) and "outage" (appended
	// and aborted, and the log is unavailable from then on).
	faults []string
	// barrier, if set, delays each append until all expected appends have arrived.
	barrier *sync.WaitGroup
}

func (f *fakeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.barrier != nil && r.Method == http.MethodPost {
		f.barrier.Done()
		f.barrier.Wait()
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isUnavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet {
		from, _ := strconv.ParseInt(r.URL.Query().Get("From"), 10, 64)
		read := model.LogRead{First: f.first, Next: int64(len(f.records))}
		for offset := max(from, f.first); offset < read.Next && len(read.Records) < 2; offset++ {
			read.Records = append(read.Records, f.records[offset])
		}
		_ = json.NewEncoder(w).Encode(read)
		return
	}
	fault := ""
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	body, _ := io.ReadAll(r.Body)
	record := model.LogRecord{Offset: int64(len(f.records)), At: time.Now(), Body: body}
	if fault != "drop" {
		f.records = append(f.records, record)
	}
	f.isUnavailable = fault == "outage"
	if fault != "" {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(model.LogAppended{Offset: record.Offset, At: record.At})
}

func (f *fakeLog) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.records)
}

func (f *fakeLog) setUnavailable(isUnavailable bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isUnavailable = isUnavailable
}

// startLog serves the log over HTTP and returns a client for it.
func startLog(t *testing.T, log *fakeLog) *jujubeclient.LogClient {
	server := httptest.NewServer(log)
	t.Cleanup(server.Close)
	client, closeIdle := jujubeclient.NewLogClient(strings.TrimPrefix(server.URL, "http://"), time.Second)
	t.Cleanup(closeIdle)
	return client
}

func newChange(id, document string) jujubepublish.Change {
	return jujubepublish.Change{ID: id, Document: []byte(document), Base: jujubepublish.CurrentBase, Author: id}
}

func withTimeout(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

// TestPublishLostAnswer guards against a change that is published twice, or reported as failed, after the response to its append
// was lost.
func TestPublishLostAnswer(t *testing.T) {
	for _, test := range []struct {
		faults  []string
		appends int
		records int
	}{
		{nil, 1, 2},
		{[]string{"lose"}, 1, 2},
		{[]string{"drop"}, 2, 2},
		{[]string{"drop", "lose"}, 2, 2},
	} {
		t.Run(strings.Join(test.faults, ","), func(t *testing.T) {
			log := &fakeLog{}
			client := startLog(t, log)
			_, err := jujubepublish.Publish(withTimeout(t, 5*time.Second), client, newChange("a", "one"))
			assert.NilError(t, err)
			log.faults = test.faults
			result, err := jujubepublish.Publish(withTimeout(t, 5*time.Second), client, newChange("b", "two"))
			assert.NilError(t, err)
			assert.Assert(t, result.Outcome.Accepted)
			assert.Equal(t, result.InForce.Revision, int64(2))
			assert.Equal(t, result.Appends, test.appends)
			assert.Equal(t, log.count(), test.records)
		})
	}
}

// TestPublishRace guards against reporting success to both of two operators whose concurrent changes have the same base.
func TestPublishRace(t *testing.T) {
	log := &fakeLog{barrier: &sync.WaitGroup{}}
	log.barrier.Add(2)
	client := startLog(t, log)
	errs := make(chan error, 2)
	for _, id := range []string{"a", "b"} {
		go func() {
			_, err := jujubepublish.Publish(withTimeout(t, 5*time.Second), client, newChange(id, "document "+id))
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
	assert.Assert(t, asErrorType(failure, &conflict), "%v", failure)
	assert.Equal(t, conflict.Outcome.Revision, int64(1))
	assert.Assert(t, conflict.Winner.ID != "" && conflict.Winner.ID != conflict.Outcome.ID)
}

// TestPublishOutage guards against reporting that nothing was appended when the change was, and against a repeated command
// that publishes the change twice.
func TestPublishOutage(t *testing.T) {
	log := &fakeLog{isUnavailable: true}
	client := startLog(t, log)
	_, err := jujubepublish.Publish(withTimeout(t, 300*time.Millisecond), client, newChange("a", "one"))
	assert.ErrorType(t, err, jujubepublish.ErrNotAppended{})

	log.setUnavailable(false)
	log.faults = []string{"outage"}
	_, err = jujubepublish.Publish(withTimeout(t, 500*time.Millisecond), client, newChange("a", "one"))
	var unknown jujubepublish.ErrUnknownOutcome
	assert.Assert(t, asErrorType(err, &unknown), "%v", err)
	assert.Equal(t, log.count(), 1)

	log.setUnavailable(false)
	change := newChange(unknown.ID, "one")
	change.Base = unknown.Base
	result, err := jujubepublish.Publish(withTimeout(t, 5*time.Second), client, change)
	assert.NilError(t, err)
	assert.Equal(t, result.InForce.Revision, int64(1))
	assert.Equal(t, log.count(), 1)

	log.faults = []string{"outage"}
	go func() {
		time.Sleep(300 * time.Millisecond)
		log.setUnavailable(false)
	}()
	result, err = jujubepublish.Publish(withTimeout(t, 5*time.Second), client, newChange("b", "two"))
	assert.NilError(t, err)
	assert.Equal(t, result.InForce.Revision, int64(2))
}

// TestPublishNeedsKnownState guards against a change that is based on a revision for which the log no longer retains the
// records.
func TestPublishNeedsKnownState(t *testing.T) {
	log := &fakeLog{}
	client := startLog(t, log)
	for _, id := range []string{"a", "b", "c"} {
		_, err := jujubepublish.Publish(withTimeout(t, 5*time.Second), client, newChange(id, id))
		assert.NilError(t, err)
	}
	for _, first := range []int64{1, 3} {
		log.first = first
		_, err := jujubepublish.Publish(withTimeout(t, 5*time.Second), client, newChange("d", "d"))
		var unknown jujubepublish.ErrStateUnknown
		assert.Assert(t, asErrorType(err, &unknown), "%v", err)
		assert.Equal(t, log.count(), 3)
	}
}

// TestRestore guards against an environment that can't be published to after the log's records have expired, and against a
// restore that overwrites a known configuration.
func TestRestore(t *testing.T) {
	log := &fakeLog{}
	client := startLog(t, log)
	_, err := jujubepublish.Publish(withTimeout(t, 5*time.Second), client, newChange("a", "one"))
	assert.NilError(t, err)
	_, err = jujubepublish.Restore(withTimeout(t, 5*time.Second), client, nil, []byte("two"), 9, "operator")
	var known jujubepublish.ErrStateKnown
	assert.Assert(t, errors.As(err, &known) && known.Revision == 1)

	log.first = 1 // the only record has expired
	_, err = jujubepublish.Publish(withTimeout(t, time.Second), client, newChange("b", "two"))
	assert.Assert(t, err != nil)
	state, err := jujubepublish.Restore(withTimeout(t, 5*time.Second), client, nil, []byte("two"), 9, "operator")
	assert.NilError(t, err)
	assert.Equal(t, state.Revision, int64(9))
	result, err := jujubepublish.Publish(withTimeout(t, 5*time.Second), client, newChange("c", "three"))
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome.Revision, int64(10))
}
