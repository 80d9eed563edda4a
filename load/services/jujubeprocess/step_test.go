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

// TestStepsOverWholePath guards against programs that work alone and not together, and against labels that differ from
// the versions that the engines generated with: an emulated token's text holds its version.
func TestStepsOverWholePath(t *testing.T) {
	s := startSite(t, vatuwaqa("--tokens-per-second", "400"))
	results := runTrainer(t, s.trainer(3))
	t.Logf("durations %s, %s, %s", results[0].Duration, results[1].Duration, results[2].Duration)

	key := model.PartKey{Trainer: "pump-triage", Step: 1}
	part := model.StepPart{Key: key, Attempt: 1, Version: 3, MaxTokens: 256, Timeout: model.Duration(conditionLimit)}
	for i := range 4 {
		part.Groups = append(part.Groups, model.GroupRequest{Group: i, Prompt: fmt.Sprintf("group %d", i), Samples: 8})
	}
	address := s.instances[0].callers
	_, err := s.entryClient.Submit(t.Context(), address, part)
	assert.NilError(t, err)
	// New weights while the samples are generated make some of them change their version in the middle.
	s.announce(t, address, 5)
	seen := map[int]bool{}
	pull := model.Pull{Key: key, Attempt: 1, Version: 3, Wait: model.Duration(time.Second)}
	for remaining := 1; remaining > 0 || len(seen) < len(part.Groups); {
		pulled, err := s.entryClient.Pull(t.Context(), address, pull)
		assert.NilError(t, err)
		assert.Equal(t, len(pulled.Failed), 0)
		for _, group := range pulled.Groups {
			assert.Assert(t, !seen[group.Group] && len(group.Samples) == 8, "group %d", group.Group)
			seen[group.Group] = true
			for _, sample := range group.Samples {
				checkLabels(t, sample)
			}
		}
		pull.Cursor, remaining = pull.Cursor+len(pulled.Groups), pulled.Remaining
	}
}

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

// announce puts weights into the store and tells an instance of them.
func (s *site) announce(t *testing.T, address string, version model.WeightVersion) {
	t.Helper()
	assert.NilError(t, s.call(http.MethodPut, fmt.Sprintf("http://%s/v1/weights/%s/%d", s.store, modelName, version), "weights", nil))
	assert.NilError(t, s.entryClient.Announce(t.Context(), address, model.WeightsAnnounced{
		Trainer: "sump-policy", Model: modelName, Version: version,
	}))
}

// ownerInWork returns an instance that owns a step part of which some groups are delivered and others are missing.
func (s *site) ownerInWork(t *testing.T, delivered int) (owner *entry, part model.PartStatus) {
	t.Helper()
	eventually(t, "an instance owns a part in work", func() bool {
		for _, e := range s.instances {
			status, _ := s.status(e)
			for _, row := range status.Parts {
				if row.Delivered >= delivered && row.Delivered < row.Groups && row.Running > 0 {
					owner, part = e, row
					return true
				}
			}
		}
		return false
	})
	return owner, part
}

// trainMeanwhile runs a trainer until the returned function is called, which waits for its end.
func trainMeanwhile(t *testing.T, settings jujubetrainer.Settings) func() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
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
	t.Cleanup(func() { <-ended })
	return func() { <-ended }
}

// TestStepOutlivesKilledInstance guards against a step that stalls, or a group that comes twice or never, when the
// instance that owns a part dies (R3).
func TestStepOutlivesKilledInstance(t *testing.T) {
	s := startSite(t, vatuwaqa("--tokens-per-second", "100"))
	wait := trainMeanwhile(t, s.trainer(1))
	victim, part := s.ownerInWork(t, 1)
	victim.kill(t)
	wait()
	assert.Assert(t, s.isTakenOver(victim, part.Key), "part %s of %s wasn't in work at the end of its owner", part.Key, victim.id)
}

// TestPausedOwnerStops guards against an instance that resumes after others took over its step parts and then delivers
// groups again, or cancels or restarts the streams of the new owner (R3).
func TestPausedOwnerStops(t *testing.T) {
	// The engines are so slow that the new owner still works when the old one resumes.
	s := startSite(t, vatuwaqa("--tokens-per-second", "7", "--sigma-tokens", "0"))
	settings := s.trainer(1)
	settings.Groups = 16
	wait := trainMeanwhile(t, settings)
	owner, part := s.ownerInWork(t, 0)
	owner.signal(t, syscall.SIGSTOP)
	paused := time.Now()
	eventually(t, "the part is taken over and 10 s have passed", func() bool {
		return time.Since(paused) > 10500*time.Millisecond && s.isTakenOver(owner, part.Key)
	})
	failed := s.countFailedStreams(owner)
	assert.Assert(t, s.isInWork(part.Key, owner), "the new owner has no work left at the resume")
	owner.signal(t, syscall.SIGCONT)
	var refused jujubeerror.ErrRefused
	eventually(t, "the old owner refuses pulls", func() bool {
		_, err := s.entryClient.Pull(t.Context(), owner.callers, model.Pull{Key: part.Key, Attempt: part.Attempt, Version: 1})
		refused, _ = jujubeerror.IsErrRefused(err)
		return refused.Code != ""
	})
	t.Logf("the old owner answers after the pause: %v", refused)
	assert.Assert(t, refused.Code == jujubeerror.CodeStaleAttempt || refused.Code == jujubeerror.CodeUnknownPart)
	wait()
	assert.Equal(t, s.countFailedStreams(owner), failed, "streams of other instances failed after the resume")
}

// isInWork tells whether another instance runs streams of a part.
func (s *site) isInWork(key model.PartKey, but *entry) bool {
	for _, e := range s.instances {
		if e == but {
			continue
		}
		status, _ := s.status(e)
		for _, row := range status.Parts {
			if row.Key == key && row.Running > 0 {
				return true
			}
		}
	}
	return false
}

// isTakenOver tells whether another instance has accepted the part.
func (s *site) isTakenOver(owner *entry, key model.PartKey) bool {
	for _, e := range s.instances {
		for _, line := range e.events("PartAccepted") {
			if e != owner && strings.Contains(line.Line, `"Part":"`+key.String()+`"`) {
				return true
			}
		}
	}
	return false
}

func (s *site) countFailedStreams(but *entry) int {
	count := 0
	for _, e := range s.instances {
		if e != but {
			count += len(e.events("StreamFailed"))
		}
	}
	return count
}
