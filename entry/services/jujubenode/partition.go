package jujubenode

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeview"
)

const (
	// appendTimeout bounds an append. The platform responds in 4 ms, or in 250 ms when it is slow.
	appendTimeout = 1500 * time.Millisecond
	// minBatchDelay is the minimum time in which entries are collected for one append. Many results arrive each second,
	// and a trainer reads twice a second.
	minBatchDelay = 25 * time.Millisecond
	// resultWriteShare is the largest share of the store's writes that all instances together use for results;
	// heartbeats, orders, submissions and their ends use the rest.
	resultWriteShare = 0.5
	// minAppendRetryDelay and maxAppendRetryDelay bound the delay before a failed append of results is retried; it
	// doubles each time.
	minAppendRetryDelay = 50 * time.Millisecond
	maxAppendRetryDelay = 400 * time.Millisecond
	// maxUnscoredPointers bounds the remembered pointers to unscored texts; many times fewer texts wait for a score at
	// any time. Beyond it a text may be written twice.
	maxUnscoredPointers = 4096
	// appendQueueSize bounds the queued entries; the queue holds as much as an instance produces in a minute without
	// the store.
	appendQueueSize = 16384
)

// partition is one partition of the submissions topic. It applies the records that it reads and appends this instance's
// results.
type partition struct {
	node     *Node
	number   int
	follower *follower
	decoder  jujubebatch.Decoder
	// entryOffset is the offset of the first record of the latest entry.
	entryOffset int64
	// decoded holds the entries that were decoded before the node's lock was taken.
	decoded decodedEntries
	queue   chan jujubebatch.Entry
	// unwritten is the batch that is being appended; guarded by the node's lock.
	unwritten []jujubebatch.Entry
	// unreadEnds are the ends that are on the log after the last record that this instance has read; guarded by the node's lock.
	unreadEnds []UnreadEnd
	gap        partitionGap
	// checkpoints are sampled offsets, trimInterval apart, oldest first.
	checkpoints []trimCheckpoint
	// trimmedBefore is the offset before which the records were trimmed.
	trimmedBefore int64
	// maxTextOffset is the highest offset in the texts topic that a submission's record has pointed at.
	maxTextOffset int64
	// unscoredPointers holds the pointers to the unscored texts that this instance has written; only the writer uses it.
	unscoredPointers map[jujubebatch.ItemRef]jujubebatch.Pointer
}

func newPartition(n *Node, number int) *partition {
	p := &partition{
		node: n, number: number, queue: make(chan jujubebatch.Entry, appendQueueSize),
		unscoredPointers: make(map[jujubebatch.ItemRef]jujubebatch.Pointer),
	}
	p.follower = n.addFollower(topicSubmissions, number, p.apply)
	p.follower.onGap, p.follower.prepare = p.recordGap, p.decodeAhead
	p.follower.gate = jujubeview.Gate{Bound: n.settings.CancelTime}
	return p
}

// partitionOf returns the partition of a submission.
func (n *Node) partitionOf(id jujubebatch.SubmissionID) *partition {
	return n.partitions[xxhash.Sum64String(string(id))%uint64(len(n.partitions))]
}

func (p *partition) apply(now time.Time, offset int64, record Record) {
	n := p.node
	if len(p.checkpoints) == 0 || now.Sub(p.checkpoints[len(p.checkpoints)-1].readAt) >= trimInterval {
		p.checkpoints = append(p.checkpoints, trimCheckpoint{now, offset, p.maxTextOffset})
	}
	if jujubebatch.BeginsEntry(record.Value) {
		p.entryOffset = offset
	}
	entry, err := p.decode(offset, record)
	if err != nil {
		n.log.Write(jujubeevent.RecordUnusable, func() logrus.Fields {
			return logrus.Fields{"Topic": topicSubmissions.Name, "Partition": p.number, "Offset": offset, "Error": err.Error()}
		})
		return
	}
	if entry == nil || p.deferSubmission(now, entry) || !n.scheduler.Apply(now, entry) {
		return
	}
	if s := entry.Submission; s != nil {
		n.memory.publish()
		if len(s.Chunks) > 0 {
			p.maxTextOffset = max(p.maxTextOffset, s.Chunks[0].Offset)
		}
	}
	n.logEntry(p.number, offset, entry)
}

func (n *Node) logEntry(part int, offset int64, entry *jujubebatch.Entry) {
	switch {
	case entry.Submission != nil:
		n.log.Write(jujubeevent.SubmissionRead, func() logrus.Fields {
			s := entry.Submission
			return logrus.Fields{
				"Submission": s.ID, "Partition": part, "Offset": offset, "Items": len(s.Items), "Model": s.Model,
				"MinVersion": s.MinVersion, "By": s.By,
			}
		})
	case entry.Result != nil:
		n.log.Write(jujubeevent.ItemListed, func() logrus.Fields {
			r := entry.Result
			return logrus.Fields{
				"Submission": r.Submission, "Item": r.Item, "State": r.State, "Partition": part, "Offset": offset, "Versions": r.Versions,
			}
		})
	case entry.End != nil:
		n.log.Write(jujubeevent.SubmissionEnded, func() logrus.Fields {
			return logrus.Fields{"Submission": entry.End.Submission, "Partition": part, "Offset": offset}
		})
	}
}

// encode returns the records of entries and their total size.
func (n *Node) encode(entries ...jujubebatch.Entry) ([]Record, int, error) {
	var records []Record
	size := 0
	for _, entry := range entries {
		parts, err := n.codec.EncodeEntry(entry, n.settings.MaxRecordBytes)
		if err != nil {
			return nil, 0, err
		}
		for _, part := range parts {
			size += len(part)
			records = append(records, Record{Value: part})
		}
	}
	return records, size, nil
}

// append writes one entry without contents and returns once the store has it.
func (p *partition) append(ctx context.Context, entry jujubebatch.Entry) error {
	records, err := p.encodeRecord(entry)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := p.node.store.Append(ctx, topicSubmissions, p.number, records, NoCondition)
	if err == nil && entry.End != nil {
		p.recordAppendedEnds([]jujubebatch.SubmissionID{entry.End.Submission}, offset)
	}
	return err
}

// encodeRecord returns the records of an entry, which fit into one append.
func (p *partition) encodeRecord(entry jujubebatch.Entry) ([]Record, error) {
	records, size, err := p.node.encode(entry)
	if err == nil && size > p.node.settings.MaxAppendBytes {
		err = ErrTooLarge{Size: size, Limit: p.node.settings.MaxAppendBytes}
	}
	return records, err
}

// ErrContentsNotWritten is returned for an entry whose contents couldn't be written before it; the entry isn't on the log.
type ErrContentsNotWritten struct {
	Cause error
}

// Error returns the cause.
func (e ErrContentsNotWritten) Error() string { return "contents not written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrContentsNotWritten) Unwrap() error { return e.Cause }

// ErrTooLarge is returned for an entry that exceeds the size of one append. An entry isn't split into several appends,
// because only a single append is atomic.
type ErrTooLarge struct {
	Size, Limit int
}

// Error returns the sizes.
func (e ErrTooLarge) Error() string {
	return errors.Errorf("entry of %d bytes exceeds the store's limit of %d", e.Size, e.Limit).Error()
}

// run appends the queued entries until the context ends. An append without a response is retried: a second record of the
// same entry has no effect.
func (p *partition) run(ctx context.Context) error {
	for {
		var entries []jujubebatch.Entry
		select {
		case <-ctx.Done():
			return nil
		case entry := <-p.queue:
			entries = append(entries, entry)
		}
		sleep(ctx, p.batchDelay())
		entries = p.dropTooLarge(dropSupersededUnscored(drainQueue(p.queue, entries)))
		p.setUnwritten(entries)
		retryDelay := minAppendRetryDelay
		for {
			err := p.appendAll(ctx, entries)
			if err == nil {
				p.setUnwritten(nil)
				break
			}
			if ctx.Err() != nil {
				return nil
			}
			p.node.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
				return logrus.Fields{"Partition": p.number, "Entries": len(entries), "Error": err.Error(), "RetryAfter": retryDelay.String()}
			})
			p.node.store.sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxAppendRetryDelay)
		}
	}
}

// dropTooLarge removes entries with texts that exceed the store's append limit, because they would block all others.
// Their items are run again until they are abandoned.
func (p *partition) dropTooLarge(entries []jujubebatch.Entry) []jujubebatch.Entry {
	limit := p.node.settings.MaxAppendBytes
	return slices.DeleteFunc(entries, func(entry jujubebatch.Entry) bool {
		if entry.RawTextBytes() < limit/2 {
			return false
		}
		text := blobBatch{codec: p.node.codec}
		if err := text.add(entry.Text(), p.node.settings.MaxRecordBytes); err == nil && text.size <= limit {
			return false
		}
		p.node.mu.Lock()
		defer p.node.mu.Unlock()
		p.node.scheduler.DiscardText(time.Now(), entry)
		p.node.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			id, _ := entry.SubmissionID()
			return logrus.Fields{"Submission": id, "Entries": 1, "Error": ErrTooLarge{Size: text.size, Limit: limit}.Error()}
		})
		return true
	})
}

// batchDelay returns how long entries are collected, so that all instances together stay within the store's write
// limit.
func (p *partition) batchDelay() time.Duration {
	n := p.node
	n.mu.Lock()
	defer n.mu.Unlock()
	writes := resultWriteShare * float64(n.settings.WritesPerSecond) / float64(max(1, len(n.liveInstances))*len(n.partitions))
	return max(minBatchDelay, time.Duration(float64(time.Second)/max(1, writes)))
}

func (p *partition) setUnwritten(entries []jujubebatch.Entry) {
	p.node.mu.Lock()
	defer p.node.mu.Unlock()
	p.unwritten = entries
}

// drainUnwritten returns all entries whose append hasn't been confirmed.
func (p *partition) drainUnwritten() []jujubebatch.Entry {
	p.node.mu.Lock()
	entries := p.unwritten
	p.node.mu.Unlock()
	return drainQueue(p.queue, append([]jujubebatch.Entry(nil), entries...))
}

// writeTexts writes the texts that entries point at. Entries whose text was written before keep their pointers.
func (p *partition) writeTexts(ctx context.Context, entries []jujubebatch.Entry) error {
	self := p.node.identity.Instance
	texts := blobBatch{codec: p.node.codec}
	// pointerSetters holds, for each text in order, the function that stores the pointer in the text's entry.
	var pointerSetters []func(pointer jujubebatch.Pointer)
	add := func(value any, setPointer func(pointer jujubebatch.Pointer)) error {
		pointerSetters = append(pointerSetters, setPointer)
		return texts.add(value, p.node.settings.MaxRecordBytes)
	}
	for _, entry := range entries {
		var err error
		switch {
		case entry.Result != nil && entry.Result.State == jujubebatch.Completed && entry.Result.Data.Count == 0:
			r := entry.Result
			// A result handed over by another instance may have a text other than the one that was written here.
			if pointer, ok := p.unscoredPointers[r.Ref()]; ok && r.By == self {
				r.Data = pointer
				continue
			}
			err = add(r.Text, func(pointer jujubebatch.Pointer) { r.Data, r.By = pointer, self })
		case entry.Unscored != nil && entry.Unscored.Data.Count == 0:
			u := entry.Unscored
			err = add(u.Text, func(pointer jujubebatch.Pointer) { u.Data, u.By = pointer, self })
		case entry.Progress != nil && entry.Progress.Data.Count == 0:
			progress := entry.Progress
			err = add(progress.Events, func(pointer jujubebatch.Pointer) { progress.Data, progress.By = pointer, self })
		}
		if err != nil {
			return err
		}
	}
	if err := p.writeBlobs(ctx, &texts); err != nil {
		return err
	}
	for i, setPointer := range pointerSetters {
		setPointer(texts.pointers[i])
	}
	if len(p.unscoredPointers) > maxUnscoredPointers {
		clear(p.unscoredPointers)
	}
	for _, entry := range entries {
		switch {
		case entry.Unscored != nil:
			p.unscoredPointers[entry.Unscored.Ref()] = entry.Unscored.Data
		case entry.Result != nil:
			delete(p.unscoredPointers, entry.Result.Ref())
		}
	}
	return nil
}

// dropSupersededUnscored removes the unscored texts whose results are among the entries too.
func dropSupersededUnscored(entries []jujubebatch.Entry) []jujubebatch.Entry {
	results := map[jujubebatch.ItemRef]bool{}
	for _, entry := range entries {
		if entry.Result != nil {
			results[entry.Result.Ref()] = true
		}
	}
	return slices.DeleteFunc(entries, func(entry jujubebatch.Entry) bool {
		return entry.Unscored != nil && results[entry.Unscored.Ref()]
	})
}

// appendAll writes the texts that entries point at, and then the entries in as few appends as the store's limit allows.
func (p *partition) appendAll(ctx context.Context, entries []jujubebatch.Entry) error {
	if err := p.writeTexts(ctx, entries); err != nil {
		return err
	}
	var pending []Record
	var ends []jujubebatch.SubmissionID
	size := 0
	flush := func() error {
		if len(pending) == 0 {
			return nil
		}
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		offset, err := p.settleAppend(callCtx, topicSubmissions, pending, never)
		if err == nil {
			p.recordAppendedEnds(ends, offset+int64(len(pending))-1)
		}
		pending, ends, size = nil, nil, 0
		return err
	}
	for _, entry := range entries {
		records, bytes, err := p.node.encode(entry)
		if err != nil {
			return err
		}
		if size+bytes > p.node.settings.MaxAppendBytes {
			if err := flush(); err != nil {
				return err
			}
		}
		pending, size = append(pending, records...), size+bytes
		if entry.End != nil {
			ends = append(ends, entry.End.Submission)
		}
	}
	return flush()
}

// recordAppendedEnds records ends that this instance has appended, at an offset or before it.
func (p *partition) recordAppendedEnds(ends []jujubebatch.SubmissionID, offset int64) {
	p.node.mu.Lock()
	defer p.node.mu.Unlock()
	for _, id := range ends {
		p.recordUnreadEnd(UnreadEnd{Submission: id, Part: p.number, Offset: offset})
	}
}
