// Package jujubefault holds the faults of an emulator and serves them at /faults.
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

// Outage tells how an emulator fails all calls.
type Outage string

// Values of Outage.
const (
	OutageNone Outage = ""
	// OutageUnavailable answers 503 at once.
	OutageUnavailable Outage = "Unavailable"
	// OutageHang accepts calls and runs them when the outage ends, unless the client has gone.
	OutageHang Outage = "Hang"
)

// Box guards the faults of type F.
type Box[F any] struct {
	mu     sync.Mutex
	faults F
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// New returns a box with all faults off.
func New[F any]() *Box[F] { return &Box[F]{changed: make(chan struct{})} }

// Get returns the faults as they are now.
func (b *Box[F]) Get() F {
	faults, _ := b.watch()
	return faults
}

// Set replaces all faults.
func (b *Box[F]) Set(faults F) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = faults
	close(b.changed)
	b.changed = make(chan struct{})
}

// Take counts down a fault that holds for the next N calls and tells whether this call is one of them.
func (b *Box[F]) Take(field func(faults *F) *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := field(&b.faults)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// Handle adds GET /faults and PUT /faults. A PUT replaces all faults: absent fields are switched off.
func (b *Box[F]) Handle(mux *goji.Mux) {
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

// Guard applies an outage and a delay to all paths but /faults.
func (b *Box[F]) Guard(read func(faults F) (Outage, time.Duration)) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/faults" && !b.pass(w, r, read) {
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

func (b *Box[F]) pass(w http.ResponseWriter, r *http.Request, read func(faults F) (Outage, time.Duration)) bool {
	for {
		faults, changed := b.watch()
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
			case <-changed:
			}
		default:
			if !jujubehost.Sleep(r.Context(), delay) {
				jujubehost.Abort()
			}
			return true
		}
	}
}

func (b *Box[F]) watch() (F, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.changed
}
