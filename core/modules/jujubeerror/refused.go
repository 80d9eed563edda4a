// Package jujubeerror defines the error that callers receive as a refusal.
package jujubeerror

import (
	"errors"
	"fmt"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Codes of refusals. docs/errors.md describes what each means for the caller.
const (
	CodeBadRequest     = "BadRequest"
	CodeTooLarge       = "TooLarge"
	CodeUnknownTrainer = "UnknownTrainer"
	CodeUnknownModel   = "UnknownModel"
	CodeUnknownService = "UnknownService"
	CodeUnknownPart    = "UnknownPart"
	CodeNoEndpoint     = "NoEndpoint"
	CodeOverloaded     = "Overloaded"
	CodeDeadline       = "DeadlineExceeded"
	CodeLeaving        = "Leaving"
	CodeNotReady       = "NotReady"
	CodeQuarantined    = "Quarantined"
	CodeKeyRequired    = "KeyRequired"
	CodeKeyExpired     = "KeyExpired"
	CodeKeyConflict    = "KeyConflict"
	CodeKeyOwnerGone   = "KeyOwnerGone"
	CodeInProgress     = "InProgress"
	CodeStaleAttempt   = "StaleAttempt"
	CodeCursorAhead    = "CursorAhead"
	CodeEndpointFailed = "EndpointFailed"
	CodeRetryExhausted = "RetryExhausted"
	CodeConflict       = "Conflict"
	CodeInternal       = "Internal"
	CodeStoreFailed    = "StoreFailed"
)

// ErrRefused is an unsuccessful response to a caller.
type ErrRefused struct {
	// Code is one of the Code constants.
	Code string
	// Ran is RanNo only if no byte of the request can have reached an endpoint.
	Ran model.Ran
	// RetryAfter is the delay before the caller may retry; zero means that a retry won't succeed.
	RetryAfter time.Duration
	Message    string
}

// Error returns the code, the message and whether the request ran.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", e.Code, e.Message, e.Ran)
}

// IsErrRefused returns the ErrRefused in the chain of an error, and whether there is one.
func IsErrRefused(err error) (ErrRefused, bool) {
	var refused ErrRefused
	ok := errors.As(err, &refused)
	return refused, ok
}
