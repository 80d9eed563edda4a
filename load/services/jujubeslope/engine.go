package jujubeslope

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

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
	chunk atomic.Int64
	// version is the weight version that all report.
	version atomic.Int64
	loads   atomic.Int64
	caches  atomic.Int64
}

// tokenText is the text of one token.
const tokenText = "text"

func startEngines(count int) (*engines, error) {
	e := &engines{}
	e.chunk.Store(8)
	e.version.Store(1)
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

// load is the report of the endpoint at whose address a request came.
func (e *engines) load(r *http.Request) model.LoadReport {
	address, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	for i, row := range e.rows {
		if e.listeners[i].Addr().String() == address.String() {
			report := newLoad(row, time.Now().UTC())
			report.Version = model.WeightVersion(e.version.Load())
			return report
		}
	}
	return model.LoadReport{}
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
