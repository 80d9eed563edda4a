package jujubeservice_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/standin/services/jujubeservice"
)

// TestRunsAreCounted guards against counts that miss a run whose response was lost, or that include a call that never ran.
func TestRunsAreCounted(t *testing.T) {
	for _, testCase := range []struct {
		name         string
		faults       jujubeservice.Faults
		status, runs int
		crashes      bool
	}{
		{"answered", jujubeservice.Faults{}, 200, 1, false},
		{"answer lost", jujubeservice.Faults{LoseAnswers: 1}, 0, 1, false},
		{"closed before", jujubeservice.Faults{CloseBefore: 1}, 0, 0, false},
		{"error", jujubeservice.Faults{Fail: 1}, 500, 0, false},
		{"crash", jujubeservice.Faults{CrashMarker: "belt-7"}, 0, 1, true},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			settings := jujubeservice.DefaultSettings()
			settings.CrashDowntime = 20 * time.Millisecond
			server, stop, err := jujubeservice.Start(t.Context(), settings)
			assert.NilError(t, err)
			t.Cleanup(stop)
			oldIncarnation := server.Endpoint().Incarnation
			server.SetFaults(testCase.faults)
			assert.Equal(t, post(t, server), testCase.status)
			assert.Equal(t, server.Calls().ByKey["key-1"], testCase.runs)
			assert.Equal(t, server.Calls().ByRecord["belt-7"], testCase.runs)
			server.SetFaults(jujubeservice.Faults{})
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				return poll.Compare(cmp.Equal(post(t, server), http.StatusOK))
			}, poll.WithDelay(5*time.Millisecond))
			assert.Equal(t, server.Calls().ByKey["key-1"], testCase.runs+1)
			assert.Equal(t, server.Endpoint().Incarnation > oldIncarnation, testCase.crashes)
		})
	}
}

// post returns the status, or zero when there was no response. It clears GetBody and uses a new connection, because net/http
// by itself retries a POST with an Idempotency-Key when a reused connection breaks.
func post(t *testing.T, server *jujubeservice.Server) int {
	t.Helper()
	body := bytes.NewBufferString(`{"Record":"belt-7"}`)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address()+"/records", body)
	assert.NilError(t, err)
	request.GetBody, request.Close = nil, true
	request.Header.Set(model.HeaderIdempotencyKey, "key-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}
