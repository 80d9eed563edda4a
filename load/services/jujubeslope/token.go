package jujubeslope

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

const (
	// parallelRequests is the number of concurrent requests; it is enough to keep maxProcessors busy.
	parallelRequests = 8
	requestsPerPoint = 400
)

// requestCost holds the resources that the requests of one point have used in this process.
type requestCost struct {
	processorTime time.Duration
	allocated     float64
	received      int64
}

// studyTokens measures requests through one entry instance and subtracts the cost of the same requests sent directly to an
// engine. Client and engine run in the same process, so the difference is the cost of the entry instance.
func studyTokens(ctx context.Context, report *Report) error {
	s, err := startSite(ctx, 1, 4)
	if err != nil {
		return err
	}
	defer s.close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: parallelRequests}}
	defer client.CloseIdleConnections()
	viaEntry := "http://" + s.entries[0].Settings.CallerAddress + "/v1/generate"
	direct := "http://" + s.engines.endpoints[0].Address + "/v1/generate"
	measure := func(a axis, size, chunk, tokens int) error {
		s.engines.chunkTokens.Store(int64(chunk))
		return report.repeatIfPaused(func() error {
			entry, err := sendRequests(ctx, client, viaEntry, func(i int) any {
				return model.GenerateRequest{
					ID: model.RequestID(fmt.Sprintf("%d-%d-%d-%d", chunk, tokens, i, time.Now().UnixNano())), Caller: "caller", Model: modelName,
					Prompt: fmt.Sprintf("prompt %d", i), MaxTokens: tokens, Stream: true, Timeout: model.Duration(time.Minute),
				}
			})
			if err != nil {
				return err
			}
			engine, err := sendRequests(ctx, client, direct, func(i int) any {
				return model.EngineRequest{Stream: model.StreamID(fmt.Sprint(i)), Model: modelName, Prompt: fmt.Sprintf("prompt %d", i), MaxTokens: tokens}
			})
			if err != nil {
				return err
			}
			requests := float64(requestsPerPoint)
			report.add(a, size, "entry: processor time of a request", "us", float64((entry.processorTime-engine.processorTime).Microseconds())/requests)
			report.add(a, size, "entry: allocated for a request", "B", (entry.allocated-engine.allocated)/requests)
			report.add(a, size, "entry: bytes to the caller", "B", float64(entry.received)/requests)
			report.add(a, size, "entry: bytes from the engine", "B", float64(engine.received)/requests)
			return nil
		})
	}
	for _, tokens := range []int{8, 64, 256, 1024} {
		if err := measure(axis{"tokens of a request, 8 in a chunk", 255}, tokens, 8, tokens); err != nil {
			return err
		}
	}
	for _, chunk := range []int{1, 4, 8, 32} {
		if err := measure(axis{"chunks of a request of 256 tokens", 32}, 256/chunk, chunk, 256); err != nil {
			return err
		}
	}
	return nil
}

// sendRequests sends the requests of one point and returns their total cost.
func sendRequests(ctx context.Context, client *http.Client, url string, request func(i int) any) (requestCost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	used := processorTime()
	var (
		mu       sync.Mutex
		received int64
		failure  error
		running  sync.WaitGroup
	)
	for worker := range parallelRequests {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := worker; i < requestsPerPoint; i += parallelRequests {
				n, err := sendRequest(ctx, client, url, request(i))
				mu.Lock()
				received += n
				if err != nil && failure == nil {
					failure = err
				}
				mu.Unlock()
			}
		}()
	}
	running.Wait()
	used = processorTime() - used
	runtime.ReadMemStats(&after)
	return requestCost{processorTime: used, allocated: float64(after.TotalAlloc - before.TotalAlloc), received: received}, failure
}

// sendRequest sends one request and returns the length of the response's body.
func sendRequest(ctx context.Context, client *http.Client, url string, request any) (int64, error) {
	data, err := json.Marshal(request)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	call.Header.Set("Content-Type", "application/json")
	response, err := client.Do(call)
	if err != nil {
		return 0, errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.Errorf("unexpected status %d", response.StatusCode)
	}
	return received, errors.Wrap(err, "read answer")
}
