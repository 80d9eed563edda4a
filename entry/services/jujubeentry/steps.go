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

// Bounds of a pull and of the search for streams of an earlier attempt.
const (
	maxPullWait   = 30 * time.Second
	searchTimeout = time.Second
	maxSearched   = 64
)

// SubmitPart takes a trainer's step part.
func (s *Service) SubmitPart(ctx context.Context, part model.StepPart) (model.StepAccepted, error) {
	done, err := s.admit()
	if err != nil {
		return model.StepAccepted{}, err
	}
	defer done()
	if _, err := s.readLimits(); err != nil {
		return model.StepAccepted{}, err
	}
	var held []jujubecore.StreamsHeld
	if part.Resubmitted {
		held = s.searchStreams(ctx, part.Key)
	}
	s.mu.Lock()
	actions := s.core.Apply(time.Now(), jujubecore.PartSubmitted{Part: part, Held: held})
	s.begin(actions)
	s.mu.Unlock()
	answer, ok := answerOf[jujubecore.PartAnswered](actions)
	if !ok {
		return model.StepAccepted{}, errors.New("no answer to a submitted part")
	}
	number := jujubeevent.PartAccepted
	if answer.Err != nil {
		number = jujubeevent.PartRefused
	}
	s.log.Write(number, func() logrus.Fields {
		fields := logrus.Fields{
			"Part": part.Key.String(), "Attempt": part.Attempt, "Groups": len(part.Groups), "Resumed": answer.Accepted.Resumed,
		}
		if answer.Err != nil {
			fields["Error"] = answer.Err.Error()
		}
		return fields
	})
	return answer.Accepted, answer.Err
}

// searchStreams asks the engines of a trainer's model which streams of a part they hold.
func (s *Service) searchStreams(ctx context.Context, key model.PartKey) []jujubecore.StreamsHeld {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	s.mu.Lock()
	name := s.core.Limits().Trainers[key.Trainer].Model
	var engines []model.Endpoint
	for _, endpoint := range s.core.PolledEndpoints(time.Now()) {
		if endpoint.Kind == model.KindEngine && endpoint.Model == name && len(engines) < maxSearched {
			engines = append(engines, endpoint.Endpoint)
		}
	}
	s.mu.Unlock()
	answers := make(chan jujubecore.StreamsHeld, len(engines))
	for _, endpoint := range engines {
		s.spawn(func(context.Context) {
			// An engine that doesn't answer in time has its streams started again elsewhere.
			streams, _ := s.engine.Streams(ctx, endpoint.Address, key.String()+"/")
			answers <- jujubecore.StreamsHeld{Endpoint: endpoint.ID, Streams: streams}
		})
	}
	var held []jujubecore.StreamsHeld
	for range engines {
		select {
		case answer := <-answers:
			if len(answer.Streams) > 0 {
				held = append(held, answer)
			}
		case <-ctx.Done():
			return held
		}
	}
	return held
}

// PullGroups hands finished groups to a trainer, and waits for some up to the pull's own bound.
func (s *Service) PullGroups(ctx context.Context, pull model.Pull) (model.Pulled, error) {
	defer s.beginServing()()
	until := time.Now().Add(min(max(pull.Wait.Std(), 0), maxPullWait))
	for {
		pulled, wake, err := s.pullOnce(pull)
		if err != nil {
			s.logRefusedPull(pull, err)
			return model.Pulled{}, err
		}
		if len(pulled.Groups) > 0 || pulled.Remaining == 0 || !time.Now().Before(until) {
			s.logDelivered(pulled)
			return pulled, nil
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-ctx.Done():
			timer.Stop()
			return model.Pulled{}, jujubeerror.ErrRefused{Code: jujubeerror.CodeDeadline, Ran: model.RanUnknown, Message: "the trainer left"}
		case <-timer.C:
		case <-wake:
			timer.Stop()
		}
	}
}

// pullOnce asks the core and adds the texts under the same lock, so that none is forgotten in between.
func (s *Service) pullOnce(pull model.Pull) (model.Pulled, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.core.Apply(time.Now(), jujubecore.PartPulled{Pull: pull})
	s.begin(actions)
	answer, ok := answerOf[jujubecore.PullAnswered](actions)
	if !ok {
		return model.Pulled{}, nil, errors.New("no answer to a pull")
	}
	if answer.Err != nil {
		return model.Pulled{}, nil, answer.Err
	}
	pulled := answer.Delivery.Pulled
	for _, group := range pulled.Groups {
		for i := range group.Samples {
			text, known := s.streams.text(group.Samples[i].Stream)
			if !known {
				return model.Pulled{}, nil, errors.Errorf("text of stream %s is missing", group.Samples[i].Stream)
			}
			group.Samples[i].Text = text
		}
	}
	return pulled, s.wake, nil
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

// score has the text of a finished sample scored.
func (s *Service) score(ctx context.Context, score jujubecore.ScoreSample) {
	s.mu.Lock()
	text, known := s.streams.text(score.Stream)
	s.mu.Unlock()
	if !known {
		return
	}
	request := model.ScoreRequest{Sample: score.Stream, Prompt: score.Prompt, Text: text}
	result, err := s.callScorer(ctx, score.Scorer, request)
	s.apply(jujubecore.SampleScored{Stream: score.Stream, Score: result.Score, Failed: err != nil})
}

func (s *Service) callScorer(ctx context.Context, scorer model.ServiceName, request model.ScoreRequest) (model.ScoreResult, error) {
	const scoreTimeout = 30 * time.Second
	ctx, cancel := context.WithTimeout(ctx, scoreTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	decision, err := s.route(ctx, jujubecore.RequestArrived{
		ID: s.attempts.next("scorer", model.RequestID(request.Sample)), Kind: model.KindScorer, Service: scorer,
		Priority: model.PriorityTrainer, Deadline: deadline,
		Fingerprint: model.NewFingerprint("score", request.Prompt, request.Text),
	})
	if err != nil {
		return model.ScoreResult{}, err
	}
	result, err := s.engine.Score(ctx, decision.Address, request)
	if err != nil {
		s.isLost(ctx, decision.Endpoint)
	}
	s.apply(jujubecore.RequestEnded{ID: decision.Request, OK: err == nil, Broken: err != nil})
	return result, err
}
