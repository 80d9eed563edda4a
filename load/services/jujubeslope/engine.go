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

// engines are endpoints that answer at once, so that what is measured is the entry instance.
type engines struct {
	rows      []model.Endpoint
	listeners []net.Listener
	server    *http.Server
	// sample is before the first engine; it measures the bytes of a read.
	sample *meter
	// chunk is the number of tokens in a chunk.
	chunk  atomic.Int64
	loads  atomic.Int64
	caches atomic.Int64

	mu sync.Mutex
	// weights has a row for each engine. Guarded by mu.
	weights []weights
	// store admits loads.
	store *rate.Limiter
}

// weights are those of one engine.
type weights struct {
	version, target model.WeightVersion
	done            time.Time
}

// tokenText is the text of one token.
const tokenText = "text"

func startEngines(count int) (*engines, error) {
	needed := storeRate(count) * 1.3
	e := &engines{store: rate.NewLimiter(rate.Limit(needed), max(1, int(needed/4)))}
	e.chunk.Store(8)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, r *http.Request) {
		e.loads.Add(1)
		jujubehttp.WriteJSON(w, http.StatusOK, e.load(r))
	})
	mux.HandleFunc("GET /v1/cache-events", func(w http.ResponseWriter, _ *http.Request) {
		e.caches.Add(1)
		jujubehttp.WriteJSON(w, http.StatusOK, model.CacheEvents{})
	})
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("POST /v1/orders", e.order)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.close()
			return nil, errors.Wrap(err, "listen")
		}
		row := newEndpoints(i + 1)[i]
		row.Address = listener.Addr().String()
		e.rows, e.listeners = append(e.rows, row), append(e.listeners, listener)
		e.weights = append(e.weights, weights{version: 1, target: 1})
		go func() { _ = e.server.Serve(listener) }()
	}
	var err error
	if e.sample, err = startMeter(e.rows[0].Address); err != nil {
		e.close()
		return nil, err
	}
	e.rows[0].Address = e.sample.address()
	return e, nil
}

func (e *engines) close() {
	_ = e.server.Close()
	if e.sample != nil {
		e.sample.close()
	}
}

// reads returns the number of reads of all engines, and their bytes at the rate of the first engine's.
func (e *engines) reads() (requests, bytes int64) {
	requests = e.loads.Load() + e.caches.Load()
	return requests, e.sample.bytes.Load() * requests / max(1, e.sample.requests.Load())
}

// at returns the index of the engine at whose address a request came.
func (e *engines) at(r *http.Request) int {
	address, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	return slices.IndexFunc(e.listeners, func(listener net.Listener) bool {
		return listener.Addr().(*net.TCPAddr).Port == address.(*net.TCPAddr).Port
	})
}

func (e *engines) load(r *http.Request) model.LoadReport { return e.report(e.at(r)) }

func (e *engines) report(i int) model.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now().UTC()
	own := &e.weights[i]
	if own.version != own.target && !now.Before(own.done) {
		own.version = own.target
	}
	report := newLoad(e.rows[i], now)
	report.Version, report.Target, report.Swapping = own.version, own.target, own.version != own.target
	return report
}

// order lets an engine load weights, unless the store has no room.
func (e *engines) order(w http.ResponseWriter, r *http.Request) {
	var order model.Order
	if err := jujubehttp.DecodeBody(w, r, 1<<20, &order); err != nil {
		jujubehttp.WriteRefusal(w, err, nil)
		return
	}
	i := e.at(r)
	if !e.store.Allow() {
		jujubehttp.WriteJSON(w, http.StatusServiceUnavailable, model.EngineError{Code: model.EngineCodeOverloaded, Message: "store"})
		return
	}
	e.mu.Lock()
	e.weights[i].target, e.weights[i].done = order.Version, time.Now().Add(loadTime)
	e.mu.Unlock()
	jujubehttp.WriteJSON(w, http.StatusOK, model.OrderResult{Accepted: true, Report: e.report(i)})
}

// countAt counts the engines that serve a version.
func (e *engines) countAt(version model.WeightVersion) int {
	count := 0
	for i := range e.rows {
		if e.report(i).Version >= version {
			count++
		}
	}
	return count
}

func (e *engines) generate(w http.ResponseWriter, r *http.Request) {
	var request model.EngineRequest
	if err := jujubehttp.DecodeBody(w, r, 1<<20, &request); err != nil {
		jujubehttp.WriteRefusal(w, err, nil)
		return
	}
	events := jujubehttp.NewEventWriter(w)
	chunk := int(e.chunk.Load())
	for from := 0; from < request.MaxTokens; from += chunk {
		to := min(from+chunk, request.MaxTokens)
		text := fmt.Sprintf("%*s", (to-from)*len(tokenText), tokenText)
		if events.Write("chunk", model.Chunk{From: from, To: to, Text: text, Version: 1}) != nil {
			return
		}
	}
	// A failed write shows at the caller as a broken stream.
	_ = events.Write("done", model.EngineDone{Tokens: request.MaxTokens, Reason: "Length", Load: e.load(r)})
}
