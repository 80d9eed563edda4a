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

// TestBadInput guards against input that ends the instance, hangs it, or is answered without a clear code and a true Ran.
func TestBadInput(t *testing.T) {
	s := startSite(t, scale{engines: 1, services: 1, entries: 1, entryFlags: []string{
		"--header-timeout", "1s", "--body-timeout", "1s", "--max-body-bytes", "4096",
	}})
	address := s.instances[0].callers
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
		_ = json.Unmarshal(data, &refusal) // a success has another form
		return response.StatusCode, refusal
	}
	const (
		generate = `{"ID":"one","Caller":"app","Model":"faultserve","Prompt":"p","MaxTokens":5,"Timeout":"1m"}`
		part     = `{"Key":{"Trainer":"sump-policy","Step":1,"Part":0},"Attempt":1,"Version":1,"MaxTokens":5,"Timeout":"1m",` +
			`"Groups":[{"Group":0,"Prompt":"p","Samples":1}]}`
		pull    = `{"Key":{"Trainer":"sump-policy","Step":1,"Part":0},"Attempt":1,"Version":1,"Wait":"0s","Cursor":0}`
		records = "/v1/services/" + service + "/records"
	)
	status, _ := post("/v1/generate", generate, "", "")
	assert.Equal(t, status, http.StatusOK)
	status, _ = post("/v1/steps", part, "", "")
	assert.Equal(t, status, http.StatusOK)
	for _, c := range []struct {
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
		status, refusal := post(c.path, c.body, c.header, c.value)
		assert.Check(t, status == c.status && refusal.Code == c.code, "%s: status %d, %v", c.name, status, refusal)
		assert.Check(t, c.ran == "" || refusal.Ran == c.ran && refusal.Message != "", "%s: %v", c.name, refusal)
	}
	head := "POST /v1/generate HTTP/1.1\r\nHost: entry\r\n"
	checkSlow(t, address, head, "")
	checkSlow(t, address, head+"Content-Length: 100\r\n\r\n{", "400 Bad Request")
	status, _ = post("/v1/generate", strings.Replace(generate, `"one"`, `"two"`, 1), "", "")
	assert.Equal(t, status, http.StatusOK, "the instance no longer serves")
	assert.Assert(t, s.instances[0].isReady(s))
}

// checkSlow sends a part of a request and checks that the instance ends the connection, with an answer that contains a
// text.
func checkSlow(t *testing.T, address, part, answer string) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(conditionLimit)))
	_, err = io.WriteString(connection, part)
	assert.NilError(t, err)
	data, err := io.ReadAll(connection)
	assert.NilError(t, err, "the connection of a slow sender stays open")
	assert.Check(t, bytes.Contains(data, []byte(answer)), "%q", data)
}
