// Package jujubefault stores the injected faults of an emulator and serves them at /faults.
package jujubefault

import (
	"net/http"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/modules/jujubehost"
)

// Outage is the way in which an emulator fails all requests.
type Outage string

// Values of Outage.
const (
	OutageNone Outage = ""
	// OutageUnavailable responds with status 503 immediately.
	OutageUnavailable Outage = "Unavailable"
	// OutageHang accepts requests but blocks them until the outage ends. They run then, unless the client has disconnected.
	OutageHang Outage = "Hang"
)

// Injector stores the faults of type F. It is safe for concurrent use.
type Injector[F any] struct {
	mu     sync.Mutex
	faults F
	// changedCh is closed and replaced at each call of Set.
	changedCh chan struct{}
}

// New returns an Injector with all faults off.
func New[F any]() *Injector[F] { return &Injector[F]{changedCh: make(chan struct{})} }

// Get returns the current faults.
func (b *Injector[F]) Get() F {
	faults, _ := b.snapshot()
	return faults
}

// Set replaces all faults.
func (b *Injector[F]) Set(faults F) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
	close(b.changedCh)
	b.changedCh = make(chan struct{})
}

// Consume decrements a fault that applies to the next N requests and reports whether it applies to this request.
func (b *Injector[F]) Consume(field func(faults *F) *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := field(&b.faults)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// RegisterRoutes registers GET /faults and PUT /faults. A PUT replaces all faults: faults that its body omits are turned off.
func (b *Injector[F]) RegisterRoutes(mux *goji.Mux) {
	mux.HandleFunc(pat.Get("/faults"), func(w http.ResponseWriter, _ *http.Request) {
		jujubehost.WriteJSON(w, http.StatusOK, b.Get())
	})
	mux.HandleFunc(pat.Put("/faults"), func(w http.ResponseWriter, r *http.Request) {
		var faults F
		if !jujubehost.ReadJSON(w, r, &faults) {
			return
		}
		b.Set(faults)
		jujubehost.WriteJSON(w, http.StatusOK, faults)
	})
}

// Middleware returns middleware that applies the outage and the delay that read returns to all paths except /faults.
func (b *Injector[F]) Middleware(read func(faults F) (Outage, time.Duration)) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/faults" && !b.applyFaults(w, r, read) {
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// applyFaults blocks for the duration of a hanging outage or of the delay and reports whether the request should be handled.
// If not, it has sent the response.
func (b *Injector[F]) applyFaults(w http.ResponseWriter, r *http.Request, read func(faults F) (Outage, time.Duration)) bool {
	for {
		faults, changedCh := b.snapshot()
		outage, delay := read(faults)
		switch outage {
		case OutageUnavailable:
			jujubehost.WriteError(w, http.StatusServiceUnavailable,
				model.EngineError{Code: jujubehost.CodeUnavailable, Message: "outage"})
			return false
		case OutageHang:
			select {
			case <-r.Context().Done():
				jujubehost.Abort()
			case <-changedCh:
			}
		default:
			if !jujubehost.Sleep(r.Context(), delay) {
				jujubehost.Abort()
			}
			return true
		}
	}
}

// snapshot returns the current faults and a channel that is closed at the next change.
func (b *Injector[F]) snapshot() (F, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.changedCh
}
