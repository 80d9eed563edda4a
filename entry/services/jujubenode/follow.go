package jujubenode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
)

const (
	// readWait is how long a read waits for a record. It bounds the age of what an instance believes, and with 8 reads of
	// this length at once an instance makes about 20 idle calls a second of the 2,000 that all may make.
	readWait = 400 * time.Millisecond
	// readTimeout covers a direct try and one through another instance.
	readTimeout = 2 * (readWait + maxCatchUpTimeout + peerMargin)
	// readShare is the part of the store's reads that the instances together use for following the log at most; pauses
	// between the reads see to it. The rest is for reads on behalf of callers and for starts.
	readShare = 0.4
	// maxReadBytes bounds the records of one read, so that a read that shares the store with many others ends in time.
	maxReadBytes = 256 << 10
	// leastReadPause and mostReadPause bound the pause after a failed read.
	leastReadPause = 50 * time.Millisecond
	mostReadPause  = 400 * time.Millisecond
	// freshness is the age up to which an instance answers from what it has read. Half a second is left of the second
	// after which any instance has to know what another one has shown.
	freshness = 500 * time.Millisecond
)

// follower reads one partition from its first record on and hands over each record in order.
type follower struct {
	node  *Node
	topic Topic
	part  int
	// apply takes records in the order of their offsets; the node's lock is held.
	apply func(now time.Time, offset int64, record Record)
	// reset, for keyed topics, takes a whole snapshot; the node's lock is held.
	reset func(now time.Time, records []Record)
	// contact is told of each read up to the end; the node's lock is held.
	contact func(now time.Time)

	// pages holds what has been read of a snapshot that isn't whole yet, so that a failure doesn't begin it anew. It is
	// used by run only.
	pages snapshotPages

	// recent are the records before next that others may ask for, recentBytes their size; guarded by the node's lock.
	recent      []Record
	recentBytes int

	// next is the offset of the next record; guarded by the node's lock, as are the fields below.
	next int64
	// caughtUp is when the partition was last read up to its end; zero before.
	caughtUp time.Time
	// behind is true while records up to the end of the latest read are unread.
	behind bool
	// reads, records and bytes count what was read.
	reads, records, bytes int
	// failing is since when reads fail; zero while they succeed.
	failing time.Time
	// recovered is when reads succeeded again after a failure.
	recovered time.Time
}

// run reads until the context ends.
func (f *follower) run(ctx context.Context) error {
	pause := leastReadPause
	first := true
	for ctx.Err() == nil {
		var err error
		if first && f.topic.Keyed {
			err = f.snapshot(ctx)
		} else {
			err = f.readNext(ctx)
		}
		switch {
		case err == nil:
			first, pause = false, leastReadPause
			if !f.isBehind() {
				sleep(ctx, f.node.readPause())
			}
			continue
		case ctx.Err() != nil:
			return nil
		}
		f.noteFailure(err)
		f.node.store.sleep(ctx, pause)
		pause = min(2*pause, mostReadPause)
	}
	return nil
}

// sync reads up to the partition's present end, so that an answer that something doesn't exist is true.
func (f *follower) sync(ctx context.Context) error {
	return f.readOnce(ctx, 0)
}

func (f *follower) readOnce(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	f.node.mu.Lock()
	from := f.next
	f.node.mu.Unlock()
	batch, err := f.node.store.Read(ctx, f.topic, f.part, from, wait, maxReadBytes)
	var trimmed ErrTrimmed
	if errors.As(err, &trimmed) {
		if f.topic.Keyed {
			return f.snapshot(ctx)
		}
		f.node.mu.Lock()
		f.next = max(f.next, trimmed.First)
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
	f.take(from, batch, 0)
	return nil
}

// take applies records. Age is how long ago the batch's end was the partition's.
func (f *follower) take(from int64, batch LogBatch, age time.Duration) {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	now := time.Now()
	f.noteSuccess(now)
	f.reads++
	for i, record := range batch.Records {
		f.records++
		f.bytes += len(record.Value)
		if offset := from + int64(i); offset == f.next {
			f.next++
			f.keepRecent(record)
			f.apply(now, offset, record)
		}
	}
	f.behind = f.next < batch.End
	if !f.behind {
		if at := now.Add(-age); at.After(f.caughtUp) {
			f.caughtUp = at
		}
		if f.contact != nil {
			f.contact(f.caughtUp)
		}
	}
	if len(batch.Records) > 0 {
		f.node.wakeUp()
	}
}

// snapshotPages are the pages of a snapshot that have been read.
type snapshotPages struct {
	records []Record
	// end is the partition's end before the first page was read, so that what changed since then is read again behind it.
	end int64
}

// maxSnapshotRecords bounds a snapshot: many times the entries of the largest site.
const maxSnapshotRecords = 50_000

// snapshot reads the newest records of a keyed topic and goes on behind them.
func (f *follower) snapshot(ctx context.Context) error {
	for more := true; more; {
		after := ""
		if len(f.pages.records) > 0 {
			after = f.pages.records[len(f.pages.records)-1].Key
		}
		page, err := f.node.store.Newest(ctx, f.topic, after)
		if err != nil {
			return err
		}
		if after == "" {
			f.pages.end = page.End
		}
		f.pages.records = append(f.pages.records, page.Records...)
		if more = page.More; more && len(f.pages.records) > maxSnapshotRecords {
			f.pages = snapshotPages{}
			return ErrStore{Call: "Newest", Reason: "the topic has too many keys"}
		}
	}
	whole := f.pages
	f.pages = snapshotPages{}
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	now := time.Now()
	f.noteSuccess(now)
	f.next = max(f.next, whole.end)
	f.dropRecent()
	f.reset(now, whole.records)
	f.caughtUp = now
	if f.contact != nil {
		f.contact(now)
	}
	f.node.wakeUp()
	return nil
}

// wait is how long the next read may wait for a record: not at all while there are unread ones.
func (f *follower) wait() time.Duration {
	if f.isBehind() {
		return 0
	}
	return readWait
}

func (f *follower) isBehind() bool {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	return f.behind
}

// readPause is the time between two reads of a partition, so that all readers together keep to the store's rate.
func (n *Node) readPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	reads := readShare * float64(n.settings.ReadsPerSecond) / float64(n.readers()*len(n.followers))
	return time.Duration(float64(time.Second) / max(1, reads))
}

// isFresh tells whether the partition was read up to its end a moment ago; the node's lock is held.
func (f *follower) isFresh(now time.Time) bool {
	return !f.caughtUp.IsZero() && now.Sub(f.caughtUp) < freshness+readWait
}

func (f *follower) noteFailure(err error) {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	f.node.metrics.countStoreFailure(f.topic.Name)
	if !f.failing.IsZero() {
		return
	}
	f.failing = time.Now()
	f.node.log.Write(jujubeevent.StoreUnavailable, func() logrus.Fields {
		return logrus.Fields{"Topic": f.topic.Name, "Partition": f.part, "Next": f.next, "Error": err.Error()}
	})
}

func (f *follower) noteSuccess(now time.Time) {
	if f.failing.IsZero() {
		return
	}
	f.node.log.Write(jujubeevent.StoreAvailable, func() logrus.Fields {
		return logrus.Fields{"Topic": f.topic.Name, "Partition": f.part, "Next": f.next, "Away": now.Sub(f.failing).String()}
	})
	f.failing, f.recovered = time.Time{}, now
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
