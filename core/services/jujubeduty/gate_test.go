package jujubeduty_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclock"
	"jujubepier.example/core/services/jujubeduty"
	"jujubepier.example/core/services/jujubelease"
)

func TestMain(m *testing.M) {
	// Set before the command line is parsed, so that it can override them.
	for name, value := range map[string]string{"rapid.seed": "20261206", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const (
	step        = 50 * time.Millisecond
	leaseTime   = 3 * time.Second
	callTimeout = time.Second
	// maxDelay is how long the API may delay a call after it was sent; the wait after a takeover covers it.
	maxDelay  = 2 * time.Second
	thawSlack = 300 * time.Millisecond
)

var (
	leaseSettings = jujubelease.Settings{TTL: 2 * time.Second, Margin: 600 * time.Millisecond, AppendTimeout: time.Second, Conditional: true}
	dutySettings  = jujubeduty.Settings{HandOverWait: leaseTime, RenewalValidity: 1400 * time.Millisecond, PerSecond: 50}
)

// machine is an instance with clocks of its own.
type machine struct {
	id          model.InstanceID
	incarnation model.Incarnation
	lease       *jujubelease.Lease
	gate        *jujubeduty.Gate
	next        int64
	reachesLog  bool
	isAlive     bool
	// suspendedUntil is when the machine resumes; its ordinary clock is behind by all its suspensions, lost.
	suspendedUntil, resumedAt time.Time
	lost                      time.Duration
	// responses are the outcomes that the machine hasn't received yet.
	responses []response
}

type response struct {
	number  int
	at      time.Time
	token   jujubeduty.Token
	outcome jujubeduty.Outcome
}

// call is a call on its way to the API, or an executed one.
type call struct {
	number    int
	holder    model.InstanceID
	token     jujubeduty.Token
	sentAt    time.Time
	executeAt time.Time
	excused   bool
}

// site is a log, an API and the machines.
type site struct {
	now      time.Time
	machines []*machine
	log      [][]byte
	late     []lateClaim
	waiting  []call
	executed []call
	silent   bool
	fencing  bool
	highest  jujubeduty.Token
	calls    int
}

type lateClaim struct {
	position int64
	body     []byte
}

func newSite(count int, fencing bool) *site {
	s := &site{now: time.Unix(1_700_000_000, 0), fencing: fencing}
	for i := range count {
		m := &machine{id: model.InstanceID(fmt.Sprint("m", i)), reachesLog: true}
		s.machines = append(s.machines, m)
		s.restart(m)
	}
	return s
}

func (s *site) restart(m *machine) {
	m.incarnation++
	m.isAlive, m.next, m.responses = true, 0, nil
	m.lease = jujubelease.New("l", m.id, m.incarnation, leaseSettings)
	m.gate = jujubeduty.NewGate(m.id, m.incarnation, dutySettings)
}

// local returns the reading of the machine's ordinary clock, which stands still during a suspension.
func (s *site) local(m *machine) time.Time { return s.now.Add(-m.lost) }

func (s *site) boot() jujubeclock.Instant { return jujubeclock.Instant(s.now.UnixNano()) }

// advance lets a machine run for a moment, as the node does.
func (s *site) advance(m *machine, lateAppend bool, delay time.Duration) {
	if !m.isAlive || s.now.Before(m.suspendedUntil) {
		return
	}
	now := s.local(m)
	m.responses = slices.DeleteFunc(m.responses, func(r response) bool {
		if !s.now.Before(r.at) {
			fenced := r.outcome == jujubeduty.Fenced
			m.gate.End(now, r.token, r.outcome, fenced)
			if fenced {
				m.lease.InvalidateFence(int64(r.token) - 1)
			}
		}
		return !s.now.Before(r.at)
	})
	// A call is made before the log is read, as the two run concurrently.
	if decision := m.gate.Decide(now, s.boot(), m.lease.State(now)); decision.Allowed() && m.gate.TryBegin(now) {
		s.calls++
		sent := call{number: s.calls, holder: m.id, token: decision.Token, sentAt: s.now, executeAt: s.now.Add(delay), excused: s.now.Sub(m.resumedAt) < thawSlack}
		if !s.silent {
			s.waiting = append(s.waiting, sent)
		}
		m.responses = append(m.responses, response{s.calls, s.now.Add(callTimeout), decision.Token, jujubeduty.Unknown})
	}
	m.lease.SetLogUnavailable(now, !m.reachesLog)
	for ; m.reachesLog && m.next < int64(len(s.log)); m.next++ {
		m.lease.Apply(model.LogRecord{Offset: m.next, Body: s.log[m.next]})
		m.gate.ObserveLease(now, m.lease.State(now))
	}
	for _, record := range m.lease.Tick(now, true) {
		body, err := json.Marshal(record)
		if err != nil {
			panic(err)
		}
		switch {
		case !m.reachesLog || record.Claim && m.lease.NextOffset() != int64(len(s.log)):
			m.lease.HandleAppendFailure()
		case record.Claim && lateAppend:
			s.late = append(s.late, lateClaim{m.lease.NextOffset(), body})
			m.lease.HandleAppendFailure()
		default:
			s.log = append(s.log, body)
		}
	}
}

// execute executes the calls that are due, in the order in which they were delayed, and returns what is wrong, or "".
func (s *site) execute() string {
	slices.SortStableFunc(s.waiting, func(a, b call) int { return a.executeAt.Compare(b.executeAt) })
	for len(s.waiting) > 0 && !s.now.Before(s.waiting[0].executeAt) {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		outcome := jujubeduty.Done
		if s.fencing && c.token < s.highest {
			outcome = jujubeduty.Fenced
		}
		for _, m := range s.machines {
			for i := range m.responses {
				if r := &m.responses[i]; r.number == c.number && s.now.Before(r.at) {
					r.at, r.outcome = s.now, outcome
				}
			}
		}
		if outcome == jujubeduty.Fenced || c.excused {
			continue
		}
		for _, before := range s.executed {
			switch {
			case before.token == c.token && before.holder != c.holder:
				return fmt.Sprintf("%s and %s both use token %d", before.holder, c.holder, c.token)
			case before.token > c.token:
				return fmt.Sprintf("%s acts with token %d after %d", c.holder, c.token, before.token)
			}
		}
		if problem := s.checkTurns(c); problem != "" {
			return problem
		}
		s.highest, s.executed = max(s.highest, c.token), append(s.executed, c)
	}
	return ""
}

// checkTurns returns what is wrong if the holders acted in the order A, B, A within the lease time.
func (s *site) checkTurns(c call) string {
	other := false
	for _, before := range slices.Backward(s.executed) {
		if c.sentAt.Sub(before.sentAt) >= leaseTime {
			return ""
		}
		if other = other || before.holder != c.holder; other && before.holder == c.holder {
			return fmt.Sprintf("%s acts again within the lease time after another holder", c.holder)
		}
	}
	return ""
}

// TestDutyHolders guards against two holders with one token, a lower token after a higher one where nobody checks it, and holders that
// act in turns within the lease time: machines are cut off from the log, suspended, killed and restarted, claims take effect late, calls
// are delayed, and the API is silent.
func TestDutyHolders(t *testing.T) {
	total, holders := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(rapid.IntRange(2, 4).Draw(t, "machines"), rapid.Bool().Draw(t, "fencing"))
		number := rapid.IntRange(0, len(s.machines)-1)
		for range rapid.IntRange(10, 40).Draw(t, "changes") {
			m := s.machines[number.Draw(t, "machine")]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				m.reachesLog = !m.reachesLog
			case 1, 2:
				if span := time.Duration(rapid.IntRange(1, 120).Draw(t, "suspended")) * step; !s.now.Before(m.suspendedUntil) {
					m.suspendedUntil, m.resumedAt = s.now.Add(span), s.now.Add(span)
					m.lost += span
				}
			case 3:
				m.isAlive = false
			case 4:
				s.restart(m)
			case 5:
				s.silent = false
				for _, m := range s.machines {
					if m.reachesLog = true; !m.isAlive {
						s.restart(m)
					}
				}
			case 6:
				s.silent = rapid.Bool().Draw(t, "silent")
				for _, m := range s.machines {
					m.reachesLog = rapid.Bool().Draw(t, "reaches the log")
				}
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				s.now = s.now.Add(step)
				first := number.Draw(t, "first")
				for i := range s.machines {
					m := s.machines[(first+i)%len(s.machines)]
					delay := time.Duration(rapid.IntRange(0, int(maxDelay/step)).Draw(t, "delay")) * step
					s.advance(m, rapid.IntRange(0, 9).Draw(t, "late append") == 0, delay)
				}
				for _, late := range s.late {
					if late.position == int64(len(s.log)) && rapid.Bool().Draw(t, "late claim") {
						s.log = append(s.log, late.body)
					}
				}
				if problem := s.execute(); problem != "" {
					t.Fatal(problem)
				}
			}
		}
		total += len(s.executed)
		for i, c := range s.executed {
			if i == 0 || s.executed[i-1].holder != c.holder {
				holders++
			}
		}
	})
	t.Logf("%d calls, %d holders", total, holders)
	assert.Assert(t, total > 10_000 && holders > 200)
}
