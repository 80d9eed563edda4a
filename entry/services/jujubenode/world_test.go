package jujubenode_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubefleet"
	"jujubepier.example/entry/services/jujubenode"
)

// memoryStore is a log in memory that loses answers and turns instances away on demand.
type memoryStore struct {
	mu      sync.Mutex
	logs    map[string][]jujubenode.Record
	changed chan struct{}
	// loseAnswers is how many further appends of submissions are done without an answer.
	loseAnswers int
	// appends counts the appends of each topic.
	appends map[string]int
	// textReads and textBytes count the reads of texts and what they brought.
	textReads, textBytes int
	// slowNewest delays the answers with the newest records.
	slowNewest time.Duration
	// pageRecords bounds a page of the newest records.
	pageRecords int
	// pageTime is how long a page of the newest records occupies the store, which answers one after the other, also those
	// whose callers have given up; idleAt is when it has answered all.
	pageTime time.Duration
	idleAt   time.Time
}

func newMemoryStore() *memoryStore {
	return &memoryStore{logs: map[string][]jujubenode.Record{}, appends: map[string]int{}, changed: make(chan struct{}), pageRecords: 500}
}

func name(topic jujubenode.Topic, part int) string { return fmt.Sprintf("%s/%d", topic.Name, part) }

func (s *memoryStore) Append(_ context.Context, topic jujubenode.Topic, part int, records []jujubenode.Record, position int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.logs[name(topic, part)]
	if position != jujubenode.NoCondition && position != int64(len(log)) {
		return 0, jujubenode.ErrCondition{End: int64(len(log))}
	}
	s.appends[topic.Name]++
	s.logs[name(topic, part)] = append(log, records...)
	close(s.changed)
	s.changed = make(chan struct{})
	if topic.Name == "submissions" && s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, jujubenode.ErrStore{Call: "append", Done: true, Reason: "the answer was lost"}
	}
	return int64(len(log)), nil
}

func (s *memoryStore) Read(ctx context.Context, topic jujubenode.Topic, part int, from int64, wait time.Duration, maxBytes int) (jujubenode.LogBatch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		log, changed := s.logs[name(topic, part)], s.changed
		s.mu.Unlock()
		if int64(len(log)) > from {
			return jujubenode.LogBatch{Records: s.cut(topic, log[from:], maxBytes), End: int64(len(log))}, nil
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
			return jujubenode.LogBatch{}, jujubenode.ErrStore{Call: "read", Reason: ctx.Err().Error()}
		case <-timer.C:
			return jujubenode.LogBatch{End: int64(len(log))}, nil
		}
	}
}

// cut returns the first records up to a size, one at least.
func (s *memoryStore) cut(topic jujubenode.Topic, records []jujubenode.Record, maxBytes int) []jujubenode.Record {
	size, count := 0, 0
	for count < len(records) && (count == 0 || size+len(records[count].Value) <= maxBytes) {
		size += len(records[count].Value)
		count++
	}
	if topic.Name == "texts" {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.textReads++
		s.textBytes += size
	}
	return records[:count]
}

func (s *memoryStore) Trim(context.Context, jujubenode.Topic, int, int64) error { return nil }

func (s *memoryStore) Newest(ctx context.Context, topic jujubenode.Topic, after string) (jujubenode.LogPage, error) {
	s.mu.Lock()
	now := time.Now()
	if s.idleAt.Before(now) {
		s.idleAt = now
	}
	s.idleAt = s.idleAt.Add(s.pageTime)
	slow := time.NewTimer(s.slowNewest + s.idleAt.Sub(now))
	s.mu.Unlock()
	defer slow.Stop()
	select {
	case <-slow.C:
	case <-ctx.Done():
		return jujubenode.LogPage{}, jujubenode.ErrStore{Call: "newest", Reason: ctx.Err().Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.logs[name(topic, 0)]
	page := jujubenode.LogPage{End: int64(len(log))}
	newest := map[string]jujubenode.Record{}
	for _, record := range log {
		newest[record.Key] = record
	}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		switch {
		case key <= after || len(newest[key].Value) == 0:
		case len(page.Records) == s.pageRecords:
			page.More = true
			return page, nil
		default:
			page.Records = append(page.Records, newest[key])
		}
	}
	return page, nil
}

// gate turns one instance away while it is shut.
type gate struct {
	jujubenode.Store
	mu   sync.Mutex
	shut bool
	// reads counts the reads of the instance.
	reads atomic.Int64
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
}

func (g *gate) err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return jujubenode.ErrStore{Call: "any", Status: 503, Reason: "turned away"}
	}
	return nil
}

func (g *gate) Append(ctx context.Context, topic jujubenode.Topic, part int, records []jujubenode.Record, position int64) (int64, error) {
	if err := g.err(); err != nil {
		return 0, err
	}
	return g.Store.Append(ctx, topic, part, records, position)
}

func (g *gate) Read(ctx context.Context, topic jujubenode.Topic, part int, from int64, wait time.Duration, maxBytes int) (jujubenode.LogBatch, error) {
	if err := g.err(); err != nil {
		return jujubenode.LogBatch{}, err
	}
	g.reads.Add(1)
	batch, err := g.Store.Read(ctx, topic, part, from, wait, maxBytes)
	if shut := g.err(); shut != nil {
		return jujubenode.LogBatch{}, shut
	}
	return batch, err
}

func (g *gate) Newest(ctx context.Context, topic jujubenode.Topic, after string) (jujubenode.LogPage, error) {
	if err := g.err(); err != nil {
		return jujubenode.LogPage{}, err
	}
	return g.Store.Newest(ctx, topic, after)
}

// engines answer each item with three events. They count the runs of each item.
type engines struct {
	mu   sync.Mutex
	runs map[jujubebatch.ItemID]int
	// used are the engines that were sent an item.
	used map[model.EndpointID]bool
	// large is the data of each event of an item, by its id.
	large map[jujubebatch.ItemID]string
	// hold keeps runs from ending while it is set.
	hold chan struct{}
	// ordered counts the orders.
	ordered atomic.Int64
	// answer is what plain endpoints answer; without it there are none.
	answer func(ctx context.Context, call jujubenode.Call) (jujubenode.Answer, error)
}

func (e *engines) Run(ctx context.Context, start jujubebatch.StartRun, _ jujubebatch.Content, sink jujubenode.RunSink) (jujubebatch.EndKind, error) {
	e.mu.Lock()
	e.runs[start.Item]++
	if e.used == nil {
		e.used = map[model.EndpointID]bool{}
	}
	e.used[start.Engine] = true
	hold := e.hold
	e.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return jujubebatch.RunBroken, ctx.Err()
		}
	}
	if !sink.Accepted(1) {
		return jujubebatch.RunRefused, nil
	}
	for number := start.After + 1; number <= 3; number++ {
		data := fmt.Sprintf("%s.%d", start.Item, number)
		if large, ok := e.large[start.Item]; ok {
			data = large
		}
		if !sink.Event(number, data, 1) {
			return jujubebatch.RunBroken, nil
		}
	}
	return jujubebatch.RunComplete, nil
}

func (e *engines) Order(context.Context, jujubefleet.Order, string) (jujubefleet.Outcome, error) {
	e.ordered.Add(1)
	return jujubefleet.Holds, nil
}

func (e *engines) ReadState(_ context.Context, engine jujubefleet.Engine) (jujubefleet.Report, error) {
	return jujubefleet.Report{Engine: engine.ID, Incarnation: engine.Incarnation, Versions: engine.Versions}, nil
}

func (e *engines) count(id jujubebatch.ItemID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func (e *engines) Call(ctx context.Context, call jujubenode.Call) (jujubenode.Answer, error) {
	if e.answer != nil {
		return e.answer(ctx, call)
	}
	return jujubenode.Answer{}, jujubenode.ErrCall{Ran: model.RanNo, Reason: "no plain endpoints"}
}

var topicDesired = jujubenode.Topic{Name: "desired", Keyed: true}

// site is a store, engines and the instances that were started.
type site struct {
	t       *testing.T
	store   *memoryStore
	engines *engines
	// directReaders is the setting of that name, and sameDataCentre puts all instances into one.
	directReaders  int
	sameDataCentre bool
	// more is how many engines there are beside the first two.
	more int
	// behind is how far the clocks of instances that start are behind.
	behind time.Duration
	// addresses are where the instances serve one another.
	addresses map[model.InstanceID]string
	// leaves ends the instances in the orderly way.
	leaves map[model.InstanceID]func()
}

// leave ends an instance in the orderly way and waits.
func (s *site) leave(id model.InstanceID) { s.leaves[id]() }

func newSite(t *testing.T) *site {
	store := newMemoryStore()
	_, err := store.Append(t.Context(), topicDesired, 0, []jujubenode.Record{{Key: "desired", Value: []byte("1")}}, jujubenode.NoCondition)
	assert.NilError(t, err)
	return &site{t: t, directReaders: jujubenode.DefaultDirectReaders, store: store, engines: &engines{runs: map[jujubebatch.ItemID]int{}}, leaves: map[model.InstanceID]func(){}, addresses: map[model.InstanceID]string{}}
}

var route = &jujubedesired.Route{
	Name: "r", Host: "h", PathPrefix: "/p/", Kind: jujubedesired.Rollout, MaxAttempts: 3, Retention: time.Minute,
	Targets: []jujubedesired.Target{{Service: "s", Weight: 1}},
}

var scoringRoute = &jujubedesired.Route{
	Name: "scoring", Host: "h", PathPrefix: "/score/", Kind: jujubedesired.Safe, MaxAttempts: 2, Timeout: 3 * time.Second,
	TargetLatency: time.Second, Targets: []jujubedesired.Target{{Service: "plain", Weight: 1}},
}

// start runs an instance and waits until it is ready; the function it returns kills it and waits.
func (s *site) start(id model.InstanceID) (*jujubenode.Node, *gate, func()) {
	s.t.Helper()
	node, g, stop := s.launch(id)
	wait(s.t, "the instance is ready", node.IsReady)
	return node, g, stop
}

// launch runs an instance with two engines, one in the data centre of instance a and one in that of b.
func (s *site) launch(id model.InstanceID) (*jujubenode.Node, *gate, func()) {
	s.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	s.addresses[id] = listener.Addr().String()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g := &gate{Store: s.store}
	dataCentre := model.DataCentre("dc-" + id)
	if s.sameDataCentre {
		dataCentre = "dc-a"
	}
	node := jujubenode.New(jujubenode.Options{
		Identity: jujubenode.Identity{Instance: id, DataCentre: dataCentre, CallerAddress: string(id) + ":1", PeerAddress: listener.Addr().String()},
		Settings: jujubenode.Settings{
			DrainTime: 2 * time.Second, LeaseTime: time.Second, AddressValidity: time.Second, ReadsPerSecond: 2000, WritesPerSecond: 600, MaxRecordBytes: 1 << 16, MaxAppendBytes: 1 << 20,
			DirectReaders: s.directReaders,
		},
		Store: g, Engines: s.engines, Caller: s.engines, Started: time.Now().Add(-s.behind),
	}, logger)
	apply := func(now time.Time, record jujubenode.Record) {
		if record.Key == "weights" {
			node.Announce(now, "m", 2)
			return
		}
		node.SetDesired(now, &jujubedesired.State{Version: 1, Routes: []jujubedesired.Route{*route, *scoringRoute}})
		for i := range 2 {
			node.PutServer(now, jujubebatch.Engine{
				ID: model.EndpointID(fmt.Sprintf("plain%d", i)), Incarnation: 1, Service: "plain", Address: "127.0.0.1:1", DataCentre: "dc-a", Slots: 6,
			})
		}
		engines := map[model.EndpointID]model.DataCentre{"e1": "dc-a", "e2": "dc-b"}
		for i := range s.more {
			engines[model.EndpointID(fmt.Sprintf("more%d", i))] = "dc-c"
		}
		for engine, dataCentre := range engines {
			node.PutServer(now, jujubebatch.Engine{
				ID: engine, Incarnation: 1, Service: "s", Address: "127.0.0.1:1", DataCentre: dataCentre, Slots: 8,
				Versions: map[model.ModelName]model.WeightVersion{"m": 1},
			})
		}
	}
	node.Follow(jujubenode.Feed{Topic: topicDesired, Apply: apply, Reset: func(now time.Time, records []jujubenode.Record) {
		for _, record := range records {
			apply(now, record)
		}
	}})
	ended := make(chan error, 1)
	ctx, leave := context.WithCancel(context.Background())
	go func() { ended <- node.Run(ctx, listener) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			node.Kill()
			assert.NilError(s.t, <-ended)
		}
	}
	s.leaves[id] = func() {
		stopped = true
		leave()
		assert.NilError(s.t, <-ended)
	}
	s.t.Cleanup(stop)
	s.t.Cleanup(leave)
	return node, g, stop
}

// wait polls a condition; its bound is far above what any machine needs.
func wait(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); {
		assert.Assert(t, time.Now().Before(end), "%s: not within 20 s", what)
		time.Sleep(5 * time.Millisecond)
	}
}

func newSubmission(id string, items int) *jujubebatch.Submission {
	s := &jujubebatch.Submission{ID: jujubebatch.SubmissionID(id), Host: "h", Path: "/p/" + id, Model: "m", MinVersion: 1}
	for i := range items {
		s.Items = append(s.Items, jujubebatch.Item{ID: jujubebatch.ItemID(fmt.Sprintf("%s-%d", id, i)), Path: "/p/i", Content: jujubebatch.Content{Body: []byte{byte(i)}}})
	}
	return s
}

// readAll returns the results once all are listed.
func readAll(t *testing.T, node *jujubenode.Node, id jujubebatch.SubmissionID) []jujubebatch.Result {
	t.Helper()
	var page jujubebatch.Page
	wait(t, "all results", func() bool {
		var err error
		page, err = node.Read(t.Context(), id, 0, 0)
		return err == nil && page.Total > 0 && len(page.Results) == page.Total
	})
	return page.Results
}
