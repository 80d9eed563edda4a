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

// exactLengths are engine flags that make each generation as long as its MaxTokens.
var exactLengths = []string{"--sigma-tokens", "0", "--median-tokens", "1000000"}

// requestResult is the result of a request to an instance that shuts down.
type requestResult struct {
	started time.Time
	name    string
	// complete is true when the whole response was received.
	complete bool
	refusal  model.Refusal
	// connectionRefused is true when the instance no longer listened, or closed its listener before it accepted the connection.
	connectionRefused bool
	err               error
}

// sendRequest sends a request on a new connection and reads the whole response.
func sendRequest(name, method, url string, body any, read func(io.Reader) error) requestResult {
	result := requestResult{started: time.Now(), name: name}
	data, err := json.Marshal(body)
	if err != nil {
		result.err = err
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		result.err = err
		return result
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// A connection is reset when the process closes its listener before it accepts the connection.
		result.err, result.connectionRefused = err, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		result.err = json.NewDecoder(response.Body).Decode(&result.refusal)
		return result
	}
	result.err = read(response.Body)
	result.complete = result.err == nil
	return result
}

// readCompleteStream returns a function that reads a streamed generation and checks that it has the given number of tokens
// and its final event.
func readCompleteStream(tokens int) func(io.Reader) error {
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

// generateStream requests a streamed generation of the given length and reads it to its end.
func (e *entry) generateStream(id string, tokens int) requestResult {
	request := model.GenerateRequest{
		ID: model.RequestID(id), Caller: "app", Model: modelName, Prompt: id, MaxTokens: tokens, Stream: true,
		Timeout: model.Duration(conditionTimeout),
	}
	return sendRequest("stream "+id, http.MethodPost, "http://"+e.callerAddress+"/v1/generate", request, readCompleteStream(tokens))
}

// TestShutdownInterruptsNothing guards against a shutdown that interrupts accepted requests, that refuses requests while
// address responses may still list the instance, or that refuses later requests without naming another address (R8).
func TestShutdownInterruptsNothing(t *testing.T) {
	config := vatuwaqaConfig(append([]string{"--tokens-per-second", "200"}, exactLengths...)...)
	s := startSite(t, config)
	leaving := s.instances[4]
	settings := s.trainerSettings(4)
	settings.MaxTokens = 200
	wait := startTrainer(t, settings)
	s.waitActiveOwner(t, 0)
	var mu sync.Mutex
	var results []requestResult
	var callers sync.WaitGroup
	record := func(result requestResult) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, result)
	}
	// The long stream keeps the instance running for some seconds after the last address response that lists it has expired.
	callers.Go(func() { record(leaving.generateStream("long", 2200)) })
	for i := range 4 {
		callers.Go(func() {
			for n := 0; !leaving.hasExited(); n++ {
				record(leaving.generateStream(fmt.Sprintf("short-%d-%d", i, n), 50))
				record(sendRequest("call", http.MethodGet, "http://"+leaving.callerAddress+"/v1/services/"+serviceName+"/pumps", nil, func(body io.Reader) error {
					_, err := io.Copy(io.Discard, body)
					return err
				}))
				time.Sleep(pollInterval)
			}
		})
	}
	eventually(t, "more than 20 calls have ended", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(results) > 20
	})
	leaving.signal(t, syscall.SIGTERM)
	assert.Equal(t, leaving.waitExit(t), 0)
	callers.Wait()
	wait()
	checkShutdown(t, leaving, results)
}

// checkShutdown checks that each request that started before the announced end of the instance is complete, and that each
// later one is refused with the addresses of other instances, or not accepted.
func checkShutdown(t *testing.T, leaving *entry, results []requestResult) {
	t.Helper()
	var line struct{ Until time.Time }
	events := leaving.events("InstanceLeaving")
	assert.Equal(t, len(events), 1)
	assert.NilError(t, json.Unmarshal([]byte(events[0].Line), &line))
	complete, late := 0, 0
	for _, result := range results {
		switch {
		case result.complete:
			complete++
		case result.started.Before(line.Until):
			t.Errorf("%s, started %s before the end, is incomplete: %v %v",
				result.name, line.Until.Sub(result.started), result.refusal, result.err)
		case result.connectionRefused:
		case result.err != nil:
			t.Errorf("%s, started after the end: %v", result.name, result.err)
		default:
			late++
			assert.Check(t, result.refusal.Code == "Leaving" && result.refusal.Ran == model.RanNo && len(result.refusal.Addresses) > 0,
				"%v", result.refusal)
			for _, other := range result.refusal.Addresses {
				assert.Check(t, other.Instance != leaving.id)
			}
		}
	}
	t.Logf("%d complete responses, %d late refusals", complete, late)
	assert.Assert(t, late > 0, "no late request was refused")
}

// TestLeavingEndpointGetsNoWork guards against endpoints that receive requests more than 3 s after they announced that
// they leave or an operator drained them, and against requests that are interrupted there (R7).
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	s := startSite(t, siteConfig{engines: 10, entries: 9, engineFlags: append([]string{"--tokens-per-second", "400"}, exactLengths...)})
	const tokens, within = 200, 3 * time.Second
	pauses := measurePauses(t)
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
				result := s.instances[(i+n)%len(s.instances)].generateStream(fmt.Sprintf("%d-%d", i, n), tokens)
				assert.Check(t, result.complete, "%v", result)
			}
		})
	}
	leaving, drained := s.engineEndpoints[0], s.engineEndpoints[1]
	eventually(t, "both engines have received requests", func() bool {
		return s.lastDispatch(leaving.id).After(time.Time{}) && s.lastDispatch(drained.id).After(time.Time{})
	})
	leaveTime := time.Now()
	assert.NilError(t, s.callJSON(http.MethodPost, "http://"+leaving.address+"/v1/leave", nil, nil))
	output, code := runCtl(t, append(s.operatorFlags(), "drain", string(drained.id))...)
	assert.Equal(t, code, 0, output)
	drainTime := time.Now()
	eventually(t, "another engine receives requests later", func() bool {
		return s.lastDispatch(s.engineEndpoints[2].id).After(drainTime.Add(2 * within))
	})
	close(stop)
	callers.Wait()
	leftAfter, drainedAfter := s.lastDispatch(leaving.id).Sub(leaveTime), s.lastDispatch(drained.id).Sub(drainTime)
	t.Logf("last request %s after the leave, %s after the drain; pauses of the machine %s", leftAfter, drainedAfter, pauses())
	assert.Check(t, leftAfter <= within+pauses())
	assert.Check(t, drainedAfter <= within+pauses())
}

// lastDispatch returns when any instance last dispatched a request to an endpoint, as logged.
func (s *site) lastDispatch(id model.EndpointID) (last time.Time) {
	for _, e := range s.instances {
		for _, dispatch := range e.events("RouteDispatched") {
			if dispatch.Time.After(last) && strings.Contains(dispatch.Line, `"Endpoint":"`+string(id)+`"`) {
				last = dispatch.Time
			}
		}
	}
	return last
}

// measurePauses returns a function that reports for how long this process, and so probably the whole machine, has been
// paused until now.
func measurePauses(t *testing.T) func() time.Duration {
	const interval, threshold = 20 * time.Millisecond, 200 * time.Millisecond
	var mu sync.Mutex
	var total time.Duration
	go func() {
		for last := time.Now(); t.Context().Err() == nil; last = time.Now() {
			time.Sleep(interval)
			if gap := time.Since(last); gap > threshold {
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
