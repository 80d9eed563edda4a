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

// registerTimeout bounds one call to the instance list.
const registerTimeout = 2 * time.Second

// Register repeats the row in the instance list until the host ends, and removes it then. Nothing is sent while the host
// is down after a crash or silent reports true; silent may be nil.
func (h *Host) Register(listURL string, interval time.Duration, row func() model.Endpoint, silent func() bool) {
	if listURL == "" {
		return
	}
	target := listURL + "/v1/endpoints/" + url.PathEscape(string(row().ID))
	h.Go(func(ctx context.Context) {
		client := &http.Client{Timeout: registerTimeout, Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for {
			if h.Up() && (silent == nil || !silent()) {
				if err := send(ctx, client, http.MethodPut, target, row()); err != nil && ctx.Err() == nil {
					logrus.WithError(err).WithField("Endpoint", row().ID).Warn("cannot register in the instance list")
				}
			}
			if !Sleep(ctx, interval) {
				break
			}
		}
		// The host's context is over, but the row should go.
		_ = send(context.WithoutCancel(ctx), client, http.MethodDelete, target, nil)
	})
}

// Call sends a JSON body, decodes the JSON answer into answer unless that is nil, and returns the status.
func Call(ctx context.Context, client *http.Client, method, target string, body, answer any) (int, error) {
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
	if answer == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, errors.Wrap(json.NewDecoder(response.Body).Decode(answer), "decode")
}

func send(ctx context.Context, client *http.Client, method, target string, row any) error {
	status, err := Call(ctx, client, method, target, row, nil)
	if err == nil && status >= http.StatusBadRequest {
		err = errors.Errorf("instance list answered %d", status)
	}
	return err
}
