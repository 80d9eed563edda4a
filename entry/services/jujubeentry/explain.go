package jujubeentry

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujuberouter"
)

// ExplainRoute returns what this instance would do with a generation request or a call now, without sending or reserving anything.
func (s *Service) ExplainRoute(request jujuberouter.Request) (model.RouteExplanation, error) {
	limits, err := s.readLimits()
	if err != nil {
		return model.RouteExplanation{}, err
	}
	refuse := func(code, message string) (model.RouteExplanation, error) {
		return model.RouteExplanation{}, jujubeerror.ErrRefused{Code: code, Ran: model.RanNo, Message: message}
	}
	timeout := s.settings.MaxTimeout
	if request.Kind == model.KindEngine {
		if _, known := limits.Models[request.Model]; !known {
			return refuse(jujubeerror.CodeUnknownModel, "no model "+string(request.Model))
		}
	} else {
		service, known := limits.Services[request.Service]
		if !known {
			return refuse(jujubeerror.CodeUnknownService, "no service "+string(request.Service))
		}
		if service.Timeout > 0 {
			timeout = service.Timeout
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	request.Deadline = now.Add(timeout)
	return s.core.ExplainRoute(now, request), nil
}
