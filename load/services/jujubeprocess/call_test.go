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

// outcome is what a copy of a non-idempotent call was told; ran is empty when no answer came.
type outcome struct {
	ran  model.Ran
	code string
}

// post sends a non-idempotent call to an instance.
func (s *site) post(address, key string, timeout time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/"+service+"/records",
		bytes.NewReader([]byte(`{"Record":"`+key+`"}`)))
	if err != nil {
		return outcome{}
	}
	request.Header.Set(model.HeaderIdempotencyKey, key)
	request.Header.Set(model.HeaderTimeout, timeout.String())
	response, err := s.client.Do(request)
	if err != nil {
		return outcome{}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil {
			return outcome{}
		}
		return outcome{ran: model.RanYes}
	}
	refused, _ := jujubeerror.IsErrRefused(jujubehttp.AnswerError(response))
	return outcome{ran: refused.Ran, code: refused.Code}
}

// ledger holds what the callers were told of each key.
type ledger struct {
	mu       sync.Mutex
	outcomes map[string][]outcome
}

func (l *ledger) record(key string, told outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[key] = append(l.outcomes[key], told)
}

// callRepeatedly sends new keys, each in three copies through different instances, two of them at once.
func (s *site) callRepeatedly(book *ledger, seed int64, keys int) {
	const timeout = time.Second
	random := rand.New(rand.NewSource(seed))
	pick := func() string { return s.instances[random.Intn(len(s.instances))].callers }
	for i := range keys {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		answer, err := s.entryClient.Addresses(ctx, pick(), "caller", dataCentres[0])
		cancel()
		if err != nil {
			continue
		}
		chosen := answer.Addresses[random.Intn(len(answer.Addresses))]
		key := fmt.Sprintf("%s~%d-%d", chosen.KeyPrefix, seed, i)
		var copies sync.WaitGroup
		for _, address := range []string{chosen.Address, pick()} {
			copies.Go(func() { book.record(key, s.post(address, key, timeout)) })
		}
		copies.Wait()
		book.record(key, s.post(pick(), key, timeout))
	}
}

// TestKeysRunAtMostOnce guards against a non-idempotent call that runs twice, or that was refused as NotRun and ran,
// while its copies take different ways, an instance is killed, another is paused, and connections of the plain service
// break before and after the run (R5, R6).
func TestKeysRunAtMostOnce(t *testing.T) {
	s := startSite(t, scale{services: 4, entries: 9})
	book := &ledger{outcomes: map[string][]outcome{}}
	const callers, keys = 6, 120
	var callersDone sync.WaitGroup
	for i := range callers {
		callersDone.Go(func() { s.callRepeatedly(book, int64(i), keys) })
	}
	faults := func(round int) {
		s.setFaults(t, s.services[round%len(s.services)].host, jujubeservice.Faults{CloseBefore: 3, LoseAnswers: 3})
	}
	waitKeys := func(count int) {
		eventually(t, "calls go on", func() bool {
			book.mu.Lock()
			defer book.mu.Unlock()
			return len(book.outcomes) >= count
		})
	}
	for round := range 8 {
		waitKeys(20 * (round + 1))
		faults(round)
		switch round {
		case 2:
			s.instances[3].kill(t)
		case 3:
			s.instances[5].signal(t, syscall.SIGSTOP)
		case 6:
			s.instances[5].signal(t, syscall.SIGCONT)
		}
	}
	callersDone.Wait()
	s.settle(t, book)
	s.checkRuns(t, book)
}

// settle repeats each key until its outcome is final. A copy that the paused instance still holds can't run after that,
// since its owner remembers the outcome.
func (s *site) settle(t *testing.T, book *ledger) {
	t.Helper()
	for key := range book.outcomes {
		eventually(t, "the outcome of "+key+" is final", func() bool {
			told := s.post(s.instances[0].callers, key, 5*time.Second)
			book.record(key, told)
			return told.ran != "" && told.code != jujubeerror.CodeInProgress &&
				(told.code != jujubeerror.CodeKeyOwnerGone || s.ownerOf(key).hasEnded())
		})
	}
}

func (s *site) ownerOf(key string) *entry {
	for _, e := range s.instances {
		if bytes.HasPrefix([]byte(key), []byte(e.id+"~")) {
			return e
		}
	}
	return nil
}

func (s *site) checkRuns(t *testing.T, book *ledger) {
	t.Helper()
	runs := map[string]int{}
	for _, row := range s.services {
		var calls jujubeservice.Calls
		assert.NilError(t, s.call(http.MethodGet, "http://"+row.host+"/calls", nil, &calls))
		for key, count := range calls.ByKey {
			runs[key] += count
		}
	}
	told := map[model.Ran]int{}
	for key, outcomes := range book.outcomes {
		assert.Check(t, runs[key] <= 1, "key %s ran %d times: %v", key, runs[key], outcomes)
		for _, one := range outcomes {
			told[one.ran]++
			assert.Check(t, one.ran != model.RanNo || runs[key] == 0, "key %s is refused as NotRun and ran: %v", key, outcomes)
			assert.Check(t, one.ran != model.RanYes || runs[key] == 1, "key %s is answered and didn't run: %v", key, outcomes)
		}
	}
	t.Logf("%d keys, %d ran; answers: %v", len(book.outcomes), len(runs), told)
	assert.Assert(t, told[model.RanUnknown] > 0 && told[""] > 0, "the faults had no effect")
}

// TestCrashingContentIsStopped guards against a request that crashes one engine after the other while its caller sends
// it again with new ids, and against blame for the requests beside it (R10, R11).
func TestCrashingContentIsStopped(t *testing.T) {
	s := startSite(t, scale{engines: 10, entries: 9, engineFlags: []string{
		"--exit-on-crash=false", "--crash-downtime", "500ms", "--sigma-tokens", "0", "--median-tokens", "100000", "--tokens-per-second", "400",
	}})
	setMarker := func(marker string) {
		for _, row := range s.engineRows {
			s.setFaults(t, row.host, map[string]string{"CrashMarker": marker})
		}
	}
	crashes := func() (count int) {
		for _, row := range s.engineRows {
			count += bytes.Count([]byte(row.log.String()), []byte("engine crashes"))
		}
		return count
	}
	const timeout = conditionLimit
	ask := func(instance int, id, prompt string, tokens int) (model.GenerateResult, error) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		return s.entryClient.Generate(ctx, s.instances[instance%len(s.instances)].callers, model.GenerateRequest{
			ID: model.RequestID(id), Caller: "app", Model: modelName, Prompt: prompt, MaxTokens: tokens, Timeout: model.Duration(timeout),
		})
	}
	setMarker("poison")
	var others sync.WaitGroup
	for i := range 45 {
		others.Go(func() {
			id := fmt.Sprintf("other-%d", i)
			result, err := ask(i, id, "prompt "+id, 1000)
			assert.Check(t, err == nil && result.Tokens == 1000, "%s: %d tokens, %v", id, result.Tokens, err)
		})
	}
	code, tries := "", 0
	for ; code != jujubeerror.CodeQuarantined; tries++ {
		assert.Assert(t, tries < 50, "the content isn't quarantined")
		_, err := ask(tries, fmt.Sprintf("poison-%d", tries), "poison", 10)
		refused, ok := jujubeerror.IsErrRefused(err)
		assert.Assert(t, ok, "%v", err)
		assert.Assert(t, refused.Ran != model.RanNo || crashes() == 0, "%v", refused)
		code = refused.Code
	}
	started := time.Now()
	for i := range s.instances {
		eventually(t, "all instances know of the quarantine", func() bool {
			_, err := ask(i, fmt.Sprintf("again-%d-%d", i, time.Now().UnixNano()), "poison", 10)
			refused, _ := jujubeerror.IsErrRefused(err)
			return refused.Code == jujubeerror.CodeQuarantined && refused.RetryAfter > 0
		})
	}
	t.Logf("quarantined after %d tries and %d crashes; 9 instances refused it within %s", tries, crashes(), time.Since(started))
	others.Wait()
	assert.Assert(t, crashes() >= 1 && crashes() <= 2, "%d engines crashed", crashes())
	s.liftQuarantine(t)
	setMarker("")
	eventually(t, "the lifted content completes", func() bool {
		result, err := ask(0, fmt.Sprintf("lifted-%d", time.Now().UnixNano()), "poison", 10)
		return err == nil && result.Tokens == 10
	})
}

// liftQuarantine lifts the only quarantine with jujubectl and waits until no instance lists it.
func (s *site) liftQuarantine(t *testing.T) {
	t.Helper()
	list := func() (rows []model.QuarantineStatus) {
		output, code := ctl(t, append(s.operators(), "--json", "quarantine", "list")...)
		assert.Equal(t, code, 0, output)
		assert.NilError(t, json.Unmarshal([]byte(output), &rows), output)
		return rows
	}
	var rows []model.QuarantineStatus
	eventually(t, "only the crashing content is listed", func() bool {
		rows = list()
		return len(rows) == 1 && rows[0].State == "Quarantined" && len(rows[0].Crashes) == 2
	})
	output, code := ctl(t, append(s.operators(), "quarantine", "lift", fmt.Sprintf("0x%016x", uint64(rows[0].Fingerprint)))...)
	assert.Equal(t, code, 0, output)
	eventually(t, "no instance lists the quarantine", func() bool { return len(list()) == 0 })
}
