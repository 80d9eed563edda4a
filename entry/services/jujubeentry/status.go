package jujubeentry

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubecore"
)

// Status returns the status of the instance for operators.
func (s *Service) Status() model.Status {
	s.mu.Lock()
	status := s.core.Status(time.Now())
	s.mu.Unlock()
	s.leaveMu.Lock()
	status.LeavingUntil = s.leaveUntil
	s.leaveMu.Unlock()
	return status
}

// IsReady reports whether the instance serves callers.
func (s *Service) IsReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.IsReady()
}

// DrainEndpoint stops sending new work to an endpoint on all instances or, when ended is true, resumes it.
func (s *Service) DrainEndpoint(id model.EndpointID, ended bool) error {
	s.mu.Lock()
	_, known := s.core.Endpoint(id)
	s.mu.Unlock()
	if !known {
		return jujubeerror.ErrRefused{Code: jujubeerror.CodeNoEndpoint, Ran: model.RanNo, Message: "no endpoint " + string(id)}
	}
	s.apply(jujubecore.EndpointDrained{Endpoint: id, Ended: ended})
	event := jujubeevent.EndpointDrained
	if ended {
		event = jujubeevent.DrainEnded
	}
	s.log.Write(event, func() logrus.Fields { return logrus.Fields{"Endpoint": id} })
	return nil
}

// LiftQuarantine removes a fingerprint from quarantine on all instances.
func (s *Service) LiftQuarantine(fingerprint model.Fingerprint) {
	s.apply(jujubecore.QuarantineLifted{Fingerprint: fingerprint})
	s.log.Write(jujubeevent.QuarantineLifted, func() logrus.Fields {
		// The format in which "jujubectl quarantine list" prints fingerprints.
		return logrus.Fields{"Fingerprint": fmt.Sprintf("0x%016x", uint64(fingerprint))}
	})
}

// SetLogLevel changes the minimum level of log lines.
func (s *Service) SetLogLevel(level string) error {
	if err := s.log.SetLevel(level); err != nil {
		return jujubeerror.ErrRefused{Code: jujubeerror.CodeBadRequest, Ran: model.RanNo, Message: err.Error()}
	}
	s.log.Write(jujubeevent.LogLevelChanged, func() logrus.Fields { return logrus.Fields{"Level": level} })
	return nil
}

// AnnounceWeights handles a trainer's announcement that a new weight version is in the weight store.
func (s *Service) AnnounceWeights(announced model.WeightsAnnounced) error {
	limits, err := s.readLimits()
	if err != nil {
		return err
	}
	trainer, known := limits.Trainers[announced.Trainer]
	switch {
	case !known:
		return jujubeerror.ErrRefused{
			Code: jujubeerror.CodeUnknownTrainer, Ran: model.RanNo, Message: "no trainer " + string(announced.Trainer),
		}
	case trainer.Model != announced.Model || announced.Version <= 0:
		return jujubeerror.ErrRefused{
			Code: jujubeerror.CodeBadRequest, Ran: model.RanNo, Message: "the trainer's model is " + string(trainer.Model) + "; Version must be above zero",
		}
	}
	s.apply(jujubecore.VersionAnnounced{Model: announced.Model, Version: announced.Version})
	s.log.Write(jujubeevent.WeightsAnnounced, func() logrus.Fields {
		return logrus.Fields{"Trainer": announced.Trainer, "Model": announced.Model, "Version": announced.Version}
	})
	return nil
}
