package jujubecallerapi

import (
	"net/http"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubehttp"
)

func (a *api) getAddresses(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	response, err := a.service.Addresses(model.CallerID(query.Get("Caller")), model.DataCentre(query.Get("DataCentre")))
	if err != nil {
		a.refuse(w, err)
		return
	}
	jujubehttp.WriteJSON(w, http.StatusOK, response)
}

func (a *api) postGenerate(w http.ResponseWriter, r *http.Request) {
	defer a.observe(time.Now())
	var request model.GenerateRequest
	if err := jujubehttp.DecodeBody(w, r, a.maxBody, &request); err != nil {
		a.refuse(w, err)
		return
	}
	if !request.Stream {
		result, err := a.service.Generate(r.Context(), request, nil)
		if err != nil {
			a.refuse(w, err)
			return
		}
		jujubehttp.WriteJSON(w, http.StatusOK, result)
		return
	}
	a.streamGenerate(w, r, request)
}

// streamGenerate sends chunks as server-sent events. An error after the first event is sent as an event named "refusal".
func (a *api) streamGenerate(w http.ResponseWriter, r *http.Request, request model.GenerateRequest) {
	events := jujubehttp.NewEventWriter(w)
	result, err := a.service.Generate(r.Context(), request, func(chunk model.Chunk) error {
		return events.Write("chunk", chunk)
	})
	switch {
	case err == nil:
		result.Text = ""
		// The write fails only when the caller has disconnected.
		_ = events.Write("done", result)
	case events.Started():
		refused, _ := jujubeerror.IsErrRefused(err)
		_ = events.Write("refusal", model.Refusal{
			Code: refused.Code, Ran: model.RanUnknown, Message: err.Error(), RetryAfter: model.Duration(refused.RetryAfter),
		})
	default:
		a.refuse(w, err)
	}
}

func (a *api) notFound(w http.ResponseWriter, r *http.Request) {
	jujubehttp.WriteRefusal(w, jujubeerror.ErrRefused{
		Code: jujubeerror.CodeBadRequest, Ran: model.RanNo, Message: "no such path or method: " + r.Method + " " + r.URL.Path,
	}, nil)
}
