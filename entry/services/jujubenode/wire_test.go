package jujubenode_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/services/jujubenode"
)

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// connect passes the other end of a connection to Accept.
func (l *pipeListener) connect(ctx context.Context, server net.Conn) error {
	select {
	case l.conns <- server:
		return nil
	case <-l.closed:
		return errors.Wrap(syscall.ECONNREFUSED, "dial")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	return client, l.connect(ctx, server)
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "unix"} }

// arrival is an item that reached an engine.
type arrival struct {
	from       model.InstanceID
	submission jujubebatch.SubmissionID
	item       jujubebatch.ItemID
	at         time.Time
}

// wiredEngines are engines behind connections, as a run is checked for the last time when its first byte is written.
type wiredEngines struct {
	// events less the last digit of an item's id is the number of its events; interval is the time between them.
	events   int
	interval time.Duration
	listener *pipeListener

	mu       sync.Mutex
	arrivals []arrival
	// connect opens a connection of an instance, by default to the listener.
	connect func(ctx context.Context, from model.InstanceID) (net.Conn, error)
	// breakAfter, unless it is nil, returns the number of events after which a run breaks off; 0 for none.
	breakAfter func() int
}

func newWiredEngines(t *testing.T, events int, interval time.Duration) *wiredEngines {
	e := &wiredEngines{events: events, interval: interval, listener: newPipeListener()}
	e.connect = func(ctx context.Context, _ model.InstanceID) (net.Conn, error) { return e.listener.dial(ctx) }
	server := &http.Server{Handler: e}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(e.listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return e
}

// ServeHTTP runs an item.
func (e *wiredEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	from, submission, item := r.Header.Get("From"), r.Header.Get("Submission"), r.Header.Get("Item")
	e.arrivals = append(e.arrivals, arrival{model.InstanceID(from), jujubebatch.SubmissionID(submission), jujubebatch.ItemID(item), time.Now()})
	breakAfter := 0
	if e.breakAfter != nil {
		breakAfter = e.breakAfter()
	}
	e.mu.Unlock()
	after, _ := strconv.Atoi(r.Header.Get("After"))
	for number := after + 1; number <= e.events-int(item[len(item)-1]-'0'); number++ {
		_, _ = fmt.Fprintf(w, "%s.%d\n", item, number)
		_ = http.NewResponseController(w).Flush()
		if number == after+breakAfter {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.interval):
		}
	}
}

// after returns the arrivals of a submission's items from an instance after a time.
func (e *wiredEngines) after(from model.InstanceID, id jujubebatch.SubmissionID, at time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var late []string
	for _, a := range e.arrivals {
		if a.from == from && a.submission == id && a.at.After(at) {
			late = append(late, fmt.Sprintf("%s after %v", a.item, a.at.Sub(at).Round(time.Millisecond)))
		}
	}
	return late
}

// wiredClient is an instance's EngineClient of wired engines; orders go to the embedded one.
type wiredClient struct {
	jujubenode.EngineClient
	http *http.Client
	from model.InstanceID
}

func (e *wiredEngines) client(from model.InstanceID, orders jujubenode.EngineClient) jujubenode.EngineClient {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		e.mu.Lock()
		connect := e.connect
		e.mu.Unlock()
		return connect(ctx, from)
	}
	transport := jujubehttp.NewTransport(dial)
	transport.DisableKeepAlives = true
	return wiredClient{orders, &http.Client{Transport: transport}, from}
}

// Run sends an item.
func (c wiredClient) Run(ctx context.Context, start jujubebatch.StartRun, content jujubebatch.Content, sink jujubenode.RunSink) (jujubebatch.EndKind, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine/", bytes.NewReader(content.Body))
	if err != nil {
		return jujubebatch.RunBroken, err
	}
	for name, value := range map[string]string{"From": string(c.from), "Submission": string(start.Submission), "Item": string(start.Item), "After": strconv.Itoa(start.After)} {
		request.Header.Set(name, value)
	}
	response, err := jujubehttp.SendOnce(c.http, request)
	switch {
	case errors.As(err, new(jujubehttp.ErrUnsent)):
		return jujubebatch.RunUnsent, err
	case err != nil:
		return jujubebatch.RunBroken, err
	}
	defer func() { _ = response.Body.Close() }()
	if !sink.Accepted(1, time.Time{}) {
		return jujubebatch.RunRefused, nil
	}
	lines := bufio.NewScanner(response.Body)
	for number := start.After + 1; lines.Scan(); number++ {
		if !sink.Event(number, lines.Text(), 1) {
			return jujubebatch.RunBroken, nil
		}
	}
	if lines.Err() != nil {
		return jujubebatch.RunBroken, lines.Err()
	}
	return jujubebatch.RunComplete, nil
}
