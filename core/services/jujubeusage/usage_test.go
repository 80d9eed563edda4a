package jujubeusage_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/services/jujubeduty"
	"jujubepier.example/core/services/jujubeusage"
)

func TestMain(m *testing.M) {
	// Set before the command line is parsed, so that it can override them.
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	step              = 100 * time.Millisecond
	heartbeatInterval = 800 * time.Millisecond
	liveTTL           = 2800 * time.Millisecond
	maxReadAge        = 900 * time.Millisecond
	settleReads       = 4
	graceTime         = 2 * time.Second
)

var settings = jujubeusage.Settings{Length: 5 * time.Second, Late: 10 * time.Second}

// heartbeat is a record of a keyed topic.
type heartbeat struct {
	Statement jujubeusage.Statement
	TimeOfDay time.Time
}

// member is an instance. Its process has the fields from counter on.
type member struct {
	id          model.InstanceID
	incarnation model.Incarnation
	// skew is the error of the machine's time of day.
	skew    time.Duration
	isAlive bool

	counter            *jujubeusage.Counter
	ledger             *jujubeusage.Ledger
	clock              *jujubeusage.Clock
	number             int64
	lastBeat           time.Time
	ownReads, lastRead int64
	// readsAt is when the member reads the reports again; the heartbeats are another topic. It fixes no reports if that is too late.
	readsAt              time.Time
	heartbeats, rollouts int
	seen                 map[model.InstanceID]time.Time
	open                 map[int64]time.Time
}

// delayedRecord is a record whose append takes effect later.
type delayedRecord struct {
	at     time.Time
	append func()
}

// service is the members and the log.
type service struct {
	t          *rapid.T
	now        time.Time
	members    []*member
	heartbeats []heartbeat
	rollouts   [][]byte
	delayed    []delayedRecord
	storeAway  bool
	// awayAt is when the store was last away. Nobody expires until the heartbeats after an outage have been read, as in the registry.
	awayAt time.Time
	// requests holds the true start of each request. Each is of an organisation of its own.
	requests map[model.OrganisationName]time.Time
	sent     map[jujubeusage.Window]string
	// included holds the window whose report contains a request.
	included map[model.OrganisationName]jujubeusage.Window
}

// instant returns the reading of the boot-time clock at a time. All machines were booted at the same time.
func (s *service) instant(at time.Time) jujubeclock.Instant {
	return jujubeclock.Instant(at.Sub(time.Unix(1_799_000_000, 0)))
}

func (s *service) start(m *member) {
	m.incarnation++
	m.readsAt = time.Time{} // both topics are read before the first heartbeat is written
	m.isAlive, m.number, m.ownReads, m.lastRead, m.lastBeat = true, 0, 0, 0, time.Time{}
	m.counter, m.ledger, m.clock = jujubeusage.NewCounter(s.instant(s.now), settings), jujubeusage.NewLedger(settings), jujubeusage.NewClock()
	m.seen, m.open, m.rollouts = map[model.InstanceID]time.Time{}, map[int64]time.Time{}, 0
	newest := map[model.InstanceID]heartbeat{}
	for _, h := range s.heartbeats {
		newest[h.Statement.Instance] = h
	}
	m.heartbeats = len(s.heartbeats)
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		s.apply(m, newest[id], false)
	}
}

func (s *service) apply(m *member, h heartbeat, fresh bool) {
	stated := h.Statement
	if stated.Number < 0 {
		delete(m.seen, stated.Instance)
		m.ledger.ObserveRemoved(s.now, stated.Instance)
		return
	}
	s.restore(m, stated)
	m.ledger.ApplyStatement(stated)
	m.seen[stated.Instance] = s.now
	if fresh && stated.Instance != m.id {
		m.clock.Observe(stated.Instance, h.TimeOfDay, s.instant(s.now))
	}
	if stated.Instance == m.id && stated.Incarnation == m.incarnation {
		m.ledger.ObserveOwn(s.now)
		if stated.Number > m.lastRead { // a repeated append doesn't count
			m.lastRead = stated.Number
			m.ownReads++
		}
	}
}

func (s *service) restore(m *member, stated jujubeusage.Statement) {
	if stated.Instance == m.id && m.number == 0 {
		m.counter.Restore(stated.Note)
	}
}

func (s *service) live(m *member) []model.InstanceID {
	var live []model.InstanceID
	for id, at := range m.seen {
		if s.now.Sub(at) < liveTTL || s.now.Sub(s.awayAt) < graceTime {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}

// append appends a record now, or later, or twice.
func (s *service) append(maxDelay time.Duration, add func()) {
	switch fate := rapid.IntRange(0, 11).Draw(s.t, "append"); {
	case s.storeAway:
	case fate == 11:
		add()
		add()
	case fate == 10:
		s.delayed = append(s.delayed, delayedRecord{s.now.Add(time.Duration(rapid.IntRange(1, int(maxDelay/step)).Draw(s.t, "late")) * step), add})
	default:
		add()
	}
}

func (s *service) appendRollout(record jujubeusage.Record) {
	data, err := json.Marshal(record)
	assert.NilError(s.t, err)
	s.append(5*time.Second, func() { s.rollouts = append(s.rollouts, data) })
}

func (m *member) note(s *service, leaving bool) jujubeusage.Statement {
	m.clock.Update(s.now.Add(m.skew), s.instant(s.now), s.live(m))
	m.number++
	settled := leaving || m.ownReads >= settleReads
	note := m.counter.Note(s.instant(s.now), m.clock.At, settled, m.ledger.IsFixed)
	return jujubeusage.Statement{Instance: m.id, Incarnation: m.incarnation, Number: m.number, Note: note}
}

// advance lets a member read the log, write its heartbeat and, if it holds the duties, fix and send reports.
func (s *service) advance(m *member, holds bool) {
	if !m.isAlive {
		return
	}
	if !s.storeAway {
		for ; m.heartbeats < len(s.heartbeats); m.heartbeats++ {
			s.apply(m, s.heartbeats[m.heartbeats], true)
		}
		for ; m.rollouts < len(s.rollouts) && !s.now.Before(m.readsAt); m.rollouts++ {
			var record jujubeusage.Record
			assert.NilError(s.t, json.Unmarshal(s.rollouts[m.rollouts], &record))
			if record.Left != nil {
				s.restore(m, *record.Left)
			}
			m.ledger.ApplyRecord(record)
		}
	}
	for number, end := range m.open {
		if !s.now.Before(end) {
			s.endRequest(m, number)
		}
	}
	if s.now.Sub(m.lastBeat) >= heartbeatInterval {
		m.lastBeat = s.now
		h := heartbeat{m.note(s, false), s.now.Add(m.skew)}
		s.append(1200*time.Millisecond, func() { s.heartbeats = append(s.heartbeats, h) })
	}
	m.clock.Update(s.now.Add(m.skew), s.instant(s.now), s.live(m))
	now := jujubeusage.Now{True: m.clock.At(s.instant(s.now)), Local: s.now}
	m.ledger.Forget(now.True, s.live(m))
	if !holds {
		return
	}
	for _, record := range m.ledger.Plan(now, s.live(m)) {
		s.appendRollout(record)
	}
	if report, ok := m.ledger.NextReport(now); ok {
		outcome := rapid.SampledFrom([]jujubeduty.Outcome{jujubeduty.Done, jujubeduty.Done, jujubeduty.Unknown, jujubeduty.Throttled}).Draw(s.t, "outcome")
		m.ledger.RecordOutcome(s.now, report.Window, outcome)
		s.receive(report)
	}
}

// receive checks a report that was sent.
func (s *service) receive(report jujubeusage.Report) {
	content, err := json.Marshal(report)
	assert.NilError(s.t, err)
	if known, ok := s.sent[report.Window]; ok && known != string(content) {
		s.t.Fatalf("window %d was reported as %s and as %s", report.Window, known, content)
	}
	s.sent[report.Window] = string(content)
	for organisation, count := range report.Counts {
		if window, ok := s.included[organisation]; count > 1 || ok && window != report.Window {
			s.t.Fatalf("request %s is in the reports of windows %d and %d, %d times", organisation, window, report.Window, count)
		}
		s.included[organisation] = report.Window
	}
}

// endRequest counts a request at the time when it was begun.
func (s *service) endRequest(m *member, number int64) {
	organisation := model.OrganisationName(fmt.Sprintf("%s-%d-%d", m.id, m.incarnation, number))
	m.counter.Count(organisation, s.instant(s.requests[organisation]))
	m.counter.End(number)
	delete(m.open, number)
}

// leave lets a member leave as the node does: its requests end, and its last statement goes to the other topic.
func (s *service) leave(m *member) {
	for _, number := range slices.Sorted(maps.Keys(m.open)) {
		s.endRequest(m, number)
	}
	stated := m.note(s, true)
	data, err := json.Marshal(jujubeusage.Record{Left: &stated})
	assert.NilError(s.t, err)
	s.rollouts = append(s.rollouts, data)
	s.heartbeats = append(s.heartbeats, heartbeat{Statement: jujubeusage.Statement{Instance: m.id, Number: -1}})
	m.isAlive = false
}

// run runs the service under random faults, and then without faults until all reports are sent. It returns whether a clock stepped.
func (s *service) run(kills bool) (steps bool) {
	number := rapid.IntRange(0, len(s.members)-1)
	// For a while, two members may each consider themselves the holder.
	holder, other := 0, 0
	// The first member's clock steps. In runs without kills it is one of at least three, so the others only leave if it doesn't step.
	steps = rapid.Bool().Draw(s.t, "clock steps")
	tick := func(requests bool) {
		if s.now = s.now.Add(step); s.storeAway {
			s.awayAt = s.now
		}
		for _, record := range s.delayed {
			if !s.now.Before(record.at) {
				record.append()
			}
		}
		s.delayed = slices.DeleteFunc(s.delayed, func(r delayedRecord) bool { return !s.now.Before(r.at) })
		for i, m := range s.members {
			if requests && m.isAlive && rapid.IntRange(0, 3).Draw(s.t, "request") == 3 {
				number := m.counter.Begin(s.instant(s.now))
				s.requests[model.OrganisationName(fmt.Sprintf("%s-%d-%d", m.id, m.incarnation, number))] = s.now
				m.open[number] = s.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(s.t, "duration")) * step)
			}
			s.advance(m, i == holder || i == other)
		}
	}
	for range rapid.IntRange(5, 25).Draw(s.t, "changes") {
		s.storeAway = s.storeAway && kills // otherwise an outage lasts 5 s
		m := s.members[number.Draw(s.t, "member")]
		switch rapid.IntRange(0, 6).Draw(s.t, "what") {
		case 0:
			m.readsAt = s.now.Add(time.Duration(rapid.IntRange(0, int(maxReadAge/step)).Draw(s.t, "reads late")) * step)
			holder, other = number.Draw(s.t, "holder"), number.Draw(s.t, "other holder")
		case 1:
			if steps {
				s.members[0].skew = time.Duration(rapid.IntRange(-400, 400).Draw(s.t, "skew")) * step
			}
		case 2:
			// A process that leaves before it knows the true time relies on its own clock.
			if m.isAlive && !s.storeAway && (kills || !steps || m == s.members[0] && m.ownReads >= settleReads) {
				s.leave(m)
			}
		case 3:
			if kills {
				m.isAlive = false
			}
		case 4:
			if !m.isAlive && !s.storeAway {
				s.start(m)
			}
		case 5:
			s.storeAway = !s.storeAway
		}
		for range rapid.IntRange(1, 50).Draw(s.t, "steps") {
			tick(true)
		}
	}
	s.storeAway = false
	for range 300 {
		for _, m := range s.members {
			if !m.isAlive {
				s.start(m)
			}
		}
		tick(false)
	}
	return steps
}

func newService(t *rapid.T) *service {
	s := &service{
		t: t, now: time.Unix(1_800_000_003, 0), requests: map[model.OrganisationName]time.Time{},
		sent: map[jujubeusage.Window]string{}, included: map[model.OrganisationName]jujubeusage.Window{},
	}
	for i := range rapid.IntRange(3, 5).Draw(t, "members") {
		m := &member{id: model.InstanceID(fmt.Sprint("m", i))}
		s.members = append(s.members, m)
		s.start(m)
	}
	return s
}

// TestReportsUnderFaults guards against two contents of a window's report, and against a request that two reports include: instances are
// killed, restarted and leave, clocks step, the holder changes, the store is away, and appends are lost, repeated and late.
func TestReportsUnderFaults(t *testing.T) {
	requests, included := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newService(t)
		s.run(true)
		requests, included = requests+len(s.requests), included+len(s.included)
	})
	t.Logf("%d of %d requests are in a report", included, requests)
	assert.Assert(t, 2*included > requests)
}

// TestCountOfFinalWindow guards against a change of a window that was declared final, and against the loss of the count.
func TestCountOfFinalWindow(t *testing.T) {
	at := func(seconds int) jujubeclock.Instant {
		return jujubeclock.Instant(time.Duration(seconds) * time.Second)
	}
	trueTime := func(instant jujubeclock.Instant) time.Time { return time.Unix(100, int64(instant)) }
	c := jujubeusage.NewCounter(at(0), settings)
	c.Restore(jujubeusage.Note{First: 1, Final: 1, Windows: []jujubeusage.WindowCounts{{Window: 1, Counts: jujubeusage.Counts{"old": 1}}}})
	c.Restore(jujubeusage.Note{First: 18, Final: 19, Windows: []jujubeusage.WindowCounts{{Window: 200, Counts: jujubeusage.Counts{"o": 1}}}})
	settled := false
	note := func(seconds int) jujubeusage.Note {
		return c.Note(at(seconds), trueTime, settled, func(jujubeusage.Window) bool { return false })
	}
	assert.Equal(t, len(note(5).Windows), 1, "statements of much earlier processes fill the note")
	settled = true
	assert.Equal(t, note(6).Final, jujubeusage.Window(20))
	c.Count("late", at(4))
	expected := []jujubeusage.WindowCounts{{Window: 21, Counts: jujubeusage.Counts{"late": 1}}, {Window: 200, Counts: jujubeusage.Counts{"o": 1}}}
	assert.DeepEqual(t, note(11), jujubeusage.Note{First: 1, Final: 21, Windows: expected})
	c.Begin(at(12))
	assert.Equal(t, note(30).Final, jujubeusage.Window(21), "a request may have begun in the next window")
}

// TestReportsAreExact guards against requests that no report includes, or that of another window, although no instance is killed.
func TestReportsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newService(t)
		steps := s.run(false)
		for _, organisation := range slices.Sorted(maps.Keys(s.requests)) {
			window, ok := s.included[organisation]
			expected := jujubeusage.Window(s.requests[organisation].UnixNano() / int64(settings.Length))
			if !ok || window != expected && (!steps || window < expected-1 || window > expected+1) {
				t.Fatalf("request %s began in window %d at %v and is in the report of %d (%t)", organisation, expected, s.requests[organisation], window, ok)
			}
		}
	})
}
