package jujubeclient

import (
	"context"
	"net/http"
	"net/url"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

// EntryClient calls entry instances as a caller or trainer does.
type EntryClient struct {
	HTTP *http.Client
}

// Addresses asks an entry instance which addresses to use.
func (c *EntryClient) Addresses(ctx context.Context, address string, caller model.CallerID, dataCentre model.DataCentre) (model.AddressAnswer, error) {
	query := url.Values{"Caller": {string(caller)}, "DataCentre": {string(dataCentre)}}
	var answer model.AddressAnswer
	err := jujubehttp.Call(ctx, c.HTTP, http.MethodGet, "http://"+address+"/v1/addresses?"+query.Encode(), nil, &answer)
	return answer, err
}

// Generate asks for one generation, answered as a whole.
func (c *EntryClient) Generate(ctx context.Context, address string, request model.GenerateRequest) (model.GenerateResult, error) {
	var result model.GenerateResult
	err := jujubehttp.Call(ctx, c.HTTP, http.MethodPost, "http://"+address+"/v1/generate", request, &result)
	return result, err
}

// Submit sends a step part.
func (c *EntryClient) Submit(ctx context.Context, address string, part model.StepPart) (model.StepAccepted, error) {
	var accepted model.StepAccepted
	err := jujubehttp.Call(ctx, c.HTTP, http.MethodPost, "http://"+address+"/v1/steps", part, &accepted)
	return accepted, err
}

// Pull asks for finished groups of a step part.
func (c *EntryClient) Pull(ctx context.Context, address string, pull model.Pull) (model.Pulled, error) {
	var pulled model.Pulled
	err := jujubehttp.Call(ctx, c.HTTP, http.MethodPost, "http://"+address+"/v1/steps/pull", pull, &pulled)
	return pulled, err
}

// Announce tells that new weights are in the store.
func (c *EntryClient) Announce(ctx context.Context, address string, weights model.WeightsAnnounced) error {
	return jujubehttp.Call(ctx, c.HTTP, http.MethodPost, "http://"+address+"/v1/weights", weights, nil)
}
