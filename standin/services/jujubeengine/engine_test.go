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

func start(t *testing.T, change func(s *jujubeengine.Settings)) *jujubeengine.Server {
	t.Helper()
	settings := jujubeengine.DefaultSettings()
	settings.Step, settings.LoadLag = 2*time.Millisecond, 0
	settings.TokensPerSecond, settings.PrefillTokensPerSecond = 1000, 1e6
	settings.MedianTokens, settings.SigmaTokens = 100, 0
	settings.SwapTime, settings.CrashDowntime = 50*time.Millisecond, 50*time.Millisecond
	if change != nil {
		change(&settings)
	}
	server, stop, err := jujubeengine.Start(t.Context(), settings)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return server
}

func request(id string) model.EngineRequest {
	return model.EngineRequest{Stream: model.StreamID(id), Model: "model", Prompt: "prompt of " + id, MaxTokens: 1000}
}

// result is what one connection delivered until its end.
type result struct {
	status int
	chunks []model.Chunk
	done   *model.EngineDone
	err    *model.EngineError
	broken bool
}

// generate reads a connection to its end, or breaks it when each, called with the number of chunks so far, returns false.
func generate(ctx context.Context, server *jujubeengine.Server, request model.EngineRequest, each func(chunks int) bool) result {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	body, _ := json.Marshal(request)
	call, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+"/v1/generate", bytes.NewReader(body))
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return result{broken: true}
	}
	defer response.Body.Close()
	answer := result{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		_ = json.NewDecoder(response.Body).Decode(&answer.err)
		return answer
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
		targets := map[string]any{"chunk": &chunk, "done": &answer.done, "error": &answer.err}
		_ = json.Unmarshal([]byte(data), targets[event])
		if event == "chunk" {
			answer.chunks = append(answer.chunks, chunk)
			if each != nil && !each(len(answer.chunks)) {
				return answer
			}
		}
	}
	answer.broken = answer.done == nil && answer.err == nil
	return answer
}

func call(t *testing.T, server *jujubeengine.Server, method, path string, body, answer any) int {
	t.Helper()
	status, err := jujubehost.Call(t.Context(), http.DefaultClient, method, "http://"+server.Address()+path, body, answer)
	assert.Assert(t, status == 0 || err == nil, "%v", err)
	return status
}

func load(t *testing.T, server *jujubeengine.Server) model.LoadReport {
	t.Helper()
	var report model.LoadReport
	call(t, server, http.MethodGet, "/v1/load", nil, &report)
	return report
}

// await waits until the load report fulfils a condition.
func await(t *testing.T, server *jujubeengine.Server, what string, holds func(r model.LoadReport) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		report := load(t, server)
		if holds(report) {
			return poll.Success()
		}
		return poll.Continue("%s: %+v", what, report)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// checkChunks requires contiguous chunks from an index whose texts match their labels, and returns the end.
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

// Guards against more running streams than slots, and against a queue that ignores the priority or the arrival.
func TestSlotsFollowPriorityThenArrival(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.Slots = 1 })
	// Streams pause during a swap, so none finishes before all are queued.
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
		await(t, server, "queued", func(r model.LoadReport) bool { return r.Running == 1 && r.Waiting == i })
	}
	server.SetFaults(jujubeengine.Faults{})
	for _, want := range []string{"first", "interactive", "trainer-1", "trainer-2", "background"} {
		assert.Equal(t, <-finished, want)
	}
}

// Guards against lost or repeated tokens when a connection breaks, and against two connections that both get tokens.
func TestStreamIsResumedAndTakenOver(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.TokensPerSecond = 100 })
	whole := generate(t.Context(), server, request("t/1/0/0/0/9"), nil)
	assert.Equal(t, whole.done.Tokens, 100)

	id := "t/1/0/0/0/1"
	before := generate(t.Context(), server, request(id), func(chunks int) bool { return chunks < 2 })
	first := checkChunks(t, id, 0, before.chunks)
	resume := request(id)
	resume.Resume, resume.ResumeFrom = true, first
	taken := make(chan result)
	attached := make(chan struct{})
	go func() {
		taken <- generate(t.Context(), server, resume, func(chunks int) bool {
			if chunks == 1 {
				close(attached)
			}
			return true
		})
	}()
	<-attached
	after := generate(t.Context(), server, resume, nil)
	assert.Equal(t, checkChunks(t, id, first, after.chunks), 100)
	assert.Equal(t, after.done.Reason, jujubeengine.ReasonStop)
	assert.Equal(t, (<-taken).err.Code, model.EngineCodeTakenOver)
	var held []model.EngineStream
	call(t, server, http.MethodGet, "/v1/streams?Prefix=t/1/0", nil, &held)
	assert.DeepEqual(t, held[0], model.EngineStream{Stream: model.StreamID(id), Tokens: 100, Finished: true})
	resume.Stream = "t/1/0/0/1/1"
	unknown := generate(t.Context(), server, resume, nil)
	assert.Equal(t, unknown.status, http.StatusNotFound)
	assert.Equal(t, unknown.err.Code, model.EngineCodeStreamUnknown)
}

// Guards against labels that name other weights than those that produced the tokens, during a swap.
func TestChunksNameTheirVersionAcrossSwap(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.TokensPerSecond = 100 })
	order := model.Order{Endpoint: "engine-1", Model: "model", Version: 2, Fence: 1}
	server.SetFaults(jujubeengine.Faults{LoseOrderAnswers: 1})
	got := generate(t.Context(), server, request("s"), func(chunks int) bool {
		if chunks == 1 {
			assert.Equal(t, call(t, server, http.MethodPost, "/v1/orders", order, nil), 0)
			assert.Assert(t, load(t, server).Swapping)
		}
		return true
	})
	assert.Equal(t, checkChunks(t, "s", 0, got.chunks), 100)
	assert.Equal(t, got.chunks[0].Version, model.WeightVersion(1))
	assert.Equal(t, got.chunks[len(got.chunks)-1].Version, model.WeightVersion(2))
}

// Guards against an engine that obeys a leader whose lease has passed to another, and one that never swaps after a failure.
func TestOrders(t *testing.T) {
	for _, check := range []bool{true, false} {
		t.Run(fmt.Sprintf("check=%v", check), func(t *testing.T) {
			server := start(t, func(s *jujubeengine.Settings) { s.CheckFence = check })
			server.SetFaults(jujubeengine.Faults{FailSwaps: 1})
			var answer model.OrderResult
			order := model.Order{Endpoint: "engine-1", Model: "model", Version: 3, Fence: 5}
			idle := func(r model.LoadReport) bool { return !r.Swapping }
			call(t, server, http.MethodPost, "/v1/orders", order, &answer)
			assert.Assert(t, answer.Accepted && answer.Report.Swapping)
			await(t, server, "failed", idle)
			assert.Equal(t, load(t, server).Version, model.WeightVersion(1))
			call(t, server, http.MethodPost, "/v1/orders", order, &answer)
			await(t, server, "swapped", idle)
			assert.Equal(t, load(t, server).Version, model.WeightVersion(3))
			// Swapping is absent from the answer when it is false.
			answer = model.OrderResult{}
			call(t, server, http.MethodPost, "/v1/orders", order, &answer)
			assert.Assert(t, answer.Accepted && !answer.Report.Swapping)

			order.Version, order.Fence = 2, 4
			var refusal model.EngineError
			status := call(t, server, http.MethodPost, "/v1/orders", order, &refusal)
			if check {
				assert.Equal(t, status, http.StatusConflict)
				assert.Equal(t, refusal.Code, model.EngineCodeStaleFence)
				return
			}
			assert.Equal(t, status, http.StatusOK)
			await(t, server, "swapped", idle)
			assert.Equal(t, load(t, server).Version, model.WeightVersion(2))
		})
	}
}

// Guards against a crash that spares other streams, keeps the incarnation, or comes back at another address.
func TestCrashOnMarker(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.TokensPerSecond = 100 })
	server.SetFaults(jujubeengine.Faults{CrashMarker: "poison"})
	old := load(t, server).Incarnation
	innocent := make(chan result)
	go func() { innocent <- generate(t.Context(), server, request("innocent"), nil) }()
	await(t, server, "running", func(r model.LoadReport) bool { return r.Running == 1 })
	guilty := request("guilty")
	guilty.Prompt = "some poison"
	assert.Assert(t, generate(t.Context(), server, guilty, nil).broken)
	assert.Assert(t, (<-innocent).broken)
	// The report is empty while the engine is down.
	await(t, server, "next incarnation", func(r model.LoadReport) bool { return r.Incarnation > old })
	var held []model.EngineStream
	call(t, server, http.MethodGet, "/v1/streams", nil, &held)
	assert.Equal(t, len(held), 0)
}
