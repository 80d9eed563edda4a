package jujubehttp

import (
	"context"
	"net"
	"time"

	"jujubepier.example/core/modules/jujubeclock"
)

// SendCheck reports whether a request may still be sent. It is called before the first byte is written.
type SendCheck func() bool

// SendPermit is the outcome of a check immediately before the first byte of a request is written.
type SendPermit struct {
	Allowed bool
	// Valid is how long after the call of the check bytes of the request may reach the server; zero for no limit, and a negative one
	// allows nothing. A LimitedConn writes nothing later. A socket may write the rest later, and a SendGuard takes back what
	// the server hasn't got by SendMargin after it.
	Valid time.Duration
}

// LimitedConn is a connection on which a write may take effect a while after it was made, such as one that another machine carries.
type LimitedConn interface {
	net.Conn
	// WriteBefore writes data that mustn't take effect later than an instant of jujubeclock.Now. It returns ErrWriteExpired if none
	// of the rest has taken effect and none ever will.
	WriteBefore(p []byte, expiresAt jujubeclock.Instant) (int, error)
}

// ErrWriteExpired reports that data wasn't written because its permit has expired.
type ErrWriteExpired struct{}

// Error returns the message.
func (ErrWriteExpired) Error() string { return "the permit to send the request has expired" }

// sendCheckKey is the context's key of a check.
type sendCheckKey struct{}

// WithSendCheck returns a context whose requests SendOnce sends only if the check allows it at the last moment.
func WithSendCheck(ctx context.Context, check SendCheck) context.Context {
	return WithSendPermit(ctx, func() SendPermit { return SendPermit{Allowed: check()} })
}

// WithSendPermit returns a context whose requests SendOnce sends only with a permit, which it asks for at the last moment on each
// connection that it tries.
func WithSendPermit(ctx context.Context, check func() SendPermit) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}
