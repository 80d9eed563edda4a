package jujubenode

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubeduty"
	"jujubepier.example/core/services/jujuberegistry"
	"jujubepier.example/core/services/jujubeusage"
)

// clockSettleReads is the number of own heartbeats that have been read back until the true time counts as known, although the times of
// day of some live instances aren't. The other instances write as many meanwhile, of which two have to be read.
const clockSettleReads = 4

// forgetInterval is the time between two looks for old reports.
const forgetInterval = time.Second

// usage is the node's part in the reports of usage, guarded by the node's lock.
type usage struct {
	counter *jujubeusage.Counter
	ledger  *jujubeusage.Ledger
	clock   *jujubeusage.Clock
	// correction is that of the own time of day, as of the last estimate.
	correction time.Duration
	// ownReads is the number of this process's heartbeats that were read back, lastOwnRead is the number of the last one, and settled
	// is true once the true time is known.
	ownReads    int
	lastOwnRead int64
	// readDelay is the time from the writing of the own last heartbeat until it was read back. While it is long, the heartbeats of others
	// don't tell their time either.
	readDelay time.Duration
	settled   bool
}

// maxReadDelay is half of the difference from which on the own time of day is corrected. The log takes some ms.
const maxReadDelay = 250 * time.Millisecond

func newUsage(settings jujubeusage.Settings) *usage {
	u := &usage{counter: jujubeusage.NewCounter(jujubeclock.Now(), settings), ledger: jujubeusage.NewLedger(settings), clock: jujubeusage.NewClock()}
	u.clock.Update(time.Now(), jujubeclock.Now(), nil)
	return u
}

// usage returns nil where the reports of usage aren't a duty.
func (n *Node) usage() *usage {
	if n.duties == nil {
		return nil
	}
	return n.duties.usage
}

// CountUsage counts a request of an organisation that a server began at a time. It has to be called once for each request.
func (n *Node) CountUsage(organisation model.OrganisationName, startedAt time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.countUsage(organisation, startedAt)
}

// countUsage counts a request; the lock is held.
func (n *Node) countUsage(organisation model.OrganisationName, startedAt time.Time) {
	if u := n.usage(); u != nil && organisation != "" {
		u.counter.Count(organisation, jujubeclock.Now().Add(-time.Since(startedAt)))
	}
}

// addUsage adds this instance's counts and its time of day to its heartbeat; the lock is held.
func (n *Node) addUsage(now time.Time, heartbeat *jujuberegistry.Heartbeat) {
	u := n.usage()
	if u == nil {
		return
	}
	note := n.usageNote(now, false)
	heartbeat.Usage, heartbeat.TimeOfDay = &note, now.Round(0)
}

// usageNote returns the counts of this instance; the lock is held. The last note of an instance that leaves contains all of them.
func (n *Node) usageNote(now time.Time, last bool) jujubeusage.Note {
	u := n.usage()
	n.updateClock(now)
	return u.counter.Note(jujubeclock.Now(), u.clock.At, last || u.settled, u.ledger.IsFixed)
}

// updateClock estimates the true time from the times of day of the live instances; the lock is held.
func (n *Node) updateClock(now time.Time) {
	u := n.usage()
	ids := n.otherClocks()
	u.settled = u.settled || len(ids) > 0 && u.clock.HasAll(ids) || u.ownReads >= clockSettleReads
	u.clock.Retain(ids)
	correction := u.clock.Update(now, jujubeclock.Now(), ids)
	if (correction == 0) != (u.correction == 0) {
		n.log.Write(jujubeevent.ClockCorrected, func() logrus.Fields {
			return logrus.Fields{"Correction": correction.String(), "Others": len(ids)}
		})
	}
	u.correction = correction
}

// liveIDs returns the live instances; the lock is held.
func (n *Node) liveIDs() []model.InstanceID {
	ids := make([]model.InstanceID, len(n.liveInstances))
	for i, heartbeat := range n.liveInstances {
		ids[i] = heartbeat.Instance
	}
	return ids
}

// otherClocks returns the other live instances that state their time of day; the lock is held.
func (n *Node) otherClocks() []model.InstanceID {
	var ids []model.InstanceID
	for _, heartbeat := range n.liveInstances {
		if heartbeat.Instance != n.identity.Instance && !heartbeat.TimeOfDay.IsZero() {
			ids = append(ids, heartbeat.Instance)
		}
	}
	return ids
}

// applyUsage applies the counts and the time of day in a heartbeat; the lock is held. fresh is false for a heartbeat that may have
// been written long ago.
func (n *Node) applyUsage(now time.Time, heartbeat jujuberegistry.Heartbeat, fresh bool) {
	u := n.usage()
	if u == nil {
		return
	}
	isOwn := heartbeat.Instance == n.identity.Instance
	switch {
	case heartbeat.TimeOfDay.IsZero():
	case isOwn:
		u.readDelay = now.Sub(heartbeat.TimeOfDay).Abs()
	case fresh && u.readDelay < maxReadDelay:
		u.clock.Observe(heartbeat.Instance, heartbeat.TimeOfDay, jujubeclock.Now())
	}
	if heartbeat.Usage == nil {
		return
	}
	n.applyStatement(jujubeusage.Statement{
		Instance: heartbeat.Instance, Incarnation: heartbeat.Incarnation, Number: heartbeat.Number, Note: *heartbeat.Usage,
	}, u.ledger.ApplyStatement)
	if isOwn && heartbeat.Incarnation == n.incarnation && n.heartbeatNumber > 0 {
		u.ledger.ObserveOwn(now)
		if heartbeat.Number > u.lastOwnRead { // an append may be repeated
			u.lastOwnRead = heartbeat.Number
			u.ownReads++
		}
	}
}

// applyStatement applies a statement, and continues from one of an earlier process of this instance. This process must not have
// written its own counts yet: later records may be its own. The lock is held.
func (n *Node) applyStatement(statement jujubeusage.Statement, apply func(jujubeusage.Statement)) {
	if statement.Instance == n.identity.Instance && n.heartbeatNumber == 0 {
		n.usage().counter.Restore(statement.Note)
		if statement.Incarnation > n.incarnation {
			// The clock was set back since the process before left, which removed its heartbeat.
			n.incarnation = statement.Incarnation + 1
		}
	}
	apply(statement)
}

// applyUsageRecord applies a record of the reports; the lock is held.
func (n *Node) applyUsageRecord(record jujubeusage.Record) {
	u := n.usage()
	if u == nil {
		return
	}
	if record.Fixed != nil && !u.ledger.IsFixed(record.Fixed.Window) {
		n.log.Write(jujubeevent.UsageFixed, func() logrus.Fields {
			return logrus.Fields{
				"Window": record.Fixed.Window, "Organisations": len(record.Fixed.Counts), "Requests": record.Fixed.Counts.Sum(),
				"NotFinal": u.ledger.Missing(record.Fixed.Window, n.liveIDs()),
			}
		})
	}
	apply := func(jujubeusage.Statement) { u.ledger.ApplyRecord(record) }
	if record.Left != nil {
		n.applyStatement(*record.Left, apply)
		return
	}
	apply(jujubeusage.Statement{})
}

// canReplaceUsage reports whether the counts of an earlier process of this instance have been read, so that its first heartbeat may
// replace them; the lock is held.
func (n *Node) canReplaceUsage() bool {
	return n.usage() == nil || !n.rolloutFollower.caughtUpAt.IsZero()
}

// fixReports appends the reports that can be fixed, and the acceptances of reports, until the context ends.
func (n *Node) fixReports(ctx context.Context) error {
	var forgotAt time.Time
	for ctx.Err() == nil {
		n.mu.Lock()
		now := time.Now()
		records := n.planReports(now)
		if now.Sub(forgotAt) >= forgetInterval {
			forgotAt = now
			n.forgetReports(now)
		}
		n.mu.Unlock()
		if err := n.appendUsage(ctx, records...); err != nil {
			n.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
				return logrus.Fields{"Topic": topicRollout.Name, "Records": len(records), "Error": err.Error()}
			})
		}
		sleep(ctx, dutyInterval)
	}
	return nil
}

// planReports returns the records to append; the lock is held. Any holder of the lease may fix reports, because the log decides which
// record counts.
func (n *Node) planReports(now time.Time) []jujubeusage.Record {
	u := n.usage()
	if !u.settled || !n.lease.State(now).Held || !n.rolloutFollower.wasReadRecently() {
		return nil
	}
	n.updateClock(now)
	return u.ledger.Plan(jujubeusage.Now{True: u.clock.At(jujubeclock.Now()), Local: now}, n.liveIDs())
}

// forgetReports forgets old reports; the lock is held. A clock that is ahead would make it forget those of the present.
func (n *Node) forgetReports(now time.Time) {
	u := n.usage()
	if !u.settled {
		return
	}
	expired := u.ledger.Forget(u.clock.At(jujubeclock.Now()), n.liveIDs())
	if !n.lease.State(now).Held {
		return // the holder logs what is lost
	}
	for _, window := range expired {
		n.log.Write(jujubeevent.UsageExpired, func() logrus.Fields { return logrus.Fields{"Window": window} })
	}
}

// appendUsage appends records of the reports.
func (n *Node) appendUsage(ctx context.Context, records ...jujubeusage.Record) error {
	if len(records) == 0 {
		return nil
	}
	values := make([]Record, len(records))
	for i := range records {
		value, err := json.Marshal(rolloutRecord{Usage: &records[i]})
		if err != nil {
			return err
		}
		values[i].Value = value
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := n.store.Append(ctx, topicRollout, 0, values, NoCondition)
	return err
}

// sendReport sends the report that is due, if there is one and this instance may send it.
func (n *Node) sendReport(ctx context.Context) {
	u := n.usage()
	n.mu.Lock()
	report, ok := u.ledger.NextReport(jujubeusage.Now{True: u.clock.At(jujubeclock.Now()), Local: time.Now()})
	n.mu.Unlock()
	if !ok {
		return
	}
	subject := strconv.FormatInt(int64(report.Window), 10)
	outcome, called := n.callPlatform(ctx, jujubeduty.UsageReport, subject, func(ctx context.Context, call DutyCall) (jujubeduty.Outcome, error) {
		return n.duties.caller.ReportUsage(ctx, call, report)
	})
	if !called {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	u.ledger.RecordOutcome(time.Now(), report.Window, outcome)
}

// writeFinalUsage writes the final counts of an instance that leaves, and returns them. Its heartbeat is removed, so they are written
// to another topic, where instances that start later find them. The result is nil where the reports aren't a duty.
func (n *Node) writeFinalUsage(ctx context.Context) *jujubeusage.Statement {
	n.mu.Lock()
	if n.usage() == nil {
		n.mu.Unlock()
		return nil
	}
	n.heartbeatNumber++
	statement := &jujubeusage.Statement{
		Instance: n.identity.Instance, Incarnation: n.incarnation, Number: n.heartbeatNumber, Note: n.usageNote(time.Now(), true),
	}
	n.mu.Unlock()
	if err := n.appendUsage(ctx, jujubeusage.Record{Left: statement}); err != nil {
		n.log.Write(jujubeevent.AppendFailed, func() logrus.Fields {
			return logrus.Fields{"Topic": topicRollout.Name, "Records": 1, "Error": err.Error()}
		})
	}
	return statement
}
