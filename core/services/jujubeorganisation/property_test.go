package jujubeorganisation_test

import (
	"cmp"
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
	organisation "jujubepier.example/core/services/jujubeorganisation"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20262194", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

const (
	simInstances = 3
	simKeys      = 3
	simBound     = 5 * time.Second
)

// published is a version of the desired state; times are those of the simulation.
type published struct {
	at, acknowledged time.Duration
	keys             [simKeys]bool
	directory        *organisation.Directory
}

// simInstance is an instance with its view.
type simInstance struct {
	// bootedAt is the simulation's time of its boot clock's zero; suspendedUntil is when its machine resumes.
	bootedAt, suspendedUntil time.Duration
	// process counts restarts: responses to an earlier process are lost.
	process int
	hasView bool
	view    organisation.View
}

// simEvent happens at an instance, as soon as that isn't suspended.
type simEvent struct {
	at       time.Duration
	instance int
	process  int
	run      func()
}

type revocations struct {
	t         *rapid.T
	now       time.Duration
	versions  []published
	instances [simInstances]simInstance
	events    []simEvent
}

func (s *revocations) clock(i int) jujubeclock.Instant {
	return jujubeclock.Instant(s.now - s.instances[i].bootedAt)
}

func (s *revocations) draw(name string, limit int) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(s.t, name)) * time.Millisecond
}

func (s *revocations) schedule(delay time.Duration, instance int, run func()) {
	s.events = append(s.events, simEvent{at: s.now + delay, instance: instance, process: s.instances[instance].process, run: run})
}

// advance runs the events up to a time in order.
func (s *revocations) advance(until time.Duration) {
	for {
		for i := range s.events {
			s.events[i].at = max(s.events[i].at, s.now, s.instances[s.events[i].instance].suspendedUntil)
		}
		slices.SortStableFunc(s.events, func(a, b simEvent) int { return cmp.Compare(a.at, b.at) })
		if len(s.events) == 0 || s.events[0].at > until {
			s.now = until
			return
		}
		event := s.events[0]
		s.events = s.events[1:]
		s.now = event.at
		if event.process == s.instances[event.instance].process {
			event.run()
		}
	}
}

func (s *revocations) publish(keys [simKeys]bool) {
	var organisations []organisation.Organisation
	for key, isKnown := range keys {
		o := organisation.Organisation{Name: model.OrganisationName(fmt.Sprint("o", key))}
		if isKnown {
			o.Keys = []organisation.Digest{organisation.NewDigest(fmt.Sprint("key", key))}
		}
		organisations = append(organisations, o)
	}
	directory, err := organisation.NewDirectory(organisations)
	assert.NilError(s.t, err)
	s.versions = append(s.versions, published{at: s.now, acknowledged: s.now + s.draw("acknowledged after", 300), keys: keys, directory: directory})
}

// apply updates an instance's view with a response; responses may arrive in any order.
func (s *revocations) apply(i, version int, read jujubeclock.ReadTime) {
	instance := &s.instances[i]
	current := slices.IndexFunc(s.versions, func(v published) bool { return v.directory == instance.view.Directory })
	if instance.view.Directory = s.versions[max(current, version)].directory; !instance.hasView {
		instance.view.Read = read
	}
	instance.hasView, instance.view.Read = true, instance.view.Read.Latest(read)
}

// read makes an instance read the desired state from the store. The store evaluates the read after a while, and its response takes any
// time.
func (s *revocations) read(i int) {
	asked := jujubeclock.RequestedNow(s.clock(i))
	evaluatedAt, process := s.now+s.draw("evaluated after", 600), s.instances[i].process
	late := s.draw("response after", 9000)
	s.schedule(evaluatedAt-s.now+late, i, func() {
		version := 0
		for v := range s.versions {
			if s.versions[v].at <= evaluatedAt {
				version = v
			}
		}
		if process == s.instances[i].process {
			s.apply(i, version, asked)
		}
	})
}

// relay makes an instance read from another one, which answers from its view after it has waited for news.
func (s *revocations) relay(i, relay int) {
	asked, process := s.clock(i), s.instances[i].process
	wait, late := s.draw("relay waits", 400), s.draw("relay's response after", 4000)
	s.schedule(s.draw("arrives after", 300), relay, func() {
		arrived := s.clock(relay)
		s.schedule(wait, relay, func() {
			source := s.instances[relay]
			if !source.hasView {
				return
			}
			version := slices.IndexFunc(s.versions, func(v published) bool { return v.directory == source.view.Directory })
			ages := source.view.Read.Ages(arrived)
			s.schedule(late, i, func() {
				if process == s.instances[i].process {
					s.apply(i, version, jujubeclock.Relayed(asked, ages))
				}
			})
		})
	})
}

// request sends a request with a key to an instance, and checks the decision on it.
func (s *revocations) request(i, key int) {
	sentAt := s.now
	s.schedule(s.draw("received after", 2000), i, func() {
		instance := s.instances[i]
		if !instance.hasView {
			return // responds with 503
		}
		known := key < simKeys
		verdict := instance.view.Decide(s.clock(i), []string{fmt.Sprint("Bearer key", key)}, simBound, false)
		switch verdict.Decision {
		case organisation.Accept:
			assert.Assert(s.t, known, "a key that was never published is accepted")
			assert.Equal(s.t, verdict.Organisation.Name, model.OrganisationName(fmt.Sprint("o", key)))
			// The key is in force, or has been so recently that the revocation needn't be.
			for v := len(s.versions) - 1; v >= 0 && !s.versions[v].keys[key]; v-- {
				assert.Assert(s.t, sentAt <= s.versions[v].acknowledged+simBound,
					"a request that was sent %s after the acknowledgement of the revocation is accepted, view's age %s", sentAt-s.versions[v].acknowledged, verdict.Age)
			}
		case organisation.Deny:
			wasKnown := known
			for v := len(s.versions) - 1; v >= 0 && known; v-- {
				wasKnown = wasKnown && s.versions[v].keys[key]
				if s.versions[v].at <= s.now-organisation.MaxDenialAge {
					break
				}
			}
			assert.Assert(s.t, !wasKnown, "a key that has been known for %s is denied, view's age %s", organisation.MaxDenialAge, verdict.Age)
		}
	})
}

// TestRevocation guards against an instance that accepts a request which was sent later than the bound after the acknowledgement of the
// key's revocation, and against one that denies a key which has been in force for a while: versions are published and acknowledged,
// reads are slow, lost, relayed and reordered, and instances are suspended, restarted and started with the view of an earlier process.
func TestRevocation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &revocations{t: t, now: time.Minute}
		for i := range s.instances {
			s.instances[i].bootedAt = s.draw("booted", 50_000)
		}
		s.publish([simKeys]bool{true, true, false})
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, simInstances-1).Draw(t, "instance")
			instance := &s.instances[i]
			isSuspended := instance.suspendedUntil > s.now
			switch action := rapid.IntRange(0, 12).Draw(t, "action"); {
			case action <= 2:
				s.advance(s.now + s.draw("pause", 2500))
			case action == 3:
				keys := s.versions[len(s.versions)-1].keys
				key := rapid.IntRange(0, simKeys-1).Draw(t, "changed key")
				keys[key] = !keys[key]
				s.publish(keys)
			case action == 4 && !isSuspended:
				instance.suspendedUntil = s.now + s.draw("suspended for", 20_000)
			case action == 5 && !isSuspended:
				instance.process++
				// With an old copy, the new process knows what the earlier one did, and when that was read.
				instance.hasView = instance.hasView && rapid.Bool().Draw(t, "old copy")
			case action <= 7 && !isSuspended:
				s.read(i)
			case action <= 9 && !isSuspended:
				s.relay(i, (i+1)%simInstances)
			case action >= 10:
				s.request(i, rapid.IntRange(0, simKeys).Draw(t, "key"))
			}
		}
		s.advance(s.now + time.Minute)
	})
}
