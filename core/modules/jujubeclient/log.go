package jujubeclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
)

// ErrLogUnavailable is a log operation without an answer, or with one that says that the log can't serve now.
type ErrLogUnavailable struct {
	Operation string
	Stream    string
	// MayHaveTakenEffect is false only when the append certainly wasn't made. It is always false for reads.
	MayHaveTakenEffect bool
	// RateLimited is true when the log answers but takes no more requests now.
	RateLimited bool
	Cause       error
}

// Error names the operation and whether it may have taken effect.
func (e ErrLogUnavailable) Error() string {
	effect := ""
	if e.MayHaveTakenEffect {
		effect = " (it may have taken effect)"
	}
	return fmt.Sprintf("log unavailable: %s of stream %s%s: %s", e.Operation, e.Stream, effect, e.Cause)
}

// Unwrap returns the cause.
func (e ErrLogUnavailable) Unwrap() error { return e.Cause }

// IsErrLogUnavailable returns the failure in an error's chain.
func IsErrLogUnavailable(err error) (ErrLogUnavailable, bool) {
	var unavailable ErrLogUnavailable
	ok := errors.As(err, &unavailable)
	return unavailable, ok
}

// ErrLogRefused is a request that the log won't accept, however often it is repeated.
type ErrLogRefused struct {
	Operation string
	Stream    string
	Status    int
	Code      string
	Message   string
}

// Error names the operation and the log's reason.
func (e ErrLogRefused) Error() string {
	return fmt.Sprintf("log refused %s of stream %s: status %d: %s %s", e.Operation, e.Stream, e.Status, e.Code, e.Message)
}

// LogClient is a client of the append-only log. It may be used concurrently.
type LogClient struct {
	exchanger exchanger
}

// NewLogClient returns a client for host:port whose requests end after timeout, and a function that closes its
// connections. A long poll adds its wait to the timeout.
func NewLogClient(address string, timeout time.Duration) (*LogClient, func()) {
	exchanger, closeIdle := newExchanger(address, timeout)
	return &LogClient{exchanger: exchanger}, closeIdle
}

// Append adds a record whose body is the JSON of body. It isn't repeated here: the caller knows whether a duplicate
// does harm. The error is ErrLogUnavailable or ErrLogRefused.
func (c *LogClient) Append(ctx context.Context, stream string, body any) (model.LogAppended, error) {
	var appended model.LogAppended
	sent, err := c.exchanger.exchange(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(stream)+"/records", body, &appended, 0)
	return appended, newLogError("append", stream, sent, err)
}

// Read returns up to most records from offset from. When there are none, the log answers after wait at the latest. The
// error is ErrLogUnavailable or ErrLogRefused.
func (c *LogClient) Read(ctx context.Context, stream string, from int64, most int, wait time.Duration) (model.LogRead, error) {
	query := url.Values{
		"From": {strconv.FormatInt(from, 10)},
		"Max":  {strconv.Itoa(most)},
		"Wait": {wait.String()},
	}
	var read model.LogRead
	path := "/v1/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	_, err := c.exchanger.exchange(ctx, http.MethodGet, path, nil, &read, wait)
	return read, newLogError("read", stream, false, err)
}

func newLogError(operation, stream string, sent bool, err error) error {
	var status errStatus
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &status):
		return ErrLogUnavailable{Operation: operation, Stream: stream, MayHaveTakenEffect: sent, Cause: err}
	case status.status >= 500 || status.status == http.StatusTooManyRequests || status.status == http.StatusRequestTimeout:
		// A server error can come from a part of the log that doesn't know whether another part made the append.
		unknown := sent && status.refusal.Ran != model.RanNo && status.status != http.StatusTooManyRequests
		return ErrLogUnavailable{
			Operation: operation, Stream: stream, MayHaveTakenEffect: unknown, Cause: err,
			RateLimited: status.status == http.StatusTooManyRequests,
		}
	}
	return ErrLogRefused{Operation: operation, Stream: stream, Status: status.status, Code: status.refusal.Code, Message: status.refusal.Message}
}
