package jujubeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

// MaxResponseBytes limits the size of a response body. The largest is a log read, with at most a few checkpoints of 256 KiB
// documents.
const MaxResponseBytes = 16 << 20

// errResponse is a response with a status other than 2xx.
type errResponse struct {
	status  int
	refusal model.Refusal
}

func (e errResponse) Error() string {
	return fmt.Sprintf("status %d: %s %s", e.status, e.refusal.Code, e.refusal.Message)
}

// jsonClient sends JSON requests to one address.
type jsonClient struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// newJSONClient returns a client for host:port and a function that closes its idle connections.
func newJSONClient(address string, timeout time.Duration) (jsonClient, func()) {
	transport := jujubehttp.NewTransport(new(net.Dialer).DialContext)
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = 4, time.Minute
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return errors.New("redirects are not followed")
	}}
	return jsonClient{base: "http://" + address, client: client, timeout: timeout}, transport.CloseIdleConnections
}

// do sends a request and decodes the response into result. wait extends the timeout for a long poll. sent is false only
// when there was no connection, so that no byte of the request can have reached the server.
func (c jsonClient) do(ctx context.Context, method, path string, body, result any, wait time.Duration) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	var reader io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return false, errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return false, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := jujubehttp.Do(c.client, request)
	if err != nil {
		return connected.Load(), errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return true, errors.Wrap(err, "read response")
	}
	if len(data) > MaxResponseBytes {
		return true, errors.Errorf("response is longer than %d bytes", MaxResponseBytes)
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		failure := errResponse{status: response.StatusCode}
		if json.Unmarshal(data, &failure.refusal) != nil || failure.refusal.Code == "" {
			failure.refusal = model.Refusal{Code: http.StatusText(response.StatusCode), Ran: model.RanUnknown}
		}
		return true, failure
	}
	if result == nil {
		return true, nil
	}
	return true, errors.Wrap(json.Unmarshal(data, result), "decode response")
}
