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

// ErrLogUnavailable is returned when the log doesn't respond, or responds that it is temporarily unavailable.
type ErrLogUnavailable struct {
	Operation string
	Stream    string
	// MayHaveTakenEffect is false only if the record cannot have been appended. It is always false for reads.
	MayHaveTakenEffect bool
	// RateLimited is true if the log responded but rejected the request because of its rate limit.
	RateLimited bool
	Cause       error
}

// Error returns the operation, the stream, the cause and whether the operation may have taken effect.
func (e ErrLogUnavailable) Error() string {
	effect := ""
	if e.MayHaveTakenEffect {
		effect = " (it may have taken effect)"
	}
	return fmt.Sprintf("log unavailable: %s of stream %s%s: %s", e.Operation, e.Stream, effect, e.Cause)
}

// Unwrap returns the cause.
func (e ErrLogUnavailable) Unwrap() error { return e.Cause }

// IsErrLogUnavailable returns the ErrLogUnavailable in the chain of an error, and whether there is one.
func IsErrLogUnavailable(err error) (ErrLogUnavailable, bool) {
	var unavailable ErrLogUnavailable
	ok := errors.As(err, &unavailable)
	return unavailable, ok
}

// ErrLogRefused is returned when the log permanently rejects a request. Retries won't succeed.
type ErrLogRefused struct {
	Operation string
	Stream    string
	Status    int
	Code      string
	Message   string
}

// Error returns the operation, the stream and the log's response.
func (e ErrLogRefused) Error() string {
	return fmt.Sprintf("log refused %s of stream %s: status %d: %s %s", e.Operation, e.Stream, e.Status, e.Code, e.Message)
}

// LogClient is a client of the append-only log. It is safe for concurrent use.
type LogClient struct {
	client jsonClient
}

// NewLogClient returns a client for host:port and a function that closes its idle connections. Requests time out after
// timeout; a long poll adds its wait to it.
func NewLogClient(address string, timeout time.Duration) (*LogClient, func()) {
	client, closeIdle := newJSONClient(address, timeout)
	return &LogClient{client: client}, closeIdle
}

// Append appends a record with the JSON of body. It doesn't retry, because only the caller knows whether a duplicate is
// harmful. The error is ErrLogUnavailable or ErrLogRefused.
func (c *LogClient) Append(ctx context.Context, stream string, body any) (model.LogAppended, error) {
	var appended model.LogAppended
	sent, err := c.client.do(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(stream)+"/records", body, &appended, 0)
	return appended, newLogError("append", stream, sent, err)
}

// Read returns up to limit records, starting at offset from. If there are none, the log waits up to wait for a record. The
// error is ErrLogUnavailable or ErrLogRefused.
func (c *LogClient) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (model.LogRead, error) {
	query := url.Values{
		"From": {strconv.FormatInt(from, 10)},
		"Max":  {strconv.Itoa(limit)},
		"Wait": {wait.String()},
	}
	var read model.LogRead
	path := "/v1/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	_, err := c.client.do(ctx, http.MethodGet, path, nil, &read, wait)
	return read, newLogError("read", stream, false, err)
}

func newLogError(operation, stream string, sent bool, err error) error {
	var failure errResponse
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &failure):
		return ErrLogUnavailable{Operation: operation, Stream: stream, MayHaveTakenEffect: sent, Cause: err}
	case failure.status >= 500 || failure.status == http.StatusTooManyRequests || failure.status == http.StatusRequestTimeout:
		// A server error can come from a component of the log that has no record of whether another one appended the
		// record.
		mayHaveTakenEffect := sent && failure.refusal.Ran != model.RanNo && failure.status != http.StatusTooManyRequests
		return ErrLogUnavailable{
			Operation: operation, Stream: stream, MayHaveTakenEffect: mayHaveTakenEffect, Cause: err,
			RateLimited: failure.status == http.StatusTooManyRequests,
		}
	}
	return ErrLogRefused{Operation: operation, Stream: stream, Status: failure.status, Code: failure.refusal.Code, Message: failure.refusal.Message}
}
