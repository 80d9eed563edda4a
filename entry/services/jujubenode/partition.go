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
)

const (
	// appendTimeout bounds an append. The platform answers in 4 ms, and in 250 ms when it is slow.
	appendTimeout = 1500 * time.Millisecond
	// appendPause gathers entries for one append. Results arrive many a second; a trainer reads twice a second.
	appendPause = 25 * time.Millisecond
	// writeShare is the part of the store's writes that the instances together use for results at most; beats, orders,
	// submissions and their ends take the rest.
	writeShare = 0.5
	// leastAppendRetry and mostAppendRetry bound the pause after a failed append of results.
	leastAppendRetry = 50 * time.Millisecond
	mostAppendRetry  = 400 * time.Millisecond
	// maxDrafts bounds the places of texts that are remembered, many times those that wait for a score at once. Beyond it a
	// text may be written twice.
	maxDrafts = 4096
	// appendQueue bounds the entries that wait; it holds what an instance produces in a minute without the store.
	appendQueue = 16384
)

// partition is one part of the submissions' topic: it reads the records into the core and appends this instance's
// results.
type partition struct {
	node     *Node
	number   int
	follower *follower
	decoder  jujubebatch.Decoder
	queue    chan jujubebatch.Entry
	// unwritten is the batch that is being appended; guarded by the node's lock.
	unwritten []jujubebatch.Entry
	// marks are offsets with the times at which they were read, trimPeriod apart, the oldest first.
	marks []mark
	// trimmed is the offset before which the records were dropped.
	trimmed int64
	// texts is the highest offset that a submission's record has pointed at.
	texts int64
	// drafts are where whole texts without a score were written by this instance; its writer alone uses them.
	drafts map[jujubebatch.ItemRef]jujubebatch.Pointer
}

// mark is a place in the log, and in the texts that the records before it point at.
type mark struct {
	at            time.Time
	offset, texts int64
}

// trimPeriod is the time between two trims. The store holds 400 MB; a grown site writes 15 MB in this time.
const trimPeriod = 10 * time.Second

// trim drops the records that are older than the oldest submission that is still readable.
func (p *partition) trim(ctx context.Context) {
	n := p.node
	n.mu.Lock()
	oldest, ok := n.batches.OldestKept()
	before, texts := p.trimmed, int64(0)
	for len(p.marks) > 1 && ok && p.marks[1].at.Before(oldest) {
		// Contents are written a moment before their record, so the texts go by the mark of a period before.
		before, texts, p.marks = p.marks[1].offset, p.marks[0].texts, p.marks[1:]
	}
	n.mu.Unlock()
	if before <= p.trimmed {
		return
	}
	call, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	err := n.direct.Trim(call, topicSubmissions, p.number, before)
	if err == nil && texts > 0 {
		err = n.direct.Trim(call, topicTexts, p.number, texts)
	}
	if err != nil {
		n.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			return logrus.Fields{"Partition": p.number, "TrimBefore": before, "Error": err.Error()}
		})
		return
	}
	p.trimmed = before
}

func newPartition(n *Node, number int) *partition {
	p := &partition{
		node: n, number: number, queue: make(chan jujubebatch.Entry, appendQueue), drafts: make(map[jujubebatch.ItemRef]jujubebatch.Pointer),
	}
	p.follower = n.addFollower(topicSubmissions, number, p.apply)
	return p
}

// partitionOf returns the partition of a submission.
func (n *Node) partitionOf(id jujubebatch.SubmissionID) *partition {
	return n.partitions[xxhash.Sum64String(string(id))%uint64(len(n.partitions))]
}

func (p *partition) apply(now time.Time, offset int64, record Record) {
	n := p.node
	if len(p.marks) == 0 || now.Sub(p.marks[len(p.marks)-1].at) >= trimPeriod {
		p.marks = append(p.marks, mark{now, offset, p.texts})
	}
	entry, err := p.decoder.Add(record.Value)
	if err != nil {
		n.log.Write(jujubeevent.RecordUnusable, func() logrus.Fields {
			return logrus.Fields{"Topic": topicSubmissions.Name, "Partition": p.number, "Offset": offset, "Error": err.Error()}
		})
		return
	}
	if entry == nil || !n.batches.Apply(now, entry) {
		return
	}
	if s := entry.Submission; s != nil && len(s.Chunks) > 0 {
		p.texts = max(p.texts, s.Chunks[0].Offset)
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

// encode returns the records of entries.
func (n *Node) encode(entries ...jujubebatch.Entry) ([]Record, int, error) {
	var records []Record
	size := 0
	for _, entry := range entries {
		parts, err := jujubebatch.EncodeEntry(entry, n.settings.MaxRecordBytes)
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

// append writes one entry and returns when the store has it. What a submission's record points at is written before it.
func (p *partition) append(ctx context.Context, entry jujubebatch.Entry) error {
	if s := entry.Submission; s != nil {
		var contents blobs
		for _, chunk := range s.Split() {
			if err := contents.add(chunk, p.node.settings.MaxRecordBytes); err != nil {
				return err
			}
		}
		if err := p.writeBlobs(ctx, &contents); err != nil {
			return ErrUnwritten{Cause: err}
		}
		s.Chunks, s.By = contents.pointers, p.node.identity.Instance
	}
	records, size, err := p.node.encode(entry)
	if err != nil {
		return err
	}
	if size > p.node.settings.MaxAppendBytes {
		return ErrTooLarge{Size: size, Limit: p.node.settings.MaxAppendBytes}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = p.node.store.Append(ctx, topicSubmissions, p.number, records, NoCondition)
	return err
}

// ErrUnwritten is an entry whose contents couldn't be written before it, so that it surely isn't on the log.
type ErrUnwritten struct {
	Cause error
}

// Error gives the cause.
func (e ErrUnwritten) Error() string { return "contents not written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrUnwritten) Unwrap() error { return e.Cause }

// ErrTooLarge is an entry that the store doesn't take in one append, which is what makes it whole or absent.
type ErrTooLarge struct {
	Size, Limit int
}

// Error gives the sizes.
func (e ErrTooLarge) Error() string {
	return errors.Errorf("entry of %d bytes exceeds the store's limit of %d", e.Size, e.Limit).Error()
}

// run appends the queued entries until the context ends. An append without an answer is repeated: a second record of the
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
		sleep(ctx, p.pause())
		entries = p.dropTooLarge(dropDrafts(drain(p.queue, entries)))
		p.setUnwritten(entries)
		pause := leastAppendRetry
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
				return logrus.Fields{"Partition": p.number, "Entries": len(entries), "Error": err.Error(), "RetryAfter": pause.String()}
			})
			p.node.store.sleep(ctx, pause)
			pause = min(2*pause, mostAppendRetry)
		}
	}
}

// dropTooLarge leaves out texts that the store takes in no append, which would hold up all others. Their items are run
// again until they are given up.
func (p *partition) dropTooLarge(entries []jujubebatch.Entry) []jujubebatch.Entry {
	limit := p.node.settings.MaxAppendBytes
	return slices.DeleteFunc(entries, func(entry jujubebatch.Entry) bool {
		if entry.TextBytes() < limit/2 {
			return false
		}
		var text blobs
		if err := text.add(entry.Text(), p.node.settings.MaxRecordBytes); err == nil && text.size <= limit {
			return false
		}
		p.node.mu.Lock()
		defer p.node.mu.Unlock()
		p.node.batches.Discard(time.Now(), entry)
		p.node.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			id, _ := entry.Of()
			return logrus.Fields{"Submission": id, "Entries": 1, "Error": ErrTooLarge{Size: text.size, Limit: limit}.Error()}
		})
		return true
	})
}

// pause is the time in which entries are gathered, so that all instances together keep to the store's rate.
func (p *partition) pause() time.Duration {
	n := p.node
	n.mu.Lock()
	defer n.mu.Unlock()
	writes := writeShare * float64(n.settings.WritesPerSecond) / float64(max(1, len(n.live))*len(n.partitions))
	return max(appendPause, time.Duration(float64(time.Second)/max(1, writes)))
}

func (p *partition) setUnwritten(entries []jujubebatch.Entry) {
	p.node.mu.Lock()
	defer p.node.mu.Unlock()
	p.unwritten = entries
}

// takeUnwritten returns all entries that aren't known to be on the log.
func (p *partition) takeUnwritten() []jujubebatch.Entry {
	p.node.mu.Lock()
	entries := p.unwritten
	p.node.mu.Unlock()
	return drain(p.queue, append([]jujubebatch.Entry(nil), entries...))
}

// writeTexts writes the texts that entries point at. Entries that were written before keep their pointers.
func (p *partition) writeTexts(ctx context.Context, entries []jujubebatch.Entry) error {
	self := p.node.identity.Instance
	var texts blobs
	// placed take the places of the texts, in their order.
	var placed []func(place jujubebatch.Pointer)
	add := func(value any, place func(place jujubebatch.Pointer)) error {
		placed = append(placed, place)
		return texts.add(value, p.node.settings.MaxRecordBytes)
	}
	for _, entry := range entries {
		var err error
		switch {
		case entry.Result != nil && entry.Result.State == jujubebatch.Completed && entry.Result.Data.Count == 0:
			r := entry.Result
			// A result that another instance has handed over may have another text than the one that was written here.
			if draft, ok := p.drafts[r.Ref()]; ok && r.By == self {
				r.Data = draft
				continue
			}
			err = add(r.Text, func(place jujubebatch.Pointer) { r.Data, r.By = place, self })
		case entry.Unscored != nil && entry.Unscored.Data.Count == 0:
			u := entry.Unscored
			err = add(u.Text, func(place jujubebatch.Pointer) { u.Data, u.By = place, self })
		case entry.Progress != nil && entry.Progress.Data.Count == 0:
			progress := entry.Progress
			err = add(progress.Events, func(place jujubebatch.Pointer) { progress.Data, progress.By = place, self })
		}
		if err != nil {
			return err
		}
	}
	if err := p.writeBlobs(ctx, &texts); err != nil {
		return err
	}
	for i, place := range placed {
		place(texts.pointers[i])
	}
	if len(p.drafts) > maxDrafts {
		clear(p.drafts)
	}
	for _, entry := range entries {
		switch {
		case entry.Unscored != nil:
			p.drafts[entry.Unscored.Ref()] = entry.Unscored.Data
		case entry.Result != nil:
			delete(p.drafts, entry.Result.Ref())
		}
	}
	return nil
}

// dropDrafts leaves out the whole texts whose results are among the entries too.
func dropDrafts(entries []jujubebatch.Entry) []jujubebatch.Entry {
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

// appendAll writes entries in as few appends as the store's limit allows, after the texts that they point at.
func (p *partition) appendAll(ctx context.Context, entries []jujubebatch.Entry) error {
	if err := p.writeTexts(ctx, entries); err != nil {
		return err
	}
	var pending []Record
	size := 0
	flush := func() error {
		if len(pending) == 0 {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := p.node.store.Append(call, topicSubmissions, p.number, pending, NoCondition)
		pending, size = nil, 0
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
	}
	return flush()
}
