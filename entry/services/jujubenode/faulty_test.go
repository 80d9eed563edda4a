package jujubenode_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/entry/services/jujubenode"
)

// faultKind is what is wrong with a machine for some time.
type faultKind string

const (
	// frozen machines neither send nor receive anything, but their clocks go on.
	frozen faultKind = "frozen"
	// storeHangs and storeRefuses affect calls before they are made, storeSilent loses the responses of calls that were made.
	storeHangs   faultKind = "store hangs"
	storeRefuses faultKind = "store refuses"
	storeSilent  faultKind = "store silent"
	// readsRefused affects reads only.
	readsRefused faultKind = "reads refused"
	// peersCut stalls what is sent to and by a machine, peersMute only what it sends.
	peersCut  faultKind = "peers cut"
	peersMute faultKind = "peers mute"
	// dialsRefused refuses the connections that a machine opens to others.
	dialsRefused faultKind = "dials refused"
	down         faultKind = "down"
	// appendsHang and appendsSilent affect appends of submissions, before they are made and after. An end that the store doesn't confirm
	// binds a machine all the same, so these don't count as faults.
	appendsHang   faultKind = "appends hang"
	appendsSilent faultKind = "appends silent"
	// appendsLate are executed after a delay, and get no response.
	appendsLate faultKind = "appends late"
	// Slow machines are free of faults, but all that they send and receive is delayed, or all responses of the store, or those to reads,
	// which the store makes without waiting for records.
	slow       faultKind = "slow"
	storeSlow  faultKind = "store slow"
	storeEarly faultKind = "store early"
)

// fault is a fault of a machine, from a time after the start of the case to another one.
type fault struct {
	Machine  model.InstanceID
	Kind     faultKind
	From, To time.Duration
	// Delay is that of a slow machine and of late appends; zero for other faults.
	Delay time.Duration
}

// machine is what an instance runs on.
type machine struct {
	id      model.InstanceID
	network *faultyNetwork
	faults  []fault
}

// current returns the machine's current fault of one of the kinds.
func (m *machine) current(kinds ...faultKind) (fault, bool) {
	now := time.Since(m.network.start)
	for _, f := range m.faults {
		if f.From <= now && now < f.To && slices.Contains(kinds, f.Kind) {
			return f, true
		}
	}
	return fault{}, false
}

// wait waits until the machine has no fault of the kinds, and reports whether that is before the context ends.
func (m *machine) wait(ctx context.Context, kinds ...faultKind) bool {
	for {
		f, ok := m.current(kinds...)
		if !ok {
			return ctx.Err() == nil
		}
		sleepOrDone(ctx, f.To-time.Since(m.network.start))
		if ctx.Err() != nil {
			return false
		}
	}
}

// delay waits for the delay of a slow machine, and reports whether the context goes on.
func (m *machine) delay(ctx context.Context, kinds ...faultKind) bool {
	if f, ok := m.current(kinds...); ok {
		sleepOrDone(ctx, f.Delay)
	}
	return m.wait(ctx, frozen)
}

// couldAct reports whether the machine was neither frozen nor down for a time before another one.
func (m *machine) couldAct(at time.Time, before time.Duration) bool {
	return !m.had(at, before, frozen, down)
}

// wasFree reports whether the machine was free of faults for a time before another one.
func (m *machine) wasFree(at time.Time, before time.Duration) bool {
	return !m.had(at, before, frozen, storeHangs, storeRefuses, storeSilent, peersCut, peersMute, down)
}

// had reports whether the machine had a fault of the kinds within a time before another one.
func (m *machine) had(at time.Time, before time.Duration, kinds ...faultKind) bool {
	to := at.Sub(m.network.start)
	return slices.ContainsFunc(m.faults, func(f fault) bool { return slices.Contains(kinds, f.Kind) && f.From <= to && to-before < f.To })
}

// dialPeer opens a connection to another machine.
func (m *machine) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return m.network.dial(ctx, m, address)
}

// machineStore is the store as a machine reaches it.
type machineStore struct {
	jujubenode.Store
	machine *machine
}

// do makes a call.
func (s machineStore) do(ctx context.Context, call string, execute func() error) error {
	lost := jujubenode.ErrStore{Call: call, Done: true, Reason: "no response"}
	if !s.machine.wait(ctx, frozen, storeHangs) {
		return lost
	}
	_, refuses := s.machine.current(storeRefuses)
	if _, refusesReads := s.machine.current(readsRefused); refuses || refusesReads && call != "append" {
		return jujubenode.ErrStore{Call: call, Status: http.StatusServiceUnavailable, Reason: "refused"}
	}
	err := execute()
	if _, ok := s.machine.current(storeSilent); ok {
		<-ctx.Done()
	}
	if !s.machine.delay(ctx, slow, storeSlow) {
		return lost
	}
	return err
}

func (s machineStore) Append(ctx context.Context, topic jujubenode.Topic, part int, records []jujubenode.Record, position int64) (offset int64, err error) {
	isSubmission := topic.Name == "submissions"
	if isSubmission && !s.machine.wait(ctx, appendsHang) {
		return 0, jujubenode.ErrStore{Call: "append", Done: true, Reason: "no response"}
	}
	err = s.do(ctx, "append", func() error {
		if late, ok := s.machine.current(appendsLate); ok && isSubmission {
			time.AfterFunc(late.Delay, func() { _, _ = s.Store.Append(context.Background(), topic, part, records, position) })
			return loseResponse(ctx, "append")
		}
		offset, err = s.Store.Append(ctx, topic, part, records, position)
		return err
	})
	if _, ok := s.machine.current(appendsSilent); ok && isSubmission {
		return 0, loseResponse(ctx, "append")
	}
	return offset, err
}

func (s machineStore) Read(ctx context.Context, topic jujubenode.Topic, part int, from int64, wait time.Duration, maxBytes int) (batch jujubenode.LogBatch, err error) {
	early, isEarly := s.machine.current(storeEarly)
	err = s.do(ctx, "read", func() error {
		if !isEarly {
			batch, err = s.Store.Read(ctx, topic, part, from, wait, maxBytes)
			return err
		}
		batch, err = s.Store.Read(ctx, topic, part, from, 0, maxBytes)
		sleepOrDone(ctx, wait+early.Delay)
		return err
	})
	return batch, err
}

func (s machineStore) Newest(ctx context.Context, topic jujubenode.Topic, after string) (page jujubenode.LogPage, err error) {
	err = s.do(ctx, "newest", func() error {
		page, err = s.Store.Newest(ctx, topic, after)
		return err
	})
	return page, err
}

// faultyNetwork connects machines in memory.
type faultyNetwork struct {
	start    time.Time
	machines map[model.InstanceID]*machine

	mu        sync.Mutex
	listeners map[string]*machineListener
	conns     []net.Conn
}

// newFaultyNetwork returns a network of machines i0, i1 and so on. A fault without a machine affects all.
func newFaultyNetwork(machines int, faults []fault) *faultyNetwork {
	n := &faultyNetwork{start: time.Now(), machines: map[model.InstanceID]*machine{}, listeners: map[string]*machineListener{}}
	for i := range machines {
		m := &machine{id: model.InstanceID(fmt.Sprint("i", i)), network: n}
		for _, f := range faults {
			if f.Machine == "" || f.Machine == m.id {
				m.faults = append(m.faults, f)
			}
		}
		n.machines[m.id] = m
	}
	return n
}

// machineListener accepts the connections to a machine.
type machineListener struct {
	*pipeListener
	machine *machine
}

func (l *machineListener) Addr() net.Addr {
	return &net.UnixAddr{Name: string(l.machine.id), Net: "unix"}
}

func (n *faultyNetwork) listen(id model.InstanceID) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[string(id)] = &machineListener{newPipeListener(), n.machines[id]}
	return n.listeners[string(id)]
}

// dial connects two machines.
func (n *faultyNetwork) dial(ctx context.Context, from *machine, address string) (net.Conn, error) {
	n.mu.Lock()
	listener, ok := n.listeners[address]
	n.mu.Unlock()
	if _, isRefused := from.current(dialsRefused); isRefused || !ok {
		return nil, errors.Wrap(syscall.ECONNREFUSED, "dial")
	}
	if !from.wait(ctx, frozen, peersCut, peersMute) || !listener.machine.wait(ctx, frozen, peersCut) {
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	if err := listener.connect(ctx, n.newPeerConn(server, listener.machine, from)); err != nil {
		return nil, err
	}
	return n.newPeerConn(client, from, listener.machine), nil
}

// close closes all connections between machines.
func (n *faultyNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		_ = conn.Close()
	}
}

// peerConn is the end of a connection at the machine from. As with TCP, a write doesn't wait for the other machine.
type peerConn struct {
	net.Conn
	from, to *machine
	ctx      context.Context
	cancel   context.CancelFunc
	queue    chan message
}

// message is what a write sends; it arrives at a time at the earliest.
type message struct {
	data []byte
	at   time.Time
}

func (n *faultyNetwork) newPeerConn(conn net.Conn, from, to *machine) *peerConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &peerConn{conn, from, to, ctx, cancel, make(chan message, 1<<12)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
	go c.deliver()
	return c
}

// deliver delivers what was written until the connection is closed.
func (c *peerConn) deliver() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-c.queue:
			sleepOrDone(c.ctx, time.Until(m.at))
			if !c.from.wait(c.ctx, frozen, peersCut, peersMute) || !c.to.wait(c.ctx, frozen, peersCut) {
				return
			}
			if _, err := c.Conn.Write(m.data); err != nil {
				return
			}
		}
	}
}

func (c *peerConn) Write(p []byte) (int, error) {
	at := time.Now()
	for _, m := range []*machine{c.from, c.to} {
		if f, ok := m.current(slow); ok {
			at = at.Add(f.Delay)
		}
	}
	select {
	case c.queue <- message{slices.Clone(p), at}:
		return len(p), nil
	case <-c.ctx.Done():
		return 0, net.ErrClosed
	}
}

func (c *peerConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// engineConn is the end of a connection to an engine at a machine.
type engineConn struct {
	net.Conn
	machine *machine
	ctx     context.Context
	cancel  context.CancelFunc
}

// connectEngine opens a connection to the engines.
func (m *machine) connectEngine(ctx context.Context, engines *pipeListener) (net.Conn, error) {
	if !m.wait(ctx, frozen) || !m.delay(ctx, slow) {
		return nil, ctx.Err()
	}
	conn, err := engines.dial(ctx)
	if err != nil {
		return nil, err
	}
	open, cancel := context.WithCancel(context.Background())
	return &engineConn{conn, m, open, cancel}, nil
}

func (c *engineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.machine.wait(c.ctx, frozen) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *engineConn) Write(p []byte) (int, error) {
	if !c.machine.wait(c.ctx, frozen) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *engineConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}
