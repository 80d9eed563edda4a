// Package jujubehttp provides the HTTP functions that servers and clients share: JSON bodies with a size limit, refusals,
// server-sent events and graceful shutdown.
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

const (
	// MaxResponseBytes limits the size of a response body that a client reads. The largest is a pull of many long samples.
	MaxResponseBytes = 256 << 20
	// MaxResponseHeaderBytes limits the size of a response's header.
	MaxResponseHeaderBytes = 64 << 10
)

// ErrStatus is a response with a status other than 2xx whose body isn't a Refusal.
type ErrStatus struct {
	Status int
	Body   string
	// RetryAfter is the value of the Retry-After header, or zero without one.
	RetryAfter time.Duration
}

// Error returns the status and the beginning of the body.
func (e ErrStatus) Error() string {
	return "status " + strconv.Itoa(e.Status) + ": " + e.Body
}

// DecodeBody decodes a request body that holds one JSON value of at most limit bytes. It refuses unknown fields and trailing
// data.
func DecodeBody(w http.ResponseWriter, r *http.Request, limit int64, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	err := decodeWhole(decoder, value)
	if err == nil {
		return nil
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

// decodeWhole decodes a value that has to be followed by the end of the body. A body that breaks off isn't complete, although its value may be.
func decodeWhole(decoder *json.Decoder, value any) error {
	if err := decoder.Decode(value); err != nil {
		return err
	}
	// Not decoder.More: it also returns false for errors, such as a body that exceeds the limit.
	_, err := decoder.Token()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err == nil:
		return errors.New("data after the JSON value")
	}
	return err
}

// DecodeResponse decodes a response's body that holds one JSON value of at most limit bytes.
func DecodeResponse(body io.Reader, limit int64, value any) error {
	return errors.Wrap(decodeWhole(json.NewDecoder(io.LimitReader(body, limit)), value), "decode answer")
}

// WriteJSON writes a status and a JSON value. Connection errors are left to the HTTP server.
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

// WriteRefusal writes an error as a Refusal. addresses lists other instances that the caller should use, if any.
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

// CallJSON sends a JSON request and decodes the JSON response into result. A response other than 2xx is returned as an
// ErrRefused if its body is a Refusal, and as an ErrStatus otherwise. body and result may be nil.
func CallJSON(ctx context.Context, client *http.Client, method, url string, body, result any) error {
	return CallJSONLimited(ctx, client, MaxResponseBytes, method, url, body, result)
}

// CallJSONLimited is CallJSON for a response of at most limit bytes.
func CallJSONLimited(ctx context.Context, client *http.Client, limit int64, method, url string, body, result any) error {
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
	response, err := Do(client, request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer drainAndClose(response)
	if response.StatusCode/100 != 2 {
		return ResponseError(response)
	}
	if result == nil {
		return nil
	}
	return DecodeResponse(response.Body, limit, result)
}

// drainAndClose reads up to 64 KiB of the remaining body, so that the connection can be reused, and closes it.
func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10))
	_ = response.Body.Close()
}

// ResponseError converts a response other than 2xx to an ErrRefused or an ErrStatus. One that breaks off is neither.
func ResponseError(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	if err != nil {
		return errors.Wrapf(err, "read answer of status %d", response.StatusCode)
	}
	var refusal model.Refusal
	if json.Unmarshal(data, &refusal) == nil && refusal.Code != "" && refusal.Ran != "" {
		return errors.WithStack(jujubeerror.ErrRefused{
			Code: refusal.Code, Ran: refusal.Ran, RetryAfter: refusal.RetryAfter.Std(), Message: refusal.Message,
		})
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	const maxShownBytes = 300
	if len(data) > maxShownBytes {
		data = data[:maxShownBytes]
	}
	return errors.WithStack(ErrStatus{
		Status: response.StatusCode, Body: string(data), RetryAfter: time.Duration(seconds) * time.Second,
	})
}
