package jujubeprocess_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

// exactLengths makes each generation as long as its MaxTokens.
var exactLengths = []string{"--sigma-tokens", "0", "--median-tokens", "1000000"}

// answer is what became of a request to an instance that shuts down.
type answer struct {
	started time.Time
	what    string
	whole   bool
	refusal model.Refusal
	// refused is true when nothing listened any more.
	refused bool
	err     error
}

// askOnce sends a request on a connection of its own and reads the whole answer.
func askOnce(what, method, url string, body any, read func(io.Reader) error) answer {
	a := answer{started: time.Now(), what: what}
	data, err := json.Marshal(body)
	if err != nil {
		a.err = err
		return a
	}
	ctx, cancel := context.WithTimeout(context.Background(), conditionLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		a.err = err
		return a
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// A connection that the process hasn't accepted when it closes its listener is reset.
		a.err, a.refused = err, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		return a
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		a.err = json.NewDecoder(response.Body).Decode(&a.refusal)
		return a
	}
	a.err = read(response.Body)
	a.whole = a.err == nil
	return a
}

// readWhole checks that a streamed generation has all its tokens and its last event.
func readWhole(tokens int) func(io.Reader) error {
	return func(body io.Reader) error {
		reader, next := jujubehttp.NewEventReader(body), 0
		for {
			event, err := reader.Next()
			if err != nil {
				return fmt.Errorf("after %d tokens: %w", next, err)
			}
			var chunk model.Chunk
			switch {
			case event.Name == "done" && next == tokens:
				return nil
			case event.Name != "chunk" || json.Unmarshal(event.Data, &chunk) != nil || chunk.From != next:
				return fmt.Errorf("after %d tokens: %s %s", next, event.Name, event.Data)
			}
			next = chunk.To
		}
	}
}

func (e *entry) stream(id string, tokens int) answer {
	request := model.GenerateRequest{
		ID: model.RequestID(id), Caller: "app", Model: modelName, Prompt: id, MaxTokens: tokens, Stream: true,
		Timeout: model.Duration(conditionLimit),
	}
	return askOnce("stream "+id, http.MethodPost, "http://"+e.callers+"/v1/generate", request, readWhole(tokens))
}

// TestShutdownInterruptsNothing guards against a shutdown that cuts off requests that the instance accepted, or refuses
// them while address answers still name it, or leaves late callers without another address (R8).
func TestShutdownInterruptsNothing(t *testing.T) {
	size := vatuwaqa(append([]string{"--tokens-per-second", "200"}, exactLengths...)...)
	s := startSite(t, size)
	leaving := s.instances[4]
	settings := s.trainer(4)
	settings.MaxTokens = 200
	wait := trainMeanwhile(t, settings)
	s.ownerInWork(t, 0)
	var mu sync.Mutex
	var answers []answer
	var callers sync.WaitGroup
	record := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	}
	// The long stream keeps the instance up for some seconds after the address answers that name it have run out.
	callers.Go(func() { record(leaving.stream("long", 2200)) })
	for i := range 4 {
		callers.Go(func() {
			for n := 0; !leaving.hasEnded(); n++ {
				record(leaving.stream(fmt.Sprintf("short-%d-%d", i, n), 50))
				record(askOnce("call", http.MethodGet, "http://"+leaving.callers+"/v1/services/"+service+"/pumps", nil, func(body io.Reader) error {
					_, err := io.Copy(io.Discard, body)
					return err
				}))
				time.Sleep(conditionPoll)
			}
		})
	}
	eventually(t, "calls are answered", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(answers) > 20
	})
	leaving.signal(t, syscall.SIGTERM)
	assert.Equal(t, leaving.waitExit(t), 0)
	callers.Wait()
	wait()
	checkShutdown(t, leaving, answers)
}

func checkShutdown(t *testing.T, leaving *entry, answers []answer) {
	t.Helper()
	var line struct{ Until time.Time }
	rows := leaving.events("InstanceLeaving")
	assert.Equal(t, len(rows), 1)
	assert.NilError(t, json.Unmarshal([]byte(rows[0].Line), &line))
	whole, late := 0, 0
	for _, a := range answers {
		switch {
		case a.whole:
			whole++
		case a.started.Before(line.Until):
			t.Errorf("%s, begun %s before the end, is not whole: %v %v", a.what, line.Until.Sub(a.started), a.refusal, a.err)
		case a.refused:
		case a.err != nil:
			t.Errorf("%s, begun after the end: %v", a.what, a.err)
		default:
			late++
			assert.Check(t, a.refusal.Code == "Leaving" && a.refusal.Ran == model.RanNo && len(a.refusal.Addresses) > 0, "%v", a.refusal)
			for _, other := range a.refusal.Addresses {
				assert.Check(t, other.Instance != leaving.id)
			}
		}
	}
	t.Logf("%d whole answers, %d late refusals", whole, late)
	assert.Assert(t, late > 0, "no late request was refused")
}

// TestLeavingEndpointGetsNoWork guards against endpoints that get work more than 3 s after they said, or an operator said,
// that they leave, and against requests that are cut off there (R7).
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	s := startSite(t, scale{engines: 10, entries: 9, engineFlags: append([]string{"--tokens-per-second", "400"}, exactLengths...)})
	const tokens, within = 200, 3 * time.Second
	paused := watchPauses(t)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 30 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := s.instances[(i+n)%len(s.instances)].stream(fmt.Sprintf("%d-%d", i, n), tokens)
				assert.Check(t, a.whole, "%v", a)
			}
		})
	}
	leaving, drained := s.engineRows[0], s.engineRows[1]
	eventually(t, "both engines have work", func() bool {
		return s.lastDispatch(leaving.id).After(time.Time{}) && s.lastDispatch(drained.id).After(time.Time{})
	})
	said := time.Now()
	assert.NilError(t, s.call(http.MethodPost, "http://"+leaving.host+"/v1/leave", nil, nil))
	output, code := ctl(t, append(s.operators(), "drain", string(drained.id))...)
	assert.Equal(t, code, 0, output)
	told := time.Now()
	eventually(t, "other engines get work later", func() bool {
		return s.lastDispatch(s.engineRows[2].id).After(told.Add(2 * within))
	})
	close(stop)
	callers.Wait()
	leftAfter, drainedAfter := s.lastDispatch(leaving.id).Sub(said), s.lastDispatch(drained.id).Sub(told)
	t.Logf("last work after the leave %s, after the drain %s, pauses of the machine %s", leftAfter, drainedAfter, paused())
	assert.Check(t, leftAfter <= within+paused())
	assert.Check(t, drainedAfter <= within+paused())
}

// lastDispatch is when any instance last sent work to an endpoint.
func (s *site) lastDispatch(id model.EndpointID) (last time.Time) {
	for _, e := range s.instances {
		for _, row := range e.events("RouteDispatched") {
			if row.Time.After(last) && strings.Contains(row.Line, `"Endpoint":"`+string(id)+`"`) {
				last = row.Time
			}
		}
	}
	return last
}

// watchPauses returns a function that tells for how long this process, and so probably the machine, was paused.
func watchPauses(t *testing.T) func() time.Duration {
	const period, usual = 20 * time.Millisecond, 200 * time.Millisecond
	var mu sync.Mutex
	var total time.Duration
	go func() {
		for last := time.Now(); t.Context().Err() == nil; last = time.Now() {
			time.Sleep(period)
			if gap := time.Since(last); gap > usual {
				mu.Lock()
				total += gap
				mu.Unlock()
			}
		}
	}()
	return func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return total
	}
}
