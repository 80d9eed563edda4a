package jujubenode

import (
	"time"

	"github.com/sirupsen/logrus"

	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubeview"
)

const (
	// minViewRefreshInterval is the minimum time between two reads of a partition that waiting work causes.
	minViewRefreshInterval = 200 * time.Millisecond
	// heldTTL is how long items count as waiting after the scheduler last asked; it asks at each tick while there are any.
	heldTTL = 2 * time.Second
)

// ErrRunNotSent is returned for a run that wasn't sent because what its start rested on has changed or is too old.
type ErrRunNotSent struct {
	Submission jujubebatch.SubmissionID
}

// Error returns the submission.
func (e ErrRunNotSent) Error() string {
	return "a run of submission " + string(e.Submission) + " isn't sent: its start was decided on a view that has changed or is too old"
}

// view returns this instance's view of the partition; the lock is held.
func (f *follower) view() jujubeview.View {
	return jujubeview.View{RequestedAt: f.viewTime.RequestedAt, VouchedAt: f.vouchedAt}
}

// startViews returns the partitions on which the start of an item rests: the one of its submission, the endpoints and the desired state.
func (n *Node) startViews(id jujubebatch.SubmissionID) [3]*follower {
	return [3]*follower{n.partitionOf(id).follower, n.endpointFollower, n.desiredFollower}
}

// startCheck is the verdict on sending an item to an engine.
type startCheck struct {
	Verdict jujubeview.Verdict
	// Valid is how much longer the item may be sent; zero for no limit.
	Valid time.Duration
	// Ages are those of the views that startViews returns; zero where there is none.
	Ages [3]time.Duration
}

// checkStart decides whether an item of a submission may be sent to an engine now. The lock is held.
func (n *Node) checkStart(now jujubeclock.Instant, id jujubebatch.SubmissionID) startCheck {
	check := startCheck{Verdict: jujubeview.Current}
	for i, f := range n.startViews(id) {
		if f == nil {
			continue
		}
		view := f.view()
		check.Ages[i] = view.Age(now)
		verdict := f.gate.Check(now, view)
		if verdict != jujubeview.Current && check.Verdict.Allows() {
			check.Verdict = verdict
		}
		if limit := f.gate.ValidFor(now, view); limit > 0 && (check.Valid == 0 || limit < check.Valid) {
			check.Valid = limit
		}
	}
	return check
}

// mayStart reports whether items of a submission may start here; the lock is held.
func (n *Node) mayStart(id jujubebatch.SubmissionID) bool {
	return n.checkStart(n.bootClock(), id).Verdict.Allows()
}

// allowsStart is the scheduler's start gate. It asks for reads before the views are outdated; the lock is held.
func (n *Node) allowsStart(id jujubebatch.SubmissionID) bool {
	now, isAllowed := n.bootClock(), true
	for _, f := range n.startViews(id) {
		if f == nil {
			continue
		}
		view := f.view()
		f.needsRefresh = f.needsRefresh || f.gate.ShouldRefresh(now, view)
		verdict := f.gate.Check(now, view)
		f.setHeld(now, verdict, view.Age(now))
		isAllowed = isAllowed && verdict.Allows()
	}
	return isAllowed
}

// setHeld records whether items wait for a read of the partition, and logs each change of the verdict.
func (f *follower) setHeld(now jujubeclock.Instant, verdict jujubeview.Verdict, age time.Duration) {
	f.startsAskedAt = now
	if previous := f.startVerdict; verdict == previous || previous == "" && verdict == jujubeview.Current {
		return
	}
	f.startVerdict = verdict
	if verdict == jujubeview.Outdated {
		f.heldSince = now
	}
	f.node.log.Write(jujubeevent.StartsHeld, func() logrus.Fields {
		return logrus.Fields{
			"Topic": f.topic.Name, "Partition": f.part, "Held": !verdict.Allows(), "Verdict": verdict, "ViewAge": age.String(),
		}
	})
}

// startsHeldFor returns for how long items have waited for a read of a partition, the longest time of all partitions. The lock is held.
func (n *Node) startsHeldFor(now jujubeclock.Instant) (longest time.Duration) {
	for _, f := range n.followers {
		if f.startVerdict == jujubeview.Outdated && now.Sub(f.startsAskedAt) <= heldTTL {
			longest = max(longest, now.Sub(f.heldSince))
		}
	}
	return longest
}

// checkSend decides whether a run or scoring call that was decided on at a time may still be sent: a run that is cancelled has a context
// that ends a little later.
func (n *Node) checkSend(work sentWork) startCheck {
	wasPaused := n.wasPausedSince(work.decidedAt)
	n.mu.Lock()
	defer n.mu.Unlock()
	check := n.checkStart(n.bootClock(), work.Submission)
	switch {
	case wasPaused:
		check.Verdict = jujubeview.Paused
	case !n.scheduler.MaySend(work.Run):
		check.Verdict = jujubeview.Withdrawn
	}
	return check
}

// permitSend decides immediately before the first byte whether and for how long a run or scoring call may still be sent.
func (n *Node) permitSend(work sentWork) jujubehttp.SendPermit {
	check := n.checkSend(work)
	n.recordSendCheck(work, check)
	if !check.Verdict.Allows() {
		return jujubehttp.SendPermit{}
	}
	return jujubehttp.SendPermit{Allowed: true, Valid: check.Valid}
}

// refreshOldViews reads the partitions for which work waits, unless their reads fail and are repeated anyway; the lock is held.
func (n *Node) refreshOldViews() {
	now := n.bootClock()
	for _, f := range n.followers {
		isDue := f.needsRefresh && !f.isRefreshing && f.failingSince.IsZero() && now.Sub(f.refreshedAt) >= minViewRefreshInterval
		f.needsRefresh = false
		if !isDue {
			continue
		}
		f.isRefreshing, f.refreshedAt = true, now
		n.tomb.Go(func() error {
			f.refresh(n.tomb.Context(nil))
			n.mu.Lock()
			defer n.mu.Unlock()
			f.isRefreshing = false
			n.notifyChange()
			return nil
		})
	}
}
