// Package jujubehttp holds the HTTP plumbing that servers and clients share: bounded JSON bodies, refusals and
// server-sent events.
package jujubehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// MaxAnswerBytes bounds the body of an answer that a client reads: a pull of many long samples is the largest.
const MaxAnswerBytes = 256 << 20

// ErrStatus is an answer with a status that isn't a success and a body that isn't a Refusal.
type ErrStatus struct {
	Status int
	Body   string
	// RetryAfter is from the Retry-After header; zero when there was none.
	RetryAfter time.Duration
}

// Error gives the status and the start of the body.
func (e ErrStatus) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Body
}

// DecodeBody reads one JSON value of at most limit bytes and refuses unknown fields and trailing data.
func DecodeBody(w http.ResponseWriter, r *http.Request, limit int64, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	if err == nil {
		// Not decoder.More, which takes an error such as a body above the limit for the end.
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("data after the JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return jujubeerror.ErrRefused{
			Code: jujubeerror.CodeTooLarge, Ran: model.RanNo,
			Message: "body is larger than " + strconv.FormatInt(limit, 10) + " bytes",
		}
	}
	return jujubeerror.ErrRefused{Code: jujubeerror.CodeBadRequest, Ran: model.RanNo, Message: "body: " + err.Error()}
}

// WriteJSON writes a value with a status. An error of the connection is left to the server.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}

// WriteRefusal writes an error as a Refusal, with other addresses when the caller should go elsewhere.
func WriteRefusal(w http.ResponseWriter, err error, addresses []model.EntryAddress) {
	refused, ok := jujubeerror.IsErrRefused(err)
	if !ok {
		refused = jujubeerror.ErrRefused{Code: jujubeerror.CodeInternal, Ran: model.RanUnknown, Message: err.Error()}
	}
	w.Header().Set(model.HeaderRan, string(refused.Ran))
	if refused.RetryAfter > 0 {
		seconds := int64(math.Ceil(refused.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	WriteJSON(w, refusalStatus(refused.Code), model.Refusal{
		Code: refused.Code, Ran: refused.Ran, Message: refused.Message,
		RetryAfter: model.Duration(refused.RetryAfter), Addresses: addresses,
	})
}

func refusalStatus(code string) int {
	switch code {
	case jujubeerror.CodeBadRequest, jujubeerror.CodeKeyRequired, jujubeerror.CodeCursorAhead:
		return http.StatusBadRequest
	case jujubeerror.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case jujubeerror.CodeUnknownTrainer, jujubeerror.CodeUnknownModel, jujubeerror.CodeUnknownService,
		jujubeerror.CodeUnknownPart:
		return http.StatusNotFound
	case jujubeerror.CodeKeyConflict, jujubeerror.CodeStaleAttempt, jujubeerror.CodeConflict,
		jujubeerror.CodeInProgress, jujubeerror.CodeKeyExpired, jujubeerror.CodeKeyOwnerGone:
		return http.StatusConflict
	case jujubeerror.CodeOverloaded, jujubeerror.CodeRetryExhausted:
		return http.StatusTooManyRequests
	case jujubeerror.CodeDeadline:
		return http.StatusGatewayTimeout
	case jujubeerror.CodeQuarantined:
		return http.StatusUnprocessableEntity
	case jujubeerror.CodeEndpointFailed:
		return http.StatusBadGateway
	case jujubeerror.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// Call sends a JSON request and decodes the JSON answer. An answer that isn't a success becomes an ErrRefused when its
// body is a Refusal, and an ErrStatus otherwise. body and answer may be nil.
func Call(ctx context.Context, client *http.Client, method, url string, body, answer any) error {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer closeBody(response)
	if response.StatusCode/100 != 2 {
		return AnswerError(response)
	}
	if answer == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(response.Body, MaxAnswerBytes)).Decode(answer)
	return errors.Wrap(err, "decode answer")
}

// closeBody reads a small rest of the body so that the connection can be used again.
func closeBody(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
	_ = response.Body.Close()
}

// AnswerError turns an answer that isn't a success into an error.
func AnswerError(response *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	var refusal model.Refusal
	if json.Unmarshal(data, &refusal) == nil && refusal.Code != "" && refusal.Ran != "" {
		return errors.WithStack(jujubeerror.ErrRefused{
			Code: refusal.Code, Ran: refusal.Ran, RetryAfter: refusal.RetryAfter.Std(), Message: refusal.Message,
		})
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	const shown = 300
	if len(data) > shown {
		data = data[:shown]
	}
	return errors.WithStack(ErrStatus{
		Status: response.StatusCode, Body: string(data), RetryAfter: time.Duration(seconds) * time.Second,
	})
}
