package jujubenode

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubepath"
	"jujubepier.example/entry/modules/jujubepeer"
)

const (
	// directTimeout bounds a direct call apart from its wait. The store answers in 4 ms, and in 250 ms when it is slow.
	directTimeout = 600 * time.Millisecond
	// catchUpTimeout bounds the answer of a read that brings much. When all instances start at once they share the store's
	// 80 MB a second, and a read brings 256 KB: with 62 readers that is 0.2 s, and ten times that with 600.
	catchUpTimeout = 2 * time.Second
	// maxCatchUpTimeout is where the time limit of such reads stops doubling. At 372 instances a round of one read of each
	// topic brings 360 MB, 4.5 s of the store's reading rate.
	maxCatchUpTimeout = 8 * time.Second
	// probeBytes bounds what a probe reads.
	probeBytes = 1 << 10
	// peerMargin is the time of a call's way to another instance and back.
	peerMargin = 100 * time.Millisecond
	// probePoll is how often the path is asked whether a probe is due.
	probePoll = 50 * time.Millisecond
	// probeTimeout bounds a probe. The store answers in 4 ms, and in 250 ms when it is slow; one that is silent may be back
	// before a longer limit ends.
	probeTimeout = 300 * time.Millisecond
)

// relayedStore reaches the store directly, or through another instance while this one can't.
type relayedStore struct {
	direct Store
	pool   *jujubepeer.Pool
	log    *jujubeevent.Log
	// peers returns the addresses of the other instances that are alive.
	peers func() map[model.InstanceID]string

	mu   sync.Mutex
	path *jujubepath.Path
	// patience is the time limit of reads that bring much.
	patience jujubepath.Patience
	// awayForAll is when another instance last said that it can't reach the store either; zero after any success.
	awayForAll time.Time
	// returned is closed, and replaced, when the store is reached directly again.
	returned chan struct{}
}

func newRelayedStore(self model.InstanceID, direct Store, log *jujubeevent.Log, peers func() map[model.InstanceID]string) *relayedStore {
	return &relayedStore{
		direct: direct, pool: jujubepeer.NewPool(), log: log, peers: peers, path: jujubepath.New(self, jujubepath.DefaultSettings()),
		patience: jujubepath.Patience{Least: catchUpTimeout, Most: maxCatchUpTimeout},
		returned: make(chan struct{}),
	}
}

// Append adds records. One without a condition that got no answer directly is sent again through another instance: what
// instances append without a condition has no effect the second time.
func (s *relayedStore) Append(ctx context.Context, topic Topic, part int, records []Record, position int64) (int64, error) {
	args := RelayArgs{Topic: topic, Part: part, Records: records, Position: position}
	reply, err := s.call(ctx, "Relay.Append", args, directTimeout, position == NoCondition, func(ctx context.Context) (RelayReply, error) {
		offset, err := s.direct.Append(ctx, topic, part, records, position)
		return RelayReply{Offset: offset}, err
	})
	return reply.Offset, err
}

// Read returns records from an offset on. A read that doesn't wait for new ones has records to bring and gets more time.
func (s *relayedStore) Read(ctx context.Context, topic Topic, part int, from int64, wait time.Duration, maxBytes int) (LogBatch, error) {
	args := RelayArgs{Topic: topic, Part: part, Position: from, Wait: wait, MaxBytes: maxBytes}
	direct := func(ctx context.Context) (RelayReply, error) {
		batch, err := s.direct.Read(ctx, topic, part, from, wait, maxBytes)
		return RelayReply{Records: batch.Records, Offset: batch.End}, err
	}
	timeout := wait + directTimeout
	if wait == 0 {
		timeout, direct = s.patient(direct)
	}
	reply, err := s.call(ctx, "Relay.Read", args, timeout, true, direct)
	return LogBatch{Records: reply.Records, End: reply.Offset}, err
}

// Newest returns a page of the newest records of each key.
func (s *relayedStore) Newest(ctx context.Context, topic Topic, after string) (LogPage, error) {
	timeout, direct := s.patient(func(ctx context.Context) (RelayReply, error) {
		page, err := s.direct.Newest(ctx, topic, after)
		return RelayReply{Records: page.Records, Offset: page.End, More: page.More}, err
	})
	reply, err := s.call(ctx, "Relay.Newest", RelayArgs{Topic: topic, After: after}, timeout, true, direct)
	return LogPage{Records: reply.Records, End: reply.Offset, More: reply.More}, err
}

// patient returns the time limit of a read that brings much, and the read with its outcome noted.
func (s *relayedStore) patient(direct func(context.Context) (RelayReply, error)) (time.Duration, func(context.Context) (RelayReply, error)) {
	s.mu.Lock()
	limit := s.patience.Limit()
	s.mu.Unlock()
	return limit, func(ctx context.Context) (RelayReply, error) {
		began := time.Now()
		reply, err := direct(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case err == nil:
			s.patience.NoteAnswer(time.Since(began))
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			s.patience.NoteTimeout(limit)
		}
		return reply, err
	}
}

// call makes a call on the present way. A direct failure of a call that may be repeated is followed by one try through
// another instance.
func (s *relayedStore) call(ctx context.Context, method string, args RelayArgs, timeout time.Duration, repeat bool,
	direct func(context.Context) (RelayReply, error),
) (RelayReply, error) {
	s.mu.Lock()
	isDirect := s.path.Direct()
	s.mu.Unlock()
	var first error
	if isDirect {
		call, cancel := context.WithTimeout(ctx, timeout)
		reply, err := direct(call)
		cancel()
		if ctx.Err() != nil && err != nil {
			return reply, err
		}
		if s.isBusy(err) {
			return reply, err
		}
		s.note(err, method)
		var failed ErrStore
		if !errors.As(err, &failed) || !repeat && failed.Done {
			return reply, err
		}
		first = err
	}
	reply, asked, err := s.callPeer(ctx, method, args, timeout)
	var failed ErrStore
	if first != nil && (!asked || errors.As(err, &failed)) {
		// The first error stands: what was sent directly may still take effect.
		return reply, first
	}
	if !asked {
		// Nobody can be asked. A direct try is as good as a probe, and its answer is the true one.
		call, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err = direct(call)
		s.note(err, method)
	}
	return reply, err
}

// isBusy tells whether a direct call was refused because all instances together made too many.
func (s *relayedStore) isBusy(err error) bool {
	var failed ErrStore
	if !errors.As(err, &failed) || failed.Status != http.StatusTooManyRequests {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Tolerates(time.Now())
}

// note takes the outcome of a direct call.
func (s *relayedStore) note(err error, method string) {
	var failed ErrStore
	ok := !errors.As(err, &failed)
	s.mu.Lock()
	changed := s.path.NoteDirect(time.Now(), ok)
	if ok {
		s.awayForAll = time.Time{}
	}
	if ok && changed {
		close(s.returned)
		s.returned = make(chan struct{})
	}
	s.mu.Unlock()
	if changed {
		s.log.Write(jujubeevent.StorePathChanged, func() logrus.Fields {
			return logrus.Fields{"Direct": ok, "Call": method, "Error": errorText(err)}
		})
	}
}

func (s *relayedStore) callPeer(ctx context.Context, method string, args RelayArgs, timeout time.Duration) (RelayReply, bool, error) {
	addresses := s.peers()
	live := make([]model.InstanceID, 0, len(addresses))
	for id := range addresses {
		live = append(live, id)
	}
	slices.Sort(live)
	s.mu.Lock()
	id, ok := s.path.Choose(time.Now(), live)
	s.mu.Unlock()
	if !ok {
		return RelayReply{}, false, nil
	}
	args.Timeout = timeout
	call, cancel := context.WithTimeout(ctx, timeout+peerMargin)
	defer cancel()
	var reply RelayReply
	err := s.pool.Call(call, addresses[id], method, args, &reply)
	answered := err == nil
	if answered {
		err = reply.failure()
	} else {
		err = ErrStore{Call: method, Done: true, Reason: err.Error()}
	}
	var failed ErrStore
	ok = !errors.As(err, &failed)
	s.mu.Lock()
	s.path.NotePeer(time.Now(), id, ok)
	switch {
	case ok:
		s.awayForAll = time.Time{}
	case answered:
		s.awayForAll = time.Now()
	}
	s.mu.Unlock()
	return reply, true, err
}

// awayMemory is how long the word of another instance that the store is away is trusted. While it lasts, one is asked
// about each second.
const awayMemory = 2 * time.Second

// isAwayForAll tells whether another instance said lately that it can't reach the store either.
func (s *relayedStore) isAwayForAll(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.awayForAll.IsZero() && now.Sub(s.awayForAll) < awayMemory
}

// probe tries the store directly from time to time while other instances are used.
func (s *relayedStore) probe(ctx context.Context) error {
	for ctx.Err() == nil {
		s.mu.Lock()
		due := s.path.ProbeDue(time.Now())
		s.mu.Unlock()
		if due {
			call, cancel := context.WithTimeout(ctx, probeTimeout)
			_, err := s.direct.Read(call, topicRollout, 0, 0, 0, probeBytes)
			cancel()
			if ctx.Err() == nil {
				s.note(err, "probe")
			}
		}
		sleep(ctx, probePoll)
	}
	return nil
}

// sleep waits for a pause, or until the store is reached directly again.
func (s *relayedStore) sleep(ctx context.Context, pause time.Duration) {
	s.mu.Lock()
	returned := s.returned
	s.mu.Unlock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-returned:
	}
}

// RelayArgs are the arguments of a relayed call.
type RelayArgs struct {
	Topic   Topic
	Part    int
	Records []Record
	// Position is the condition of an append or the offset of a read.
	Position int64
	// After is the key behind which a page begins.
	After    string
	Wait     time.Duration
	MaxBytes int
	Timeout  time.Duration
}

// RelayReply is the store's answer to a relayed call.
type RelayReply struct {
	Records []Record
	// Offset is the first offset of an append, and the end otherwise.
	Offset int64
	More   bool
	// At most one of the errors is set.
	Failed    *ErrStore
	Condition *ErrCondition
	Trimmed   *ErrTrimmed
}

func (r RelayReply) failure() error {
	switch {
	case r.Failed != nil:
		return *r.Failed
	case r.Condition != nil:
		return *r.Condition
	case r.Trimmed != nil:
		return *r.Trimmed
	}
	return nil
}

// set keeps an error in a form that another process can read.
func (r *RelayReply) set(err error) {
	var failed ErrStore
	var condition ErrCondition
	var trimmed ErrTrimmed
	switch {
	case err == nil:
	case errors.As(err, &condition):
		r.Condition = &condition
	case errors.As(err, &trimmed):
		r.Trimmed = &trimmed
	case errors.As(err, &failed):
		r.Failed = &failed
	default:
		r.Failed = &ErrStore{Call: "relay", Done: true, Reason: err.Error()}
	}
}

// Relay serves other instances that can't reach the store. It makes each call directly and never passes it on further.
type Relay struct {
	node  *Node
	store Store
	ctx   context.Context
}

// Append adds records for another instance.
func (r *Relay) Append(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(r.ctx, args.Timeout)
	defer cancel()
	offset, err := r.store.Append(ctx, args.Topic, args.Part, args.Records, args.Position)
	reply.Offset = offset
	reply.set(err)
	return nil
}

// Read returns records to another instance.
func (r *Relay) Read(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(r.ctx, args.Timeout)
	defer cancel()
	batch, err := r.store.Read(ctx, args.Topic, args.Part, args.Position, args.Wait, args.MaxBytes)
	reply.Records, reply.Offset = batch.Records, batch.End
	reply.set(err)
	return nil
}

// Newest returns a page of the newest records to another instance.
func (r *Relay) Newest(args RelayArgs, reply *RelayReply) error {
	ctx, cancel := context.WithTimeout(r.ctx, args.Timeout)
	defer cancel()
	page, err := r.store.Newest(ctx, args.Topic, args.After)
	reply.Records, reply.Offset, reply.More = page.Records, page.End, page.More
	reply.set(err)
	return nil
}

// servePeers relays for other instances until the context ends.
func (n *Node) servePeers(ctx context.Context, listener net.Listener) error {
	return jujubepeer.Serve(ctx, listener, &Relay{node: n, store: n.direct, ctx: ctx})
}

// peerAddresses returns where the other live instances serve their peers.
func (n *Node) peerAddresses() map[model.InstanceID]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	addresses := make(map[model.InstanceID]string)
	for _, beat := range n.live {
		if beat.Instance != n.identity.Instance && beat.PeerAddress != "" {
			addresses[beat.Instance] = beat.PeerAddress
		}
	}
	return addresses
}
