package jujubenode_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jujubepier.example/entry/services/jujubenode"
)

// fakeStore is an in-memory log that can lose the responses to appends and delay reads of the newest records.
type fakeStore struct {
	mu   sync.Mutex
	logs map[string][]jujubenode.Record
	// firsts are the oldest offsets of logs whose records before have expired.
	firsts map[string]int64
	// changedCh is closed and replaced at each append.
	changedCh chan struct{}
	// loseResponses is the number of further appends of submissions that take effect without a response.
	loseResponses int
	// appends counts the appends of each topic.
	appends map[string]int
	// textReads and textBytes count the reads of texts and the bytes returned.
	textReads, textBytes int
	// newestDelay delays the responses with the newest records.
	newestDelay time.Duration
	// pageRecords bounds the records of a page of the newest records.
	pageRecords int
	// pageTime is how long a page of the newest records occupies the store, which serves requests one after the other,
	// including those whose callers have given up; idleAt is when it has served all of them.
	pageTime time.Duration
	idleAt   time.Time
}

func newFakeStore() *fakeStore {
	return &fakeStore{logs: map[string][]jujubenode.Record{}, firsts: map[string]int64{}, appends: map[string]int{}, changedCh: make(chan struct{}), pageRecords: 500}
}

func logName(topic jujubenode.Topic, part int) string { return fmt.Sprintf("%s/%d", topic.Name, part) }

func (s *fakeStore) Append(_ context.Context, topic jujubenode.Topic, part int, records []jujubenode.Record, position int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.logs[logName(topic, part)]
	if position != jujubenode.NoCondition && position != int64(len(log)) {
		return 0, jujubenode.ErrCondition{End: int64(len(log))}
	}
	s.appends[topic.Name]++
	s.logs[logName(topic, part)] = append(log, records...)
	close(s.changedCh)
	s.changedCh = make(chan struct{})
	if topic.Name == "submissions" && s.loseResponses > 0 {
		s.loseResponses--
		return 0, jujubenode.ErrStore{Call: "append", Done: true, Reason: "the answer was lost"}
	}
	return int64(len(log)), nil
}

func (s *fakeStore) Read(ctx context.Context, topic jujubenode.Topic, part int, from int64, wait time.Duration, maxBytes int) (jujubenode.LogBatch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		log, first, changedCh := s.logs[logName(topic, part)], s.firsts[logName(topic, part)], s.changedCh
		s.mu.Unlock()
		if from < first {
			return jujubenode.LogBatch{}, jujubenode.ErrTrimmed{First: first}
		}
		if int64(len(log)) > from {
			return jujubenode.LogBatch{Records: s.cut(topic, log[from:], maxBytes), End: int64(len(log))}, nil
		}
		if wait <= 0 {
			return jujubenode.LogBatch{End: int64(len(log))}, nil
		}
		select {
		case <-changedCh:
			continue
		case <-ctx.Done():
			return jujubenode.LogBatch{}, jujubenode.ErrStore{Call: "read", Reason: ctx.Err().Error()}
		case <-timer.C:
			return jujubenode.LogBatch{End: int64(len(log))}, nil
		}
	}
}

// cut returns the first records up to a size, but at least one.
func (s *fakeStore) cut(topic jujubenode.Topic, records []jujubenode.Record, maxBytes int) []jujubenode.Record {
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

func (s *fakeStore) Trim(context.Context, jujubenode.Topic, int, int64) error { return nil }

func (s *fakeStore) Newest(ctx context.Context, topic jujubenode.Topic, after string) (jujubenode.LogPage, error) {
	s.mu.Lock()
	now := time.Now()
	if s.idleAt.Before(now) {
		s.idleAt = now
	}
	s.idleAt = s.idleAt.Add(s.pageTime)
	delay := s.newestDelay + s.idleAt.Sub(now)
	s.mu.Unlock()
	if sleepOrDone(ctx, delay); ctx.Err() != nil {
		return jujubenode.LogPage{}, jujubenode.ErrStore{Call: "newest", Reason: ctx.Err().Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	log := s.logs[logName(topic, 0)]
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

// blockableStore refuses the calls of one instance while it is blocked.
type blockableStore struct {
	jujubenode.Store
	mu sync.Mutex
	// blocked is true while the store refuses the calls.
	blocked bool
	// hold, unless it is nil, is called before each response to a read is passed on; it may delay the response or lose it.
	hold func(ctx context.Context, call string) error
	// answersEarly makes reads return at once, so that hold delays an empty response that was made early.
	answersEarly bool
	// reads counts the reads of the instance.
	reads atomic.Int64
	// hiddenFrom and expiredBefore, unless they are nil, are the offsets of each partition of the submissions from which on the instance
	// gets no records, and before which those have expired.
	hiddenFrom, expiredBefore []int64
}

// submissionsEnd returns the ends of the partitions of the submissions.
func (s *blockableStore) submissionsEnd() (ends []int64) {
	for part := range 2 {
		batch, _ := s.Store.Read(context.Background(), jujubenode.Topic{Name: "submissions"}, part, 0, 0, 0)
		ends = append(ends, batch.End)
	}
	return ends
}

// hideSubmissions hides the records of submissions from now on.
func (s *blockableStore) hideSubmissions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hiddenFrom = s.submissionsEnd()
}

// expireSubmissions lets the hidden records expire, and shows the following ones.
func (s *blockableStore) expireSubmissions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiredBefore = s.submissionsEnd()
}

// showSubmissions shows all hidden records.
func (s *blockableStore) showSubmissions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hiddenFrom = nil
}

// hide removes what is hidden from a batch.
func (s *blockableStore) hide(topic jujubenode.Topic, part int, from int64, batch jujubenode.LogBatch) (jujubenode.LogBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case topic.Name != "submissions" || s.hiddenFrom == nil || s.expiredBefore != nil && from >= s.expiredBefore[part]:
		return batch, nil
	case from < s.hiddenFrom[part]:
		batch.Records = batch.Records[:min(int64(len(batch.Records)), s.hiddenFrom[part]-from)]
		return batch, nil
	case s.expiredBefore != nil:
		return jujubenode.LogBatch{}, jujubenode.ErrTrimmed{First: s.expiredBefore[part]}
	}
	return jujubenode.LogBatch{End: from}, nil
}

func (s *blockableStore) setBlocked(blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked = blocked
}

func (s *blockableStore) setHold(hold func(ctx context.Context, call string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

// delayEarlyResponses makes the store respond to reads of submissions at once, and delays the responses.
func (s *blockableStore) delayEarlyResponses(delay time.Duration) {
	s.setHold(func(ctx context.Context, call string) error {
		if call == "submissions" {
			sleepOrDone(ctx, delay)
		}
		return nil
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersEarly = true
}

// loseResponse makes a read hang until its caller gives up.
func loseResponse(ctx context.Context, call string) error {
	<-ctx.Done()
	return jujubenode.ErrStore{Call: call, Done: true, Reason: ctx.Err().Error()}
}

// holdResponse delays or loses the response to a read.
func (s *blockableStore) holdResponse(ctx context.Context, call string) error {
	s.mu.Lock()
	hold := s.hold
	s.mu.Unlock()
	if hold == nil {
		return nil
	}
	return hold(ctx, call)
}

func (s *blockableStore) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.blocked {
		return jujubenode.ErrStore{Call: "any", Status: 503, Reason: "blocked"}
	}
	return nil
}

func (s *blockableStore) Append(ctx context.Context, topic jujubenode.Topic, part int, records []jujubenode.Record, position int64) (int64, error) {
	if err := s.err(); err != nil {
		return 0, err
	}
	return s.Store.Append(ctx, topic, part, records, position)
}

func (s *blockableStore) Read(ctx context.Context, topic jujubenode.Topic, part int, from int64, wait time.Duration, maxBytes int) (jujubenode.LogBatch, error) {
	if err := s.err(); err != nil {
		return jujubenode.LogBatch{}, err
	}
	s.reads.Add(1)
	s.mu.Lock()
	if s.answersEarly {
		wait = 0
	}
	s.mu.Unlock()
	batch, err := s.Store.Read(ctx, topic, part, from, wait, maxBytes)
	if err := s.holdResponse(ctx, topic.Name); err != nil {
		return jujubenode.LogBatch{}, err
	}
	if err := s.err(); err != nil {
		return jujubenode.LogBatch{}, err
	}
	if err != nil {
		return batch, err
	}
	return s.hide(topic, part, from, batch)
}

func (s *blockableStore) Newest(ctx context.Context, topic jujubenode.Topic, after string) (jujubenode.LogPage, error) {
	if err := s.err(); err != nil {
		return jujubenode.LogPage{}, err
	}
	page, err := s.Store.Newest(ctx, topic, after)
	if err := s.holdResponse(ctx, topic.Name+" after "+after); err != nil {
		return jujubenode.LogPage{}, err
	}
	return page, err
}
