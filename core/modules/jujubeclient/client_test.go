package jujubeclient_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeerror"
)

// newTestServer starts a server and returns its host:port.
func newTestServer(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestAppendFailures guards against a record that is reported as not appended although the log may have appended it, so
// that a publisher would report a wrong outcome to the operator.
func TestAppendFailures(t *testing.T) {
	closeConnection := func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for _, test := range []struct {
		name               string
		handler            http.HandlerFunc
		mayHaveTakenEffect bool
	}{
		{"connection closed", closeConnection, true},
		{"response times out", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, true},
		{"server error", respond(500, ""), true},
		{"response cut off", respond(200, `{"Offset":`), true},
		{"refusal with Ran NotRun", respond(503, `{"Code":"Overloaded","Ran":"NotRun","RetryAfter":"1s"}`), false},
		{"too many requests", respond(429, ""), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, closeIdle := jujubeclient.NewLogClient(newTestServer(t, test.handler), 100*time.Millisecond)
			defer closeIdle()
			_, err := client.Append(t.Context(), model.StreamConfig, model.ConfigRecord{})
			unavailable, ok := jujubeclient.IsErrLogUnavailable(err)
			assert.Assert(t, ok, "%v", err)
			assert.Equal(t, unavailable.MayHaveTakenEffect, test.mayHaveTakenEffect)
		})
	}
	client, closeIdle := jujubeclient.NewLogClient("127.0.0.1:1", time.Second)
	defer closeIdle()
	_, err := client.Append(t.Context(), model.StreamConfig, model.ConfigRecord{})
	unavailable, ok := jujubeclient.IsErrLogUnavailable(err)
	assert.Assert(t, ok && !unavailable.MayHaveTakenEffect, "%v", err)
	client, closeIdle = jujubeclient.NewLogClient(newTestServer(t, respond(400, `{"Code":"BadRequest"}`)), time.Second)
	defer closeIdle()
	_, err = client.Append(t.Context(), model.StreamConfig, model.ConfigRecord{})
	assert.ErrorType(t, err, jujubeclient.ErrLogRefused{})
}

// TestReadWaitsLongerThanTimeout guards against a long poll that is ended by the client's own timeout, and against wrong
// query parameters.
func TestReadWaitsLongerThanTimeout(t *testing.T) {
	address := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(150 * time.Millisecond)
		assert.Check(t, r.URL.String() == "/v1/streams/config/records?From=3&Max=5&Wait=1s", r.URL.String())
		_, _ = io.WriteString(w, `{"First":1,"Next":4,"Records":[{"Offset":3,"Body":{}}]}`)
	})
	client, closeIdle := jujubeclient.NewLogClient(address, 100*time.Millisecond)
	defer closeIdle()
	read, err := client.Read(t.Context(), model.StreamConfig, 3, 5, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, read.Records[0].Offset, int64(3))
}

// TestOperatorResponses guards against a response of unbounded size that exhausts the memory, and against a refusal that
// isn't returned.
func TestOperatorResponses(t *testing.T) {
	address := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/status" {
			_, _ = io.Copy(w, io.LimitReader(zeroReader{}, jujubeclient.MaxResponseBytes+1))
			return
		}
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"Code":"NoEndpoint","Ran":"NotRun","Message":"unknown endpoint","RetryAfter":"0s"}`)
	})
	client, closeIdle := jujubeclient.NewOperatorClient(address, 5*time.Second)
	defer closeIdle()
	_, err := client.Status(t.Context())
	assert.ErrorContains(t, err, "response is longer than")
	refused, ok := jujubeerror.IsErrRefused(client.Drain(t.Context(), "e1"))
	assert.Assert(t, ok)
	assert.Equal(t, refused.Code, "NoEndpoint")
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }
