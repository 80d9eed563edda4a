package jujubeentry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubecore"
)

// Bounds of a pull's wait and of the search for streams that engines hold from an earlier attempt.
const (
	maxPullWait        = 30 * time.Second
	searchTimeout      = time.Second
	maxSearchedEngines = 64
)

// SubmitPart accepts a trainer's step part. For a resubmitted part it first looks for streams that engines hold from an
// earlier attempt, so that these are resumed.
func (s *Service) SubmitPart(ctx context.Context, part model.StepPart) (model.StepAccepted, error) {
	done, err := s.admit(part.Timeout.Std())
	if err != nil {
		return model.StepAccepted{}, err
	}
	defer done()
	if _, err := s.readLimits(); err != nil {
		return model.StepAccepted{}, err
	}
	var held []jujubecore.StreamsHeld
	if part.Resubmitted {
		held = s.findHeldStreams(ctx, part.Key)
	}
	s.mu.Lock()
	actions := s.core.Apply(time.Now(), jujubecore.PartSubmitted{Part: part, Held: held})
	s.startActions(actions)
	s.mu.Unlock()
	result, ok := firstAction[jujubecore.PartAnswered](actions)
	if !ok {
		return model.StepAccepted{}, errors.New("no answer to a submitted part")
	}
	event := jujubeevent.PartAccepted
	if result.Err != nil {
		event = jujubeevent.PartRefused
	}
	s.log.Write(event, func() logrus.Fields {
		fields := logrus.Fields{
			"Part": part.Key.String(), "Attempt": part.Attempt, "Groups": len(part.Groups), "Resumed": result.Accepted.Resumed,
		}
		if result.Err != nil {
			fields["Error"] = result.Err.Error()
		}
		return fields
	})
	return result.Accepted, result.Err
}

// findHeldStreams queries up to maxSearchedEngines engines of the trainer's model for the streams of a part that they hold.
func (s *Service) findHeldStreams(ctx context.Context, key model.PartKey) []jujubecore.StreamsHeld {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	s.mu.Lock()
	modelName := s.core.Limits().Trainers[key.Trainer].Model
	var engines []model.Endpoint
	for _, engine := range s.core.PolledEndpoints(time.Now()) {
		if engine.Kind == model.KindEngine && engine.Model == modelName && len(engines) < maxSearchedEngines {
			engines = append(engines, engine.Endpoint)
		}
	}
	s.mu.Unlock()
	reports := make(chan jujubecore.StreamsHeld, len(engines))
	for _, engine := range engines {
		s.spawn(func(context.Context) {
			// The streams of an engine that doesn't respond in time are started again on other engines.
			streams, _ := s.engine.ListStreams(ctx, engine.Address, key.String()+"/")
			reports <- jujubecore.StreamsHeld{Endpoint: engine.ID, Streams: streams}
		})
	}
	var held []jujubecore.StreamsHeld
	for range engines {
		select {
		case result := <-reports:
			if len(result.Streams) > 0 {
				held = append(held, result)
			}
		case <-ctx.Done():
			return held
		}
	}
	return held
}

// PullGroups returns finished groups to a trainer. When there are none, it waits for up to the pull's wait time.
func (s *Service) PullGroups(ctx context.Context, pull model.Pull) (model.Pulled, error) {
	defer s.trackRequest()()
	deadline := time.Now().Add(min(max(pull.Wait.Std(), 0), maxPullWait))
	for {
		pulled, wakeCh, err := s.tryPull(pull)
		if err != nil {
			s.logRefusedPull(pull, err)
			return model.Pulled{}, err
		}
		if len(pulled.Groups) > 0 || pulled.Remaining == 0 || !time.Now().Before(deadline) {
			s.logDelivered(pulled)
			return pulled, nil
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-ctx.Done():
			timer.Stop()
			return model.Pulled{}, jujubeerror.ErrRefused{Code: jujubeerror.CodeDeadline, Ran: model.RanUnknown, Message: "the trainer left"}
		case <-timer.C:
		case <-wakeCh:
			timer.Stop()
		}
	}
}

// tryPull gets the finished groups from the core and adds their texts under the same lock, so that no text is removed in
// between. It also returns the channel that is closed when another pull may find more.
func (s *Service) tryPull(pull model.Pull) (model.Pulled, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.core.Apply(time.Now(), jujubecore.PartPulled{Pull: pull})
	s.startActions(actions)
	result, ok := firstAction[jujubecore.PullAnswered](actions)
	if !ok {
		return model.Pulled{}, nil, errors.New("no answer to a pull")
	}
	if result.Err != nil {
		return model.Pulled{}, nil, result.Err
	}
	pulled := result.Delivery.Pulled
	for _, group := range pulled.Groups {
		for i := range group.Samples {
			text, known := s.streams.text(group.Samples[i].Stream)
			if !known {
				return model.Pulled{}, nil, errors.Errorf("text of stream %s is missing", group.Samples[i].Stream)
			}
			group.Samples[i].Text = text
		}
	}
	return pulled, s.wakeCh, nil
}

func (s *Service) logDelivered(pulled model.Pulled) {
	if len(pulled.Groups) == 0 {
		return
	}
	s.metrics.delivered.Add(countSamples(pulled))
	s.log.Write(jujubeevent.GroupsDelivered, func() logrus.Fields {
		return logrus.Fields{
			"Part": pulled.Key.String(), "Attempt": pulled.Attempt, "Cursor": pulled.Cursor, "Groups": len(pulled.Groups),
			"Samples": countSamples(pulled), "Remaining": pulled.Remaining,
		}
	})
}

func countSamples(pulled model.Pulled) int {
	count := 0
	for _, group := range pulled.Groups {
		count += len(group.Samples)
	}
	return count
}

func (s *Service) logRefusedPull(pull model.Pull, err error) {
	s.log.Write(jujubeevent.PartRefused, func() logrus.Fields {
		return logrus.Fields{"Part": pull.Key.String(), "Attempt": pull.Attempt, "Cursor": pull.Cursor, "Error": err.Error()}
	})
}

// scoreSample sends a finished sample to its scorer and reports the score to the core.
func (s *Service) scoreSample(ctx context.Context, action jujubecore.ScoreSample) {
	s.mu.Lock()
	text, known := s.streams.text(action.Stream)
	s.mu.Unlock()
	if !known {
		return
	}
	request := model.ScoreRequest{Sample: action.Stream, Prompt: action.Prompt, Text: text}
	result, err := s.callScorer(ctx, action.Scorer, request)
	s.apply(jujubecore.SampleScored{Stream: action.Stream, Score: result.Score, Failed: err != nil})
}

func (s *Service) callScorer(ctx context.Context, scorer model.ServiceName, request model.ScoreRequest) (model.ScoreResult, error) {
	const scoreTimeout = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	decision, err := s.route(ctx, jujubecore.RequestArrived{
		ID: s.attempts.next("scorer", model.RequestID(request.Sample)), Kind: model.KindScorer, Service: scorer,
		Priority: model.PriorityTrainer, Deadline: deadline,
		Fingerprint: model.NewFingerprint("score", request.Prompt, request.Text), Owed: true,
	})
	if err != nil {
		return model.ScoreResult{}, err
	}
	result, err := s.engine.Score(ctx, decision.Address, request)
	if err != nil {
		s.probeLost(ctx, decision.Endpoint)
	}
	s.apply(jujubecore.RequestEnded{ID: decision.Request, OK: err == nil, Broken: err != nil})
	return result, err
}
