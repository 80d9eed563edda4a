package jujubenode

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubepath"
	"jujubepier.example/entry/modules/jujubepeer"
)

const (
	// directTimeout bounds a direct call, in addition to its wait. The store responds in 4 ms, or in 250 ms when it is
	// slow.
	directTimeout = 600 * time.Millisecond
	// minCatchUpTimeout is the initial time limit of a large read. When all instances start at once they share the
	// store's 80 MB a second, and a read returns 256 KB: this takes 0.2 s with 62 readers and ten times that with 600.
	minCatchUpTimeout = 2 * time.Second
	// maxCatchUpTimeout is where the time limit of large reads stops doubling. With 372 instances one read of each
	// topic by each instance amounts to 360 MB, 4.5 s at the store's read rate.
	maxCatchUpTimeout = 8 * time.Second
	// probeBytes bounds the size of a probe's read.
	probeBytes = 1 << 10
	// peerMargin is the round-trip time of a call to another instance.
	peerMargin = 100 * time.Millisecond
	// probePollInterval is the time between two checks whether a probe is due.
	probePollInterval = 50 * time.Millisecond
	// probeTimeout bounds a probe. The store responds in 4 ms, or in 250 ms when it is slow; with a longer limit a probe
	// of a silent store could delay the detection of its return.
	probeTimeout = 300 * time.Millisecond
)

// relayedStore calls the store directly, or through another instance while this one can't reach it.
type relayedStore struct {
	direct Store
	pool   *jujubepeer.Pool
	log    *jujubeevent.Log
	// bootClock is the node's.
	bootClock func() jujubeclock.Instant
	// peers returns the addresses of the other live instances.
	peers func() map[model.InstanceID]string
	// closeIdle closes the idle connections to the store.
	closeIdle func()

	mu    sync.Mutex
	paths *jujubepath.Paths[storePart]
	// catchUpTimeout adapts the time limit of large reads.
	catchUpTimeout jujubepath.AdaptiveTimeout
	// confirmedDownAt is when another instance last replied that it can't reach a partition either; a success deletes the entry.
	confirmedDownAt map[storePart]time.Time
	// restoredCh is closed and replaced when a partition is directly reachable again.
	restoredCh chan struct{}
	// indirectCh gets a value when a partition isn't directly reachable any more; its capacity is one.
	indirectCh chan struct{}
}

// storePart is a partition of the store's log. Each may be away while others are reachable.
type storePart struct {
	topic Topic
	part  int
}

func newRelayedStore(self model.InstanceID, direct Store, log *jujubeevent.Log, peers func() map[model.InstanceID]string, closeIdle func(), dialPeer DialFunc) *relayedStore {
	if closeIdle == nil {
		closeIdle = func() {}
	}
	return &relayedStore{
		closeIdle: closeIdle,
		direct:    direct, pool: jujubepeer.NewPool(jujubepeer.DialFunc(dialPeer)), log: log, peers: peers, paths: jujubepath.NewPaths[storePart](self, jujubepath.DefaultSettings()),
		catchUpTimeout:  jujubepath.AdaptiveTimeout{Min: minCatchUpTimeout, Max: maxCatchUpTimeout},
		confirmedDownAt: make(map[storePart]time.Time),
		restoredCh:      make(chan struct{}),
		indirectCh:      make(chan struct{}, 1),
	}
}

// methodAppend is the method of instances that appends records for another one.
const methodAppend = "Relay.Append"

// Append adds records. If a direct append without a condition gets no response, it is retried through another instance:
// appending the same records twice has no effect in that case.
func (s *relayedStore) Append(ctx context.Context, topic Topic, part int, records []Record, position int64) (int64, error) {
	args := RelayArgs{Topic: topic, Part: part, Records: records, Position: position}
	reply, err := s.call(ctx, methodAppend, args, directTimeout, position == NoCondition, func(ctx context.Context) (RelayReply, error) {
		offset, err := s.direct.Append(ctx, topic, part, records, position)
		return RelayReply{Offset: offset}, err
	})
	return reply.Offset, err
}

// Read returns records from an offset on. A read that doesn't wait is expected to return many records and has a longer
// time limit.
func (s *relayedStore) Read(ctx context.Context, topic Topic, part int, from int64, wait time.Duration, maxBytes int) (LogBatch, error) {
	args := RelayArgs{Topic: topic, Part: part, Position: from, Wait: wait, MaxBytes: maxBytes}
	direct := func(ctx context.Context) (RelayReply, error) {
		batch, err := s.direct.Read(ctx, topic, part, from, wait, maxBytes)
		return RelayReply{Records: batch.Records, Offset: batch.End}, err
	}
	timeout := wait + directTimeout
	if wait == 0 {
		timeout, direct = s.withCatchUpTimeout(direct)
	}
	reply, err := s.call(ctx, "Relay.Read", args, timeout, true, direct)
	return LogBatch{Records: reply.Records, End: reply.Offset}, err
}

// Fetch returns records from an offset on for a caller that waits for them: either path gets a part of the time in which the caller
// can use them.
func (s *relayedStore) Fetch(ctx context.Context, topic Topic, part int, from int64, maxBytes int) (LogBatch, error) {
	args := RelayArgs{Topic: topic, Part: part, Position: from, MaxBytes: maxBytes}
	reply, err := s.call(ctx, "Relay.Read", args, fetchTimeout/2, true, func(ctx context.Context) (RelayReply, error) {
		batch, err := s.direct.Read(ctx, topic, part, from, 0, maxBytes)
		return RelayReply{Records: batch.Records, Offset: batch.End}, err
	})
	return LogBatch{Records: reply.Records, End: reply.Offset}, err
}

// Newest returns a page of the newest records of each key.
func (s *relayedStore) Newest(ctx context.Context, topic Topic, after string) (LogPage, error) {
	timeout, direct := s.withCatchUpTimeout(func(ctx context.Context) (RelayReply, error) {
		page, err := s.direct.Newest(ctx, topic, after)
		return RelayReply{Records: page.Records, Offset: page.End, More: page.More}, err
	})
	reply, err := s.call(ctx, "Relay.Newest", RelayArgs{Topic: topic, After: after}, timeout, true, direct)
	return LogPage{Records: reply.Records, End: reply.Offset, More: reply.More}, err
}

// withCatchUpTimeout returns the current time limit of large reads, and a wrapper of the read that adapts the limit to
// its outcome.
func (s *relayedStore) withCatchUpTimeout(direct func(context.Context) (RelayReply, error)) (
	time.Duration, func(context.Context) (RelayReply, error),
) {
	s.mu.Lock()
	timeout := s.catchUpTimeout.Limit()
	s.mu.Unlock()
	return timeout, func(ctx context.Context) (RelayReply, error) {
		startedAt := time.Now()
		reply, err := direct(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case err == nil:
			s.catchUpTimeout.RecordResponse(time.Since(startedAt))
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			s.catchUpTimeout.RecordTimeout(timeout)
		}
		return reply, err
	}
}

// call makes a call directly or through another instance, depending on the current path. A direct call that fails is retried
// once through another instance if it is repeatable. The returned error combines the outcomes of both attempts.
func (s *relayedStore) call(ctx context.Context, method string, args RelayArgs, timeout time.Duration, repeatable bool,
	direct func(context.Context) (RelayReply, error),
) (RelayReply, error) {
	part := storePart{args.Topic, args.Part}
	var attempts storeAttempts
	defer func() { s.logAttempts(method, args, attempts) }()
	callDirect := func() (RelayReply, error) {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		end := attempts.begin("")
		reply, err := direct(callCtx)
		end(err)
		return reply, err
	}
	var directErr error
	if s.isDirect(args.Topic, args.Part) {
		reply, err := callDirect()
		if ctx.Err() != nil && err != nil {
			return reply, err
		}
		if s.isRateLimited(part, err) {
			return reply, err
		}
		s.recordDirectOutcome(part, err, method)
		var storeErr ErrStore
		if !errors.As(err, &storeErr) || !repeatable && storeErr.Done {
			return reply, err
		}
		directErr = err
	}
	if id, address, ok := s.choosePeer(part); ok {
		end := attempts.begin(id)
		reply, err := s.callPeer(ctx, id, address, method, args, timeout)
		end(err)
		return reply, attempts.combine(err)
	}
	if directErr != nil {
		return RelayReply{}, directErr
	}
	// No instance is available. A direct attempt is as cheap as a probe, and its result is authoritative.
	reply, err := callDirect()
	s.recordDirectOutcome(part, err, method)
	return reply, err
}

// isRateLimited reports whether a direct call was refused because all instances together exceeded the store's rate
// limit.
func (s *relayedStore) isRateLimited(part storePart, err error) bool {
	var storeErr ErrStore
	if !errors.As(err, &storeErr) || storeErr.Status != http.StatusTooManyRequests {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.ShouldRetryDirect(time.Now(), part)
}

// recordDirectOutcome updates the path to a partition with the outcome of a direct call.
func (s *relayedStore) recordDirectOutcome(part storePart, err error, method string) {
	var storeErr ErrStore
	ok := !errors.As(err, &storeErr)
	s.mu.Lock()
	pathChanged := s.paths.RecordDirect(time.Now(), part, ok)
	if ok {
		delete(s.confirmedDownAt, part)
	}
	if ok && pathChanged {
		close(s.restoredCh)
		s.restoredCh = make(chan struct{})
	}
	s.mu.Unlock()
	if pathChanged {
		select {
		case s.indirectCh <- struct{}{}:
		default:
		}
		s.log.Write(jujubeevent.StorePathChanged, func() logrus.Fields {
			return logrus.Fields{
				"Topic": part.topic.Name, "Partition": part.part, "Direct": ok, "Call": method, "Error": errorText(err),
			}
		})
	}
}

// choosePeer returns the instance through which calls to a partition go; ok is false if none is available.
func (s *relayedStore) choosePeer(part storePart) (id model.InstanceID, address string, ok bool) {
	addresses := s.peers()
	ids := slices.Sorted(maps.Keys(addresses))
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok = s.paths.Of(part).ChoosePeer(time.Now(), ids)
	return id, addresses[id], ok
}

// callPeer makes a call through another instance.
func (s *relayedStore) callPeer(ctx context.Context, id model.InstanceID, address, method string, args RelayArgs, timeout time.Duration) (RelayReply, error) {
	part := storePart{args.Topic, args.Part}
	args.Timeout = timeout
	callCtx, cancel := context.WithTimeout(ctx, timeout+peerMargin)
	defer cancel()
	var reply RelayReply
	err := s.pool.Call(callCtx, address, method, args, &reply)
	hasReplied := err == nil
	if hasReplied {
		err = reply.asError()
	} else {
		err = ErrStore{Call: method, Done: !errors.As(err, new(jujubepeer.ErrConnect)), Reason: err.Error()}
	}
	var storeErr ErrStore
	ok := !errors.As(err, &storeErr)
	s.mu.Lock()
	s.paths.Of(part).RecordPeer(time.Now(), id, ok)
	switch {
	case ok:
		delete(s.confirmedDownAt, part)
	case hasReplied:
		s.confirmedDownAt[part] = time.Now()
	}
	s.mu.Unlock()
	return reply, err
}

// confirmedDownTTL is how long another instance's reply that the store is down remains valid. While the store is
// down, another instance is queried about once a second.
const confirmedDownTTL = 2 * time.Second

// isConfirmedDown reports whether another instance recently replied that it can't reach a partition either.
func (s *relayedStore) isConfirmedDown(now time.Time, topic Topic, part int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmedAt, ok := s.confirmedDownAt[storePart{topic, part}]
	return ok && now.Sub(confirmedAt) < confirmedDownTTL
}

// probe calls the store directly whenever a probe is due, while calls to some partitions go through other instances.
func (s *relayedStore) probe(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		part, due := s.paths.ProbeDue(time.Now())
		isDirect := len(s.paths.IndirectParts()) == 0
		s.mu.Unlock()
		switch {
		case isDirect:
			select {
			case <-ctx.Done():
			case <-s.indirectCh:
			}
			continue
		case !due:
			sleep(ctx, probePollInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := s.direct.Read(callCtx, part.topic, part.part, 0, 0, probeBytes)
		cancel()
		if ctx.Err() == nil {
			s.recordDirectOutcome(part, err, "probe")
		}
	}
	return nil
}

// isDirect reports whether the store answered this instance's last direct call to a partition.
func (s *relayedStore) isDirect(topic Topic, part int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.paths.Of(storePart{topic, part}).IsDirect()
}

// sleep waits for the delay, or until a partition is directly reachable again.
func (s *relayedStore) sleep(ctx context.Context, delay time.Duration) {
	s.mu.Lock()
	restoredCh := s.restoredCh
	s.mu.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-restoredCh:
	}
}

// peerAddresses returns the peer addresses of the other live instances.
func (n *Node) peerAddresses() map[model.InstanceID]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	addresses := make(map[model.InstanceID]string)
	for _, heartbeat := range n.liveInstances {
		if heartbeat.Instance != n.identity.Instance && heartbeat.PeerAddress != "" {
			addresses[heartbeat.Instance] = heartbeat.PeerAddress
		}
	}
	return addresses
}
