package jujubetrace_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/services/jujubetrace"
)

// TestTraces guards against a decision that violates one of the requirements R1 to R11, and against a second replay with a
// different report.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(t, err)
	covered := make(map[string]bool)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			var first, second bytes.Buffer
			err = jujubetrace.Replay(file, data, &first)
			_ = jujubetrace.Replay(file, data, &second)
			assert.Equal(t, first.String(), second.String())
			assert.NilError(t, err, first.String())
			name, _, _ := strings.Cut(filepath.Base(file), "-")
			covered[name] = covered[name] || strings.Contains(first.String(), "ok ")
		})
	}
	for requirement := 1; requirement <= 11; requirement++ {
		assert.Assert(t, covered[fmt.Sprintf("R%d", requirement)], "no trace for R%d", requirement)
	}
}

const header = `{"Trace":"t","Instances":[{"ID":"entry-01"}]}` + "\n"

// TestParseRefuses guards against a misspelt name in a trace, which would make the trace pass without checking anything.
func TestParseRefuses(t *testing.T) {
	for _, test := range []struct{ line, reason string }{
		{`{"At":"1s","Instance":"entry-01","Event":"LoadRaported"}`, `unknown event "LoadRaported"`},
		{`{"At":"1s","Instance":"entry-01","Event":"LoadReported","Data":{"Report":{"Slot":1}}}`, `unknown field "Report.Slot"`},
		{`{"At":"1s","Instance":"entry-01","Event":"RequestEnded","Data":{"id":"r"}}`, `unknown field "id"`},
		{`{"At":"1s","Instance":"entry-01","Event":"RequestArrived","Data":{"Deadline":"soon"}}`, "Deadline"},
		{`{"At":"1s","Instance":"entry-02","Tick":true}`, `instance "entry-02" isn't in the header`},
		{`{"At":"1s","Expect":"RouteDecide"}`, `unknown action "RouteDecide"`},
		{`{"At":"1s","Expect":"RouteDecided","Where":{"Decision.Endpont":"e"}}`, `unknown field "Endpont"`},
		{`{"At":"1s","Never":"RouteDecided"}`, "Until must be later"},
		{`{"At":"1s","Instance":"entry-01","Status":{"Config.Rev":1}}`, `unknown field "Rev"`},
		{`{"At":"1s","Instance":"entry-01","Tick":true,"Pause":true}`, "the line has 2 of"},
		{`{"At":1,"Instance":"entry-01","Tick":true}`, "JSON"},
		{`{"At":"1s","Instance":"entry-01","Tick":true}}`, "text after the value"},
	} {
		_, err := jujubetrace.Parse("f.jsonl", []byte(header+test.line))
		traceErr, ok := jujubetrace.IsErrTrace(err)
		assert.Assert(t, ok, "%s: %v", test.line, err)
		assert.Equal(t, traceErr.Line, 2)
		assert.ErrorContains(t, err, test.reason)
	}
}

// TestReplayReportsFailures guards against an expectation that holds regardless of what the core does.
func TestReplayReportsFailures(t *testing.T) {
	for _, test := range []struct{ line, detail string }{
		{`{"At":"1s","Expect":"RouteDecided"}`, "FAIL f.jsonl:3 1s to 1s  expect RouteDecided: none"},
		{`{"At":"2s","Expect":"RouteDecided","Where":{"Decision.Kind":"Dispatch"}}`, `the last one has {"Decision.Kind":"Refuse"}`},
		{`{"At":"2s","Expect":"RouteDecided","Where":{"Decision.RetryAfter":{"Max":"10ms"}}}`, "FAIL"},
		{`{"At":"2s","Expect":"RouteDecided","Count":2}`, "FAIL f.jsonl:3 2s to 2s  expect RouteDecided: 1, first at 2s"},
		{`{"At":"1s","Never":"RouteDecided","Until":"3s"}`, "FAIL f.jsonl:3 1s to 3s  never RouteDecided: 1, first at 2s"},
		{`{"At":"1s","Instance":"entry-01","Status":{"Leaving":true},"Within":"200ms"}`, `FAIL f.jsonl:3 1s to 1.2s entry-01 status Leaving=true: none`},
	} {
		request := `{"At":"2s","Instance":"entry-01","Event":"RequestArrived","Data":{"ID":"r","Kind":"Engine","Model":"m","Deadline":"9s"}}`
		var output bytes.Buffer
		err := jujubetrace.Replay("f.jsonl", []byte(header+request+"\n"+test.line), &output)
		assert.ErrorContains(t, err, "1 of 1 expectations failed")
		assert.Assert(t, strings.Contains(output.String(), test.detail), output.String())
	}
}

// TestNames guards against an event or action type that is declared in jujubecore but missing from the types that a
// trace may name.
func TestNames(t *testing.T) {
	for file, names := range map[string][]string{"event": jujubetrace.EventNames(), "action": jujubetrace.ActionNames()} {
		source, err := os.ReadFile("../jujubecore/" + file + ".go")
		assert.NilError(t, err)
		var declared []string
		for _, match := range regexp.MustCompile(`(?m)^type (\w+) struct ?\{\s*`+file+`\b`).FindAllSubmatch(source, -1) {
			declared = append(declared, string(match[1]))
		}
		assert.DeepEqual(t, declared, names)
	}
}

// TestPage guards against an example in docs/traces.md that can't be replayed, and against an event without an example.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/traces.md")
	assert.NilError(t, err)
	lines := regexp.MustCompile(`(?m)^\{.*$`).FindAll(page, -1)
	trace, err := jujubetrace.Parse("traces.md", bytes.Join(lines, []byte("\n")))
	assert.NilError(t, err)
	var documented []string
	for _, line := range trace.Lines {
		if line.Event != "" {
			documented = append(documented, line.Event)
		}
	}
	assert.DeepEqual(t, documented, jujubetrace.EventNames())
	_, err = jujubetrace.Run(trace)
	assert.NilError(t, err)
}
