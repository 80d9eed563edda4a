package jujubecore

import (
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/services/jujuberouter"
	"jujubepier.example/core/services/jujubestep"
)

func (c *Core) applyPartSubmitted(now time.Time, submitted PartSubmitted) []Action {
	part := submitted.Part
	if c.leaving {
		return []Action{PartAnswered{Err: jujubeerror.ErrRefused{
			Code: jujubeerror.CodeLeaving, Ran: model.RanNo, RetryAfter: time.Millisecond,
			Message: "instance is shutting down; use another address",
		}}}
	}
	accepted, err := c.steps.Submit(now, part)
	if err != nil {
		return []Action{PartAnswered{Err: err}}
	}
	for _, held := range submitted.Held {
		accepted.Resumed += c.steps.Resume(now, held.Streams, held.Endpoint)
	}
	c.steps.ResumeDone(now, part.Key)
	if part.Resubmitted {
		// A part that is submitted for the first time has no former owner to stop. Gossip about it would cost more than all
		// other control traffic: a step has as many parts as there are instances, and each update goes to all of them.
		c.members.Publish(now, attemptUpdate(part.Key, part.Attempt))
	}
	c.applyTrainerVersion(now, part.Key.Trainer, part.Version)
	// The step tables are advanced now instead of at the next tick, because such waits add up in the time of a step.
	return append([]Action{PartAnswered{Accepted: accepted}}, c.tickSteps(now)...)
}

func (c *Core) applyPartPulled(now time.Time, pull model.Pull) []Action {
	c.applyTrainerVersion(now, pull.Key.Trainer, pull.Version)
	delivery, err := c.steps.Pull(now, pull)
	return []Action{PullAnswered{Delivery: delivery, Err: err}}
}

// applyTrainerVersion records the trainer's own version: staleness is counted from it, and its weights are rolled out.
func (c *Core) applyTrainerVersion(now time.Time, trainer model.TrainerID, version model.WeightVersion) {
	limits, known := c.limits.Trainers[trainer]
	if !known {
		return
	}
	c.steps.SetTrainerVersion(now, trainer, version)
	c.announceVersion(now, limits.Model, version, true)
}

func (c *Core) tickSteps(now time.Time) []Action {
	var actions []Action
	for _, action := range c.steps.Tick(now) {
		switch a := action.(type) {
		case jujubestep.StartStream:
			actions = append(actions, c.startStream(now, a)...)
		case jujubestep.CancelStream:
			actions = append(actions, c.stopStream(now, a)...)
		case jujubestep.ScoreSample:
			actions = append(actions, ScoreSample{Stream: a.Stream, Scorer: a.Scorer, Prompt: a.Prompt})
		case jujubestep.ForgetStream:
			actions = append(actions, ForgetStream{Stream: a.Stream})
		case jujubestep.ReportDiscarded:
			actions = append(actions, SampleDiscarded{Stream: a.Stream, Cause: string(a.Cause), Tokens: a.Tokens})
		}
	}
	return actions
}

func (c *Core) startStream(now time.Time, start jujubestep.StartStream) []Action {
	spec := jujuberouter.Request{
		ID: model.RequestID(start.Stream), Kind: model.KindEngine, Model: start.Model, Trainer: start.Part.Trainer,
		Priority: model.PriorityTrainer, Arrived: now, Deadline: start.Deadline, Prefix: model.HashPrefix(start.Prompt),
		Tokens: start.MaxTokens, MinVersion: c.minVersion(start), PreferVersion: start.PreferVersion,
		Exclude:     start.Avoid,
		Fingerprint: model.NewFingerprint("generate", string(start.Model), start.Prompt),
	}
	if start.Endpoint != "" {
		spec.Only, spec.Held = []model.EndpointID{start.Endpoint}, start.Resume
	}
	return c.admitRequest(now, requestState{spec: spec, fingerprint: spec.Fingerprint, owed: true, stream: &start})
}

// applyStreamDecision passes the routing decision of a stream to the step tables and to the adapter.
func (c *Core) applyStreamDecision(now time.Time, request requestState, decision jujuberouter.Decision) []Action {
	start := request.stream
	switch decision.Kind {
	case jujuberouter.Dispatch:
		c.steps.HandleStreamStart(now, start.Stream, decision.Endpoint)
		return []Action{RunStream{
			Stream: start.Stream, Model: request.spec.Model, Prompt: start.Prompt, MaxTokens: start.MaxTokens,
			Endpoint: decision.Endpoint, Address: decision.Address, Deadline: start.Deadline, Resume: start.Resume,
			Decision: decision,
		}}
	case jujuberouter.Refuse:
		c.steps.HandleStreamEnd(now, start.Stream, jujubestep.StreamEnd{
			Kind: jujubestep.EndRefused, Code: decision.Code, RetryAfter: decision.RetryAfter,
		})
	}
	return []Action{RouteDecided{Decision: decision}}
}

func (c *Core) stopStream(now time.Time, cancel jujubestep.CancelStream) []Action {
	actions := c.applyRequestCancelled(now, model.RequestID(cancel.Stream))
	if cancel.Endpoint == "" {
		return actions
	}
	endpoint, _ := c.endpoints.Get(cancel.Endpoint)
	return append(actions, StopStream{
		Stream: cancel.Stream, Address: endpoint.info.Address, Cause: string(cancel.Cause), Detach: cancel.Detach,
	})
}

// minVersion returns the lowest weight version that an engine of the stream may serve. If the trainer's next step is expected
// before the sample is pulled and an engine serves the preferred version, one newer than needed, then that version is required,
// so that the sample is still within the staleness bound after that step.
func (c *Core) minVersion(start jujubestep.StartStream) model.WeightVersion {
	if start.RequirePreferred && start.PreferVersion > start.MinVersion && c.router.HasVersion(start.Model, start.PreferVersion) {
		return start.PreferVersion
	}
	return start.MinVersion
}

func (c *Core) applyStreamEnded(now time.Time, ended StreamEnded) []Action {
	end := jujubestep.StreamEnd{Tokens: ended.Tokens, Code: ended.Code, RetryAfter: ended.RetryAfter}
	switch {
	case ended.OK:
		end.Kind = jujubestep.EndFinished
	case ended.Broken:
		end.Kind = jujubestep.EndLost
	case ended.Code != "":
		end.Kind = jujubestep.EndRefused
	default:
		end.Kind = jujubestep.EndFailed
	}
	c.steps.HandleStreamEnd(now, ended.Stream, end)
	actions := c.finishRequest(now, model.RequestID(ended.Stream), jujuberouter.Outcome{
		OK: ended.OK, Failed: ended.Broken, Tokens: ended.Tokens, Load: ended.Load,
	}, ended.OK)
	if ended.OK {
		// The sample is scored without waiting for the next tick.
		actions = append(actions, c.tickSteps(now)...)
	}
	return actions
}

func (c *Core) applySampleScored(now time.Time, scored SampleScored) {
	var err error
	if scored.Failed {
		err = jujubeerror.ErrRefused{Code: jujubeerror.CodeEndpointFailed, Ran: model.RanUnknown, Message: "scorer failed"}
	}
	c.steps.HandleSampleScore(now, scored.Stream, scored.Score, err)
}
