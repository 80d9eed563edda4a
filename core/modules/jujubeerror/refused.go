// Package jujubeerror defines the refusal that callers see.
package jujubeerror

import (
	"errors"
	"fmt"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
)

// Codes of refusals. docs/errors.md lists each with its meaning for the caller.
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

// ErrRefused is an answer to a caller that isn't a success.
type ErrRefused struct {
	// Code is one of the Code constants.
	Code string
	// Ran is RanNo only when no byte of the request can have reached an endpoint.
	Ran model.Ran
	// RetryAfter is when to come back; zero means that a repeat won't help.
	RetryAfter time.Duration
	Message    string
}

// Error gives the code, the message and whether the request ran.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", e.Code, e.Message, e.Ran)
}

// IsErrRefused returns the refusal in an error's chain.
func IsErrRefused(err error) (ErrRefused, bool) {
	var refused ErrRefused
	ok := errors.As(err, &refused)
	return refused, ok
}
