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
	// parallelRequests run at once; with the bound on processors this keeps all of these busy.
	parallelRequests = 8
	requestsOfAPoint = 400
)

// cost is what requests have spent in the process.
type cost struct {
	processor time.Duration
	allocated float64
	received  int64
}

// studyTokens measures requests through one entry instance, less the same requests sent to the engine directly. The
// client and the engine are in the same process, so the difference is the entry instance's.
func studyTokens(ctx context.Context, report *Report) error {
	s, err := startSite(ctx, 1, 4)
	if err != nil {
		return err
	}
	defer s.close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: parallelRequests}}
	defer client.CloseIdleConnections()
	through := "http://" + s.entries[0].Settings.CallerAddress + "/v1/generate"
	direct := "http://" + s.engines.rows[0].Address + "/v1/generate"
	measure := func(a axis, size, chunk, tokens int) error {
		s.engines.chunk.Store(int64(chunk))
		return report.steady(func() error {
			entry, err := send(ctx, client, through, func(i int) any {
				return model.GenerateRequest{
					ID: model.RequestID(fmt.Sprintf("%d-%d-%d-%d", chunk, tokens, i, time.Now().UnixNano())), Caller: "caller", Model: modelName,
					Prompt: fmt.Sprintf("prompt %d", i), MaxTokens: tokens, Stream: true, Timeout: model.Duration(time.Minute),
				}
			})
			if err != nil {
				return err
			}
			engine, err := send(ctx, client, direct, func(i int) any {
				return model.EngineRequest{Stream: model.StreamID(fmt.Sprint(i)), Model: modelName, Prompt: fmt.Sprintf("prompt %d", i), MaxTokens: tokens}
			})
			if err != nil {
				return err
			}
			requests := float64(requestsOfAPoint)
			report.add(a, size, "entry: processor time of a request", "us", float64((entry.processor-engine.processor).Microseconds())/requests)
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

// send sends the requests of a point and returns what they cost.
func send(ctx context.Context, client *http.Client, url string, request func(i int) any) (cost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	used := processTime()
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
			for i := worker; i < requestsOfAPoint; i += parallelRequests {
				n, err := sendOne(ctx, client, url, request(i))
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
	used = processTime() - used
	runtime.ReadMemStats(&after)
	return cost{processor: used, allocated: float64(after.TotalAlloc - before.TotalAlloc), received: received}, failure
}

func sendOne(ctx context.Context, client *http.Client, url string, request any) (int64, error) {
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
		err = errors.Errorf("status %d", response.StatusCode)
	}
	return received, errors.Wrap(err, "read answer")
}
