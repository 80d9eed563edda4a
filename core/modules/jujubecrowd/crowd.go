// Package jujubecrowd emulates clients that the operators don't control, for tests of the programs' listeners: clients that send
// heads, bodies and messages that don't end, and clients that don't read.
package jujubecrowd

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Form is one kind of hostile client.
type Form struct {
	Name string
	// Begin returns the bytes that the client with a number sends first.
	Begin func(client int) []byte
	// Repeat is sent after them again and again until Bytes have been sent; empty if the client then sends nothing.
	Repeat []byte
	Bytes  int
	// Waits is true if the client sends nothing for a while, instead of starting anew, when the other side closes the connection.
	Waits bool
}

// Crowd is a number of clients of one form.
type Crowd struct {
	Address string
	Form    Form
	Clients int
	// Hold is how long the clients keep their connections open. A client whose connection is closed opens another one.
	Hold time.Duration
}

const (
	// reconnectDelay is how long a client waits before it opens another connection.
	reconnectDelay = 50 * time.Millisecond
	// writeSize is the size of a client's writes of repeated bytes.
	writeSize = 4 << 10
)

// Run runs all clients until Hold has passed or the context ends, and returns the number of connections that they opened.
func (c Crowd) Run(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, c.Hold)
	defer cancel()
	var clients sync.WaitGroup
	opened := make([]int, c.Clients)
	for i := range c.Clients {
		clients.Go(func() {
			for ; ctx.Err() == nil; sleep(ctx, reconnectDelay) {
				if c.runClient(ctx, i) {
					opened[i]++
				}
			}
		})
	}
	clients.Wait()
	sum := 0
	for _, count := range opened {
		sum += count
	}
	return sum
}

// runClient opens a connection, sends the client's bytes and keeps the connection until the other side closes it.
func (c Crowd) runClient(ctx context.Context, number int) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(writeSize) // so that little of a response that isn't read leaves the process
	}
	begin := c.Form.Begin(number)
	if _, err := conn.Write(begin); err != nil {
		return true
	}
	if len(c.Form.Repeat) > 0 {
		block := make([]byte, 0, writeSize+len(c.Form.Repeat))
		for len(block) < writeSize {
			block = append(block, c.Form.Repeat...)
		}
		for sent := len(begin); sent < c.Form.Bytes; sent += len(block) {
			if _, err := conn.Write(block); err != nil {
				return true
			}
		}
	}
	if c.Form.Waits {
		<-ctx.Done()
		return true
	}
	// A client that reads one byte notices a refusal, and leaves the rest of a response unread.
	_, _ = conn.Read(make([]byte, 1))
	if err := conn.SetReadDeadline(time.Now().Add(time.Second)); err == nil {
		sleep(ctx, time.Second)
	}
	return true
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// head returns the beginning of a request's head.
func head(method, path, host string) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, host)
}
