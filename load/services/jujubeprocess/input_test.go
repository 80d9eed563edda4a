package jujubeprocess_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
)

// TestBadInput guards against input that crashes or hangs the instance, or that is refused without a specific code and a
// correct Ran.
func TestBadInput(t *testing.T) {
	s := startSite(t, siteConfig{engines: 1, services: 1, entries: 1, entryFlags: []string{
		"--header-timeout", "1s", "--body-timeout", "1s", "--max-body-bytes", "4096",
	}})
	address := s.instances[0].callerAddress
	post := func(path, body, header, value string) (int, model.Refusal) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, strings.NewReader(body))
		assert.NilError(t, err)
		if header != "" {
			request.Header.Set(header, value)
		}
		response, err := s.client.Do(request)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		var refusal model.Refusal
		_ = json.Unmarshal(data, &refusal) // the body of a success is no refusal
		return response.StatusCode, refusal
	}
	const (
		generate = `{"ID":"one","Caller":"app","Model":"faultserve","Prompt":"p","MaxTokens":5,"Timeout":"1m"}`
		part     = `{"Key":{"Trainer":"sump-policy","Step":1,"Part":0},"Attempt":1,"Version":1,"MaxTokens":5,"Timeout":"1m",` +
			`"Groups":[{"Group":0,"Prompt":"p","Samples":1}]}`
		pull    = `{"Key":{"Trainer":"sump-policy","Step":1,"Part":0},"Attempt":1,"Version":1,"Wait":"0s","Cursor":0}`
		records = "/v1/services/" + serviceName + "/records"
	)
	status, _ := post("/v1/generate", generate, "", "")
	assert.Equal(t, status, http.StatusOK)
	status, _ = post("/v1/steps", part, "", "")
	assert.Equal(t, status, http.StatusOK)
	for _, test := range []struct {
		name, path, body, header, value string
		status                          int
		code                            string
		ran                             model.Ran
	}{
		{"malformed JSON", "/v1/generate", "{", "", "", 400, "BadRequest", model.RanNo},
		{"unknown field", "/v1/steps", `{"Nonsense":1}`, "", "", 400, "BadRequest", model.RanNo},
		{"two values", "/v1/generate", generate + generate, "", "", 400, "BadRequest", model.RanNo},
		{"long body", "/v1/generate", strings.Replace(generate, `"p"`, `"`+strings.Repeat("p", 5000)+`"`, 1), "", "", 413, "TooLarge", model.RanNo},
		{"long body of a call", records, strings.Repeat("p", 5000), "", "", 413, "TooLarge", model.RanNo},
		{"long header", "/v1/generate", generate, "Long", strings.Repeat("p", 100<<10), 431, "", ""},
		{"unknown model", "/v1/generate", strings.Replace(generate, modelName, "none", 1), "", "", 404, "UnknownModel", model.RanNo},
		{"unknown trainer", "/v1/steps", strings.Replace(part, "sump-policy", "none", 1), "", "", 404, "UnknownTrainer", model.RanNo},
		{"unknown service", "/v1/services/none/records", "", "", "", 404, "UnknownService", model.RanNo},
		{"unknown path", "/v2/generate", generate, "", "", 400, "BadRequest", model.RanNo},
		{"no key", records, "{}", "", "", 400, "KeyRequired", model.RanNo},
		{"malformed key", records, "{}", model.HeaderIdempotencyKey, "none", 400, "BadRequest", model.RanNo},
		{"deadline past", "/v1/generate", strings.Replace(generate, "1m", "-1s", 1), "", "", 504, "DeadlineExceeded", model.RanNo},
		{"deadline of a call past", records, "{}", model.HeaderTimeout, "-1s", 504, "DeadlineExceeded", model.RanNo},
		{"malformed timeout", records, "{}", model.HeaderTimeout, "soon", 400, "BadRequest", model.RanNo},
		{"cursor ahead", "/v1/steps/pull", strings.Replace(pull, `"Cursor":0`, `"Cursor":7`, 1), "", "", 400, "CursorAhead", ""},
		{"unknown part", "/v1/steps/pull", strings.Replace(pull, `"Step":1`, `"Step":9`, 1), "", "", 404, "UnknownPart", ""},
		{"id of another request", "/v1/generate", strings.Replace(generate, `"p"`, `"other"`, 1), "", "", 409, "Conflict", model.RanUnknown},
	} {
		status, refusal := post(test.path, test.body, test.header, test.value)
		assert.Check(t, status == test.status && refusal.Code == test.code, "%s: status %d, %v", test.name, status, refusal)
		assert.Check(t, test.ran == "" || refusal.Ran == test.ran && refusal.Message != "", "%s: %v", test.name, refusal)
	}
	requestHead := "POST /v1/generate HTTP/1.1\r\nHost: entry\r\n"
	checkSlowSender(t, address, requestHead, "")
	checkSlowSender(t, address, requestHead+"Content-Length: 100\r\n\r\n{", "400 Bad Request")
	status, _ = post("/v1/generate", strings.Replace(generate, `"one"`, `"two"`, 1), "", "")
	assert.Equal(t, status, http.StatusOK, "the instance doesn't serve after the bad input")
	assert.Assert(t, s.instances[0].isReady(s))
}

// checkSlowSender sends an incomplete request and checks that the instance closes the connection, with a response that
// contains want.
func checkSlowSender(t *testing.T, address, partial, want string) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(conditionTimeout)))
	_, err = io.WriteString(connection, partial)
	assert.NilError(t, err)
	data, err := io.ReadAll(connection)
	assert.NilError(t, err, "the connection of a slow sender was not closed")
	assert.Check(t, bytes.Contains(data, []byte(want)), "%q", data)
}
