package jujubecommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubetrace"
	jujubecommand "jujubepier.example/ctl/cmd"
)

// fakeServer serves a log and an operator listener at one address. The log appends precedingChange, another operator's
// change, before each change. With the value "outage" it aborts the connection of the append and is unavailable afterwards.
type fakeServer struct {
	records         []model.LogRecord
	precedingChange string
	isUnavailable   bool
}

func (f *fakeServer) appendRecord(body string) {
	f.records = append(f.records, model.LogRecord{Offset: int64(len(f.records)), Body: json.RawMessage(body)})
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var response any
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/streams/config/records":
		if f.isUnavailable = f.precedingChange == "outage"; f.isUnavailable {
			panic(http.ErrAbortHandler)
		}
		if f.precedingChange != "" {
			f.appendRecord(f.precedingChange)
		}
		body, _ := io.ReadAll(r.Body)
		f.appendRecord(string(body))
		response = model.LogAppended{Offset: int64(len(f.records) - 1)}
	case "GET /v1/streams/config/records":
		if f.isUnavailable {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		response = model.LogRead{Records: f.records, Next: int64(len(f.records))}
	case "GET /v1/status":
		response = model.Status{Instance: "e1", Ready: true, Endpoints: []model.EndpointStatus{{Endpoint: model.Endpoint{ID: "engine-1", Model: "dan-llm"}, InFlight: 3}}}
	case "GET /v1/explain":
		response = model.RouteExplanation{Decision: "Wait", Endpoints: []model.EndpointExplanation{{Endpoint: "engine-1", Excluded: model.ExcludedNoCapacity}}}
		if r.URL.Query().Get("Model") == "unknown" {
			w.WriteHeader(http.StatusNotFound)
			response = model.Refusal{Code: "UnknownModel", Ran: model.RanNo}
		}
	case "GET /v1/quarantine":
		response = []model.QuarantineStatus{{Fingerprint: 0xc0ffee, State: "Quarantined", Crashes: []model.ProcessID{"engine-1/1", "engine-2/1"}}}
	case "POST /v1/quarantine/lift":
		var request model.LiftRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		if request.Fingerprint != 0xc0ffee {
			w.WriteHeader(http.StatusNotFound)
			response = model.Refusal{Code: "BadRequest", Ran: model.RanNo}
		}
	}
	_ = json.NewEncoder(w).Encode(response)
}

// TestRun guards against exit codes from which a script would take a refused or failed command, or one with an unknown
// outcome, for a successful one, and against results that are missing from the output.
func TestRun(t *testing.T) {
	const otherChange = `{"Change":{"ID":"rival","Base":0,"Document":"x","Author":"sita"}}`
	const example = "../../examples/himal-dan.yaml"
	for _, test := range []struct {
		// mode is the precedingChange of the server, or "trace" for a program that can replay traces.
		mode, arguments string
		code            int
		want            string
	}{
		{"", "check " + example, jujubecommand.ExitOK, "DIGEST"},
		{"", "check program.go", jujubecommand.ExitDocument, "program.go:"},
		{"", "check", jujubecommand.ExitUsage, "takes 1 argument"},
		{"", "check --wrong x", jujubecommand.ExitUsage, "-wrong"},
		{"", "--timeout 5 history", jujubecommand.ExitUsage, "duration with a unit"},
		{"", "diff " + example, jujubecommand.ExitOK, "Trainers.grading.Share"},
		{"", "publish --id c1 " + example, jujubecommand.ExitOK, "change c1 is accepted as revision 1"},
		{otherChange, "publish --id c1 " + example, jujubecommand.ExitConflict, "revision 1 was in force (change rival by sita)"},
		{otherChange, "--json publish --id c1 " + example, jujubecommand.ExitConflict, `"ExitCode": 4`},
		{"outage", "--deadline 300ms publish --id c1 " + example, jujubecommand.ExitUnknown, "repeat the command with --id c1 --base 0"},
		{"", "--log 127.0.0.1:1 --deadline 200ms publish " + example, jujubecommand.ExitUnavailable, "nothing has changed"},
		{"", "--trial-log 127.0.0.1:1 --trial-operator 127.0.0.1:1 promote", jujubecommand.ExitUnavailable, "trial environment"},
		{"", "status", jujubecommand.ExitOK, "engine-1"},
		{"", "status --operator 127.0.0.1:1", jujubecommand.ExitUnavailable, "no answer"},
		{"", "drain engine-1", jujubecommand.ExitOK, "endpoint engine-1 is leaving"},
		{"", "route --model dan-llm --max-tokens 5", jujubecommand.ExitOK, "NoCapacity"},
		{"", "route --model dan-llm --service s", jujubecommand.ExitUsage, "--model or --service"},
		{"", "route --model dan-llm --operator 127.0.0.1:1", jujubecommand.ExitUnavailable, "no response"},
		{"", "route --model unknown", jujubecommand.ExitRefused, "UnknownModel"},
		{"", "quarantine list", jujubecommand.ExitOK, "0x0000000000c0ffee"},
		{"", "quarantine lift 0xc0ffee", jujubecommand.ExitOK, "lifted"},
		{"", "quarantine lift 7", jujubecommand.ExitRefused, "BadRequest"},
		{"", "replay x", jujubecommand.ExitFailure, "not built in"},
		{"trace", "replay", jujubecommand.ExitUsage, "takes 1 to"},
		{"trace", "replay good", jujubecommand.ExitOK, "good\n"},
		{"trace", "replay failed good", jujubecommand.ExitFailure, "good\nfailed: 1 of 2 expectations failed"},
		{"trace", "replay failed wrong", jujubecommand.ExitDocument, "wrong:7: unknown event"},
		{"", "completion bash", jujubecommand.ExitOK, "complete"},
	} {
		t.Run(test.arguments, func(t *testing.T) {
			server := httptest.NewServer(&fakeServer{precedingChange: test.mode})
			defer server.Close()
			t.Setenv("JUJUBECTL_LOG", strings.TrimPrefix(server.URL, "http://"))
			t.Setenv("JUJUBECTL_OPERATOR", strings.TrimPrefix(server.URL, "http://"))
			var output bytes.Buffer
			program := jujubecommand.NewProgram(&output, &output)
			if test.mode == "trace" {
				program.Replay = replay
			}
			code := program.Run(t.Context(), append([]string{"jujubectl"}, strings.Fields(test.arguments)...))
			assert.Equal(t, code, test.code, output.String())
			assert.Assert(t, strings.Contains(output.String(), test.want), output.String())
		})
	}
}

// replay is a stand-in that returns the results of a trace that passes, fails or is invalid, by the file's name.
func replay(_ context.Context, file string, output io.Writer) error {
	switch file {
	case "failed":
		return jujubetrace.ErrExpectationsFailed{File: file, Failed: 1, Total: 2}
	case "wrong":
		return jujubetrace.ErrTrace{File: file, Line: 7, Reason: "unknown event"}
	}
	_, err := fmt.Fprintln(output, file)
	return err
}
