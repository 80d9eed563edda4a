package jujubeclient

import (
	"context"
	"net/http"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

// InstanceListClient is a client of the platform's instance list.
type InstanceListClient struct {
	HTTP *http.Client
	// URL is the base URL of the list, without a trailing slash.
	URL string
}

// Instances returns the current list.
func (c *InstanceListClient) Instances(ctx context.Context) (model.InstanceList, error) {
	var list model.InstanceList
	err := jujubehttp.CallJSONLimited(ctx, c.HTTP, MaxResponseBytes, http.MethodGet, c.URL+"/v1/instances", nil, &list)
	return list, err
}

// Register adds or renews the list's entry of an entry instance.
func (c *InstanceListClient) Register(ctx context.Context, member model.Member) error {
	return jujubehttp.CallJSON(ctx, c.HTTP, http.MethodPut, c.URL+"/v1/entries/"+string(member.ID), member, nil)
}
