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
	settings.Step = 2 * time.Millisecond
	settings.LoadLag = 0
	settings.TokensPerSecond = 1000
	settings.PrefillTokensPerSecond = 1e6
	settings.SigmaTokens = 0
	settings.MedianTokens = 100
	settings.SwapTime = 50 * time.Millisecond
	settings.CrashDowntime = 50 * time.Millisecond
	if change != nil {
		change(&settings)
	}
	server, stop, err := jujubeengine.Start(t.Context(), settings)
	assert.NilError(t, err)
	t.Cleanup(stop)
	return server
}

func request(id string) model.EngineRequest {
	return model.EngineRequest{
		Stream: model.StreamID(id), Model: "model", Prompt: "prompt of " + id, MaxTokens: 1000,
		Priority: model.PriorityTrainer,
	}
}

// result is what one connection delivered until its end.
type result struct {
	status int
	chunks []model.Chunk
	done   *model.EngineDone
	err    *model.EngineError
	broken bool
}

func (r result) tokens() int {
	count := 0
	for _, chunk := range r.chunks {
		count += chunk.To - chunk.From
	}
	return count
}

// generate reads a connection to its end, or until limit chunks came, and breaks it then; zero means no limit.
func generate(ctx context.Context, server *jujubeengine.Server, request model.EngineRequest, limit int) result {
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
		line := lines.Text()
		data := []byte(strings.TrimPrefix(line, "data: "))
		switch {
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case line == "":
		case event == "chunk":
			var chunk model.Chunk
			_ = json.Unmarshal(data, &chunk)
			answer.chunks = append(answer.chunks, chunk)
			if limit > 0 && len(answer.chunks) >= limit {
				return answer
			}
		case event == "done":
			_ = json.Unmarshal(data, &answer.done)
		case event == "error":
			_ = json.Unmarshal(data, &answer.err)
		}
	}
	answer.broken = answer.done == nil && answer.err == nil
	return answer
}

func call(t *testing.T, server *jujubeengine.Server, method, path string, body, answer any) int {
	t.Helper()
	status, err := jujubehost.Call(t.Context(), http.DefaultClient, method, "http://"+server.Address()+path, body, answer)
	if status != 0 {
		assert.NilError(t, err)
	}
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

// checkChunks requires contiguous chunks from an index whose texts match their labels.
func checkChunks(t *testing.T, id string, from int, chunks []model.Chunk) {
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
}

// Guards against more running streams than slots, and against a queue that ignores the priority or the arrival.
func TestSlotsFollowPriorityThenArrival(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.Slots = 1 })
	finished := make(chan string)
	run := func(id string, priority model.Priority) {
		r := request(id)
		r.Priority = priority
		if generate(t.Context(), server, r, 0).done == nil {
			id += " failed"
		}
		finished <- id
	}
	for i, row := range []struct {
		id       string
		priority model.Priority
	}{
		{"first", model.PriorityTrainer},
		{"background", model.PriorityBackground},
		{"trainer-1", model.PriorityTrainer},
		{"trainer-2", model.PriorityTrainer},
		{"interactive", model.PriorityInteractive},
	} {
		go run(row.id, row.priority)
		await(t, server, "queued", func(r model.LoadReport) bool { return r.Running == 1 && r.Waiting == i })
	}
	for _, want := range []string{"first", "interactive", "trainer-1", "trainer-2", "background"} {
		assert.Equal(t, <-finished, want)
	}
}

// Guards against lost or repeated tokens when a connection breaks, and against two connections that both get tokens.
func TestStreamIsResumedAndTakenOver(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.TokensPerSecond = 300 })
	whole := generate(t.Context(), server, request("t/1/0/0/0/9"), 0)
	assert.Equal(t, whole.done.Tokens, 100)

	id := "t/1/0/0/0/1"
	before := generate(t.Context(), server, request(id), 2)
	checkChunks(t, id, 0, before.chunks)
	resume := request(id)
	resume.Resume, resume.ResumeFrom = true, before.tokens()
	taken := make(chan result)
	go func() { taken <- generate(t.Context(), server, resume, 0) }()
	time.Sleep(30 * time.Millisecond)
	after := generate(t.Context(), server, resume, 0)
	checkChunks(t, id, before.tokens(), after.chunks)
	assert.Equal(t, before.tokens()+after.tokens(), 100)
	assert.Equal(t, after.done.Reason, jujubeengine.ReasonStop)
	loser := <-taken
	assert.Assert(t, loser.err != nil && loser.err.Code == jujubeengine.CodeTakenOver)

	var held []model.EngineStream
	call(t, server, http.MethodGet, "/v1/streams?Prefix=t/1/0", nil, &held)
	assert.Equal(t, len(held), 2)
	assert.Assert(t, held[0].Finished && held[0].Tokens == 100)
	call(t, server, http.MethodGet, "/v1/streams?Prefix=t/1/0/0/0/", nil, &held)
	assert.Equal(t, len(held), 2)
	resume.Stream = "t/1/0/0/1/1"
	unknown := generate(t.Context(), server, resume, 0)
	assert.Equal(t, unknown.status, http.StatusNotFound)
	assert.Equal(t, unknown.err.Code, model.EngineCodeStreamUnknown)
}

// Guards against labels that name other weights than those that produced the tokens, during a swap.
func TestChunksNameTheirVersionAcrossSwap(t *testing.T) {
	server := start(t, func(s *jujubeengine.Settings) { s.TokensPerSecond = 300 })
	order := model.Order{Endpoint: "engine-1", Model: "model", Version: 2, Fence: 1}
	done := make(chan result)
	go func() { done <- generate(t.Context(), server, request("s"), 0) }()
	await(t, server, "running", func(r model.LoadReport) bool { return r.Running == 1 })
	time.Sleep(60 * time.Millisecond)
	server.SetFaults(jujubeengine.Faults{LoseOrderAnswers: 1})
	assert.Equal(t, call(t, server, http.MethodPost, "/v1/orders", order, nil), 0)
	assert.Assert(t, load(t, server).Swapping)
	got := <-done
	checkChunks(t, "s", 0, got.chunks)
	assert.Equal(t, got.chunks[0].Version, model.WeightVersion(1))
	assert.Equal(t, got.chunks[len(got.chunks)-1].Version, model.WeightVersion(2))
	assert.Equal(t, got.tokens(), 100)
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
	go func() { innocent <- generate(t.Context(), server, request("innocent"), 0) }()
	await(t, server, "running", func(r model.LoadReport) bool { return r.Running == 1 })
	guilty := request("guilty")
	guilty.Prompt = "some poison"
	assert.Assert(t, generate(t.Context(), server, guilty, 0).broken)
	assert.Assert(t, (<-innocent).broken)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if call(t, server, http.MethodGet, "/v1/load", nil, nil) == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("engine is down")
	}, poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, load(t, server).Incarnation > old)
	var held []model.EngineStream
	call(t, server, http.MethodGet, "/v1/streams", nil, &held)
	assert.Equal(t, len(held), 0)
}
