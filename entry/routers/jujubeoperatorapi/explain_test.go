package jujubeoperatorapi_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/entry/routers/jujubeoperatorapi"
	"jujubepier.example/entry/services/jujubeentry"
)

// TestExplainQuery guards against bad queries that are explained as another request, and against prompts in messages.
func TestExplainQuery(t *testing.T) {
	logger, err := jujubeevent.NewLogger(io.Discard, "error", "json")
	assert.NilError(t, err)
	service, cleanup, err := jujubeentry.New(jujubeentry.DefaultSettings(), logger, time.Unix(1, 0))
	assert.NilError(t, err)
	defer cleanup()
	handler := jujubeoperatorapi.New(service)
	for query, want := range map[string]string{
		"":                          "either Model or Service",
		"Model=m&Service=s":         "either Model or Service",
		"Model=m&Model=n":           "repeated",
		"Model=m&Priority=3":        "Priority must be 0",
		"Model=m&Priority=secret":   "Priority must be a number",
		"Model=m&MaxTokens=-1":      "MaxTokens must not",
		"Model=m&Prefix=-1":         "Prefix must be a number",
		"Model=m&Prefix=1&Prompt=p": "only one of",
		"Model=m&secret=1":          "unknown parameter",
		"Model=%zz":                 "malformed",
		"Model=m&Prompt=p&Caller=c&Priority=2&MaxTokens=9": "",
		"Service=s": "",
	} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/explain?"+query, nil))
		status := http.StatusBadRequest
		if want == "" {
			// A valid query is refused later, as the instance has no configuration.
			status, want = http.StatusServiceUnavailable, "NotReady"
		}
		assert.Equal(t, recorder.Code, status, query)
		assert.Assert(t, strings.Contains(recorder.Body.String(), want), "%s: %s", query, recorder.Body)
		assert.Assert(t, !strings.Contains(recorder.Body.String(), "secret"))
	}
}
