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

// minViewRefreshInterval is the minimum time between two reads of a partition that waiting work causes.
const minViewRefreshInterval = 200 * time.Millisecond

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

// checkStart decides whether an item of a submission may be sent to an engine now, and for how long; zero for no limit. The lock is held.
func (n *Node) checkStart(now jujubeclock.Instant, id jujubebatch.SubmissionID) (verdict jujubeview.Verdict, valid time.Duration) {
	verdict = jujubeview.Current
	for _, f := range n.startViews(id) {
		if f == nil {
			continue
		}
		view := f.view()
		switch checked := f.gate.Check(now, view); checked {
		case jujubeview.Outdated:
			return checked, 0
		case jujubeview.StoreAway:
			verdict = checked
		}
		if limit := f.gate.ValidFor(now, view); limit > 0 && (valid == 0 || limit < valid) {
			valid = limit
		}
	}
	return verdict, valid
}

// mayStart reports whether items of a submission may start here; the lock is held.
func (n *Node) mayStart(id jujubebatch.SubmissionID) bool {
	verdict, _ := n.checkStart(n.bootClock(), id)
	return verdict.Allows()
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
		f.setHeld(!verdict.Allows(), verdict, view.Age(now))
		isAllowed = isAllowed && verdict.Allows()
	}
	return isAllowed
}

// setHeld records whether items wait for a read of the partition.
func (f *follower) setHeld(isHeld bool, verdict jujubeview.Verdict, age time.Duration) {
	if isHeld == f.isHeld {
		return
	}
	f.isHeld = isHeld
	f.node.log.Write(jujubeevent.StartsHeld, func() logrus.Fields {
		return logrus.Fields{"Topic": f.topic.Name, "Partition": f.part, "Held": isHeld, "Verdict": verdict, "ViewAge": age.String()}
	})
}

// permitSend decides whether and for how long a run or scoring call that was decided on at a time may still be sent. It is asked
// immediately before the first byte, also whether the decision still holds: a run that is cancelled has a context that ends a little later.
func (n *Node) permitSend(id jujubebatch.SubmissionID, run jujubebatch.RunID, decidedAt time.Time) jujubehttp.SendPermit {
	if n.wasPausedSince(decidedAt) {
		return jujubehttp.SendPermit{}
	}
	n.mu.Lock()
	isWanted := n.scheduler.MaySend(run)
	verdict, valid := n.checkStart(n.bootClock(), id)
	n.mu.Unlock()
	if !isWanted {
		return jujubehttp.SendPermit{}
	}
	n.metrics.countSendCheck(verdict)
	return jujubehttp.SendPermit{Allowed: verdict.Allows(), Valid: valid}
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
