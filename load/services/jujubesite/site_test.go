package jujubesite_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/load/services/jujubesite"
	"jujubepier.example/load/services/jujubetrainer"
)

// startSite starts a small site of three entry instances, with the example document.
func startSite(t *testing.T) *jujubesite.Site {
	t.Helper()
	document, err := jujubesite.ReadDocument("../../../examples/vatuwaqa.yaml")
	assert.NilError(t, err)
	settings := jujubesite.VatuwaqaSettings(document)
	settings.Entries, settings.Engines, settings.Services = 3, 4, 2
	site, closeSite, err := jujubesite.Start(t.Context(), settings)
	assert.NilError(t, err)
	t.Cleanup(closeSite)
	return site
}

// Guards against incomplete or duplicate groups, wrong labels and samples beyond the staleness bound: the trainer checks
// each sample.
func TestTrainerGetsWholeLabelledGroups(t *testing.T) {
	site := startSite(t)
	results, err := jujubetrainer.New(jujubetrainer.Settings{
		Trainer: "sump-policy", Model: site.Settings.Model, Addresses: site.Addresses(), StoreURL: site.StoreURL(),
		Steps: 2, Groups: 6, GroupSize: 4, MaxTokens: 256, PromptBytes: 200, TrainTime: 10 * time.Millisecond, PrefetchSteps: 1,
		StalenessBound: 1, StepTimeout: 2 * time.Minute,
	}).Run(t.Context())
	assert.NilError(t, err)
	summary := jujubetrainer.Summarize(results)
	assert.Equal(t, summary.Samples, 2*6*4)
	assert.Equal(t, summary.Failed, 0)
	// Guards against a leak: instances must drop the texts of samples that were delivered.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, entry := range site.Entries {
			if count := entry.Service.HeldStreamCount(); count > 0 {
				return poll.Continue("%s holds %d streams", entry.Settings.Instance, count)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Minute))
}

// Guards against a caller that receives an incomplete response, or the response to another caller.
func TestCallersGetTheirOwnAnswers(t *testing.T) {
	site := startSite(t)
	client := &jujubeclient.EntryClient{HTTP: &http.Client{}}
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			id := model.RequestID(fmt.Sprintf("request-%d", i))
			result, err := client.Generate(t.Context(), site.Addresses()[i%3], model.GenerateRequest{
				ID: id, Caller: "sump-console", Model: site.Settings.Model, Prompt: fmt.Sprintf("prompt %d", i),
				MaxTokens: 64, Timeout: model.Duration(time.Minute),
			})
			assert.Check(t, err)
			assert.Check(t, result.ID == id && result.Tokens > 0 && len(strings.Fields(result.Text)) == result.Tokens)
		}()
	}
	callers.Wait()
}

// Guards against a non-idempotent call that runs again when its caller repeats it through other instances.
func TestNonIdempotentCallRunsOnce(t *testing.T) {
	site := startSite(t)
	client := &jujubeclient.EntryClient{HTTP: &http.Client{}}
	answer, err := client.Addresses(t.Context(), site.Addresses()[0], "sump-console", "")
	assert.NilError(t, err)
	key := answer.Addresses[0].KeyPrefix + "~belt-17"
	for i, address := range append(site.Addresses(), site.Addresses()...) {
		status, repeated := post(t, address, string(site.Settings.Service), key)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, repeated, i > 0)
	}
	runs := 0
	for _, service := range site.Services {
		runs += service.Calls().ByKey[key]
	}
	assert.Equal(t, runs, 1)
}

// post sends a call with an idempotency key; repeated reports whether the response was marked as a repeat.
func post(t *testing.T, address, service, key string) (status int, repeated bool) {
	t.Helper()
	url := "http://" + address + "/v1/services/" + service + "/records"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(`{"Record":"17"}`))
	assert.NilError(t, err)
	request.Header.Set(model.HeaderIdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, response.Header.Get(model.HeaderRepeated) == "true"
}
