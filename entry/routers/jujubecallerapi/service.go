package jujubecallerapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"goji.io/pat"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/entry/services/jujubeentry"
)

// servicesPrefix precedes the name of the service in the target of a call.
const servicesPrefix = "/v1/services/"

// callService passes a call to a plain service and writes its complete response.
func (a *api) callService(w http.ResponseWriter, r *http.Request) {
	defer a.observe(time.Now())
	call, err := a.readCall(w, r)
	if err != nil {
		a.refuse(w, err)
		return
	}
	response, err := a.service.CallService(r.Context(), call)
	if err != nil {
		a.refuse(w, err)
		return
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(model.HeaderRan, string(model.RanYes))
	if response.Repeated {
		w.Header().Set(model.HeaderRepeated, "true")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
	// The write fails only when the caller has disconnected. The outcome of a non-idempotent call is stored for its retry.
	_, _ = w.Write(response.Body)
}

// readCall reads and validates the call in a request.
func (a *api) readCall(w http.ResponseWriter, r *http.Request) (jujubeentry.Call, error) {
	refuse := func(code, message string) error {
		return jujubeerror.ErrRefused{Code: code, Ran: model.RanNo, Message: message}
	}
	// One byte more than the limit, so that it is the service that finds the body too large.
	body, err := a.service.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, a.maxBody+1), r.ContentLength)
	if err != nil {
		return jujubeentry.Call{}, err
	}
	var timeout model.Duration
	if text := r.Header.Get(model.HeaderTimeout); text != "" {
		if err := timeout.UnmarshalText([]byte(text)); err != nil {
			return jujubeentry.Call{}, refuse(jujubeerror.CodeBadRequest, model.HeaderTimeout+": "+err.Error())
		}
	}
	marked := r.Header.Get(model.HeaderNonIdempotent)
	if marked != "" && marked != "true" && marked != "false" {
		return jujubeentry.Call{}, refuse(jujubeerror.CodeBadRequest, model.HeaderNonIdempotent+" must be true or false")
	}
	service := pat.Param(r, "service")
	return jujubeentry.Call{
		ID: model.RequestID(uuid.NewString()), Caller: model.CallerID(r.Header.Get(model.HeaderCaller)),
		Service: model.ServiceName(service), Method: r.Method,
		Path:   servicePath(r.URL.RequestURI()),
		Header: r.Header.Clone(), Body: body, Timeout: timeout.Std(), Marked: marked == "true",
		Key: model.IdempotencyKey(r.Header.Get(model.HeaderIdempotencyKey)),
	}, nil
}

// servicePath returns the part of a call's target that follows the service's name, which may be encoded.
func servicePath(target string) string {
	rest := strings.TrimPrefix(target, servicesPrefix)
	if end := strings.IndexByte(rest, '/'); end >= 0 {
		return rest[end:]
	}
	return "/"
}
