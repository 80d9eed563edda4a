// Package jujubeoperatorapi implements the HTTP API for operators: health, status, metrics, log level, draining of endpoints
// and the quarantine.
package jujubeoperatorapi

import (
	"net/http"

	"goji.io"
	"goji.io/pat"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/entry/services/jujubeentry"
)

// maxBody bounds the body of an operator's request, in bytes.
const maxBody = 64 << 10

// New returns the handler for the operators' listener.
func New(service *jujubeentry.Service) http.Handler {
	a := &api{service: service}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/metrics"), a.getMetrics)
	mux.HandleFunc(pat.Get("/healthz"), a.getHealth)
	mux.HandleFunc(pat.Get("/readyz"), a.getReady)
	mux.HandleFunc(pat.Get("/v1/status"), a.getStatus)
	mux.HandleFunc(pat.Get("/v1/explain"), a.getExplanation)
	mux.HandleFunc(pat.Put("/v1/log-level"), a.putLogLevel)
	mux.HandleFunc(pat.Post("/v1/drain"), a.postDrain)
	mux.HandleFunc(pat.Get("/v1/quarantine"), a.getQuarantine)
	mux.HandleFunc(pat.Post("/v1/quarantine/lift"), a.postLift)
	return mux
}

type api struct{ service *jujubeentry.Service }

func (a *api) getMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	a.service.WriteMetrics(w)
}

func (*api) getHealth(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

func (a *api) getReady(w http.ResponseWriter, _ *http.Request) {
	if a.service.IsReady() {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (a *api) getStatus(w http.ResponseWriter, _ *http.Request) {
	jujubehttp.WriteJSON(w, http.StatusOK, a.service.Status())
}

func (a *api) getQuarantine(w http.ResponseWriter, _ *http.Request) {
	jujubehttp.WriteJSON(w, http.StatusOK, a.service.Status().Quarantine)
}

func (a *api) putLogLevel(w http.ResponseWriter, r *http.Request) {
	var request model.LogLevelRequest
	decodeAndRun(w, r, &request, func() error { return a.service.SetLogLevel(request.Level) })
}

func (a *api) postDrain(w http.ResponseWriter, r *http.Request) {
	var request model.DrainRequest
	decodeAndRun(w, r, &request, func() error { return a.service.DrainEndpoint(request.Endpoint, request.Ended) })
}

func (a *api) postLift(w http.ResponseWriter, r *http.Request) {
	var request model.LiftRequest
	decodeAndRun(w, r, &request, func() error {
		a.service.LiftQuarantine(request.Fingerprint)
		return nil
	})
}

// decodeAndRun decodes the body into request, calls work and responds without a body.
func decodeAndRun(w http.ResponseWriter, r *http.Request, request any, work func() error) {
	err := jujubehttp.DecodeBody(w, r, maxBody, request)
	if err == nil {
		err = work()
	}
	if err != nil {
		jujubehttp.WriteRefusal(w, err, nil)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
