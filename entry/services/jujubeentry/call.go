package jujubeentry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/modules/jujubememory"
	"jujubepier.example/core/services/jujubecore"
)

const (
	// bodyWait and responseWait bound how long the body of a call, or of its response, waits for memory.
	bodyWait     = 500 * time.Millisecond
	responseWait = 100 * time.Millisecond
	// noMemoryRetryAfter is the retry delay of a call without memory for its body.
	noMemoryRetryAfter = time.Second
)

// RelieveBodies sets what is called when there is no memory for bodies. It is called before the first request.
func (s *Service) RelieveBodies(relieve func()) { s.bodies.Relieve = relieve }

// ReadBody reads the body of a call. It returns an ErrRefused for one that is too large or finds no memory.
func (s *Service) ReadBody(ctx context.Context, body io.Reader, length int64) ([]byte, error) {
	data, err := s.bodies.ReadAll(ctx, jujubememory.Body{
		Reader: body, Length: length, IsTrusted: true, Limit: int(s.settings.MaxBodyBytes), Wait: bodyWait,
	})
	var tooLarge jujubememory.ErrTooLarge
	switch {
	case err == nil:
		return data, nil
	case errors.As(err, &tooLarge):
		return nil, jujubeerror.ErrRefused{
			Code: jujubeerror.CodeTooLarge, Ran: model.RanNo, Message: "body is larger than " + strconv.Itoa(tooLarge.Limit) + " bytes",
		}
	case errors.As(err, new(jujubememory.ErrExhausted)):
		return nil, jujubeerror.ErrRefused{
			Code: jujubeerror.CodeOverloaded, Ran: model.RanNo, RetryAfter: noMemoryRetryAfter, Message: "no memory for the body",
		}
	}
	return nil, jujubeerror.ErrRefused{Code: jujubeerror.CodeBadRequest, Ran: model.RanNo, Message: "body: " + err.Error()}
}

// Call is a request to a plain service.
type Call struct {
	ID      model.RequestID
	Caller  model.CallerID
	Service model.ServiceName
	Method  string
	// Path starts with a slash and includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// Timeout is the remaining time for the whole call, including retries.
	Timeout time.Duration
	// Marked is true when the caller marked the call as non-idempotent, whatever its method.
	Marked bool
	Key    model.IdempotencyKey
	// Forwarded is true when another instance forwarded the call to this one.
	Forwarded bool
}

// CallAnswer is the complete response of a plain service.
type CallAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Repeated is true when this is the stored response of an earlier call with the same key.
	Repeated bool
}

func (a CallAnswer) isSuccess() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices
}

// CallService routes a call to a server of a plain service. Idempotent calls are retried on other servers when one fails;
// non-idempotent calls run at most once.
func (s *Service) CallService(ctx context.Context, call Call) (CallAnswer, error) {
	limits, err := s.checkCall(&call)
	if err != nil {
		return CallAnswer{}, err
	}
	if call.Marked || slices.Contains(limits.NonIdempotentMethods, call.Method) {
		return s.callAtMostOnce(ctx, call)
	}
	done, err := s.admit(call.Timeout)
	if err != nil {
		return CallAnswer{}, err
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	var exclude []model.EndpointID
	for attempt := 0; ; attempt++ {
		result, endpoint, sent, err := s.attemptCall(ctx, call, exclude, attempt > 0)
		if err == nil {
			return result, nil
		}
		if endpoint == "" || attempt+1 >= maxAttempts || ctx.Err() != nil {
			return CallAnswer{}, correctRan(err, sent || len(exclude) > 0)
		}
		exclude = append(exclude, endpoint)
	}
}

// checkCall validates a call. When the caller set no timeout or one above the service's, it applies the service's timeout,
// or MaxTimeout when the service has none.
func (s *Service) checkCall(call *Call) (model.ServiceLimits, error) {
	allLimits, err := s.readLimits()
	if err != nil {
		return model.ServiceLimits{}, err
	}
	limits, exists := allLimits.Services[call.Service]
	if !exists {
		return limits, jujubeerror.ErrRefused{
			Code: jujubeerror.CodeUnknownService, Ran: model.RanNo, Message: "no service " + string(call.Service),
		}
	}
	if call.Timeout < 0 {
		return limits, jujubeerror.ErrRefused{Code: jujubeerror.CodeDeadline, Ran: model.RanNo, Message: "the timeout has already passed"}
	}
	if call.Timeout == 0 || (limits.Timeout > 0 && call.Timeout > limits.Timeout) {
		call.Timeout = limits.Timeout
	}
	if call.Timeout == 0 {
		call.Timeout = s.settings.MaxTimeout
	}
	return limits, nil
}

// attemptCall runs a call on one server. sent is true when at least one byte of the call may have reached the server.
// endpoint is empty when the router refused the call.
func (s *Service) attemptCall(ctx context.Context, call Call, exclude []model.EndpointID, retry bool) (result CallAnswer, endpoint model.EndpointID, sent bool, err error) {
	deadline, _ := ctx.Deadline()
	decision, err := s.route(ctx, jujubecore.RequestArrived{
		ID: s.attempts.next(call.Caller, call.ID), Kind: model.KindService, Service: call.Service, Caller: call.Caller,
		Deadline: deadline, Fingerprint: call.fingerprint(), Exclude: exclude, Retry: retry,
	})
	if err != nil {
		return CallAnswer{}, "", false, err
	}
	result, sent, err = s.sendCall(ctx, decision.Address, call)
	if err != nil && sent {
		s.probeLost(ctx, decision.Endpoint)
	}
	s.apply(jujubecore.RequestEnded{
		ID: decision.Request, OK: err == nil, Failed: err == nil && !result.isSuccess(), Broken: err != nil && ctx.Err() == nil,
	})
	if err == nil {
		return result, decision.Endpoint, true, nil
	}
	s.log.Write(jujubeevent.RequestFailed, func() logrus.Fields {
		return logrus.Fields{"Request": decision.Request, "Endpoint": decision.Endpoint, "Sent": sent, "Error": err.Error()}
	})
	ran := model.RanNo
	if sent {
		ran = model.RanUnknown
	}
	code := jujubeerror.CodeEndpointFailed
	if ctx.Err() != nil {
		code = jujubeerror.CodeDeadline
	}
	return CallAnswer{}, decision.Endpoint, sent, jujubeerror.ErrRefused{Code: code, Ran: ran, RetryAfter: time.Second, Message: err.Error()}
}

func (c Call) fingerprint() model.Fingerprint {
	return model.NewFingerprint("call", string(c.Service), c.Method, c.Path, string(c.Body))
}

// sendCall sends a call to one server and buffers the whole response, so that a caller never receives a partial one. The
// boolean reports whether any byte may have been sent.
func (s *Service) sendCall(ctx context.Context, address string, call Call) (CallAnswer, bool, error) {
	sent := new(atomic.Bool)
	// net/http obtains a connection before it writes, so without a connection nothing was sent.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return CallAnswer{}, false, errors.Wrap(err, "build request")
	}
	request.Header = endToEndHeader(call.Header)
	client := s.engine.HTTP
	if call.Key != "" {
		request.Header.Set(model.HeaderIdempotencyKey, string(call.Key))
		client = s.singleUseClient
	}
	response, err := jujubehttp.SendOnce(client, request)
	if err != nil {
		return CallAnswer{}, sent.Load() && !errors.As(err, new(jujubehttp.ErrUnsent)), errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := s.bodies.ReadAll(ctx, jujubememory.Body{
		Reader: response.Body, Length: response.ContentLength, Limit: int(s.settings.MaxBodyBytes), Wait: responseWait,
	})
	if err != nil {
		return CallAnswer{}, true, errors.Wrap(err, "read answer")
	}
	return CallAnswer{Status: response.StatusCode, Header: endToEndHeader(response.Header), Body: body}, true, nil
}

// endToEndHeader returns a copy without hop-by-hop headers, without Content-Length, which is computed again, and without
// the headers that are meant for this instance.
func endToEndHeader(header http.Header) http.Header {
	filtered := header.Clone()
	if filtered == nil {
		return make(http.Header)
	}
	for _, value := range filtered.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			filtered.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length",
		model.HeaderCaller, model.HeaderTimeout, model.HeaderNonIdempotent,
	} {
		filtered.Del(name)
	}
	return filtered
}
