package jujubeprocess_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/load/services/jujubetrainer"
)

// TestStepsOverWholePath guards against programs that work alone but not together, and against labels that differ from the
// versions that the engines generated with: the text of an emulated token contains its version.
func TestStepsOverWholePath(t *testing.T) {
	s := startSite(t, vatuwaqaConfig("--tokens-per-second", "400"))
	results := runTrainer(t, s.trainerSettings(3))
	t.Logf("durations %s, %s, %s", results[0].Duration, results[1].Duration, results[2].Duration)

	key := model.PartKey{Trainer: "pump-triage", Step: 1}
	part := model.StepPart{Key: key, Attempt: 1, Version: 3, MaxTokens: 256, Timeout: model.Duration(conditionTimeout)}
	for i := range 4 {
		part.Groups = append(part.Groups, model.GroupRequest{Group: i, Prompt: fmt.Sprintf("group %d", i), Samples: 8})
	}
	address := s.instances[0].callerAddress
	_, err := s.entryClient.Submit(t.Context(), address, part)
	assert.NilError(t, err)
	// New weights are announced while the samples are generated, so that some samples change their version midway.
	s.announceWeights(t, address, 5)
	delivered := map[int]bool{}
	pull := model.Pull{Key: key, Attempt: 1, Version: 3, Wait: model.Duration(time.Second)}
	for remaining := 1; remaining > 0 || len(delivered) < len(part.Groups); {
		pulled, err := s.entryClient.Pull(t.Context(), address, pull)
		assert.NilError(t, err)
		assert.Equal(t, len(pulled.Failed), 0)
		for _, group := range pulled.Groups {
			assert.Assert(t, !delivered[group.Group] && len(group.Samples) == 8, "group %d", group.Group)
			delivered[group.Group] = true
			for _, sample := range group.Samples {
				checkLabels(t, sample)
			}
		}
		pull.Cursor, remaining = pull.Cursor+len(pulled.Groups), pulled.Remaining
	}
}

// checkLabels checks that the labels cover a sample without gap or overlap, and that each token's text has the version of
// its label.
func checkLabels(t *testing.T, sample model.Sample) {
	t.Helper()
	tokens := strings.Fields(sample.Text)
	assert.Equal(t, len(tokens), sample.Tokens)
	next := 0
	for _, label := range sample.Labels {
		assert.Equal(t, label.From, next)
		for _, token := range tokens[label.From:label.To] {
			_, version, _ := strings.Cut(token, ".")
			assert.Equal(t, version, strconv.FormatInt(int64(label.Version), 10), "sample %s", sample.Stream)
		}
		next = label.To
	}
	assert.Equal(t, next, sample.Tokens)
}

// announceWeights writes weights to the store and announces them to an entry instance.
func (s *site) announceWeights(t *testing.T, address string, version model.WeightVersion) {
	t.Helper()
	assert.NilError(t, s.callJSON(http.MethodPut, fmt.Sprintf("http://%s/v1/weights/%s/%d", s.storeAddress, modelName, version), "weights", nil))
	assert.NilError(t, s.entryClient.AnnounceWeights(t.Context(), address, model.WeightsAnnounced{
		Trainer: "sump-policy", Model: modelName, Version: version,
	}))
}

// waitActiveOwner waits for an instance that owns a part with running streams, of which at least the given number of groups,
// but not all, are delivered.
func (s *site) waitActiveOwner(t *testing.T, delivered int) (owner *entry, part model.PartStatus) {
	t.Helper()
	eventually(t, "an instance owns a part with running streams", func() bool {
		for _, e := range s.instances {
			status, _ := s.status(e)
			for _, p := range status.Parts {
				if p.Delivered >= delivered && p.Delivered < p.Groups && p.Running > 0 {
					owner, part = e, p
					return true
				}
			}
		}
		return false
	})
	return owner, part
}

// startTrainer runs a trainer in the background. The returned function waits until it has ended.
func startTrainer(t *testing.T, settings jujubetrainer.Settings) func() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		results, err := jujubetrainer.New(settings).Run(t.Context())
		if err != nil || len(results) != settings.Steps {
			t.Errorf("trainer: %d steps, %v", len(results), err)
			return
		}
		for _, result := range results {
			if result.Samples != settings.Groups*settings.GroupSize || result.Failed != 0 {
				t.Errorf("trainer: %d samples, %d groups failed", result.Samples, result.Failed)
			}
		}
	}()
	t.Cleanup(func() { <-done })
	return func() { <-done }
}

// TestStepOutlivesKilledInstance guards against a step that stalls, or a group that is delivered twice or never, when the
// instance that owns a part is killed (R3).
func TestStepOutlivesKilledInstance(t *testing.T) {
	s := startSite(t, vatuwaqaConfig("--tokens-per-second", "100"))
	wait := startTrainer(t, s.trainerSettings(1))
	owner, part := s.waitActiveOwner(t, 1)
	owner.kill(t)
	wait()
	assert.Assert(t, s.isTakenOver(owner, part.Key), "part %s of %s wasn't taken over from its killed owner", part.Key, owner.id)
}

// TestPausedOwnerStops guards against an instance that resumes after others have taken over its step parts, and then
// delivers groups again, or cancels or restarts the streams of the new owner (R3).
func TestPausedOwnerStops(t *testing.T) {
	// The engines are so slow that the new owner still has running streams when the old owner resumes.
	s := startSite(t, vatuwaqaConfig("--tokens-per-second", "7", "--sigma-tokens", "0"))
	settings := s.trainerSettings(1)
	settings.Groups = 16
	wait := startTrainer(t, settings)
	owner, part := s.waitActiveOwner(t, 0)
	owner.signal(t, syscall.SIGSTOP)
	pauseStart := time.Now()
	eventually(t, "the part is taken over and more than 10 s have passed", func() bool {
		return time.Since(pauseStart) > 10500*time.Millisecond && s.isTakenOver(owner, part.Key)
	})
	failed := s.countFailedStreams(owner)
	assert.Assert(t, s.hasRunningStreams(part.Key, owner), "the new owner has no running streams left when the old owner resumes")
	owner.signal(t, syscall.SIGCONT)
	var refusal jujubeerror.ErrRefused
	eventually(t, "the old owner refuses pulls", func() bool {
		_, err := s.entryClient.Pull(t.Context(), owner.callerAddress, model.Pull{Key: part.Key, Attempt: part.Attempt, Version: 1})
		refusal, _ = jujubeerror.IsErrRefused(err)
		return refusal.Code != ""
	})
	t.Logf("response of the old owner after the pause: %v", refusal)
	assert.Assert(t, refusal.Code == jujubeerror.CodeStaleAttempt || refusal.Code == jujubeerror.CodeUnknownPart)
	wait()
	assert.Equal(t, s.countFailedStreams(owner), failed, "streams of other instances failed after the old owner resumed")
}

// hasRunningStreams reports whether an instance other than except runs streams of a part.
func (s *site) hasRunningStreams(key model.PartKey, except *entry) bool {
	for _, e := range s.instances {
		if e == except {
			continue
		}
		status, _ := s.status(e)
		for _, part := range status.Parts {
			if part.Key == key && part.Running > 0 {
				return true
			}
		}
	}
	return false
}

// isTakenOver reports whether an instance other than owner has accepted the part.
func (s *site) isTakenOver(owner *entry, key model.PartKey) bool {
	for _, e := range s.instances {
		for _, acceptance := range e.events("PartAccepted") {
			if e != owner && strings.Contains(acceptance.Line, `"Part":"`+key.String()+`"`) {
				return true
			}
		}
	}
	return false
}

// countFailedStreams counts the streams that failed on instances other than except.
func (s *site) countFailedStreams(except *entry) int {
	count := 0
	for _, e := range s.instances {
		if e != except {
			count += len(e.events("StreamFailed"))
		}
	}
	return count
}
