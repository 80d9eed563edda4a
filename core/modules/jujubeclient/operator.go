package jujubeclient

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// ErrOperator is an operator request without a usable answer.
type ErrOperator struct {
	Address string
	Path    string
	// MayHaveTakenEffect is false only when no byte of the request can have reached the instance.
	MayHaveTakenEffect bool
	Cause              error
}

// Error names the address and the path.
func (e ErrOperator) Error() string {
	return fmt.Sprintf("no answer from %s to %s: %s", e.Address, e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e ErrOperator) Unwrap() error { return e.Cause }

// OperatorClient is a client of an entry instance's operator listener. Its errors are ErrOperator, or
// jujubeerror.ErrRefused for an answer that refuses.
type OperatorClient struct {
	address   string
	exchanger exchanger
}

// NewOperatorClient returns a client for host:port whose requests end after timeout, and a function that closes its
// connections.
func NewOperatorClient(address string, timeout time.Duration) (*OperatorClient, func()) {
	exchanger, closeIdle := newExchanger(address, timeout)
	return &OperatorClient{address: address, exchanger: exchanger}, closeIdle
}

// Address returns the host:port of the listener.
func (c *OperatorClient) Address() string { return c.address }

// Status returns how the instance sees the environment.
func (c *OperatorClient) Status(ctx context.Context) (model.Status, error) {
	var status model.Status
	err := c.exchange(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Drain announces that an endpoint is leaving: it gets no new work from any entry instance.
func (c *OperatorClient) Drain(ctx context.Context, endpoint model.EndpointID) error {
	return c.exchange(ctx, http.MethodPost, "/v1/drain", model.DrainRequest{Endpoint: endpoint}, nil)
}

// EndDrain lets a drained endpoint have new work again.
func (c *OperatorClient) EndDrain(ctx context.Context, endpoint model.EndpointID) error {
	return c.exchange(ctx, http.MethodPost, "/v1/drain", model.DrainRequest{Endpoint: endpoint, Ended: true}, nil)
}

// Quarantine lists the fingerprints that crashed endpoints.
func (c *OperatorClient) Quarantine(ctx context.Context) ([]model.QuarantineStatus, error) {
	var list []model.QuarantineStatus
	err := c.exchange(ctx, http.MethodGet, "/v1/quarantine", nil, &list)
	return list, err
}

// Lift lets a quarantined fingerprint run again.
func (c *OperatorClient) Lift(ctx context.Context, fingerprint model.Fingerprint) error {
	return c.exchange(ctx, http.MethodPost, "/v1/quarantine/lift", model.LiftRequest{Fingerprint: fingerprint}, nil)
}

// SetLogLevel changes the instance's log level.
func (c *OperatorClient) SetLogLevel(ctx context.Context, level string) error {
	return c.exchange(ctx, http.MethodPut, "/v1/log-level", model.LogLevelRequest{Level: level}, nil)
}

func (c *OperatorClient) exchange(ctx context.Context, method, path string, body, answer any) error {
	sent, err := c.exchanger.exchange(ctx, method, path, body, answer, 0)
	var status errStatus
	switch {
	case err == nil:
		return nil
	case errors.As(err, &status):
		return jujubeerror.ErrRefused{
			Code: status.refusal.Code, Ran: status.refusal.Ran, RetryAfter: status.refusal.RetryAfter.Std(), Message: status.refusal.Message,
		}
	}
	return ErrOperator{Address: c.address, Path: path, MayHaveTakenEffect: sent, Cause: err}
}
