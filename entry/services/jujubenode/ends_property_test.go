package jujubenode_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/entry/services/jujubenode"
)

const (
	// faultsFrom and faultsTo bound the faults of a case.
	faultsFrom, faultsTo = 4 * time.Second, 24 * time.Second
	// caseTime is the time by which all submissions that weren't ended are complete.
	caseTime = 60 * time.Second
	// faultFreeTime is how long a machine has to have been neither frozen nor down before the bound on ends holds for it.
	faultFreeTime = 4 * time.Second
	// expiryAge is the age of records that expire. No machine has faults for that long.
	expiryAge = 20 * time.Second
)

// plannedSubmission is a submission of a case. It is ended if EndAt isn't zero. A caller with Patience waits that long for the response to
// the end, and doesn't repeat it without one. The end then counts as acknowledged unansweredEndTime after it was sent.
type plannedSubmission struct {
	ID        jujubebatch.SubmissionID
	At, EndAt time.Duration
	By, EndBy int
	Items     int
	Patience  time.Duration
	// Attempts is the number of attempts after which the caller gives up, each at the next machine; 0 for never.
	Attempts int
}

// unansweredEndTime is the time after which an end without a response counts as acknowledged.
const unansweredEndTime = 4 * time.Second

// playedEnd is an end that was acknowledged at a time. Without an acknowledgement, sentTo is the machine that received the end at sentAt.
type playedEnd struct {
	at, sentAt time.Time
	sentTo     model.InstanceID
}

// endsCase is a case of TestNothingStartsLongAfterItsEnd.
type endsCase struct {
	Machines, DirectReaders int
	// BreakAfter is the number of events after which every second run breaks off; 0 for none.
	BreakAfter  int
	Faults      []fault
	Submissions []plannedSubmission
	// ExpireAt is when the records expire that are old enough; zero for never.
	ExpireAt time.Duration
}

// drawTime draws a time in steps.
func drawTime(t *rapid.T, name string, from, to time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	return step * time.Duration(rapid.IntRange(int(from/step), int(to/step)).Draw(t, name))
}

func drawEndsCase(t *rapid.T) endsCase {
	c := endsCase{
		Machines: rapid.IntRange(2, 5).Draw(t, "machines"), DirectReaders: rapid.IntRange(1, 5).Draw(t, "direct readers"),
		BreakAfter: rapid.IntRange(0, 3).Draw(t, "break after"),
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "faults") {
		name := fmt.Sprint("fault ", i)
		f := fault{Kind: rapid.SampledFrom([]faultKind{slow, frozen, storeHangs, storeRefuses, storeSilent, peersCut, peersMute, down, slow, storeSlow, storeEarly, appendsHang, appendsSilent}).Draw(t, name)}
		// The whole store may be away, but no other fault affects all machines.
		if machine := rapid.IntRange(-1, c.Machines-1).Draw(t, name+" at"); machine >= 0 || !slices.Contains([]faultKind{storeHangs, storeRefuses, appendsHang, appendsSilent}, f.Kind) {
			f.Machine = model.InstanceID(fmt.Sprint("i", max(0, machine)))
		}
		f.From = drawTime(t, name+" from", faultsFrom, faultsTo-5*time.Second)
		f.To = f.From + rapid.SampledFrom([]time.Duration{time.Second / 2, 2 * time.Second, 5 * time.Second}).Draw(t, name+" for")
		if slices.Contains([]faultKind{slow, storeSlow, storeEarly, appendsHang, appendsSilent}, f.Kind) {
			f.To = min(f.To+10*time.Second, faultsTo)
		}
		if f.Kind == slow || f.Kind == storeSlow || f.Kind == storeEarly {
			f.Delay = rapid.SampledFrom([]time.Duration{time.Second / 10, time.Second / 2, time.Second, 3 * time.Second / 2}).Draw(t, name+" delay")
		}
		overlaps := func(other fault) bool {
			return (other.Machine == f.Machine) && f.From < other.To && other.From < f.To && (f.Kind == down) == (other.Kind == down)
		}
		if !slices.ContainsFunc(c.Faults, overlaps) {
			c.Faults = append(c.Faults, f)
		}
	}
	if rapid.Bool().Draw(t, "partial outage") {
		c.Faults = append(c.Faults, drawPartialOutage(t, c.Machines)...)
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "submissions") {
		name := fmt.Sprint("submission ", i)
		s := plannedSubmission{
			ID: jujubebatch.SubmissionID(fmt.Sprint("s", i)), At: drawTime(t, name, 3*time.Second, faultsTo-8*time.Second),
			By: rapid.IntRange(0, c.Machines-1).Draw(t, name+" by"), Items: rapid.IntRange(1, 20).Draw(t, name+" items"),
		}
		if rapid.IntRange(0, 3).Draw(t, name+" ends") > 0 {
			s.Items, s.EndAt = 120, s.At+drawTime(t, name+" for", 500*time.Millisecond, 6*time.Second)
			s.EndBy = rapid.IntRange(0, c.Machines-1).Draw(t, name+" ended by")
			s.Patience = rapid.SampledFrom([]time.Duration{0, time.Second / 5, unansweredEndTime}).Draw(t, name+" patience")
			if s.Patience > 0 {
				s.Items = 200
			}
		}
		c.Submissions = append(c.Submissions, s)
	}
	expireAt := drawTime(t, "expires at", expiryAge+faultsFrom, faultsTo+5*time.Second)
	isOpen := func(s plannedSubmission) bool { return s.EndAt == 0 && s.At <= expireAt-expiryAge }
	if rapid.Bool().Draw(t, "expires") && !slices.ContainsFunc(c.Submissions, isOpen) {
		c.ExpireAt = expireAt
	}
	return c
}

// drawPartialOutage draws faults of the store at a share of the machines; one of the others may be cut off from them.
func drawPartialOutage(t *rapid.T, machines int) (faults []fault) {
	from := drawTime(t, "outage from", faultsFrom, faultsTo-8*time.Second)
	to := from + rapid.SampledFrom([]time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second}).Draw(t, "outage for")
	serving := rapid.IntRange(0, machines-1).Draw(t, "reaches the store")
	add := func(i int, kind faultKind) {
		faults = append(faults, fault{Machine: model.InstanceID(fmt.Sprint("i", i)), Kind: kind, From: from, To: to})
	}
	for i := range machines {
		if i != serving && rapid.IntRange(0, 3).Draw(t, "turned away") > 0 {
			add(i, rapid.SampledFrom([]faultKind{storeRefuses, storeHangs, readsRefused}).Draw(t, "how"))
		}
	}
	if kind := rapid.SampledFrom([]faultKind{"", "", peersCut, readsRefused}).Draw(t, "beside it"); kind != "" {
		add(serving, kind)
	}
	return faults
}

// TestNothingStartsLongAfterItsEnd guards against items that reach an engine later than testCancelTime after the end of their submission
// was acknowledged, from an instance that was neither frozen nor down for faultFreeTime, whatever other instances and the store go through; and
// against submissions that neither complete nor end once the faults are over.
func TestNothingStartsLongAfterItsEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := drawEndsCase(rt)
		var violations []string
		synctest.Test(t, func(t *testing.T) { violations = newEndsRun(t, c).run() })
		if len(violations) > 0 {
			rt.Fatalf("%d violations, the first ones: %q", len(violations), violations[:min(3, len(violations))])
		}
	})
}

// endsRun is a run of a case in virtual time.
type endsRun struct {
	endsCase
	t       *testing.T
	cluster *testCluster
	// ends are the first acknowledgements of ends.
	ends map[jujubebatch.SubmissionID]playedEnd

	mu    sync.Mutex
	nodes []*jujubenode.Node
	stops []func()
}

func newEndsRun(t *testing.T, c endsCase) *endsRun {
	t.Cleanup(func() { time.Sleep(10 * time.Second) }) // calls in progress end
	r := &endsRun{endsCase: c, t: t, cluster: newTestCluster(t), ends: map[jujubebatch.SubmissionID]playedEnd{}}
	r.nodes, r.stops = make([]*jujubenode.Node, c.Machines), make([]func(), c.Machines)
	r.cluster.network = newFaultyNetwork(c.Machines, c.Faults)
	r.cluster.directReaders, r.cluster.sameDataCentre, r.cluster.endpointLeaveTime = c.DirectReaders, true, testCancelTime
	r.cluster.bootClock = func() jujubeclock.Instant {
		return jujubeclock.Instant(time.Since(r.cluster.network.start) + time.Hour)
	}
	wired := newWiredEngines(t, 16, 100*time.Millisecond)
	runs := 0
	wired.breakAfter = func() int {
		runs++
		return c.BreakAfter * (runs % 2)
	}
	wired.connect = func(ctx context.Context, from model.InstanceID) (net.Conn, error) {
		return r.cluster.network.machines[from].connectEngine(ctx, wired.listener)
	}
	r.cluster.wired = wired
	return r
}

func (r *endsRun) node(i int) *jujubenode.Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes[i]
}

func (r *endsRun) start(i int) {
	node, _, stop := r.cluster.startUnready(model.InstanceID(fmt.Sprint("i", i)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes[i], r.stops[i] = node, stop
}

func (r *endsRun) stop(i int) {
	r.mu.Lock()
	stop := r.stops[i]
	r.mu.Unlock()
	stop()
}

func (r *endsRun) sleepUntil(at time.Duration) { time.Sleep(at - time.Since(r.cluster.network.start)) }

// try makes calls until one succeeds or the case is over.
func (r *endsRun) try(call func(ctx context.Context) error) bool {
	for time.Since(r.cluster.network.start) < caseTime {
		ctx, cancel := context.WithTimeout(r.t.Context(), 3*time.Second)
		err := call(ctx)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// run runs the case and returns what went wrong.
func (r *endsRun) run() []string {
	defer r.cluster.network.close()
	for i := range r.Machines {
		r.start(i)
	}
	var active sync.WaitGroup
	for i := range r.Machines {
		for _, f := range r.cluster.network.machines[model.InstanceID(fmt.Sprint("i", i))].faults {
			if f.Kind == down {
				active.Go(func() {
					r.sleepUntil(f.From)
					r.stop(i)
					r.sleepUntil(f.To)
					r.start(i)
				})
			}
		}
	}
	if r.ExpireAt > 0 {
		active.Go(r.expire)
	}
	var violations []string
	for _, s := range r.Submissions {
		active.Go(func() {
			if violation := r.play(s); violation != "" {
				r.mu.Lock()
				defer r.mu.Unlock()
				violations = append(violations, violation)
			}
		})
	}
	active.Wait()
	r.sleepUntil(faultsTo + 2*testCancelTime)
	for i := range r.Machines {
		r.stop(i)
	}
	for _, a := range r.cluster.wired.arrivals {
		if end, ended := r.ends[a.submission]; ended && a.at.Sub(end.at) > testCancelTime && r.isBound(end, a) {
			violations = append(violations, fmt.Sprintf("%s reached an engine from %s %s after its end, which was acknowledged at %s", a.item, a.from, a.at.Sub(end.at), end.at.Sub(r.cluster.network.start)))
		}
	}
	return violations
}

// isBound reports whether an arrival counts. An acknowledged end binds each machine that could act; one that got no response binds those
// that were free of faults, if the machine that has it in hand could tell them.
func (r *endsRun) isBound(end playedEnd, a arrival) bool {
	machines := r.cluster.network.machines
	if end.sentTo == "" {
		return machines[a.from].couldAct(a.at, faultFreeTime)
	}
	return machines[a.from].wasFree(a.at, faultFreeTime) &&
		!machines[end.sentTo].had(a.at, a.at.Sub(end.sentAt), frozen, peersCut, peersMute, dialsRefused, down)
}

// giveUpEnd ends a submission. Only a refused end is repeated.
func (r *endsRun) giveUpEnd(s plannedSubmission) (end playedEnd, ok bool) {
	return end, r.try(func(context.Context) error {
		end = playedEnd{sentAt: time.Now()}
		ctx, cancel := context.WithTimeout(r.t.Context(), s.Patience)
		defer cancel()
		err := r.node(s.EndBy).EndSubmission(ctx, s.ID)
		if refused, isRefused := jujubeerror.IsErrRefused(err); isRefused && refused.Ran == model.RanNo {
			return err
		}
		if end.at = time.Now(); err != nil {
			end.at, end.sentTo = end.sentAt.Add(unansweredEndTime), model.InstanceID(fmt.Sprint("i", s.EndBy))
		}
		return nil
	})
}

// play submits a submission and ends it, or waits until it is complete. It returns what went wrong.
func (r *endsRun) play(s plannedSubmission) string {
	r.sleepUntil(s.At)
	if s.Attempts > 0 {
		return r.playAttempts(s)
	}
	if !r.try(func(ctx context.Context) error {
		return r.node(s.By).Submit(ctx, route, newSubmission(string(s.ID), s.Items))
	}) {
		return string(s.ID) + " isn't accepted"
	}
	if s.EndAt > 0 {
		r.sleepUntil(s.EndAt)
		end, ok := playedEnd{}, false
		if s.Patience > 0 {
			end, ok = r.giveUpEnd(s)
		} else {
			ok = r.try(func(ctx context.Context) error { return r.node(s.EndBy).EndSubmission(ctx, s.ID) })
			end.at = time.Now()
		}
		if !ok {
			return string(s.ID) + " can't be ended"
		}
		r.mu.Lock()
		r.ends[s.ID] = end
		r.mu.Unlock()
		if end.sentTo == "" {
			return ""
		}
	}
	r.sleepUntil(faultsTo)
	var page jujubebatch.Page
	complete := func(ctx context.Context) (err error) {
		page, err = r.node(s.By).ReadResults(ctx, s.ID, 0, 0)
		if err == nil && !(s.EndAt > 0 && page.Ended) && (page.Total == 0 || len(page.Results) < page.Total) {
			return fmt.Errorf("%d of %d results", len(page.Results), page.Total)
		}
		return err
	}
	if !r.try(complete) {
		return fmt.Sprintf("%s isn't complete: %v", s.ID, complete(r.t.Context()))
	}
	if slices.ContainsFunc(page.Results, func(result jujubebatch.Result) bool { return result.State != jujubebatch.Completed }) {
		return string(s.ID) + " has errored items"
	}
	return ""
}

// expire lets the records of submissions expire that are older than expiryAge.
func (r *endsRun) expire() {
	store := r.cluster.store
	lengths := map[string]int64{}
	r.sleepUntil(r.ExpireAt - expiryAge)
	store.mu.Lock()
	for part := range 2 {
		name := logName(jujubenode.Topic{Name: "submissions"}, part)
		lengths[name] = int64(len(store.logs[name]))
	}
	store.mu.Unlock()
	r.sleepUntil(r.ExpireAt)
	store.mu.Lock()
	defer store.mu.Unlock()
	maps.Copy(store.firsts, lengths)
}
