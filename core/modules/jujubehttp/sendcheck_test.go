package jujubehttp_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubehttp"
)

// limitedConn is a connection whose permits have expired at the other end once late is set.
type limitedConn struct {
	net.Conn
	late      *bool
	expiresAt *[]jujubeclock.Instant
}

func (c limitedConn) WriteBefore(p []byte, expiresAt jujubeclock.Instant) (int, error) {
	*c.expiresAt = append(*c.expiresAt, expiresAt)
	if *c.late {
		return 0, jujubehttp.ErrWriteExpired{}
	}
	return c.Conn.Write(p)
}

// TestExpiredPermit guards against a request that a carried connection delivers after its permit has expired, and against one that
// counts as sent, or is sent without a new permit, when the carrier refuses it for that reason.
func TestExpiredPermit(t *testing.T) {
	for _, isKept := range []bool{false, true} {
		server := newRawServer(t, func(_ string, conn net.Conn) bool { respond(conn); return true })
		late := false
		var expiresAt []jujubeclock.Instant
		client := newTrackedClient(t, func(conn net.Conn) net.Conn { return limitedConn{conn, &late, &expiresAt} })
		if isKept {
			assert.NilError(t, send(t, client, "GET", "http://"+server.address+"/kept", "", ""))
			assert.Equal(t, len(expiresAt), 0, "a request without a permit has no limit")
		}
		late = true
		checks := 0
		ctx := jujubehttp.WithSendPermit(t.Context(), func() jujubehttp.SendPermit {
			checks++
			return jujubehttp.SendPermit{Allowed: true, Valid: time.Minute}
		})
		request, err := http.NewRequestWithContext(ctx, "POST", "http://"+server.address+"/late", strings.NewReader("body"))
		assert.NilError(t, err)
		before := jujubeclock.Now()
		_, err = jujubehttp.SendOnce(client, request)
		assert.Assert(t, errors.As(err, new(jujubehttp.ErrUnsent)), "%v", err)
		// The kept connection is followed by a new one, which asks for a permit of its own.
		assert.Equal(t, checks, len(expiresAt))
		assert.Equal(t, checks == 2, isKept)
		for _, at := range expiresAt {
			assert.Assert(t, at.Sub(before) >= time.Minute && at.Sub(jujubeclock.Now()) <= time.Minute)
		}
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, server.count("/late"), 0)
	}
}

// TestPermitWithoutLimit guards against a permit that was expired when it was given, which mustn't pass for one without a limit.
func TestPermitWithoutLimit(t *testing.T) {
	server := newRawServer(t, func(_ string, conn net.Conn) bool { respond(conn); return true })
	client := newTrackedClient(t, sameConn)
	for valid, isSent := range map[time.Duration]bool{-time.Nanosecond: false, 0: true} {
		ctx := jujubehttp.WithSendPermit(t.Context(), func() jujubehttp.SendPermit {
			return jujubehttp.SendPermit{Allowed: true, Valid: valid}
		})
		request, err := http.NewRequestWithContext(ctx, "POST", "http://"+server.address+"/", strings.NewReader("body"))
		assert.NilError(t, err)
		response, err := jujubehttp.SendOnce(client, request)
		assert.Equal(t, err == nil, isSent)
		if err == nil {
			assert.NilError(t, response.Body.Close())
		}
	}
}
