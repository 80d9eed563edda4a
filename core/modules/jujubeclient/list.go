package jujubeclient

import (
	"context"
	"net/http"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

// ListClient is a client of the platform's instance list.
type ListClient struct {
	HTTP *http.Client
	// URL is the base URL of the list, without a trailing slash.
	URL string
}

// Instances returns the current list.
func (c *ListClient) Instances(ctx context.Context) (model.InstanceList, error) {
	var list model.InstanceList
	err := jujubehttp.Call(ctx, c.HTTP, http.MethodGet, c.URL+"/v1/instances", nil, &list)
	return list, err
}

// Register adds or renews the list's entry of an entry instance.
func (c *ListClient) Register(ctx context.Context, member model.Member) error {
	return jujubehttp.Call(ctx, c.HTTP, http.MethodPut, c.URL+"/v1/entries/"+string(member.ID), member, nil)
}
