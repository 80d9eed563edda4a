package jujubenode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeview"
)

const (
	// readWait is how long a read waits for new records. It bounds the staleness of this instance's view. With 8
	// concurrent reads of this length an instance makes about 20 idle calls a second, out of the 2,000 that all
	// instances may make.
	readWait = 400 * time.Millisecond
	// readTimeout covers a direct attempt and one through another instance.
	readTimeout = 2 * (readWait + maxCatchUpTimeout + peerMargin)
	// followReadShare is the largest share of the store's reads that all instances together use to follow the log; the
	// delays between reads enforce it. The rest is for reads on behalf of callers and for instances that start.
	followReadShare = 0.4
	// maxReadBytes bounds the records of one read, so that a read finishes in time when many readers share the store.
	maxReadBytes = 256 << 10
	// minReadRetryDelay and maxReadRetryDelay bound the delay before a failed read is retried; it doubles each time.
	minReadRetryDelay = 50 * time.Millisecond
	maxReadRetryDelay = 400 * time.Millisecond
	// maxReadAge is the maximum age of the state from which an instance responds to a read. Any instance must return
	// within one second what another one has returned; this leaves half of that.
	maxReadAge = 500 * time.Millisecond
)

// follower reads one partition from its first record on and applies the records in order.
type follower struct {
	node  *Node
	topic Topic
	part  int
	// apply applies a record; it is called in order of the offsets, with the node's lock held.
	apply func(now time.Time, offset int64, record Record)
	// prepare is called with records that are about to be applied, without the node's lock; may be nil.
	prepare func(from int64, records []Record)
	// reset, for keyed topics, applies a complete snapshot; the node's lock is held.
	reset func(now time.Time, records []Record)
	// onCaughtUp is called after each read up to the end of the partition; the node's lock is held.
	onCaughtUp func(now time.Time)

	// redact is called before records are passed to other instances; may be nil.
	redact func(record Record) Record

	// urgent is true for a topic whose changes must arrive in time although the path to the store is at fault.
	urgent bool

	// snapshotSlot holds a value during a snapshot: run and requests that need recent records may begin one at the same time.
	snapshotSlot chan struct{}
	// pages holds the pages of an incomplete snapshot, so that a failure doesn't restart it from the beginning; guarded by snapshotSlot.
	pages snapshotPages

	// recent holds the latest records before next for other instances, recentBytes is their size; guarded by the node's
	// lock.
	recent      []Record
	recentBytes int

	// onGap is called when records have expired unread, with the ranges that were read before and that are missing; the node's lock is
	// held. It may be nil.
	onGap func(read, missing jujubebatch.Span)

	// readFrom is the offset from which on all records up to next have been read; guarded by the node's lock.
	readFrom int64

	// next is the offset of the next record; this field and those below are guarded by the node's lock.
	next int64
	// caughtUpAt is a time up to which all records of the partition are known to have been read: that at which the read was
	// requested, since a response may take any time to arrive. It is zero before the first time.
	caughtUpAt time.Time
	// viewTime is that time on the boot clock; it is used where a suspension of the machine counts.
	viewTime jujubeclock.ReadTime
	// hasUnread is true while the partition's end, as of the latest read, hasn't been reached.
	hasUnread bool
	// gate bounds the age of the view from which items start.
	gate jujubeview.Gate
	// startVerdict is the gate's latest verdict on a start, which was asked for at startsAskedAt; it is empty while it has been Current
	// only. Items wait since heldSince if it is Outdated.
	startVerdict             jujubeview.Verdict
	startsAskedAt, heldSince jujubeclock.Instant
	// vouchedAt is a time at which no other instance knew a record that this one hasn't read; zero for never.
	vouchedAt jujubeclock.Instant
	// needsRefresh is true if work asked for the view since the last tick while it was old. isRefreshing is true while a read for that
	// is in progress, refreshedAt is when the last one began.
	needsRefresh, isRefreshing bool
	refreshedAt                jujubeclock.Instant
	// readCh is closed and replaced after each read up to the end of the partition.
	readCh chan struct{}
	// readSince is when run's read in progress, or its latest one, began, and respondedAt when the latest response arrived.
	readSince, respondedAt time.Time
	// reads, records and bytes count the reads, and the records and bytes they returned.
	reads, records, bytes int
	// failingSince is when reads began to fail; zero while they succeed.
	failingSince time.Time
	// recoveredAt is when reads succeeded again after a failure.
	recoveredAt time.Time
}

// run reads until the context ends.
func (f *follower) run(ctx context.Context) error {
	retryDelay := minReadRetryDelay
	needsSnapshot := true
	for ctx.Err() == nil {
		timing := f.beginRead()
		var err error
		if needsSnapshot && f.topic.Keyed {
			err = f.snapshot(ctx)
		} else {
			err = f.readNext(ctx)
		}
		f.recordRead(timing, err)
		switch {
		case err == nil:
			needsSnapshot, retryDelay = false, minReadRetryDelay
			if !f.hasUnreadRecords() {
				sleep(ctx, f.node.readInterval())
			}
			continue
		case ctx.Err() != nil:
			return nil
		}
		f.recordFailure(err)
		f.node.store.sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxReadRetryDelay)
	}
	return nil
}

// sync reads up to the current end of the partition, so that a subsequent response that a submission doesn't
// exist is correct.
func (f *follower) sync(ctx context.Context) error {
	return f.readOnce(ctx, 0)
}

// refresh reads up to the current end of the partition beside run. A failure changes nothing: run reads again, too, and it alone reads
// snapshots.
func (f *follower) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	f.node.mu.Lock()
	from := f.next
	f.node.mu.Unlock()
	if batch, readAt, err := f.read(ctx, from, 0); err == nil {
		f.applyBatch(from, batch, readAt)
	}
}

func (f *follower) readOnce(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	f.node.mu.Lock()
	from := f.next
	f.node.mu.Unlock()
	batch, readAt, err := f.read(ctx, from, wait)
	var trimmed ErrTrimmed
	if errors.As(err, &trimmed) {
		if f.topic.Keyed {
			return f.snapshot(ctx)
		}
		f.node.mu.Lock()
		if trimmed.First > f.next {
			read, missing := f.readSpan(), jujubebatch.Span{Begin: f.next, End: trimmed.First}
			f.next, f.readFrom = trimmed.First, trimmed.First
			if f.onGap != nil {
				f.onGap(read, missing)
			}
		}
		f.dropRecent()
		f.node.mu.Unlock()
		f.node.log.Write(jujubeevent.RecordsExpired, func() logrus.Fields {
			return logrus.Fields{"Topic": f.topic.Name, "Partition": f.part, "From": from, "First": trimmed.First}
		})
		return nil
	}
	if err != nil {
		return err
	}
	f.applyBatch(from, batch, readAt)
	return nil
}

// readSpan returns the range of offsets whose records have been read; the lock is held.
func (f *follower) readSpan() jujubebatch.Span {
	return jujubebatch.Span{Begin: f.readFrom, End: f.next}
}

// read returns the records from an offset on, and a time at which their end is known to have been that of the partition.
func (f *follower) read(ctx context.Context, from int64, wait time.Duration) (batch LogBatch, readAt readTime, err error) {
	if f.isUrgent() {
		return f.node.store.ReadUrgently(ctx, f.topic, f.part, from, wait, maxReadBytes)
	}
	readAt = newReadTime(f.node.bootClock)
	batch, err = f.node.store.Read(ctx, f.topic, f.part, from, wait, maxReadBytes)
	return batch, readAt.credit(batch.Records, wait), err
}

// applyBatch applies records. readAt is a time at which batch.End was the end of the partition.
func (f *follower) applyBatch(from int64, batch LogBatch, readAt readTime) {
	respondedAt := time.Now()
	if f.prepare != nil {
		f.prepare(from, batch.Records)
	}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	now := time.Now()
	f.respondedAt = respondedAt
	f.recordSuccess(now)
	f.reads++
	f.applyRecords(now, from, batch.Records)
	f.hasUnread = f.next < batch.End
	if !f.hasUnread {
		f.recordCaughtUp(readAt)
	}
	if len(batch.Records) > 0 {
		f.node.notifyChange()
	}
}

// applyRecords applies the records from an offset on that haven't been applied yet. The lock is held.
func (f *follower) applyRecords(now time.Time, from int64, records []Record) {
	for i, record := range records {
		f.records++
		f.bytes += len(record.Value)
		if offset := from + int64(i); offset == f.next {
			f.next++
			f.keepRecent(record)
			f.apply(now, offset, record)
		}
	}
}

// recordCaughtUp records that all records up to a time have been read. The lock is held.
func (f *follower) recordCaughtUp(readAt readTime) {
	if readAt.at.After(f.caughtUpAt) {
		f.caughtUpAt = readAt.at
	}
	f.viewTime = f.viewTime.Latest(readAt.ReadTime)
	if f.onCaughtUp != nil {
		f.onCaughtUp(f.caughtUpAt)
	}
	close(f.readCh)
	f.readCh = make(chan struct{})
}

// snapshotPages holds the pages of a snapshot read so far.
type snapshotPages struct {
	records []Record
	// end is the end of the partition before the first page was read. Reading continues there, so that changes made
	// during the snapshot are read too.
	end int64
	// requestedAt is when the first page was requested. Changes since then may be missing.
	requestedAt readTime
}

// maxSnapshotRecords bounds a snapshot. It is many times the number of entries of the largest site.
const maxSnapshotRecords = 50_000

// snapshot reads the newest record of each key of a keyed topic; reading continues after them.
func (f *follower) snapshot(ctx context.Context) error {
	select {
	case f.snapshotSlot <- struct{}{}:
		defer func() { <-f.snapshotSlot }()
	case <-ctx.Done():
		return ErrStore{Call: "Newest", Reason: ctx.Err().Error()}
	}
	for more := true; more; {
		after := ""
		if len(f.pages.records) > 0 {
			after = f.pages.records[len(f.pages.records)-1].Key
		}
		page, requestedAt, err := f.readPage(ctx, after)
		if err != nil {
			return err
		}
		if after == "" {
			f.pages.end, f.pages.requestedAt = page.End, requestedAt
		}
		f.pages.records = append(f.pages.records, page.Records...)
		if more = page.More; more && len(f.pages.records) > maxSnapshotRecords {
			f.pages = snapshotPages{}
			return ErrStore{Call: "Newest", Reason: "the topic has too many keys"}
		}
	}
	complete := f.pages
	f.pages = snapshotPages{}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	now := time.Now()
	f.recordSuccess(now)
	if complete.end < f.next {
		return nil // records that were read meanwhile are newer
	}
	f.next = complete.end
	f.dropRecent()
	f.applySnapshot(f.next, func() { f.reset(now, complete.records) })
	f.recordCaughtUp(complete.requestedAt)
	f.node.notifyChange()
	return nil
}

// isUrgent reports whether reads have to be urgent. What is read at the start is large, and all instances that start together share
// the store's rate, so that further tries would only delay it.
func (f *follower) isUrgent() bool {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	return f.urgent && !f.caughtUpAt.IsZero()
}

// readPage returns a page of the newest records and when it was requested.
func (f *follower) readPage(ctx context.Context, after string) (page LogPage, requestedAt readTime, err error) {
	if f.isUrgent() {
		return f.node.store.NewestUrgently(ctx, f.topic, after)
	}
	requestedAt = newReadTime(f.node.bootClock)
	page, err = f.node.store.Newest(ctx, f.topic, after)
	return page, requestedAt, err
}

// nextWait returns how long the next read may wait for a record: zero while there are unread ones.
func (f *follower) nextWait() time.Duration {
	if f.hasUnreadRecords() {
		return 0
	}
	return readWait
}

func (f *follower) hasUnreadRecords() bool {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	return f.hasUnread
}

// readInterval returns the time between two reads of a partition, so that all readers together stay within the store's
// rate limit.
func (n *Node) readInterval() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	reads := followReadShare * float64(n.settings.ReadsPerSecond) / float64(n.directReaders()*len(n.followers))
	return time.Duration(float64(time.Second) / max(1, reads))
}

// wasReadRecently reports whether the partition was read up to its end recently; the node's lock is held.
func (f *follower) wasReadRecently() bool {
	return !f.caughtUpAt.IsZero() && f.node.bootClock().Sub(f.viewTime.ReadAt) < maxReadAge+readWait
}

func (f *follower) recordFailure(err error) {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.node.metrics.countStoreFailure(f.topic.Name)
	if !f.failingSince.IsZero() {
		return
	}
	f.failingSince = time.Now()
	f.node.log.Write(jujubeevent.StoreUnavailable, func() logrus.Fields {
		return logrus.Fields{"Topic": f.topic.Name, "Partition": f.part, "Next": f.next, "Error": err.Error()}
	})
}

func (f *follower) recordSuccess(now time.Time) {
	if f.failingSince.IsZero() {
		return
	}
	f.node.log.Write(jujubeevent.StoreAvailable, func() logrus.Fields {
		return logrus.Fields{"Topic": f.topic.Name, "Partition": f.part, "Next": f.next, "Away": now.Sub(f.failingSince).String()}
	})
	f.failingSince, f.recoveredAt = time.Time{}, now
}

// sleep waits for a delay, unless it is over already.
func sleep(ctx context.Context, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
