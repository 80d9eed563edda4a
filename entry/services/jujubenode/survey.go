package jujubenode

import (
	"context"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/services/jujubeview"
)

const (
	// surveyInterval is the time between two checks whether a survey is due, and minRoundInterval that between two rounds of questions.
	surveyInterval, minRoundInterval = 200 * time.Millisecond, 800 * time.Millisecond
	// surveyWait is how long a collector waits for the answers to a round of questions. Later ones count for the next round.
	surveyWait = 300 * time.Millisecond
	// questionTimeout bounds a question, and surveyTimeout a request to a collector. Slow instances respond after some 100 ms.
	questionTimeout, surveyTimeout = time.Second, time.Second
	// maxCollectors bounds the instances that collect for all. More than one collects if the first one doesn't reach all others.
	maxCollectors = 3
	// collectorPause is how long an instance isn't asked to collect after it couldn't be reached.
	collectorPause = 5 * time.Second
	// answerRetention is how long after the latest round answers are kept.
	answerRetention = 10 * time.Second
	// maxGoneWitnesses bounds the instances that confirm that the process of another one is gone.
	maxGoneWitnesses = 2
)

// survey finds out what the other instances know while this one reads the log too slowly. One instance asks all for the others, as
// each would otherwise need a connection to each.
type survey struct {
	node *Node
	// roundCh holds a value during a round of questions.
	roundCh chan struct{}

	// The node's lock guards the fields below. roundAt is when the latest round began, and asking holds the instances whose answers
	// are expected.
	answers *jujubeview.Survey
	roundAt jujubeclock.Instant
	asking  map[model.InstanceID]bool
	// holds are the ends that instances had in hand when they answered last.
	holds map[model.InstanceID]HoldArgs
	// pausedUntil holds the collectors that couldn't be reached. turn selects one of the others; it increases after a report that
	// doesn't cover all instances.
	pausedUntil map[model.InstanceID]jujubeclock.Instant
	turn        int
}

func newSurvey(n *Node) *survey {
	return &survey{
		node: n, roundCh: make(chan struct{}, 1), answers: jujubeview.NewSurvey(), asking: make(map[model.InstanceID]bool),
		holds:       make(map[model.InstanceID]HoldArgs),
		pausedUntil: make(map[model.InstanceID]jujubeclock.Instant),
	}
}

// run surveys the other instances whenever views are old, until the context ends.
func (s *survey) run(ctx context.Context) error {
	for ctx.Err() == nil {
		startedAt := time.Now()
		if s.appliesToAny(jujubeview.Gate.ShouldSurvey) {
			s.update(ctx)
		}
		sleep(ctx, surveyInterval-time.Since(startedAt))
	}
	return nil
}

// gated returns the partitions whose age counts and that have been read once; the lock is held.
func (s *survey) gated() []*follower {
	return slices.DeleteFunc(slices.Clone(s.node.followers), func(f *follower) bool { return f.gate.Bound == 0 || f.viewTime.RequestedAt == 0 })
}

// appliesToAny reports whether a condition holds for any of the views.
func (s *survey) appliesToAny(condition func(jujubeview.Gate, jujubeclock.Instant, jujubeview.View) bool) bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	now := s.node.bootClock()
	return slices.ContainsFunc(s.gated(), func(f *follower) bool { return condition(f.gate, now, f.view()) })
}

// update requests a report from the first collector that responds, and updates the views with it.
func (s *survey) update(ctx context.Context) {
	n := s.node
	for range maxCollectors {
		id, address := s.chooseCollector()
		requestedAt := n.bootClock()
		var reply SurveyReply
		if id == n.identity.Instance {
			reply = s.collect(ctx, requestedAt)
		} else {
			callCtx, cancel := context.WithTimeout(ctx, surveyTimeout)
			err := n.store.pool.Call(callCtx, address, "Relay.Survey", SurveyArgs{}, &reply)
			cancel()
			if err != nil {
				n.mu.Lock()
				s.pausedUntil[id] = requestedAt.Add(collectorPause)
				n.mu.Unlock()
				continue
			}
		}
		s.apply(ctx, requestedAt, reply)
		return
	}
}

// chooseCollector returns one of the first instances by name that can be reached; that may be this one.
func (s *survey) chooseCollector() (id model.InstanceID, address string) {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now, addresses := n.bootClock(), n.claimants()
	ids := []model.InstanceID{n.identity.Instance}
	for id, address := range addresses {
		if address != "" && now >= s.pausedUntil[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	id = ids[s.turn%min(maxCollectors, len(ids))]
	return id, addresses[id]
}

// apply updates the views with a report that was requested at a time, after it has got the records that others have read, and the ends
// that others have appended.
func (s *survey) apply(ctx context.Context, requestedAt jujubeclock.Instant, reply SurveyReply) {
	n := s.node
	n.mu.Lock()
	addresses, followers := n.claimants(), s.gated()
	n.mu.Unlock()
	for _, f := range followers {
		f.fetchRecent(ctx, addresses, reply.Report)
	}
	others := otherIDs(addresses)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyUnreadEnds(reply.UnreadEnds)
	for _, hold := range reply.Holds {
		if hold.From != n.identity.Instance {
			n.applyHold(hold)
		}
	}
	if !n.knowsMembers() {
		reply.Report.Missing = append(reply.Report.Missing, n.identity.Instance)
	}
	isHelpful := true
	for _, f := range followers {
		isHelpful = f.updateView(requestedAt, reply.Report, others) && isHelpful
	}
	if !isHelpful {
		s.turn++
	}
	n.notifyChange()
}

// updateView updates the age of the view with a report. It reports whether that sufficed. The lock is held.
func (f *follower) updateView(requestedAt jujubeclock.Instant, report jujubeview.Report, others []model.InstanceID) bool {
	before := f.view()
	view := report.Update(before, f.surveyPart(), f.next, requestedAt, others)
	f.vouchedAt = view.VouchedAt
	if view.RequestedAt > before.RequestedAt {
		f.recordCaughtUp(readTime{at: time.Now().Add(-view.Age(f.node.bootClock())), ReadTime: jujubeclock.RequestedNow(view.RequestedAt)})
	}
	return !f.gate.IsLate(requestedAt, view) || requestedAt.Sub(view.VouchedAt) <= surveyTimeout
}

// fetchRecent gets the records that another instance has read after those of this one.
func (f *follower) fetchRecent(ctx context.Context, addresses map[model.InstanceID]string, report jujubeview.Report) {
	n := f.node
	n.mu.Lock()
	from := f.next
	n.mu.Unlock()
	holder, lacks := report.Lacks(f.surveyPart(), from)
	if !lacks || addresses[holder] == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply RecentReply
	if err := n.store.pool.Call(ctx, addresses[holder], "Relay.Recent", RecentArgs{Topic: f.topic, Part: f.part, From: from}, &reply); err != nil {
		return // the view isn't updated until a later survey
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	f.applyRecords(time.Now(), from, reply.Records)
}

func (f *follower) surveyPart() jujubeview.Part {
	return jujubeview.Part{Topic: f.topic.Name, Number: f.part}
}

func otherIDs(addresses map[model.InstanceID]string) []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(addresses))
	for id := range addresses {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// recordUnreadEnd records an end that this instance or another one has appended; the lock is held.
func (p *partition) recordUnreadEnd(end UnreadEnd) {
	if end.Offset >= p.follower.next && !slices.Contains(p.unreadEnds, end) {
		p.unreadEnds = append(p.unreadEnds, end)
	}
}

// know returns what this instance knows, for a question that arrived at a time; the lock is held.
func (s *survey) know(arrived jujubeclock.Instant) KnownReply {
	n := s.node
	reply := KnownReply{Hold: HoldArgs{From: n.identity.Instance, Held: slices.Sorted(maps.Keys(n.ends.bySubmission))}}
	for _, f := range s.gated() {
		reply.Known = append(reply.Known, jujubeview.Known{
			Part: f.surveyPart(), Next: f.next, Holder: n.identity.Instance, Age: f.viewTime.Ages(arrived).RequestAge, HasView: true,
		})
	}
	for _, p := range n.partitions {
		p.unreadEnds = slices.DeleteFunc(p.unreadEnds, func(end UnreadEnd) bool { return end.Offset < p.follower.next })
		reply.UnreadEnds = append(reply.UnreadEnds, p.unreadEnds...)
	}
	return reply
}

// collect asks all other instances, unless that was done just now, and returns the report for a request that arrived at a time.
func (s *survey) collect(ctx context.Context, arrived jujubeclock.Instant) SurveyReply {
	n := s.node
	select {
	case s.roundCh <- struct{}{}:
		defer func() { <-s.roundCh }()
	case <-ctx.Done():
		return SurveyReply{}
	}
	n.mu.Lock()
	askedAt := n.bootClock()
	isDue := askedAt.Sub(s.roundAt) >= minRoundInterval
	addresses := n.claimants()
	if askedAt.Sub(s.roundAt) > answerRetention {
		s.answers = jujubeview.NewSurvey()
		clear(s.holds)
		maps.DeleteFunc(s.pausedUntil, func(_ model.InstanceID, until jujubeclock.Instant) bool { return until <= askedAt })
	}
	n.mu.Unlock()
	if isDue {
		s.ask(ctx, askedAt, addresses)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.bootClock()
	own := s.know(now)
	s.answers.Record(now, n.identity.Instance, own.Known)
	s.holds[n.identity.Instance] = own.Hold
	return SurveyReply{
		Report:     s.answers.Report(arrived, append(otherIDs(addresses), n.identity.Instance)),
		UnreadEnds: own.UnreadEnds, Holds: slices.Collect(maps.Values(s.holds)),
	}
}

// ask asks the other instances that have no question to answer yet, and waits for a while.
func (s *survey) ask(ctx context.Context, askedAt jujubeclock.Instant, addresses map[model.InstanceID]string) {
	n := s.node
	answered := make(chan struct{}, len(addresses))
	expected := 0
	n.mu.Lock()
	s.roundAt = askedAt
	for id, address := range addresses {
		if s.asking[id] {
			continue
		}
		s.asking[id] = true
		expected++
		n.tomb.Go(func() error {
			s.askOne(n.tomb.Context(nil), id, address, addresses)
			answered <- struct{}{}
			return nil
		})
	}
	n.mu.Unlock()
	timer := time.NewTimer(surveyWait)
	defer timer.Stop()
	for range expected {
		select {
		case <-answered:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// askOne asks an instance what it knows.
func (s *survey) askOne(ctx context.Context, id model.InstanceID, address string, addresses map[model.InstanceID]string) {
	n := s.node
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	askedAt := n.bootClock()
	var reply KnownReply
	err := n.store.pool.Call(ctx, address, "Relay.Known", KnownArgs{}, &reply)
	isGone := errors.Is(err, syscall.ECONNREFUSED) && s.isConfirmedGone(ctx, id, address, addresses)
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(s.asking, id)
	switch {
	case err == nil:
		s.answers.Record(askedAt, id, reply.Known)
		s.holds[id] = reply.Hold
		for _, end := range reply.UnreadEnds {
			if end.Part < len(n.partitions) {
				n.partitions[end.Part].recordUnreadEnd(end)
			}
		}
	case isGone:
		s.answers.RecordGone(askedAt, id)
	}
}

// isConfirmedGone reports whether another instance's connection is refused, too, as links may refuse them as well. This instance's own is
// enough if there is no other one.
func (s *survey) isConfirmedGone(ctx context.Context, id model.InstanceID, address string, addresses map[model.InstanceID]string) bool {
	n := s.node
	self, gone := jujubeview.Member{ID: n.identity.Instance, DataCentre: n.identity.DataCentre}, jujubeview.Member{ID: id}
	var members []jujubeview.Member
	n.mu.Lock()
	for _, heartbeat := range n.registry.Recent(claimantWindow) {
		member := jujubeview.Member{ID: heartbeat.Instance, DataCentre: heartbeat.DataCentre}
		if members = append(members, member); member.ID == id {
			gone = member
		}
	}
	n.mu.Unlock()
	witnesses := jujubeview.GoneWitnesses(self, gone, members)
	replies := 0
	for _, witness := range witnesses {
		var reply CheckInstanceReply
		if err := n.store.pool.Call(ctx, addresses[witness], "Relay.CheckInstance", CheckInstanceArgs{Instance: id, Address: address}, &reply); err != nil {
			continue
		}
		if replies++; reply.IsGone || replies == maxGoneWitnesses {
			return reply.IsGone
		}
	}
	return len(witnesses) == 0
}
