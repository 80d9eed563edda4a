package jujubenode

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubebatch"
)

const (
	// minDoubtInterval and maxDoubtInterval bound the time between two rounds of questions about submissions that are in doubt; it
	// doubles while they remain so.
	minDoubtInterval = 300 * time.Millisecond
	maxDoubtInterval = 5 * time.Second
	// askedPerRound is the number of instances that are asked in a round, in turn: some may have missed the same records.
	askedPerRound = 4
	// questionsPerCall bounds the submissions of one call. A result takes some 200 bytes, and a submission has some hundred of them.
	questionsPerCall = 16
)

// partitionGap is a partition's state after records have expired unread.
type partitionGap struct {
	// missedAt is when that last happened; zero for never. It is guarded by the node's lock.
	missedAt time.Time
	// nextPeer is the index of the instance that is asked next about submissions in doubt; only resolveDoubts uses it.
	nextPeer int
	// missing is the range of the latest records that expired unread, and number counts such ranges; guarded by the node's lock.
	missing jujubebatch.Span
	number  int
	// replies are those since the range with the number repliesTo expired; only resolveDoubts uses both.
	replies   jujubebatch.DoubtReplies
	repliesTo int
}

// mayHaveMissed reports whether a submission that this instance hasn't read may still be readable elsewhere; the lock is held.
func (p *partition) mayHaveMissed(now time.Time) bool {
	return !p.gap.missedAt.IsZero() && now.Sub(p.gap.missedAt) < jujubebatch.DefaultSettings().OpenRetention
}

// recordGap puts the submissions of the partition in doubt; the lock is held.
func (p *partition) recordGap(read, missing jujubebatch.Span) {
	p.decoder = jujubebatch.Decoder{}
	p.gap.missing = missing
	p.gap.number++
	p.node.memory.settleAll()
	p.node.executeActions(p.node.scheduler.RecordGap(read, missing, p.holds))
	if !p.follower.caughtUpAt.IsZero() { // what had expired before this instance started is no longer readable
		p.gap.missedAt = time.Now()
	}
	p.node.notifyChange()
}

// holds reports whether a submission belongs to the partition.
func (p *partition) holds(id jujubebatch.SubmissionID) bool { return p.node.partitionOf(id) == p }

// StatusesArgs ask what an instance knows of submissions of a partition.
type StatusesArgs struct {
	Part      int
	Questions []jujubebatch.Question
}

// StatusesReply has the answers in the order of the questions, and the range of offsets that the instance has read without a gap.
type StatusesReply struct {
	Read     jujubebatch.Span
	Statuses []jujubebatch.Status
}

// Statuses tells another instance what this one knows of submissions.
func (r *Relay) Statuses(args StatusesArgs, reply *StatusesReply) error {
	n := r.node
	f := n.followerOf(topicSubmissions, args.Part)
	if f == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	reply.Read = f.readSpan()
	for _, question := range args.Questions {
		reply.Statuses = append(reply.Statuses, n.scheduler.Answer(question))
	}
	return nil
}

// checkNew returns a refusal unless a submission that isn't known here after a gap is new: its record and its end may be among those that
// have expired, so all live instances have to reply that they don't know it either. One that does accepts it again.
func (p *partition) checkNew(ctx context.Context, id jujubebatch.SubmissionID) error {
	n := p.node
	n.mu.Lock()
	missing, addresses, isNew := p.gap.missing, n.claimants(), n.knowsMembers()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	areNew := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			var reply StatusesReply
			args := StatusesArgs{p.number, []jujubebatch.Question{{Submission: id}}}
			err := n.store.pool.Call(ctx, address, "Relay.Statuses", args, &reply)
			areNew <- err == nil && len(reply.Statuses) == 1 && !reply.Statuses[0].Known && reply.Read.End >= missing.End
		}()
	}
	for range addresses {
		isNew = <-areNew && isNew
	}
	if !isNew {
		return refusal(jujubeerror.CodeStoreFailed, "records of the submission may have expired unread; use another address")
	}
	return nil
}

// resolveDoubts asks other instances about the submissions that are in doubt, until the context ends.
func (n *Node) resolveDoubts(ctx context.Context) error {
	delay := minDoubtInterval
	for ctx.Err() == nil {
		asked, resolved := 0, 0
		for _, p := range n.partitions {
			inDoubt, known := p.askAboutDoubts(ctx)
			asked, resolved = asked+inDoubt, resolved+known
		}
		if delay = min(2*delay, maxDoubtInterval); asked == resolved {
			delay = minDoubtInterval
		}
		sleep(ctx, delay)
	}
	return nil
}

// askAboutDoubts asks a few instances, one after the other, and returns how many submissions were in doubt and how many no longer are.
// An instance of an earlier build doesn't know the call, so it can't tell.
func (p *partition) askAboutDoubts(ctx context.Context) (inDoubt, resolved int) {
	n := p.node
	n.mu.Lock()
	questions, missing, number := n.scheduler.Questions(p.holds), p.gap.missing, p.gap.number
	n.mu.Unlock()
	if inDoubt = len(questions); inDoubt == 0 || number != p.gap.repliesTo {
		p.gap.replies.Restart()
		p.gap.repliesTo = number
	}
	if inDoubt == 0 {
		return 0, 0
	}
	addresses := n.peerAddresses()
	peers := slices.Sorted(maps.Keys(addresses))
	p.gap.replies.SetLive(peers)
	for range min(askedPerRound, len(peers)) {
		peer := peers[p.gap.nextPeer%len(peers)]
		p.gap.nextPeer++
		known, read, replied := p.askPeer(ctx, addresses[peer], questions)
		if replied {
			p.gap.replies.Record(peer, read, missing)
		}
		if resolved += known; known > 0 {
			n.log.Write(jujubeevent.DoubtResolved, func() logrus.Fields {
				return logrus.Fields{"Peer": peer, "Partition": p.number, "Submissions": known}
			})
		}
		if resolved == inDoubt {
			return inDoubt, resolved
		}
	}
	n.mu.Lock()
	isCurrent := number == p.gap.number
	n.mu.Unlock()
	if isCurrent && p.gap.replies.IsComplete() {
		p.abandonDoubts(inDoubt - resolved)
		resolved = inDoubt
	}
	return inDoubt, resolved
}

// abandonDoubts ends the doubts that no live instance could end.
func (p *partition) abandonDoubts(submissions int) {
	n := p.node
	n.log.Write(jujubeevent.DoubtAbandoned, func() logrus.Fields {
		return logrus.Fields{"Partition": p.number, "Submissions": submissions}
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.scheduler.AbandonDoubts(p.holds)
	n.notifyChange()
}

// askPeer asks one instance and returns how many submissions are no longer in doubt, the range that it has read, and whether it has replied
// to all questions.
func (p *partition) askPeer(ctx context.Context, address string, questions []jujubebatch.Question) (resolved int, read jujubebatch.Span, replied bool) {
	for part := range slices.Chunk(questions, questionsPerCall) {
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		var reply StatusesReply
		err := p.node.store.pool.Call(callCtx, address, "Relay.Statuses", StatusesArgs{p.number, part}, &reply)
		cancel()
		if err != nil {
			return resolved, read, false
		}
		if resolved += p.handleStatuses(reply); read.End == 0 || reply.Read.End < read.End {
			read = reply.Read
		}
	}
	return resolved, read, true
}

// handleStatuses applies the answers and returns how many submissions are no longer in doubt.
func (p *partition) handleStatuses(reply StatusesReply) (resolved int) {
	n := p.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, status := range reply.Statuses {
		if n.scheduler.HandleAnswer(time.Now(), status, reply.Read) {
			resolved++
		}
	}
	if resolved > 0 {
		n.notifyChange()
	}
	return resolved
}
