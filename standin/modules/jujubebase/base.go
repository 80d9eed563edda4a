// Package jujubebase contains the parts common to all emulators: the HTTP listener, fault injection and rate limits.
package jujubebase

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"goji.io"
	"golang.org/x/time/rate"

	"jujubepier.example/standin/modules/jujubefault"
	"jujubepier.example/standin/modules/jujubehost"
)

// Base is embedded in the Server type of each emulator. F is the type of its faults.
type Base[F any] struct {
	Faults *jujubefault.Injector[F]
	// Host is nil until Listen has succeeded.
	Host *jujubehost.Host
}

// New returns a base with all faults off, and a mux that serves /faults.
func New[F any]() (*Base[F], *goji.Mux) {
	b := &Base[F]{Faults: jujubefault.New[F]()}
	mux := goji.NewMux()
	b.Faults.RegisterRoutes(mux)
	return b, mux
}

// UseFaults applies the outage and the delay that read returns to all requests of a mux, except those to /faults.
func (b *Base[F]) UseFaults(mux *goji.Mux, read func(faults F) (jujubefault.Outage, time.Duration)) {
	mux.Use(b.Faults.Middleware(read))
}

// Listen starts serving the mux at an address. An error message begins with name.
func (b *Base[F]) Listen(ctx context.Context, name, address string, mux *goji.Mux) error {
	host, err := jujubehost.Listen(ctx, address, mux)
	b.Host = host
	return errors.Wrap(err, name)
}

// Address returns the host and port of the listener.
func (b *Base[F]) Address() string { return b.Host.Address() }

// SetFaults replaces all faults, like PUT /faults.
func (b *Base[F]) SetFaults(faults F) { b.Faults.Set(faults) }

// NewLimiter returns a limiter for a number of events per second; zero means no limit. The burst is at least 1.
func NewLimiter(perSecond float64, burst int) *rate.Limiter {
	limit := rate.Inf
	if perSecond > 0 {
		limit = rate.Limit(perSecond)
	}
	return rate.NewLimiter(limit, max(1, burst))
}
