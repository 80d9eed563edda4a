package jujubeoperatorapi

import (
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubehttp"
	"jujubepier.example/core/services/jujuberouter"
)

func (a *api) getExplanation(w http.ResponseWriter, r *http.Request) {
	request, err := parseExplained(r.URL.RawQuery)
	if err != nil {
		jujubehttp.WriteRefusal(w, err, nil)
		return
	}
	explanation, err := a.service.ExplainRoute(request)
	if err != nil {
		jujubehttp.WriteRefusal(w, err, nil)
		return
	}
	jujubehttp.WriteJSON(w, http.StatusOK, explanation)
}

// parseExplained returns the request that a query describes. Messages name the parameter but not its value, which may be a prompt.
func parseExplained(query string) (jujuberouter.Request, error) {
	var request jujuberouter.Request
	refuse := func(message string) (jujuberouter.Request, error) {
		return request, jujubeerror.ErrRefused{Code: jujubeerror.CodeBadRequest, Ran: model.RanNo, Message: message}
	}
	values, err := url.ParseQuery(query)
	if err != nil {
		return refuse("the query is malformed")
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if len(values[name]) > 1 {
			return refuse("a parameter is repeated")
		}
		value := values.Get(name)
		var err error
		var number int
		switch name {
		case "Model":
			request.Kind, request.Model = model.KindEngine, model.ModelName(value)
		case "Service":
			request.Service = model.ServiceName(value)
		case "Caller":
			request.Caller = model.CallerID(value)
		case "Prompt":
			request.Prefix = model.HashPrefix(value)
		case "Prefix":
			request.Prefix, err = strconv.ParseUint(value, 0, 64)
		case "Priority":
			number, err = strconv.Atoi(value)
			request.Priority = model.Priority(number)
		case "MaxTokens":
			request.Tokens, err = strconv.Atoi(value)
		default:
			return refuse("unknown parameter; known are Model, Service, Caller, Priority, Prefix, Prompt and MaxTokens")
		}
		if err != nil {
			return refuse(name + " must be a number")
		}
	}
	switch {
	case (request.Model == "") == (request.Service == ""):
		return refuse("either Model or Service must be set")
	case values.Has("Prefix") && values.Has("Prompt"):
		return refuse("only one of Prefix and Prompt may be set")
	case request.Priority < model.PriorityInteractive || request.Priority > model.PriorityBackground:
		return refuse("Priority must be 0 (interactive), 1 (trainer) or 2 (background)")
	case request.Tokens < 0:
		return refuse("MaxTokens must not be negative")
	case request.Service != "":
		request.Kind = model.KindService
	}
	return request, nil
}
