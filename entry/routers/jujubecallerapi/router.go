// Package jujubecallerapi implements the HTTP API for callers and trainers.
package jujubecallerapi

import (
	"net/http"
	"time"

	"goji.io"
	"goji.io/pat"

	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/entry/services/jujubeentry"
)

// New returns the handler for the callers' listener. maxBody bounds the size of a request's body in bytes.
func New(service *jujubeentry.Service, maxBody int64) http.Handler {
	a := &api{service: service, maxBody: maxBody}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/addresses"), a.getAddresses)
	mux.HandleFunc(pat.Post("/v1/generate"), a.postGenerate)
	mux.HandleFunc(pat.Post("/v1/steps"), a.postStep)
	mux.HandleFunc(pat.Post("/v1/steps/pull"), a.postPull)
	mux.HandleFunc(pat.Post("/v1/weights"), a.postWeights)
	mux.HandleFunc(pat.New("/v1/services/:service/*"), a.callService)
	mux.HandleFunc(pat.New("/*"), a.notFound)
	return mux
}

type api struct {
	service *jujubeentry.Service
	maxBody int64
}

// refuse writes an error response. It includes addresses of other instances when this instance is leaving or the owner of an
// idempotency key is unavailable.
func (a *api) refuse(w http.ResponseWriter, err error) {
	refused, ok := jujubeerror.IsErrRefused(err)
	if ok && (refused.Code == jujubeerror.CodeLeaving || refused.Code == jujubeerror.CodeKeyOwnerGone) {
		response, _ := a.service.Addresses("", "")
		jujubehttp.WriteRefusal(w, err, response.Addresses)
		return
	}
	jujubehttp.WriteRefusal(w, err, nil)
}

func (a *api) observe(started time.Time) { a.service.ObserveRequest(started) }
