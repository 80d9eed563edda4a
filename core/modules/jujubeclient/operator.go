package jujubeclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// ErrOperator is returned when an operator request gets no usable response.
type ErrOperator struct {
	Address string
	Path    string
	// MayHaveTakenEffect is false only if no byte of the request can have reached the instance.
	MayHaveTakenEffect bool
	Cause              error
}

// Error returns the address, the path and the cause.
func (e ErrOperator) Error() string {
	return fmt.Sprintf("no response from %s to %s: %s", e.Address, e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e ErrOperator) Unwrap() error { return e.Cause }

// OperatorClient is a client of the operator listener of an entry instance. Its methods return an ErrOperator, or a
// jujubeerror.ErrRefused if the instance refuses the request.
type OperatorClient struct {
	address string
	client  jsonClient
}

// NewOperatorClient returns a client for host:port and a function that closes its idle connections. Requests time out after
// timeout.
func NewOperatorClient(address string, timeout time.Duration) (*OperatorClient, func()) {
	client, closeIdle := newJSONClient(address, timeout)
	return &OperatorClient{address: address, client: client}, closeIdle
}

// Address returns the host:port of the listener.
func (c *OperatorClient) Address() string { return c.address }

// Status returns the members, endpoints, configuration and rollouts as the instance sees them.
func (c *OperatorClient) Status(ctx context.Context) (model.Status, error) {
	var status model.Status
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// ExplainRoute returns what the instance would do with a request now; the query describes it.
func (c *OperatorClient) ExplainRoute(ctx context.Context, query url.Values) (model.RouteExplanation, error) {
	var explanation model.RouteExplanation
	err := c.do(ctx, http.MethodGet, "/v1/explain?"+query.Encode(), nil, &explanation)
	var failure ErrOperator
	if errors.As(err, &failure) {
		failure.Path = "/v1/explain" // the query may contain a prompt
		return explanation, failure
	}
	return explanation, err
}

// Drain drains an endpoint: it receives no new work from any entry instance.
func (c *OperatorClient) Drain(ctx context.Context, endpoint model.EndpointID) error {
	return c.do(ctx, http.MethodPost, "/v1/drain", model.DrainRequest{Endpoint: endpoint}, nil)
}

// EndDrain ends the drain of an endpoint, which then receives new work again.
func (c *OperatorClient) EndDrain(ctx context.Context, endpoint model.EndpointID) error {
	return c.do(ctx, http.MethodPost, "/v1/drain", model.DrainRequest{Endpoint: endpoint, Ended: true}, nil)
}

// ListQuarantine returns the fingerprints of requests that crashed endpoints.
func (c *OperatorClient) ListQuarantine(ctx context.Context) ([]model.QuarantineStatus, error) {
	var list []model.QuarantineStatus
	err := c.do(ctx, http.MethodGet, "/v1/quarantine", nil, &list)
	return list, err
}

// LiftQuarantine lifts the quarantine of a fingerprint, so that its requests may run again.
func (c *OperatorClient) LiftQuarantine(ctx context.Context, fingerprint model.Fingerprint) error {
	return c.do(ctx, http.MethodPost, "/v1/quarantine/lift", model.LiftRequest{Fingerprint: fingerprint}, nil)
}

// SetLogLevel sets the log level of the instance.
func (c *OperatorClient) SetLogLevel(ctx context.Context, level string) error {
	return c.do(ctx, http.MethodPut, "/v1/log-level", model.LogLevelRequest{Level: level}, nil)
}

func (c *OperatorClient) do(ctx context.Context, method, path string, body, result any) error {
	sent, err := c.client.do(ctx, method, path, body, result, 0)
	var failure errResponse
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failure):
		return jujubeerror.ErrRefused{
			Code: failure.refusal.Code, Ran: failure.refusal.Ran, RetryAfter: failure.refusal.RetryAfter.Std(), Message: failure.refusal.Message,
		}
	}
	return ErrOperator{Address: c.address, Path: path, MayHaveTakenEffect: sent, Cause: err}
}
