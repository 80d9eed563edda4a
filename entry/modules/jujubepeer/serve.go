package jujubepeer

import (
	"context"
	"io"
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
	return serve(ctx, listener, func(conn io.ReadWriteCloser, limits meter) {
		server.ServeCodec(newServerCodec(conn, limits, func() {}))
	})
}

// ServeWithTunnels serves as Serve does, and a Tunnel on each connection.
func ServeWithTunnels(ctx context.Context, listener net.Listener, receiver any, open OpenFunc) error {
	// Registering checks the receiver's methods, which can't fail later.
	if err := rpc.NewServer().Register(receiver); err != nil {
		return errors.Wrap(err, "register peer methods")
	}
	return serve(ctx, listener, func(conn io.ReadWriteCloser, limits meter) {
		server, tunnel := rpc.NewServer(), &Tunnel{ctx: ctx, open: open}
		defer tunnel.close()
		if server.Register(receiver) != nil || server.Register(tunnel) != nil {
			_ = conn.Close()
			return
		}
		// ServeCodec waits for calls in progress, and a read of the tunnel lasts until the tunnel is closed.
		server.ServeCodec(newServerCodec(conn, limits, tunnel.close))
	})
}

// readObserver calls onEnd when a read fails, such as at the end of the connection.
type readObserver struct {
	io.Reader
	onEnd func()
}

func (o readObserver) Read(p []byte) (int, error) {
	n, err := o.Reader.Read(p)
	if err != nil {
		o.onEnd()
	}
	return n, err
}

// newKeepAlive returns the settings by which a peer that lost power or its links is noticed within five seconds, also while a
// tunnel to it is idle.
func newKeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}
}

// serve accepts connections until the context ends.
func serve(ctx context.Context, listener net.Listener, serveConn func(conn io.ReadWriteCloser, limits meter)) error {
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
		inner, limits := conn, meter(noMeter{})
		if guarded, ok := conn.(interface {
			meter
			NetConn() net.Conn
		}); ok {
			inner, limits = guarded.NetConn(), guarded
		}
		if tcp, ok := inner.(*net.TCPConn); ok {
			_ = tcp.SetKeepAliveConfig(newKeepAlive()) // on failure a dead peer is noticed later
		}
		conns.Store(conn, nil)
		if ctx.Err() != nil {
			_ = conn.Close() // it may have been stored after all others were closed
		}
		active.Add(1)
		go func() {
			defer active.Done()
			serveConn(conn, limits)
			conns.Delete(conn)
		}()
	}
}
