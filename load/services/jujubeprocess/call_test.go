package jujubeprocess_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/standin/services/jujubeservice"
)

// callOutcome is the response to one copy of a non-idempotent call; ran is empty when no response arrived.
type callOutcome struct {
	ran  model.Ran
	code string
}

// postRecord sends a non-idempotent call with an idempotency key to an entry instance and returns its outcome.
func (s *site) postRecord(address, key string, timeout time.Duration) callOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/"+serviceName+"/records",
		bytes.NewReader([]byte(`{"Record":"`+key+`"}`)))
	if err != nil {
		return callOutcome{}
	}
	request.Header.Set(model.HeaderIdempotencyKey, key)
	request.Header.Set(model.HeaderTimeout, timeout.String())
	response, err := s.client.Do(request)
	if err != nil {
		return callOutcome{}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil {
			return callOutcome{}
		}
		return callOutcome{ran: model.RanYes}
	}
	refusal, _ := jujubeerror.IsErrRefused(jujubehttp.ResponseError(response))
	return callOutcome{ran: refusal.Ran, code: refusal.Code}
}

// outcomeRecorder records the outcomes of all copies of each key. It is safe for concurrent use.
type outcomeRecorder struct {
	mu       sync.Mutex
	outcomes map[string][]callOutcome
}

// record adds the outcome of one copy.
func (r *outcomeRecorder) record(key string, outcome callOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[key] = append(r.outcomes[key], outcome)
}

// sendCallCopies sends calls with new keys, each in three copies through random instances: two copies concurrently, and
// the third after both.
func (s *site) sendCallCopies(recorder *outcomeRecorder, seed int64, keys int) {
	const timeout = time.Second
	random := rand.New(rand.NewSource(seed))
	randomAddress := func() string { return s.instances[random.Intn(len(s.instances))].callerAddress }
	for i := range keys {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		answer, err := s.entryClient.Addresses(ctx, randomAddress(), "caller", dataCentres[0])
		cancel()
		if err != nil {
			continue
		}
		owner := answer.Addresses[random.Intn(len(answer.Addresses))]
		key := fmt.Sprintf("%s~%d-%d", owner.KeyPrefix, seed, i)
		var copies sync.WaitGroup
		for _, address := range []string{owner.Address, randomAddress()} {
			copies.Go(func() { recorder.record(key, s.postRecord(address, key, timeout)) })
		}
		copies.Wait()
		recorder.record(key, s.postRecord(randomAddress(), key, timeout))
	}
}

// TestKeysRunAtMostOnce guards against a non-idempotent call that runs twice, or that runs although it was refused as
// NotRun. Meanwhile its copies arrive at different instances, one instance is killed, another is paused, and connections
// of the plain service break before and after the run (R5, R6).
func TestKeysRunAtMostOnce(t *testing.T) {
	s := startSite(t, siteConfig{services: 4, entries: 9})
	recorder := &outcomeRecorder{outcomes: map[string][]callOutcome{}}
	const callers, keys = 6, 120
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() { s.sendCallCopies(recorder, int64(i), keys) })
	}
	injectFaults := func(round int) {
		s.setFaults(t, s.serviceEndpoints[round%len(s.serviceEndpoints)].address, jujubeservice.Faults{CloseBefore: 3, LoseAnswers: 3})
	}
	waitKeys := func(count int) {
		eventually(t, "the callers make progress", func() bool {
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			return len(recorder.outcomes) >= count
		})
	}
	for round := range 8 {
		waitKeys(20 * (round + 1))
		injectFaults(round)
		switch round {
		case 2:
			s.instances[3].kill(t)
		case 3:
			s.instances[5].signal(t, syscall.SIGSTOP)
		case 6:
			s.instances[5].signal(t, syscall.SIGCONT)
		}
	}
	running.Wait()
	s.waitFinalOutcomes(t, recorder)
	s.checkRuns(t, recorder)
}

// waitFinalOutcomes repeats the call of each key until its outcome is final. A copy that the paused instance still holds
// can't run after that, because the key's owner has recorded the outcome.
func (s *site) waitFinalOutcomes(t *testing.T, recorder *outcomeRecorder) {
	t.Helper()
	for key := range recorder.outcomes {
		eventually(t, "the outcome of "+key+" is final", func() bool {
			outcome := s.postRecord(s.instances[0].callerAddress, key, 5*time.Second)
			recorder.record(key, outcome)
			return outcome.ran != "" && outcome.code != jujubeerror.CodeInProgress &&
				(outcome.code != jujubeerror.CodeKeyOwnerGone || s.keyOwner(key).hasExited())
		})
	}
}

// keyOwner returns the entry instance that owns a key.
func (s *site) keyOwner(key string) *entry {
	for _, e := range s.instances {
		if bytes.HasPrefix([]byte(key), []byte(e.id+"~")) {
			return e
		}
	}
	return nil
}

// checkRuns compares the recorded outcomes with the runs that the plain services counted.
func (s *site) checkRuns(t *testing.T, recorder *outcomeRecorder) {
	t.Helper()
	runs := map[string]int{}
	for _, endpoint := range s.serviceEndpoints {
		var calls jujubeservice.Calls
		assert.NilError(t, s.callJSON(http.MethodGet, "http://"+endpoint.address+"/calls", nil, &calls))
		for key, count := range calls.ByKey {
			runs[key] += count
		}
	}
	counts := map[model.Ran]int{}
	for key, outcomes := range recorder.outcomes {
		assert.Check(t, runs[key] <= 1, "key %s ran %d times: %v", key, runs[key], outcomes)
		for _, outcome := range outcomes {
			counts[outcome.ran]++
			assert.Check(t, outcome.ran != model.RanNo || runs[key] == 0, "key %s was refused as NotRun but ran: %v", key, outcomes)
			assert.Check(t, outcome.ran != model.RanYes || runs[key] == 1, "key %s was answered but didn't run: %v", key, outcomes)
		}
	}
	t.Logf("%d keys, %d ran; outcomes: %v", len(recorder.outcomes), len(runs), counts)
	assert.Assert(t, counts[model.RanUnknown] > 0 && counts[""] > 0, "the faults had no effect")
}

// TestCrashingContentIsStopped guards against a request that crashes one engine after another while its caller retries it
// with new IDs, and against failures or quarantine of the other requests on those engines (R10, R11).
func TestCrashingContentIsStopped(t *testing.T) {
	s := startSite(t, siteConfig{engines: 10, entries: 9, engineFlags: []string{
		"--exit-on-crash=false", "--crash-downtime", "500ms", "--sigma-tokens", "0", "--median-tokens", "100000", "--tokens-per-second", "400",
	}})
	setMarker := func(marker string) {
		for _, engine := range s.engineEndpoints {
			s.setFaults(t, engine.address, map[string]string{"CrashMarker": marker})
		}
	}
	crashes := func() (count int) {
		for _, engine := range s.engineEndpoints {
			count += bytes.Count([]byte(engine.log.String()), []byte("engine crashes"))
		}
		return count
	}
	const timeout = conditionTimeout
	generate := func(instance int, id, prompt string, tokens int) (model.GenerateResult, error) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		return s.entryClient.Generate(ctx, s.instances[instance%len(s.instances)].callerAddress, model.GenerateRequest{
			ID: model.RequestID(id), Caller: "app", Model: modelName, Prompt: prompt, MaxTokens: tokens, Timeout: model.Duration(timeout),
		})
	}
	setMarker("poison")
	var others sync.WaitGroup
	for i := range 45 {
		others.Go(func() {
			id := fmt.Sprintf("other-%d", i)
			result, err := generate(i, id, "prompt "+id, 1000)
			assert.Check(t, err == nil && result.Tokens == 1000, "%s: %d tokens, %v", id, result.Tokens, err)
		})
	}
	code, requests := "", 0
	for ; code != jujubeerror.CodeQuarantined; requests++ {
		assert.Assert(t, requests < 50, "the content wasn't quarantined after 50 requests")
		_, err := generate(requests, fmt.Sprintf("poison-%d", requests), "poison", 10)
		refusal, ok := jujubeerror.IsErrRefused(err)
		assert.Assert(t, ok, "%v", err)
		assert.Assert(t, refusal.Ran != model.RanNo || crashes() == 0, "%v", refusal)
		code = refusal.Code
	}
	quarantined := time.Now()
	for i := range s.instances {
		eventually(t, "all instances refuse the quarantined content", func() bool {
			_, err := generate(i, fmt.Sprintf("again-%d-%d", i, time.Now().UnixNano()), "poison", 10)
			refusal, _ := jujubeerror.IsErrRefused(err)
			return refusal.Code == jujubeerror.CodeQuarantined && refusal.RetryAfter > 0
		})
	}
	t.Logf("quarantined after %d requests and %d crashes; 9 instances refused it within %s", requests, crashes(), time.Since(quarantined))
	others.Wait()
	assert.Assert(t, crashes() >= 1 && crashes() <= 2, "%d engines crashed", crashes())
	s.liftQuarantine(t)
	setMarker("")
	eventually(t, "the content completes after its quarantine was lifted", func() bool {
		result, err := generate(0, fmt.Sprintf("lifted-%d", time.Now().UnixNano()), "poison", 10)
		return err == nil && result.Tokens == 10
	})
}

// liftQuarantine lifts the only quarantine with jujubectl and waits until no instance lists it.
func (s *site) liftQuarantine(t *testing.T) {
	t.Helper()
	list := func() (quarantines []model.QuarantineStatus) {
		output, code := runCtl(t, append(s.operatorFlags(), "--json", "quarantine", "list")...)
		assert.Equal(t, code, 0, output)
		assert.NilError(t, json.Unmarshal([]byte(output), &quarantines), output)
		return quarantines
	}
	var quarantines []model.QuarantineStatus
	eventually(t, "only the crashing content is listed", func() bool {
		quarantines = list()
		return len(quarantines) == 1 && quarantines[0].State == "Quarantined" && len(quarantines[0].Crashes) == 2
	})
	output, code := runCtl(t, append(s.operatorFlags(), "quarantine", "lift", fmt.Sprintf("0x%016x", uint64(quarantines[0].Fingerprint)))...)
	assert.Equal(t, code, 0, output)
	eventually(t, "no instance lists the quarantine", func() bool { return len(list()) == 0 })
}
