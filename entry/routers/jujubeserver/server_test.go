package jujubeserver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/entry/routers/jujubeserver"
	"jujubepier.example/entry/services/jujubeentry"
)

// startIsolated starts an instance that can't reach the log or the instance list.
func startIsolated(t *testing.T) *jujubeserver.Server {
	t.Helper()
	return startWith(context.Background(), t, jujubeentry.DefaultSettings())
}

// startWith starts an isolated instance with these settings, which leaves when the context ends.
func startWith(ctx context.Context, t *testing.T, settings jujubeentry.Settings) *jujubeserver.Server {
	t.Helper()
	settings.Instance, settings.DataCentre = "alone", "a"
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.LogAddress, settings.ListAddress = "127.0.0.1:1", "127.0.0.1:1"
	logger, err := jujubeevent.NewLogger(io.Discard, "error", "json")
	assert.NilError(t, err)
	server, kill, err := jujubeserver.Start(ctx, settings, logger)
	assert.NilError(t, err)
	t.Cleanup(kill)
	return server
}

// TestNotReady guards against an instance without a configuration that responds that a model, service or trainer doesn't
// exist. Callers would treat that as final instead of retrying on another instance.
func TestNotReady(t *testing.T) {
	server := startIsolated(t)
	for _, test := range []struct{ method, path, body string }{
		{http.MethodGet, "/v1/addresses", ""},
		{http.MethodPost, "/v1/generate", `{"ID":"1","Caller":"c","Model":"m","Prompt":"p","MaxTokens":1,"Timeout":"1s"}`},
		{http.MethodGet, "/v1/services/s/path", ""},
		{http.MethodPost, "/v1/services/s/path", "body"},
		{http.MethodPost, "/v1/steps", `{"Key":{"Trainer":"t"},"Attempt":1,"Groups":[{"Prompt":"p","Samples":1}],"MaxTokens":1,"Timeout":"1s"}`},
		{http.MethodPost, "/v1/weights", `{"Trainer":"t","Model":"m","Version":1}`},
	} {
		request, err := http.NewRequest(test.method, "http://"+server.Settings.CallerAddress+test.path, strings.NewReader(test.body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		var refusal model.Refusal
		err = json.NewDecoder(response.Body).Decode(&refusal)
		assert.NilError(t, err, test.path)
		assert.NilError(t, response.Body.Close())
		assert.Check(t, response.StatusCode == http.StatusServiceUnavailable, "%s: %d", test.path, response.StatusCode)
		assert.Check(t, refusal.Code == jujubeerror.CodeNotReady && refusal.Ran == model.RanNo &&
			refusal.RetryAfter.Std() == time.Second, "%s: %+v", test.path, refusal)
	}
}

// TestLeavingInstanceRefusesLongRequests guards against requests that are accepted by an instance which is leaving, last longer than
// its shutdown waits for them, and are cut off.
func TestLeavingInstanceRefusesLongRequests(t *testing.T) {
	settings := jujubeentry.DefaultSettings()
	settings.ShutdownTimeout = 10 * time.Second
	ctx, leave := context.WithCancel(context.Background())
	server := startWith(ctx, t, settings)
	submit := func(timeout string) model.Refusal {
		body := fmt.Sprintf(`{"Key":{"Trainer":"t"},"Attempt":1,"Groups":[{"Prompt":"p","Samples":1}],"MaxTokens":1,"Timeout":%q}`, timeout)
		response, err := http.Post("http://"+server.Settings.CallerAddress+"/v1/steps", "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		var refusal model.Refusal
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&refusal))
		return refusal
	}
	assert.Equal(t, submit("5m").Code, jujubeerror.CodeNotReady, "accepted before it leaves, and refused by a later check")
	leave()
	for end := time.Now().Add(5 * time.Second); submit("5m").Code != jujubeerror.CodeLeaving; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "a request of 5 minutes is accepted")
	}
	refusal := submit("5m")
	assert.Equal(t, refusal.Ran, model.RanNo)
	assert.Equal(t, submit("2s").Code, jujubeerror.CodeNotReady, "accepted, as the shutdown waits for it")
}
