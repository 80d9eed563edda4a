// Package jujubeclient holds the HTTP clients of the platform's and the service's listeners.
package jujubeclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// MaxAnswerBytes bounds the answers that are read. A log read holds at most a few checkpoints of 256 KiB documents.
const MaxAnswerBytes = 16 << 20

// errStatus is an answer other than a success.
type errStatus struct {
	status  int
	refusal model.Refusal
}

func (e errStatus) Error() string {
	return fmt.Sprintf("status %d: %s %s", e.status, e.refusal.Code, e.refusal.Message)
}

// exchanger sends JSON requests to one address.
type exchanger struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// newExchanger returns an exchanger for host:port and a function that closes its idle connections.
func newExchanger(address string, timeout time.Duration) (exchanger, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return errors.New("redirects are not followed")
	}}
	return exchanger{base: "http://" + address, client: client, timeout: timeout}, transport.CloseIdleConnections
}

// exchange sends body and decodes the answer. wait extends the timeout for a long poll. sent is false only when no
// connection was available, so that no byte of the request can have reached the server.
func (e exchanger) exchange(ctx context.Context, method, path string, body, answer any, wait time.Duration) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout+wait)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	var content io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return false, errors.Wrap(err, "encode request")
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, e.base+path, content)
	if err != nil {
		return false, errors.Wrap(err, "make request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return connected.Load(), errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return true, errors.Wrap(err, "read answer")
	}
	if len(data) > MaxAnswerBytes {
		return true, errors.Errorf("answer is longer than %d bytes", MaxAnswerBytes)
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		failure := errStatus{status: response.StatusCode}
		if json.Unmarshal(data, &failure.refusal) != nil || failure.refusal.Code == "" {
			failure.refusal = model.Refusal{Code: http.StatusText(response.StatusCode), Ran: model.RanUnknown}
		}
		return true, failure
	}
	if answer == nil {
		return true, nil
	}
	return true, errors.Wrap(json.Unmarshal(data, answer), "decode answer")
}
