package jujubeslope

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

// stubEngines serves the engines' HTTP interface with immediate responses, so that the entry instance dominates what is
// measured.
type stubEngines struct {
	endpoints []model.Endpoint
	listeners []net.Listener
	server    *http.Server
	// firstProxy is in front of the first engine and counts the bytes of its reads.
	firstProxy *countingProxy
	// chunkTokens is the number of tokens per chunk.
	chunkTokens     atomic.Int64
	loadReads       atomic.Int64
	cacheEventReads atomic.Int64

	mu sync.Mutex
	// weights holds the state of each engine by index. Guarded by mu.
	weights []weightState
	// storeLimiter limits the rate of loads from the weight store.
	storeLimiter *rate.Limiter
}

// weightState holds the current and the ordered weight version of one engine.
type weightState struct {
	version, target model.WeightVersion
	// loadedAt is when the load of target ends.
	loadedAt time.Time
}

// tokenText is the text of one token.
const tokenText = "text"

func startStubEngines(count int) (*stubEngines, error) {
	needed := storeRate(count) * 1.3
	e := &stubEngines{storeLimiter: rate.NewLimiter(rate.Limit(needed), max(1, int(needed/4)))}
	e.chunkTokens.Store(8)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, r *http.Request) {
		e.loadReads.Add(1)
		jujubehttp.WriteJSON(w, http.StatusOK, e.reportFor(r))
	})
	mux.HandleFunc("GET /v1/cache-events", func(w http.ResponseWriter, _ *http.Request) {
		e.cacheEventReads.Add(1)
		jujubehttp.WriteJSON(w, http.StatusOK, model.CacheEvents{})
	})
	mux.HandleFunc("POST /v1/generate", e.handleGenerate)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.close()
			return nil, errors.Wrap(err, "listen")
		}
		endpoint := newEndpoints(i + 1)[i]
		endpoint.Address = listener.Addr().String()
		e.endpoints, e.listeners = append(e.endpoints, endpoint), append(e.listeners, listener)
		e.weights = append(e.weights, weightState{version: 1, target: 1})
		go func() { _ = e.server.Serve(listener) }()
	}
	var err error
	if e.firstProxy, err = startCountingProxy(e.endpoints[0].Address); err != nil {
		e.close()
		return nil, err
	}
	e.endpoints[0].Address = e.firstProxy.address()
	return e, nil
}

func (e *stubEngines) close() {
	_ = e.server.Close()
	if e.firstProxy != nil {
		e.firstProxy.close()
	}
}

// readTraffic returns the number of reads of all engines. Their bytes are extrapolated from the first engine's reads.
func (e *stubEngines) readTraffic() (requests, bytes int64) {
	requests = e.loadReads.Load() + e.cacheEventReads.Load()
	return requests, e.firstProxy.bytes.Load() * requests / max(1, e.firstProxy.requests.Load())
}

// indexOf returns the index of the engine on whose address a request arrived.
func (e *stubEngines) indexOf(r *http.Request) int {
	address, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return slices.IndexFunc(e.listeners, func(listener net.Listener) bool {
		return listener.Addr().(*net.TCPAddr).Port == address.(*net.TCPAddr).Port
	})
}

func (e *stubEngines) reportFor(r *http.Request) model.LoadReport {
	return e.currentReport(e.indexOf(r))
}

// currentReport returns an engine's load report, and completes its load of weights if that has ended by now.
func (e *stubEngines) currentReport(i int) model.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now().UTC()
	state := &e.weights[i]
	if state.version != state.target && !now.Before(state.loadedAt) {
		state.version = state.target
	}
	report := newLoadReport(e.endpoints[i], now)
	report.Version, report.Target, report.Swapping = state.version, state.target, state.version != state.target
	return report
}

// handleOrder starts the load of a weight version, or responds with Overloaded if the weight store's rate is exhausted.
func (e *stubEngines) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order model.Order
	if err := jujubehttp.DecodeBody(w, r, 1<<20, &order); err != nil {
		jujubehttp.WriteRefusal(w, err, nil)
		return
	}
	i := e.indexOf(r)
	if !e.storeLimiter.Allow() {
		jujubehttp.WriteJSON(w, http.StatusServiceUnavailable, model.EngineError{Code: model.EngineCodeOverloaded, Message: "store"})
		return
	}
	e.mu.Lock()
	e.weights[i].target, e.weights[i].loadedAt = order.Version, time.Now().Add(loadTime)
	e.mu.Unlock()
	jujubehttp.WriteJSON(w, http.StatusOK, model.OrderResult{Accepted: true, Report: e.currentReport(i)})
}

// countServing returns the number of engines that serve the version or a newer one.
func (e *stubEngines) countServing(version model.WeightVersion) int {
	count := 0
	for i := range e.endpoints {
		if e.currentReport(i).Version >= version {
			count++
		}
	}
	return count
}

// handleGenerate streams all chunks of a generation without delay.
func (e *stubEngines) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var request model.EngineRequest
	if err := jujubehttp.DecodeBody(w, r, 1<<20, &request); err != nil {
		jujubehttp.WriteRefusal(w, err, nil)
		return
	}
	events := jujubehttp.NewEventWriter(w)
	chunk := int(e.chunkTokens.Load())
	for from := 0; from < request.MaxTokens; from += chunk {
		to := min(from+chunk, request.MaxTokens)
		text := fmt.Sprintf("%*s", (to-from)*len(tokenText), tokenText)
		if events.Write("chunk", model.Chunk{From: from, To: to, Text: text, Version: 1}) != nil {
			return
		}
	}
	// After a failed write the caller sees a broken stream.
	_ = events.Write("done", model.EngineDone{Tokens: request.MaxTokens, Reason: "Length", Load: e.reportFor(r)})
}
