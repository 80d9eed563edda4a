package jujubeclient

import (
	"context"
	"net/http"
	"net/url"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

// EntryClient is a client of the caller listener of entry instances, for callers and trainers.
type EntryClient struct {
	HTTP *http.Client
}

// Addresses returns the addresses that a caller should use.
func (c *EntryClient) Addresses(ctx context.Context, address string, caller model.CallerID, dataCentre model.DataCentre) (model.AddressAnswer, error) {
	query := url.Values{"Caller": {string(caller)}, "DataCentre": {string(dataCentre)}}
	var response model.AddressAnswer
	err := jujubehttp.CallJSON(ctx, c.HTTP, http.MethodGet, "http://"+address+"/v1/addresses?"+query.Encode(), nil, &response)
	return response, err
}

// Generate requests one generation and returns the complete result.
func (c *EntryClient) Generate(ctx context.Context, address string, request model.GenerateRequest) (model.GenerateResult, error) {
	var result model.GenerateResult
	err := jujubehttp.CallJSON(ctx, c.HTTP, http.MethodPost, "http://"+address+"/v1/generate", request, &result)
	return result, err
}

// Submit submits a step part.
func (c *EntryClient) Submit(ctx context.Context, address string, part model.StepPart) (model.StepAccepted, error) {
	var accepted model.StepAccepted
	err := jujubehttp.CallJSON(ctx, c.HTTP, http.MethodPost, "http://"+address+"/v1/steps", part, &accepted)
	return accepted, err
}

// Pull requests finished groups of a step part.
func (c *EntryClient) Pull(ctx context.Context, address string, pull model.Pull) (model.Pulled, error) {
	var pulled model.Pulled
	err := jujubehttp.CallJSON(ctx, c.HTTP, http.MethodPost, "http://"+address+"/v1/steps/pull", pull, &pulled)
	return pulled, err
}

// AnnounceWeights reports that new weights are in the weight store.
func (c *EntryClient) AnnounceWeights(ctx context.Context, address string, weights model.WeightsAnnounced) error {
	return jujubehttp.CallJSON(ctx, c.HTTP, http.MethodPost, "http://"+address+"/v1/weights", weights, nil)
}
