package jujubehost

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
)

// registerTimeout is the timeout of one request to the instance list.
const registerTimeout = 2 * time.Second

// Register registers an endpoint with the instance list at each interval until the host shuts down, and then removes it.
// Nothing is sent while the host is down after a crash or while paused, which may be nil, returns true.
func (h *Host) Register(listURL string, interval time.Duration, endpoint func() model.Endpoint, paused func() bool) {
	if listURL == "" {
		return
	}
	target := listURL + "/v1/endpoints/" + url.PathEscape(string(endpoint().ID))
	h.Go(func(ctx context.Context) {
		client := &http.Client{Timeout: registerTimeout, Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for {
			if h.IsListening() && (paused == nil || !paused()) {
				if err := sendToList(ctx, client, http.MethodPut, target, endpoint()); err != nil && ctx.Err() == nil {
					logrus.WithError(err).WithField("Endpoint", endpoint().ID).Warn("failed to register with the instance list")
				}
			}
			if !Sleep(ctx, interval) {
				break
			}
		}
		// The host's context has ended, but the registration still has to be removed.
		_ = sendToList(context.WithoutCancel(ctx), client, http.MethodDelete, target, nil)
	})
}

// CallJSON sends a JSON request, decodes the JSON response into reply unless it is nil, and returns the status.
func CallJSON(ctx context.Context, client *http.Client, method, target string, body, reply any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "request")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	if reply == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, errors.Wrap(json.NewDecoder(response.Body).Decode(reply), "decode")
}

// sendToList sends a request to the instance list and returns an error for an error status.
func sendToList(ctx context.Context, client *http.Client, method, target string, body any) error {
	status, err := CallJSON(ctx, client, method, target, body, nil)
	if err == nil && status >= http.StatusBadRequest {
		err = errors.Errorf("instance list responded with status %d", status)
	}
	return err
}
