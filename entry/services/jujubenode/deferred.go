package jujubenode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
)

// deferredInterval is the time between two checks whether there is memory for a deferred submission.
const deferredInterval = time.Second

// deferSubmission defers the submission of an entry for which there is no memory; it returns false if the entry has to be applied. The
// node's lock is held.
func (p *partition) deferSubmission(now time.Time, entry *jujubebatch.Entry) bool {
	n := p.node
	s := entry.Submission
	if s == nil {
		return false
	}
	isReserved := n.memory.settle(s.ID)
	if n.scheduler.IsDeferred(s.ID) {
		return true // a later record of it
	}
	if known, _ := n.scheduler.SubmissionStatus(s.ID); known || isReserved || n.scheduler.HasMemory(s, n.memory.reserved) {
		return false
	}
	if !n.scheduler.Defer(now, s, p.entryOffset) {
		p.gap.missedAt = now // too many are deferred, so others only know it
	}
	n.requestHeartbeat()
	n.log.Write(jujubeevent.SubmissionDeferred, func() logrus.Fields {
		return logrus.Fields{
			"Submission": s.ID, "Items": len(s.Items), "Needed": s.MemoryBytes(), "Held": n.scheduler.HeldBytes(), "Limit": n.memory.settings.Keep, "By": s.By,
		}
	})
	return true
}

// restoreDeferred reads the deferred submissions for which there is memory by now, until the context ends.
func (n *Node) restoreDeferred(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, deferredInterval)
		n.mu.Lock()
		id, offset, ok := n.scheduler.NextDeferred(n.memory.reserved)
		n.mu.Unlock()
		if ok {
			n.partitionOf(id).restore(ctx, id, offset)
		}
	}
	return nil
}

// restore reads the entries of a deferred submission, from its record on up to where the partition has been read, and applies them.
func (p *partition) restore(ctx context.Context, id jujubebatch.SubmissionID, offset int64) {
	n := p.node
	var decoder jujubebatch.Decoder
	var entries []*jujubebatch.Entry
	for isComplete := false; !isComplete; {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		batch, err := n.store.Read(readCtx, topicSubmissions, p.number, offset, 0, maxReadBytes)
		cancel()
		if err != nil {
			p.abandonRestore(id, err)
			return
		}
		for _, record := range batch.Records {
			offset++
			data, err := decoder.Join(record.Value)
			if err != nil || data == nil {
				continue
			}
			if entry, err := n.codec.DecodeEntry(data); err == nil {
				if of, ok := entry.SubmissionID(); ok && of == id {
					entries = append(entries, entry)
				}
			}
		}
		n.mu.Lock()
		if isComplete = offset >= p.follower.next || len(batch.Records) == 0; isComplete {
			p.applyRestored(id, entries)
		}
		n.mu.Unlock()
	}
}

// applyRestored applies the entries of a submission that was deferred; the node's lock is held.
func (p *partition) applyRestored(id jujubebatch.SubmissionID, entries []*jujubebatch.Entry) {
	n := p.node
	if len(entries) == 0 || entries[0].Submission == nil || !n.scheduler.HasMemory(entries[0].Submission, n.memory.reserved) {
		return // it stays deferred
	}
	n.scheduler.Undefer(id)
	for _, entry := range entries {
		n.scheduler.Apply(time.Now(), entry)
	}
	n.memory.publish()
	n.requestHeartbeat()
	n.notifyChange()
	n.log.Write(jujubeevent.SubmissionRestored, func() logrus.Fields {
		return logrus.Fields{"Submission": id, "Entries": len(entries), "Held": n.scheduler.HeldBytes()}
	})
}

// abandonRestore forgets a deferred submission whose record has expired. After another error it is read again later.
func (p *partition) abandonRestore(id jujubebatch.SubmissionID, err error) {
	if !errors.As(err, new(ErrTrimmed)) {
		return
	}
	p.node.mu.Lock()
	defer p.node.mu.Unlock()
	p.node.scheduler.Undefer(id)
	p.gap.missedAt = time.Now()
}

// refuseDeferred refuses a request about a submission that is deferred here; other instances keep it.
func refuseDeferred() error {
	return refusal(jujubeerror.CodeStoreFailed, "the instance has no memory for the submission")
}
