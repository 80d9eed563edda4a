package jujubecore_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	core "jujubepier.example/core/services/jujubecore"
)

// maxUnplaced is how long a sample may be on no engine while the engines are idle.
const maxUnplaced = 5 * time.Second

// soloCore is the Core of a single instance with three engines.
type soloCore struct {
	t    *testing.T
	now  time.Time
	core *core.Core
	// incarnation is that of all engines.
	incarnation model.Incarnation
}

func newSoloCore(t *testing.T) *soloCore {
	c, err := core.New(core.DefaultOptions(model.Member{ID: "entry-0", Incarnation: 1, PeerAddress: "entry-0", State: model.MemberAlive}))
	assert.NilError(t, err)
	s := &soloCore{t: t, now: time.Unix(1767225600, 0), core: c, incarnation: 1}
	body, err := json.Marshal(model.ConfigRecord{Change: &model.ConfigChange{ID: "c", Document: fmt.Sprintf(document, 24)}})
	assert.NilError(t, err)
	s.core.Apply(s.now, core.LogReached{})
	s.core.Apply(s.now, core.ConfigRead{Read: model.LogRead{Records: []model.LogRecord{{Body: body}}, Next: 1}})
	s.reportEngines()
	return s
}

func (s *soloCore) engines() []model.EndpointID { return []model.EndpointID{"e0", "e1", "e2"} }

func (s *soloCore) reportEngines() {
	list := model.InstanceList{Entries: []model.Member{{ID: "entry-0", Incarnation: 1, PeerAddress: "entry-0", State: model.MemberAlive}}}
	for _, id := range s.engines() {
		list.Endpoints = append(list.Endpoints, model.Endpoint{ID: id, Kind: model.KindEngine, Address: string(id), Incarnation: s.incarnation, Model: "llm"})
	}
	s.core.Apply(s.now, core.InstancesListed{List: list})
	for _, id := range s.engines() {
		s.core.Apply(s.now, core.LoadReported{Report: model.LoadReport{
			Endpoint: id, Incarnation: s.incarnation, At: s.now, Slots: 8, TokensPerSecond: 50, Model: "llm", Version: 1, Target: 1,
		}})
	}
}

// crash ends the processes of all engines, one after the other, and starts them again at once.
func (s *soloCore) crash(running core.RunStream) {
	for _, id := range s.engines() {
		s.core.Apply(s.now, core.EndpointLost{Endpoint: id, Incarnation: s.incarnation})
	}
	s.core.Apply(s.now, core.StreamEnded{Stream: running.Stream, Broken: true})
	s.incarnation++
	s.reportEngines()
}

// nextStream advances the time until a stream is started.
func (s *soloCore) nextStream(actions []core.Action) core.RunStream {
	for waited := time.Duration(0); ; waited += core.TickInterval {
		for _, action := range actions {
			if run, ok := action.(core.RunStream); ok {
				return run
			}
		}
		assert.Assert(s.t, waited <= maxUnplaced, "the sample is on no engine for %v", waited)
		s.now = s.now.Add(core.TickInterval)
		if s.now.UnixMilli()%500 == 0 {
			s.reportEngines()
		}
		actions = s.core.Tick(s.now)
	}
}

func (s *soloCore) submitSample() []core.Action {
	return s.core.Apply(s.now, core.PartSubmitted{Part: model.StepPart{
		Key: model.PartKey{Trainer: "grading", Step: 1}, Attempt: 1, Version: 1, MaxTokens: 64, Timeout: model.Duration(time.Minute),
		Groups: []model.GroupRequest{{Group: 0, Prompt: "sound", Samples: 1}},
	}})
}

// TestSampleUnderCrashesIsPlacedAgain guards against a sample of a trainer's step that is given up, or held back, because several
// engines died while they ran it, in a burst of crashes that it has nothing to do with.
func TestSampleUnderCrashesIsPlacedAgain(t *testing.T) {
	s := newSoloCore(t)
	run := s.nextStream(s.submitSample())
	for range 5 {
		s.crash(run)
		run = s.nextStream(nil)
	}
	s.core.Apply(s.now, core.StreamProgressed{Stream: run.Stream, From: 0, To: 10, Version: 1})
	s.core.Apply(s.now, core.StreamEnded{Stream: run.Stream, OK: true, Tokens: 10})
	for _, action := range s.core.Apply(s.now, core.PartPulled{Pull: model.Pull{Key: model.PartKey{Trainer: "grading", Step: 1}, Attempt: 1, Version: 1}}) {
		if answered, ok := action.(core.PullAnswered); ok {
			assert.NilError(t, answered.Err)
			assert.Equal(t, len(answered.Delivery.Failed), 0)
			assert.Equal(t, len(answered.Delivery.Groups), 1)
		}
	}
}

// TestScoringUnderCrashesIsRepeated guards against the scoring call of a sample that is refused for good because several scorers
// died while they ran it.
func TestScoringUnderCrashesIsRepeated(t *testing.T) {
	s := newSoloCore(t)
	for i := range 5 {
		id := model.RequestID(fmt.Sprint("score-", i))
		dispatched := false
		for _, action := range s.core.Apply(s.now, core.RequestArrived{
			ID: id, Kind: model.KindEngine, Model: "llm", Deadline: s.now.Add(time.Minute), Fingerprint: 7, Owed: true,
		}) {
			if decided, ok := action.(core.RouteDecided); ok {
				assert.Assert(t, decided.Decision.Code == "", "refused with %s after %d crashes", decided.Decision.Code, i)
				dispatched = dispatched || decided.Decision.Endpoint != ""
			}
		}
		assert.Assert(t, dispatched, "after %d crashes", i)
		for _, engine := range s.engines() {
			s.core.Apply(s.now, core.EndpointLost{Endpoint: engine, Incarnation: s.incarnation})
		}
		s.core.Apply(s.now, core.RequestEnded{ID: id, Broken: true})
		s.incarnation++
		s.reportEngines()
		s.now = s.now.Add(time.Second)
		s.core.Tick(s.now)
	}
}

// TestCallerContentIsStillQuarantined checks that content of callers that runs in two crashes is refused, also if a sample of a
// step has the same prompt and was in flight in them, and that the sample isn't.
func TestCallerContentIsStillQuarantined(t *testing.T) {
	s := newSoloCore(t)
	run := s.nextStream(s.submitSample())
	content := model.NewFingerprint("generate", "llm", "sound")
	refused := false
	for i := range 40 {
		id := model.RequestID(fmt.Sprint("r", i))
		arrived := core.RequestArrived{ID: id, Kind: model.KindEngine, Model: "llm", Deadline: s.now.Add(time.Minute), Fingerprint: content}
		for _, action := range s.core.Apply(s.now, arrived) {
			if decided, ok := action.(core.RouteDecided); ok && decided.Decision.Code == jujubeerror.CodeQuarantined {
				refused = true
			}
		}
		if refused {
			break
		}
		for range 60 { // until the grant of a suspect
			s.now = s.now.Add(core.TickInterval)
			s.core.Tick(s.now)
		}
		s.crash(run)
		s.core.Apply(s.now, core.RequestEnded{ID: id, Broken: true})
		run = s.nextStream(nil)
	}
	assert.Assert(t, refused, "content that crashes every engine isn't refused")
}

// sendCaller sends a caller's request and ends it, and returns the engine that it was dispatched to; empty if it was refused.
func (s *soloCore) sendCaller(id model.RequestID, content model.Fingerprint, ended func(engine model.EndpointID) core.RequestEnded) model.EndpointID {
	arrived := core.RequestArrived{ID: id, Kind: model.KindEngine, Model: "llm", Deadline: s.now.Add(time.Minute), Fingerprint: content}
	actions := s.core.Apply(s.now, arrived)
	for range 60 { // until the grant of a suspect
		for _, action := range actions {
			decided, ok := action.(core.RouteDecided)
			if !ok || decided.Decision.Request != id {
				continue
			}
			if decided.Decision.Endpoint == "" {
				return ""
			}
			end := ended(decided.Decision.Endpoint)
			end.ID = id
			s.core.Apply(s.now, end)
			return decided.Decision.Endpoint
		}
		s.now = s.now.Add(core.TickInterval)
		actions = s.core.Tick(s.now)
	}
	return ""
}

// TestErrorsClearNoContent guards against content of callers that goes on ending engines because some of them respond to it with an
// error of their own, before the first crash or between two, or complete it once.
func TestErrorsClearNoContent(t *testing.T) {
	const content model.Fingerprint = 7
	for name, test := range map[string]struct {
		response core.RequestEnded
		// limit is the highest number of engines that may end.
		limit int
	}{
		"error":    {core.RequestEnded{OK: true, Failed: true}, 2},
		"complete": {core.RequestEnded{OK: true}, 3},
	} {
		for crashesBefore := range 2 {
			t.Run(fmt.Sprint(name, " after ", crashesBefore), func(t *testing.T) {
				s := newSoloCore(t)
				crashes, responded := 0, false
				for i := range 30 {
					s.sendCaller(model.RequestID(fmt.Sprint("r", i)), content, func(engine model.EndpointID) core.RequestEnded {
						if !responded && crashes == crashesBefore || responded && test.response.Failed && i%2 == 0 {
							responded = true
							return test.response
						}
						crashes++
						s.core.Apply(s.now, core.EndpointLost{Endpoint: engine, Incarnation: s.incarnation})
						return core.RequestEnded{Broken: true}
					})
					s.incarnation++
					s.reportEngines()
				}
				assert.Assert(t, responded && crashes <= test.limit, "%d engines ended", crashes)
			})
		}
	}
}

// TestRestartedEngineHasNoSoftwareVersion guards against a text that an engine of another software version continues: the engine has
// started again, as its load report says, and the instance list still has the version of its earlier process.
func TestRestartedEngineHasNoSoftwareVersion(t *testing.T) {
	s := newSoloCore(t)
	list := model.InstanceList{Entries: []model.Member{{ID: "entry-0", Incarnation: 1, PeerAddress: "entry-0", State: model.MemberAlive}}}
	list.Endpoints = []model.Endpoint{{ID: "e0", Kind: model.KindEngine, Address: "e0", Incarnation: 1, Model: "llm", SoftwareVersion: "1"}}
	s.core.Apply(s.now, core.InstancesListed{List: list})
	continueText := func(id model.RequestID) (endpoint model.EndpointID) {
		for _, action := range s.core.Apply(s.now, core.RequestArrived{
			ID: id, Kind: model.KindEngine, Model: "llm", Deadline: s.now.Add(time.Minute), SoftwareVersion: "1",
			Fingerprint: model.NewFingerprint(string(id)),
		}) {
			if decided, ok := action.(core.RouteDecided); ok {
				endpoint = decided.Decision.Endpoint
			}
		}
		s.core.Apply(s.now, core.RequestEnded{ID: id, OK: true})
		return endpoint
	}
	assert.Equal(t, continueText("before"), model.EndpointID("e0"))
	s.core.Apply(s.now, core.LoadReported{Report: model.LoadReport{
		Endpoint: "e0", Incarnation: 2, At: s.now, Slots: 8, TokensPerSecond: 50, Model: "llm", Version: 1, Target: 1,
	}})
	assert.Equal(t, continueText("after the report"), model.EndpointID(""))
	s.core.Apply(s.now, core.InstancesListed{List: list})
	assert.Equal(t, continueText("with the old list"), model.EndpointID(""))
	list.Endpoints[0].Incarnation = 2
	s.core.Apply(s.now, core.InstancesListed{List: list})
	assert.Equal(t, continueText("with the new list"), model.EndpointID("e0"))
}
