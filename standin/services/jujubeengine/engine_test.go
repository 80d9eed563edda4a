package jujubeengine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubehost"
	"jujubepier.example/standin/services/jujubeengine"
)

// start runs an engine with short, deterministic times; configure may change its settings.
func start(t *testing.T, configure func(s *jujubeengine.Settings)) *jujubeengine.Server {
	t.Helper()
	settings := jujubeengine.DefaultSettings()
	settings.Step, settings.LoadLag = 2*time.Millisecond, 0
	settings.TokensPerSecond, settings.PrefillTokensPerSecond = 1000, 1e6
	settings.MedianTokens, settings.SigmaTokens = 100, 0
	settings.SwapTime, settings.CrashDowntime = 50*time.Millisecond, 50*time.Millisecond
	if configure != nil {
		configure(&settings)
	}
	server, stop, err := jujubeengine.Start(t.Context(), settings)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return server
}

func request(id string) model.EngineRequest {
	return model.EngineRequest{Stream: model.StreamID(id), Model: "model", Prompt: "prompt of " + id, MaxTokens: 1000}
}

// result is everything that one connection received. broken is set when it ended without a done or error event.
type result struct {
	status int
	chunks []model.Chunk
	done   *model.EngineDone
	err    *model.EngineError
	broken bool
}

// generate sends a request and reads the response to its end. onChunk, if set, is called with the number of chunks received
// so far; the connection is closed when it returns false.
func generate(ctx context.Context, server *jujubeengine.Server, req model.EngineRequest, onChunk func(chunks int) bool) result {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	body, _ := json.Marshal(req)
	httpReq, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+"/v1/generate", bytes.NewReader(body))
	response, err := http.DefaultClient.Do(httpReq)
	if err != nil {
		return result{broken: true}
	}
	defer response.Body.Close()
	received := result{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		_ = json.NewDecoder(response.Body).Decode(&received.err)
		return received
	}
	lines := bufio.NewScanner(response.Body)
	event := ""
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var chunk model.Chunk
		targets := map[string]any{"chunk": &chunk, "done": &received.done, "error": &received.err}
		_ = json.Unmarshal([]byte(data), targets[event])
		if event == "chunk" {
			received.chunks = append(received.chunks, chunk)
			if onChunk != nil && !onChunk(len(received.chunks)) {
				return received
			}
		}
	}
	received.broken = received.done == nil && received.err == nil
	return received
}

// call returns the status, or zero when the connection was closed without a response.
func call(t *testing.T, server *jujubeengine.Server, method, path string, body, reply any) int {
	t.Helper()
	status, err := jujubehost.CallJSON(t.Context(), http.DefaultClient, method, "http://"+server.Address()+path, body, reply)
	assert.Assert(t, status == 0 || err == nil, "%v", err)
	return status
}

func load(t *testing.T, server *jujubeengine.Server) model.LoadReport {
	t.Helper()
	var report model.LoadReport
	call(t, server, http.MethodGet, "/v1/load", nil, &report)
	return report
}

// awaitLoad polls the load report until it satisfies a condition.
func awaitLoad(t *testing.T, server *jujubeengine.Server, description string, condition func(r model.LoadReport) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		report := load(t, server)
		if condition(report) {
			return poll.Success()
		}
		return poll.Continue("%s: %+v", description, report)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// checkChunks asserts that the chunks are contiguous from an index and that their texts match their version labels. It
// returns the index after the last token.
func checkChunks(t *testing.T, id string, from int, chunks []model.Chunk) int {
	t.Helper()
	for _, chunk := range chunks {
		assert.Equal(t, chunk.From, from)
		text := ""
		for index := chunk.From; index < chunk.To; index++ {
			text += jujubeengine.TokenText(model.StreamID(id), index, chunk.Version)
		}
		assert.Equal(t, chunk.Text, text)
		from = chunk.To
	}
	return from
}

// TestSlotsFollowPriorityThenArrival guards against more running streams than slots, and against a queue that ignores
// priority or order of arrival.
func TestSlotsFollowPriorityThenArrival(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.Slots = 1 })
	// Generation pauses during a swap, so no stream finishes before all are queued.
	server.SetFaults(jujubeengine.Faults{HangSwaps: true})
	call(t, server, http.MethodPost, "/v1/orders", model.Order{Endpoint: "engine-1", Model: "model", Version: 2}, nil)
	finished := make(chan string)
	priorities := []model.Priority{
		model.PriorityTrainer, model.PriorityBackground, model.PriorityTrainer, model.PriorityTrainer, model.PriorityInteractive,
	}
	for i, id := range []string{"first", "background", "trainer-1", "trainer-2", "interactive"} {
		r := request(id)
		r.Priority = priorities[i]
		go func() {
			assert.Check(t, generate(t.Context(), server, r, nil).done != nil)
			finished <- id
		}()
		awaitLoad(t, server, "queued", func(r model.LoadReport) bool { return r.Running == 1 && r.Waiting == i })
	}
	server.SetFaults(jujubeengine.Faults{})
	for _, want := range []string{"first", "interactive", "trainer-1", "trainer-2", "background"} {
		assert.Equal(t, <-finished, want)
	}
}

// TestStreamIsResumedAndTakenOver guards against lost or duplicate tokens when a stream is resumed after its connection
// broke, and against two connections that both receive tokens of one stream.
func TestStreamIsResumedAndTakenOver(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.TokensPerSecond = 100 })
	complete := generate(t.Context(), server, request("t/1/0/0/0/9"), nil)
	assert.Equal(t, complete.done.Tokens, 100)

	id := "t/1/0/0/0/1"
	beforeBreak := generate(t.Context(), server, request(id), func(chunks int) bool { return chunks < 2 })
	firstMissing := checkChunks(t, id, 0, beforeBreak.chunks)
	resume := request(id)
	resume.Resume, resume.ResumeFrom = true, firstMissing
	superseded := make(chan result)
	attached := make(chan struct{})
	go func() {
		superseded <- generate(t.Context(), server, resume, func(chunks int) bool {
			if chunks == 1 {
				close(attached)
			}
			return true
		})
	}()
	<-attached
	resumed := generate(t.Context(), server, resume, nil)
	assert.Equal(t, checkChunks(t, id, firstMissing, resumed.chunks), 100)
	assert.Equal(t, resumed.done.Reason, jujubeengine.ReasonStop)
	assert.Equal(t, (<-superseded).err.Code, model.EngineCodeTakenOver)
	var held []model.EngineStream
	call(t, server, http.MethodGet, "/v1/streams?Prefix=t/1/0", nil, &held)
	assert.DeepEqual(t, held[0], model.EngineStream{Stream: model.StreamID(id), Tokens: 100, Finished: true})
	resume.Stream = "t/1/0/0/1/1"
	unknown := generate(t.Context(), server, resume, nil)
	assert.Equal(t, unknown.status, http.StatusNotFound)
	assert.Equal(t, unknown.err.Code, model.EngineCodeStreamUnknown)
}

// TestChunksNameTheirVersionAcrossSwap guards against chunks labelled with a different weight version than the one that
// generated them, during a swap.
func TestChunksNameTheirVersionAcrossSwap(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.TokensPerSecond = 100 })
	order := model.Order{Endpoint: "engine-1", Model: "model", Version: 2, Fence: 1}
	server.SetFaults(jujubeengine.Faults{LoseOrderAnswers: 1})
	received := generate(t.Context(), server, request("s"), func(chunks int) bool {
		if chunks == 1 {
			assert.Equal(t, call(t, server, http.MethodPost, "/v1/orders", order, nil), 0)
			assert.Assert(t, load(t, server).Swapping)
		}
		return true
	})
	assert.Equal(t, checkChunks(t, "s", 0, received.chunks), 100)
	assert.Equal(t, received.chunks[0].Version, model.WeightVersion(1))
	assert.Equal(t, received.chunks[len(received.chunks)-1].Version, model.WeightVersion(2))
}

// TestOrders guards against an engine that accepts the orders of a former leader, whose fencing token is out of date, and against an
// engine that doesn't swap any more after a failed swap.
func TestOrders(t *testing.T) {
	for _, check := range []bool{true, false} {
		t.Run(fmt.Sprintf("check=%v", check), func(t *testing.T) {
			server := start(t, func(s *jujubeengine.Settings) { s.CheckFence = check })
			server.SetFaults(jujubeengine.Faults{FailSwaps: 1})
			var reply model.OrderResult
			order := model.Order{Endpoint: "engine-1", Model: "model", Version: 3, Fence: 5}
			idle := func(r model.LoadReport) bool { return !r.Swapping }
			call(t, server, http.MethodPost, "/v1/orders", order, &reply)
			assert.Assert(t, reply.Accepted && reply.Report.Swapping)
			awaitLoad(t, server, "failed", idle)
			assert.Equal(t, load(t, server).Version, model.WeightVersion(1))
			call(t, server, http.MethodPost, "/v1/orders", order, &reply)
			awaitLoad(t, server, "swapped", idle)
			assert.Equal(t, load(t, server).Version, model.WeightVersion(3))
			// Swapping is omitted from the JSON when it is false, so the old value has to be cleared.
			reply = model.OrderResult{}
			call(t, server, http.MethodPost, "/v1/orders", order, &reply)
			assert.Assert(t, reply.Accepted && !reply.Report.Swapping)

			order.Version, order.Fence = 2, 4
			var refusal model.EngineError
			status := call(t, server, http.MethodPost, "/v1/orders", order, &refusal)
			if check {
				assert.Equal(t, status, http.StatusConflict)
				assert.Equal(t, refusal.Code, model.EngineCodeStaleFence)
				return
			}
			assert.Equal(t, status, http.StatusOK)
			awaitLoad(t, server, "swapped", idle)
			assert.Equal(t, load(t, server).Version, model.WeightVersion(2))
		})
	}
}

// TestCrashOnMarker guards against a crash that leaves other streams running, keeps the incarnation, or restarts at another
// address.
func TestCrashOnMarker(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.TokensPerSecond = 100 })
	server.SetFaults(jujubeengine.Faults{CrashMarker: "crash-marker"})
	oldIncarnation := load(t, server).Incarnation
	otherStream := make(chan result)
	go func() { otherStream <- generate(t.Context(), server, request("other"), nil) }()
	awaitLoad(t, server, "running", func(r model.LoadReport) bool { return r.Running == 1 })
	crashing := request("crashing")
	crashing.Prompt = "some crash-marker"
	assert.Assert(t, generate(t.Context(), server, crashing, nil).broken)
	assert.Assert(t, (<-otherStream).broken)
	// The load report is empty while the engine is down.
	awaitLoad(t, server, "next incarnation", func(r model.LoadReport) bool { return r.Incarnation > oldIncarnation })
	var held []model.EngineStream
	call(t, server, http.MethodGet, "/v1/streams", nil, &held)
	assert.Equal(t, len(held), 0)
}
