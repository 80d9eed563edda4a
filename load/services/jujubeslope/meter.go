package jujubeslope

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// countingProxy forwards TCP connections to an address and counts the HTTP requests and the bytes in both directions.
type countingProxy struct {
	listener net.Listener
	target   string
	requests atomic.Int64
	bytes    atomic.Int64

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	serving     sync.WaitGroup
}

func startCountingProxy(target string) (*countingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &countingProxy{listener: listener, target: target, connections: make(map[net.Conn]bool)}
	p.serving.Add(1)
	go p.accept()
	return p, nil
}

func (p *countingProxy) address() string { return p.listener.Addr().String() }

func (p *countingProxy) accept() {
	defer p.serving.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		if !p.track(client, server) {
			return
		}
		p.serving.Add(2)
		go p.forward(server, client, true)
		go p.forward(client, server, false)
	}
}

// track registers connections so that close can close them. If the proxy is already closed, it closes them and returns
// false.
func (p *countingProxy) track(connections ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		p.connections[connection] = true
		if p.closed {
			_ = connection.Close()
		}
	}
	return !p.closed
}

// forward copies one direction of a connection. With countRequests it counts HTTP requests by the end of their request line.
func (p *countingProxy) forward(to, from net.Conn, countRequests bool) {
	defer p.serving.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.bytes.Add(int64(n))
		if countRequests {
			p.requests.Add(int64(bytes.Count(buffer[:n], []byte(" HTTP/1.1\r\n"))))
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range []net.Conn{to, from} {
		_ = connection.Close()
		delete(p.connections, connection)
	}
}

func (p *countingProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for connection := range p.connections {
		_ = connection.Close()
	}
	p.mu.Unlock()
	p.serving.Wait()
}
