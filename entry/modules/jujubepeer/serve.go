package jujubepeer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the exponential backoff after a failed Accept.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Serve registers the methods of receiver and serves connections until the context ends. Then it closes the listener and all
// connections.
func Serve(ctx context.Context, listener net.Listener, receiver any) error {
	server := rpc.NewServer()
	if err := server.Register(receiver); err != nil {
		return errors.Wrap(err, "register peer methods")
	}
	var conns sync.Map
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		conns.Range(func(key, _ any) bool {
			_ = key.(net.Conn).Close()
			return true
		})
	})
	defer stop()
	var active sync.WaitGroup
	defer active.Wait()
	delay := time.Duration(0)
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			delay = 0
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept peer")
		default:
			// An aborted conn or a temporary lack of file descriptors must not stop the server.
			delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
			time.Sleep(delay)
			continue
		}
		conns.Store(conn, nil)
		active.Add(1)
		go func() {
			defer active.Done()
			server.ServeConn(conn)
			conns.Delete(conn)
		}()
	}
}
