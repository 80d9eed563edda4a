package jujubenode

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// The limits of urgent reads. A change of the desired state has to be in force within 2 s, also at an instance whose connections to
// the store hang, or that the store doesn't answer together with half of the others.
const (
	// urgentDelay is how long after the end of its wait an urgent read may take before further paths are used. The store
	// responds in 4 ms, or in 250 ms when it is slow.
	urgentDelay = 300 * time.Millisecond
	// urgentStagger is the time between the starts of two further tries.
	urgentStagger = 75 * time.Millisecond
	// urgentTryTimeout bounds each further try, which doesn't wait for records.
	urgentTryTimeout = 350 * time.Millisecond
	// maxUrgentPeers bounds the instances through which one urgent read goes.
	maxUrgentPeers = 8
)

// urgentTry is one path of an urgent read.
type urgentTry struct {
	// peer is empty for a direct try.
	peer model.InstanceID
	call func(ctx context.Context) (RelayReply, error)
	// timeout bounds the try; the next one starts after next, or when this one fails. wait is how long it waits for records.
	timeout, next, wait time.Duration
}

// urgentOutcome is the outcome of a try.
type urgentOutcome struct {
	try         urgentTry
	reply       RelayReply
	err         error
	requestedAt readTime
}

// ReadUrgently returns records like Read, over the path that responds first: the direct one, a new connection, and other
// instances, started one after the other without waiting for the earlier ones to fail. requestedAt is that of the try that responded.
func (s *relayedStore) ReadUrgently(ctx context.Context, topic Topic, part int, from int64, wait time.Duration, maxBytes int) (batch LogBatch, requestedAt readTime, err error) {
	read := func(wait time.Duration) func(context.Context) (RelayReply, error) {
		return func(ctx context.Context) (RelayReply, error) {
			batch, err := s.direct.Read(ctx, topic, part, from, wait, maxBytes)
			return RelayReply{Records: batch.Records, Offset: batch.End}, err
		}
	}
	args := RelayArgs{Topic: topic, Part: part, Position: from, MaxBytes: maxBytes}
	outcome := s.race(ctx, wait, read(wait), read(0), "Relay.Read", args)
	return LogBatch{Records: outcome.reply.Records, End: outcome.reply.Offset}, outcome.requestedAt, outcome.err
}

// NewestUrgently returns a page of the newest records like Newest, over the path that responds first.
func (s *relayedStore) NewestUrgently(ctx context.Context, topic Topic, after string) (page LogPage, requestedAt readTime, err error) {
	read := func(ctx context.Context) (RelayReply, error) {
		page, err := s.direct.Newest(ctx, topic, after)
		return RelayReply{Records: page.Records, Offset: page.End, More: page.More}, err
	}
	outcome := s.race(ctx, 0, read, read, "Relay.Newest", RelayArgs{Topic: topic, After: after})
	return LogPage{Records: outcome.reply.Records, End: outcome.reply.Offset, More: outcome.reply.More}, outcome.requestedAt, outcome.err
}

// race makes the tries and returns the first response, or the last failure.
func (s *relayedStore) race(ctx context.Context, wait time.Duration, first, again func(context.Context) (RelayReply, error), method string, args RelayArgs) urgentOutcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tries := s.urgentTries(wait, first, again, method, args)
	outcomes := make(chan urgentOutcome, len(tries))
	started, ended := 0, 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := urgentOutcome{err: ErrStore{Call: method, Reason: "no path to the store"}}
	for ended < len(tries) {
		select {
		case <-timer.C:
			if started == len(tries) {
				continue
			}
			try := tries[started]
			started++
			timer.Reset(try.next)
			go func() { outcomes <- s.try(ctx, try, method, storePart{args.Topic, args.Part}) }()
		case last = <-outcomes:
			ended++
			var storeErr ErrStore
			if !errors.As(last.err, &storeErr) {
				return last // records, or the store's statement that they have expired
			}
			if ctx.Err() != nil {
				return last
			}
			timer.Reset(0)
		}
	}
	return last
}

// urgentTries returns the paths of a read in order. While the store refuses this instance, only the probe uses the direct path.
func (s *relayedStore) urgentTries(wait time.Duration, first, again func(context.Context) (RelayReply, error), method string, args RelayArgs) []urgentTry {
	addresses := s.peers()
	ids := make([]model.InstanceID, 0, len(addresses))
	for id := range addresses {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	s.mu.Lock()
	path := s.paths.Of(storePart{args.Topic, args.Part})
	isDirect := path.IsDirect()
	peers := path.OrderPeers(time.Now(), ids, maxUrgentPeers)
	s.mu.Unlock()
	var tries []urgentTry
	if isDirect || len(peers) == 0 {
		tries = append(tries,
			urgentTry{call: first, timeout: wait + directTimeout, next: wait + urgentDelay, wait: wait},
			urgentTry{timeout: urgentTryTimeout, next: urgentStagger, call: func(ctx context.Context) (RelayReply, error) {
				s.closeIdle() // the open connections may hang
				return again(ctx)
			}})
	}
	args.Timeout = urgentTryTimeout
	for _, id := range peers {
		tries = append(tries, urgentTry{peer: id, timeout: urgentTryTimeout, next: urgentStagger, call: func(ctx context.Context) (RelayReply, error) {
			var reply RelayReply
			if err := s.pool.Call(ctx, addresses[id], method, args, &reply); err != nil {
				return reply, ErrStore{Call: method, Done: true, Reason: err.Error()}
			}
			return reply, reply.asError()
		}})
	}
	return tries
}

// try makes one try and records its outcome for the choice of paths, unless another try has responded meanwhile.
func (s *relayedStore) try(ctx context.Context, try urgentTry, method string, part storePart) urgentOutcome {
	callCtx, cancel := context.WithTimeout(ctx, try.timeout)
	defer cancel()
	outcome := urgentOutcome{try: try, requestedAt: newReadTime(s.bootClock)}
	outcome.reply, outcome.err = try.call(callCtx)
	outcome.requestedAt = outcome.requestedAt.credit(outcome.reply.Records, try.wait)
	if outcome.err != nil && ctx.Err() != nil {
		return outcome
	}
	if try.peer == "" {
		if !s.isRateLimited(part, outcome.err) {
			s.recordDirectOutcome(part, outcome.err, method)
		}
		return outcome
	}
	var storeErr ErrStore
	s.mu.Lock()
	isReached := !errors.As(outcome.err, &storeErr)
	s.paths.Of(part).RecordPeer(time.Now(), try.peer, isReached)
	if isReached {
		delete(s.confirmedDownAt, part)
	}
	s.mu.Unlock()
	return outcome
}
