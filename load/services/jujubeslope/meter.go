package jujubeslope

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// meter relays connections to an address and counts the HTTP requests and the bytes in both directions.
type meter struct {
	listener net.Listener
	target   string
	requests atomic.Int64
	bytes    atomic.Int64

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	serving     sync.WaitGroup
}

func startMeter(target string) (*meter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	m := &meter{listener: listener, target: target, connections: make(map[net.Conn]bool)}
	m.serving.Add(1)
	go m.accept()
	return m, nil
}

func (m *meter) address() string { return m.listener.Addr().String() }

func (m *meter) accept() {
	defer m.serving.Done()
	for {
		client, err := m.listener.Accept()
		if err != nil {
			return
		}
		server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", m.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		if !m.keep(client, server) {
			return
		}
		m.serving.Add(2)
		go m.relay(server, client, true)
		go m.relay(client, server, false)
	}
}

// keep remembers connections until they end; it closes them at once when the meter has been closed.
func (m *meter) keep(connections ...net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, connection := range connections {
		m.connections[connection] = true
		if m.closed {
			_ = connection.Close()
		}
	}
	return !m.closed
}

// relay copies one direction. Each request begins with a line that ends with the protocol's name.
func (m *meter) relay(to, from net.Conn, requests bool) {
	defer m.serving.Done()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		m.bytes.Add(int64(n))
		if requests {
			m.requests.Add(int64(bytes.Count(buffer[:n], []byte(" HTTP/1.1\r\n"))))
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, connection := range []net.Conn{to, from} {
		_ = connection.Close()
		delete(m.connections, connection)
	}
}

func (m *meter) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	m.closed = true
	for connection := range m.connections {
		_ = connection.Close()
	}
	m.mu.Unlock()
	m.serving.Wait()
}
