package jujubecallerapi

import (
	"net/http"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubehttp"
)

func (a *api) postStep(w http.ResponseWriter, r *http.Request) {
	var part model.StepPart
	if err := jujubehttp.DecodeBody(w, r, a.maxBody, &part); err != nil {
		a.refuse(w, err)
		return
	}
	accepted, err := a.service.SubmitPart(r.Context(), part)
	if err != nil {
		a.refuse(w, err)
		return
	}
	jujubehttp.WriteJSON(w, http.StatusOK, accepted)
}

func (a *api) postPull(w http.ResponseWriter, r *http.Request) {
	var pull model.Pull
	if err := jujubehttp.DecodeBody(w, r, a.maxBody, &pull); err != nil {
		a.refuse(w, err)
		return
	}
	pulled, err := a.service.PullGroups(r.Context(), pull)
	if err != nil {
		a.refuse(w, err)
		return
	}
	jujubehttp.WriteJSON(w, http.StatusOK, pulled)
}

func (a *api) postWeights(w http.ResponseWriter, r *http.Request) {
	var announced model.WeightsAnnounced
	if err := jujubehttp.DecodeBody(w, r, a.maxBody, &announced); err != nil {
		a.refuse(w, err)
		return
	}
	if err := a.service.AnnounceWeights(announced); err != nil {
		a.refuse(w, err)
		return
	}
	jujubehttp.WriteJSON(w, http.StatusOK, announced)
}
