package jujubehttp

import (
	"context"
	"net"
	"net/http"
)

// DialFunc opens a connection for an http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport returns a transport for responses that others depend on. Its connections are TrackedConns.
func NewTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return TrackConn(conn), nil
		},
		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
}
