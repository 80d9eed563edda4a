package jujubeclient

import (
	"context"
	"net/http"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

// ListClient reads the platform's instance list.
type ListClient struct {
	HTTP *http.Client
	// URL is the list's base URL without a final slash.
	URL string
}

// Instances reads the list.
func (c *ListClient) Instances(ctx context.Context) (model.InstanceList, error) {
	var list model.InstanceList
	err := jujubehttp.Call(ctx, c.HTTP, http.MethodGet, c.URL+"/v1/instances", nil, &list)
	return list, err
}

// Register adds or renews an entry instance's own row.
func (c *ListClient) Register(ctx context.Context, member model.Member) error {
	return jujubehttp.Call(ctx, c.HTTP, http.MethodPut, c.URL+"/v1/entries/"+string(member.ID), member, nil)
}
