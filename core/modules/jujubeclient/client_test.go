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

func serve(t *testing.T, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against an append that is reported as certainly not made although the log may have made it, which would let
// a publisher tell an operator a wrong outcome.
func TestAppendFailures(t *testing.T) {
	hangUp := func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		unknown bool
	}{
		{"connection closed", hangUp, true},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, true},
		{"server error", answer(500, ""), true},
		{"answer cut off", answer(200, `{"Offset":`), true},
		{"says not run", answer(503, `{"Code":"Overloaded","Ran":"NotRun","RetryAfter":"1s"}`), false},
		{"too many requests", answer(429, ""), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, closeIdle := jujubeclient.NewLogClient(serve(t, test.handler), 100*time.Millisecond)
			defer closeIdle()
			_, err := client.Append(t.Context(), model.StreamConfig, model.ConfigRecord{})
			unavailable, ok := jujubeclient.IsErrLogUnavailable(err)
			assert.Assert(t, ok, "%v", err)
			assert.Equal(t, unavailable.MayHaveTakenEffect, test.unknown)
		})
	}
	client, closeIdle := jujubeclient.NewLogClient("127.0.0.1:1", time.Second)
	defer closeIdle()
	_, err := client.Append(t.Context(), model.StreamConfig, model.ConfigRecord{})
	unavailable, ok := jujubeclient.IsErrLogUnavailable(err)
	assert.Assert(t, ok && !unavailable.MayHaveTakenEffect, "%v", err)
	client, closeIdle = jujubeclient.NewLogClient(serve(t, answer(400, `{"Code":"BadRequest"}`)), time.Second)
	defer closeIdle()
	_, err = client.Append(t.Context(), model.StreamConfig, model.ConfigRecord{})
	assert.ErrorType(t, err, jujubeclient.ErrLogRefused{})
}

// Guards against a long poll that the client's own timeout ends, and against wrong query parameters.
func TestReadWaitsLongerThanTimeout(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
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

// Guards against an answer that fills the memory, and against a refusal that is lost.
func TestOperatorAnswers(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/status" {
			_, _ = io.Copy(w, io.LimitReader(zeros{}, jujubeclient.MaxAnswerBytes+1))
			return
		}
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"Code":"NoEndpoint","Ran":"NotRun","Message":"unknown endpoint","RetryAfter":"0s"}`)
	})
	client, closeIdle := jujubeclient.NewOperatorClient(address, 5*time.Second)
	defer closeIdle()
	_, err := client.Status(t.Context())
	assert.ErrorContains(t, err, "answer is longer than")
	refused, ok := jujubeerror.IsErrRefused(client.Drain(t.Context(), "e1"))
	assert.Assert(t, ok)
	assert.Equal(t, refused.Code, "NoEndpoint")
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
