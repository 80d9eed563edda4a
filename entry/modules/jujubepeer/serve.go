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
	// leastAcceptPause and mostAcceptPause bound the pause after a connection that couldn't be accepted; it doubles each time.
	leastAcceptPause = 5 * time.Millisecond
	mostAcceptPause  = time.Second
)

// Serve registers the methods of a receiver and accepts connections until the context ends, then closes them.
func Serve(ctx context.Context, listener net.Listener, receiver any) error {
	server := rpc.NewServer()
	if err := server.Register(receiver); err != nil {
		return errors.Wrap(err, "register peer methods")
	}
	var connections sync.Map
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		connections.Range(func(key, _ any) bool {
			_ = key.(net.Conn).Close()
			return true
		})
	})
	defer stop()
	var served sync.WaitGroup
	defer served.Wait()
	pause := time.Duration(0)
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			pause = 0
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept peer")
		default:
			// A connection that its caller has given up, or no descriptor at the moment, is no reason to end.
			pause = min(max(2*pause, leastAcceptPause), mostAcceptPause)
			time.Sleep(pause)
			continue
		}
		connections.Store(connection, nil)
		served.Add(1)
		go func() {
			defer served.Done()
			server.ServeConn(connection)
			connections.Delete(connection)
		}()
	}
}
