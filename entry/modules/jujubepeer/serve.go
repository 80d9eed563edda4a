package jujubepeer

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/pkg/errors"
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
	for {
		connection, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept peer")
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
