package jujubebatch_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubebatch"
	"jujubepier.example/core/services/jujubedesired"
	"jujubepier.example/core/services/jujubeprompt"
)

// newGroups returns a submission of groups, each of which shares 1,000 tokens of its items' prompts.
func newGroups(id string, groups, size int) *jujubebatch.Submission {
	s := newSubmission(id, groups*size, "a")
	for i := range s.Items {
		s.Items[i].Group = jujubebatch.GroupID(fmt.Sprint(i / size))
		s.Items[i].Prompt = jujubeprompt.Prompt{{ID: jujubeprompt.PartID(i / size), Tokens: 1000}, {ID: jujubeprompt.PartID(1000 + i), Tokens: 16}}
	}
	return s
}

// newPlacement returns a scheduler with a placement and engines of 12 slots with a memory for a number of tokens.
func newPlacement(t *testing.T, engines int, policy jujubeprompt.Policy, cacheTokens int) *testScheduler {
	settings := jujubebatch.DefaultSettings()
	settings.PromptPolicy = policy
	ts := &testScheduler{t: t, now: start, Scheduler: jujubebatch.New("a", settings)}
	ts.SetLiveMembers(members("a"))
	desired := testDesired()
	desired.Services = map[model.ServiceName]jujubedesired.Service{"s": {Name: "s", CacheTokens: cacheTokens}}
	for i := range engines {
		ts.putEngine(i, 1, 1)
	}
	ts.SetDesired(desired)
	return ts
}

// startAll returns the number of runs on each engine, and how many tokens were kept.
func startAll(ts *testScheduler) (byEngine map[model.EndpointID]int, kept int) {
	byEngine = map[model.EndpointID]int{}
	for _, run := range tick[jujubebatch.StartRun](ts) {
		byEngine[run.Engine]++
		kept += run.KeptTokens
		assert.Equal(ts.t, run.PromptTokens, 1016)
		assert.Assert(ts.t, ts.HandleRunAccepted(ts.now, run.Run, run.KnownVersion))
		ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunRejected)
	}
	return byEngine, kept
}

// TestGroupsStayTogether checks that the items of a group go to an engine that keeps its prompt, without a change of the number of items
// on each engine, and that the setting restores the placement by load.
func TestGroupsStayTogether(t *testing.T) {
	for _, test := range []struct {
		policy jujubeprompt.Policy
		kept   int
	}{{jujubeprompt.LoadShare{}, 0}, {jujubeprompt.LeastCost{}, 28_000}, {nil, 28_000}} {
		ts := newPlacement(t, 4, test.policy, 64_899)
		ts.accept(newGroups("s", 4, 8))
		byEngine, kept := startAll(ts)
		assert.DeepEqual(t, byEngine, map[model.EndpointID]int{"e0": 8, "e1": 8, "e2": 8, "e3": 8})
		if test.kept == 0 {
			assert.Assert(t, kept <= 16_000, "%d", kept)
			continue
		}
		assert.Equal(t, kept, test.kept)
	}
}

// TestKeptPromptsAreForgotten guards against items that are attracted by a prompt which an engine has lost.
func TestKeptPromptsAreForgotten(t *testing.T) {
	const again = 32 * 1000
	for _, test := range []struct {
		name   string
		change func(ts *testScheduler)
		kept   int
	}{
		{"unchanged", func(*testScheduler) {}, again},
		{"weights loaded", func(ts *testScheduler) {
			for i := range 4 {
				ts.SetVersion(model.EndpointID(fmt.Sprint("e", i)), "m", 2)
			}
		}, 28_000},
		{"restarted", func(ts *testScheduler) {
			for i := range 4 {
				ts.putEngine(i, 2, 1)
			}
		}, 28_000},
		{"long ago", func(ts *testScheduler) { ts.now = ts.now.Add(time.Minute) }, 28_000},
	} {
		ts := newPlacement(t, 4, nil, 64_899)
		ts.accept(newGroups("s", 4, 8))
		_, kept := startAll(ts)
		assert.Equal(t, kept, 28_000, test.name)
		test.change(ts)
		second := newGroups("t", 4, 8)
		for i := range second.Items {
			second.Items[i].Prompt[1].ID += 1000
		}
		ts.accept(second)
		_, kept = startAll(ts)
		assert.Equal(t, kept, test.kept, test.name)
	}
}

// TestUnsentPromptsArentKept guards against a prompt that counts as kept although no item has brought it to the engine.
func TestUnsentPromptsArentKept(t *testing.T) {
	ts := newPlacement(t, 1, nil, 0)
	ts.accept(newGroups("s", 1, 1))
	ts.HandleRunEnd(ts.now, tick[jujubebatch.StartRun](ts)[0].Run, jujubebatch.RunUnsent)
	ts.now = ts.now.Add(time.Second)
	run := tick[jujubebatch.StartRun](ts)[0]
	assert.Equal(t, run.KeptTokens, 0)
	assert.Assert(t, ts.HandleRunAccepted(ts.now, run.Run, 1))
	ts.HandleRunEnd(ts.now, run.Run, jujubebatch.RunBroken)
	ts.now = ts.now.Add(2 * time.Second)
	assert.Equal(t, tick[jujubebatch.StartRun](ts)[0].KeptTokens, 1016)
}

// TestMemoryBoundsAssignedItems checks that the prompts and expected texts of the items on an engine stay within its memory while
// another engine has room, and that items go on when none has. Items beyond the memory evict what other items need.
func TestMemoryBoundsAssignedItems(t *testing.T) {
	ts := newPlacement(t, 2, nil, 10_000)
	first, second := newGroups("s", 1, 1), newGroups("t", 1, 5)
	first.Items[0].ExpectedTokens = 8900 // 9,916 tokens with the prompt
	ts.accept(first)
	onFirst := tick[jujubebatch.StartRun](ts)[0].Engine
	for i := range second.Items {
		second.Items[i].ExpectedTokens = 1484 // 2,500 tokens with the prompt, so that four fit
	}
	ts.accept(second)
	counts := map[bool]int{}
	for _, run := range tick[jujubebatch.StartRun](ts) {
		counts[run.Engine == onFirst]++
	}
	assert.DeepEqual(t, counts, map[bool]int{false: 4, true: 1})
}

// TestRecordWithoutPrompt guards against records that grow, or that earlier builds read differently, where callers name no prompts.
func TestRecordWithoutPrompt(t *testing.T) {
	data, err := json.Marshal(newSubmission("s", 1, "a"))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(data), "Prompt"))
	data, err = json.Marshal(newGroups("s", 1, 1).Items[0])
	assert.NilError(t, err)
	var item jujubebatch.Item
	assert.NilError(t, json.Unmarshal(data, &item))
	assert.Assert(t, strings.Contains(string(data), `"Prompt":"0:1000,3e8:16"`))
	assert.Equal(t, item.Prompt.Tokens(), 1016)
}
