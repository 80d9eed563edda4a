// Package jujubebase holds what all emulators have: a listener, faults and their interface, and limits of rates.
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

// Base is embedded by the server of an emulator.
type Base[F any] struct {
	Faults *jujubefault.Box[F]
	// Host is nil until Listen has succeeded.
	Host *jujubehost.Host
}

// New returns a base with all faults off, and a mux that serves them.
func New[F any]() (*Base[F], *goji.Mux) {
	b := &Base[F]{Faults: jujubefault.New[F]()}
	mux := goji.NewMux()
	b.Faults.Handle(mux)
	return b, mux
}

// Guard applies an outage and a delay to the calls of a mux.
func (b *Base[F]) Guard(mux *goji.Mux, read func(faults F) (jujubefault.Outage, time.Duration)) {
	mux.Use(b.Faults.Guard(read))
}

// Listen starts to serve; name begins the error's text.
func (b *Base[F]) Listen(ctx context.Context, name, address string, mux *goji.Mux) error {
	host, err := jujubehost.Listen(ctx, address, mux)
	b.Host = host
	return errors.Wrap(err, name)
}

// Address returns host:port.
func (b *Base[F]) Address() string { return b.Host.Address() }

// SetFaults replaces the faults, as PUT /faults does.
func (b *Base[F]) SetFaults(faults F) { b.Faults.Set(faults) }

// NewLimiter returns a limiter of events per second; zero means no limit.
func NewLimiter(perSecond float64, burst int) *rate.Limiter {
	limit := rate.Inf
	if perSecond > 0 {
		limit = rate.Limit(perSecond)
	}
	return rate.NewLimiter(limit, max(1, burst))
}
