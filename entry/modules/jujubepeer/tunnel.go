package jujubepeer

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubehttp"
)

const (
	// tunnelWriteTimeout bounds a write through a tunnel. A peer that doesn't respond to one in that time is gone.
	tunnelWriteTimeout = 2 * time.Second
	// maxTunnelRead bounds the bytes of one read through a tunnel, and maxTunnelWrite those of one write.
	maxTunnelRead, maxTunnelWrite = 32 << 10, 256 << 10
)

// OpenFunc opens a connection for a peer. Its error is passed to the peer as a text, except for ErrPeerUnable.
type OpenFunc func(ctx context.Context, address string) (net.Conn, error)

// ErrPeerUnable reports that a peer opens no connections for others: it is leaving, or has no path of its own.
type ErrPeerUnable struct {
	Reason string
}

// Error returns the reason.
func (e ErrPeerUnable) Error() string { return "the peer can't help: " + e.Reason }

// ErrPeerRefused reports that a peer couldn't connect to the endpoint.
type ErrPeerRefused struct {
	Reason string
}

// Error returns the reason.
func (e ErrPeerRefused) Error() string { return "connection through a peer: " + e.Reason }

// OpenArgs names what to connect to.
type OpenArgs struct {
	Address string
	Timeout time.Duration
}

// OpenReply is the outcome of Open; both texts are empty if the connection is open.
type OpenReply struct {
	// Unable and Refused are the reasons of ErrPeerUnable and ErrPeerRefused.
	Unable, Refused string
}

// ReadArgs bounds a read.
type ReadArgs struct {
	MaxBytes int
}

// ReadReply is the data that was read.
type ReadReply struct {
	Data []byte
	// EOF is true once the connection has been closed by its other end, and Broken is the error of a broken one.
	EOF    bool
	Broken string
}

// WriteArgs is the data to write.
type WriteArgs struct {
	Data []byte
	// Within is how long after the reply to the previous Open or Write the data may be written; zero for no limit. Earlier builds
	// neither set nor enforce it.
	Within time.Duration
}

// WriteReply is empty unless the connection is broken or the data came too late.
type WriteReply struct {
	Broken string
	// Expired is true if nothing was written because WriteArgs.Within had passed.
	Expired bool
}

// Tunnel serves one connection that a peer has opened through this instance, over a net/rpc connection of its own. The tunnel
// ends with either of them.
type Tunnel struct {
	ctx  context.Context
	open OpenFunc

	// reading is locked during a read, so that several of them take one buffer.
	reading sync.Mutex

	mu   sync.Mutex
	conn net.Conn
	// guard is that of conn.
	guard  *jujubehttp.SendGuard
	closed bool
	// repliedAt is an instant before the last reply to Open or Write was sent.
	repliedAt jujubeclock.Instant
}

// Open opens the connection.
func (t *Tunnel) Open(args OpenArgs, reply *OpenReply) error {
	ctx, cancel := context.WithTimeout(t.ctx, args.Timeout)
	defer cancel()
	conn, err := t.open(ctx, args.Address)
	var unable ErrPeerUnable
	switch {
	case errors.As(err, &unable):
		reply.Unable = unable.Reason
		return nil
	case err != nil:
		reply.Refused = err.Error()
		return nil
	}
	conn = jujubehttp.KeepReset(conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || t.conn != nil {
		_ = conn.Close()
		reply.Unable = "the tunnel is closed or in use"
		return nil
	}
	t.conn, t.guard, t.repliedAt = conn, jujubehttp.NewSendGuard(conn), jujubeclock.Now()
	return nil
}

func (t *Tunnel) current() (net.Conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return nil, errors.New("the tunnel isn't open")
	}
	return t.conn, nil
}

// Read waits for data of the connection.
func (t *Tunnel) Read(args ReadArgs, reply *ReadReply) error {
	conn, err := t.current()
	if err != nil {
		return err
	}
	t.reading.Lock()
	defer t.reading.Unlock()
	buffer := make([]byte, max(1, min(args.MaxBytes, maxTunnelRead)))
	n, err := conn.Read(buffer)
	reply.Data = buffer[:n]
	switch {
	case errors.Is(err, io.EOF):
		reply.EOF = true
	case err != nil:
		reply.Broken = err.Error()
	}
	return nil
}

// Write writes data to the connection, unless its time has passed, and takes back what the server hasn't got some time after. The caller
// measures the time from when it received the previous reply, which was later than repliedAt, so this instance may refuse data early but
// never writes it late.
func (t *Tunnel) Write(args WriteArgs, reply *WriteReply) error {
	if _, err := t.current(); err != nil {
		return err
	}
	defer t.recordReply()
	expiresAt := t.expiry(args)
	if expiresAt != 0 && jujubeclock.Now() > expiresAt {
		reply.Expired = true
		return nil
	}
	t.guard.Limit(expiresAt, nil)
	if _, err := t.guard.Write(args.Data); err != nil {
		reply.Broken = err.Error()
	}
	return nil
}

// expiry returns when data mustn't be written any more; zero for no limit.
func (t *Tunnel) expiry(args WriteArgs) jujubeclock.Instant {
	if args.Within == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.repliedAt.Add(args.Within)
}

func (t *Tunnel) recordReply() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repliedAt = jujubeclock.Now()
}

func (t *Tunnel) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.conn != nil {
		_ = t.guard.Close()
	}
}

// OpenTunnel opens a connection through the peer at an address. It returns ErrPeerRefused if the peer couldn't connect; any
// other error says nothing about the endpoint.
func (p *Pool) OpenTunnel(ctx context.Context, peer string, args OpenArgs) (net.Conn, error) {
	dialed, err := p.dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	conn := &tunnelConn{Conn: dialed, client: rpc.NewClient(dialed)}
	var reply OpenReply
	if err := conn.call(ctx, "Tunnel.Open", args, &reply); err != nil {
		_ = conn.Close()
		return nil, err
	}
	conn.repliedAt = jujubeclock.Now()
	switch {
	case reply.Unable != "":
		_ = conn.Close()
		return nil, ErrPeerUnable{reply.Unable}
	case reply.Refused != "":
		_ = conn.Close()
		return nil, ErrPeerRefused{reply.Refused}
	}
	return conn, nil
}

// tunnelConn is a connection through a peer. Deadlines apply to the connection to the peer.
type tunnelConn struct {
	net.Conn
	client *rpc.Client

	writeMu sync.Mutex
	// repliedAt is an instant after the last reply to Open or Write was received. No write follows one without a reply.
	repliedAt jujubeclock.Instant
	writeErr  error

	readMu sync.Mutex
	// unread is data that a Read has received and not returned; err is the error after it.
	unread []byte
	err    error
}

func (c *tunnelConn) call(ctx context.Context, method string, args, reply any) error {
	call := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return errors.Wrap(call.Error, method)
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), method)
	}
}

func (c *tunnelConn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.unread) == 0 && c.err == nil {
		var reply ReadReply
		err := c.call(context.Background(), "Tunnel.Read", ReadArgs{MaxBytes: len(p)}, &reply)
		c.unread = reply.Data
		switch {
		case err != nil:
			c.err = err
		case reply.Broken != "":
			c.err = errors.New(reply.Broken)
		case reply.EOF:
			c.err = io.EOF
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	if n > 0 {
		return n, nil
	}
	return 0, c.err
}

func (c *tunnelConn) Write(p []byte) (int, error) { return c.write(p, 0) }

// WriteBefore writes data that the peer mustn't pass on later than an instant. The machines' clocks needn't agree: the limit is
// sent as a time after the peer's previous reply.
func (c *tunnelConn) WriteBefore(p []byte, expiresAt jujubeclock.Instant) (int, error) {
	return c.write(p, expiresAt)
}

func (c *tunnelConn) write(p []byte, expiresAt jujubeclock.Instant) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	written := 0
	for {
		part := p[written:min(len(p), written+maxTunnelWrite)]
		n, err := c.writePart(part, expiresAt)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *tunnelConn) writePart(p []byte, expiresAt jujubeclock.Instant) (int, error) {
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	args := WriteArgs{Data: p}
	if expiresAt != 0 {
		if args.Within = expiresAt.Sub(c.repliedAt); args.Within <= 0 {
			return 0, jujubehttp.ErrWriteExpired{}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), tunnelWriteTimeout)
	defer cancel()
	var reply WriteReply
	if err := c.call(ctx, "Tunnel.Write", args, &reply); err != nil {
		c.writeErr = err
		return 0, err
	}
	c.repliedAt = jujubeclock.Now()
	switch {
	case reply.Expired:
		return 0, jujubehttp.ErrWriteExpired{}
	case reply.Broken != "":
		return 0, errors.New(reply.Broken)
	}
	return len(p), nil
}

// Close closes the connection to the peer, which closes the connection that it has opened.
func (c *tunnelConn) Close() error { return c.client.Close() }
