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

// platform is a log and an operator listener at one address. The log appends rival, another operator's change, before
// each change; with the value "outage" it makes the append, but neither answers nor serves afterwards.
type platform struct {
	records []model.LogRecord
	rival   string
	away    bool
}

func (p *platform) append(body string) {
	p.records = append(p.records, model.LogRecord{Offset: int64(len(p.records)), Body: json.RawMessage(body)})
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var answer any
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/streams/config/records":
		if p.away = p.rival == "outage"; p.away {
			panic(http.ErrAbortHandler)
		}
		if p.rival != "" {
			p.append(p.rival)
		}
		body, _ := io.ReadAll(r.Body)
		p.append(string(body))
		answer = model.LogAppended{Offset: int64(len(p.records) - 1)}
	case "GET /v1/streams/config/records":
		if p.away {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		answer = model.LogRead{Records: p.records, Next: int64(len(p.records))}
	case "GET /v1/status":
		answer = model.Status{Instance: "e1", Ready: true, Endpoints: []model.EndpointStatus{{Endpoint: model.Endpoint{ID: "engine-1", Model: "dan-llm"}, InFlight: 3}}}
	case "GET /v1/quarantine":
		answer = []model.QuarantineStatus{{Fingerprint: 0xc0ffee, State: "Quarantined", Crashes: []model.CrashID{"engine-1/1", "engine-2/1"}}}
	case "POST /v1/quarantine/lift":
		var request model.LiftRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		if request.Fingerprint != 0xc0ffee {
			w.WriteHeader(http.StatusNotFound)
			answer = model.Refusal{Code: "BadRequest", Ran: model.RanNo}
		}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// Guards against a script that takes a refused, unknown or failed command for a successful one, and against results
// that are missing from the output.
func TestRun(t *testing.T) {
	const rival = `{"Change":{"ID":"rival","Base":0,"Document":"x","Author":"sita"}}`
	const example = "../../examples/himal-dan.yaml"
	for _, test := range []struct {
		rival, arguments string
		code             int
		want             string
	}{
		{"", "check " + example, jujubecommand.ExitOK, "DIGEST"},
		{"", "check program.go", jujubecommand.ExitDocument, "program.go:"},
		{"", "check", jujubecommand.ExitUsage, "takes 1 argument"},
		{"", "check --wrong x", jujubecommand.ExitUsage, "-wrong"},
		{"", "--timeout 5 history", jujubecommand.ExitUsage, "duration with a unit"},
		{"", "diff " + example, jujubecommand.ExitOK, "Trainers.grading.Share"},
		{"", "publish --id c1 " + example, jujubecommand.ExitOK, "change c1 is accepted as revision 1"},
		{rival, "publish --id c1 " + example, jujubecommand.ExitConflict, "revision 1 was in force (change rival by sita)"},
		{rival, "--json publish --id c1 " + example, jujubecommand.ExitConflict, `"ExitCode": 4`},
		{"outage", "--deadline 300ms publish --id c1 " + example, jujubecommand.ExitUnknown, "repeat the command with --id c1 --base 0"},
		{"", "--log 127.0.0.1:1 --deadline 200ms publish " + example, jujubecommand.ExitUnavailable, "nothing has changed"},
		{"", "--trial-log 127.0.0.1:1 --trial-operator 127.0.0.1:1 promote", jujubecommand.ExitUnavailable, "trial environment"},
		{"", "status", jujubecommand.ExitOK, "engine-1"},
		{"", "status --operator 127.0.0.1:1", jujubecommand.ExitUnavailable, "no answer"},
		{"", "drain engine-1", jujubecommand.ExitOK, "endpoint engine-1 is leaving"},
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
			server := httptest.NewServer(&platform{rival: test.rival})
			defer server.Close()
			t.Setenv("JUJUBECTL_LOG", strings.TrimPrefix(server.URL, "http://"))
			t.Setenv("JUJUBECTL_OPERATOR", strings.TrimPrefix(server.URL, "http://"))
			var output bytes.Buffer
			program := jujubecommand.NewProgram(&output, &output)
			if test.rival == "trace" {
				program.Replay = replay
			}
			code := program.Run(t.Context(), append([]string{"jujubectl"}, strings.Fields(test.arguments)...))
			assert.Equal(t, code, test.code, output.String())
			assert.Assert(t, strings.Contains(output.String(), test.want), output.String())
		})
	}
}

// replay stands for the replay of a trace that passes, fails or has a fault.
func replay(_ context.Context, file string, output io.Writer) error {
	switch file {
	case "failed":
		return jujubetrace.ErrFailed{File: file, Failed: 1, Total: 2}
	case "wrong":
		return jujubetrace.ErrTrace{File: file, Line: 7, Reason: "unknown event"}
	}
	_, err := fmt.Fprintln(output, file)
	return err
}
