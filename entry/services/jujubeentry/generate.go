package jujubeentry

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/services/jujubecore"
	"jujubepier.example/core/services/jujuberouter"
)

// generation is one caller's request while it runs, over all its attempts.
type generation struct {
	request  model.GenerateRequest
	deadline time.Time
	// text holds tokens [0, tokens) of the answer, whichever engines produced them.
	text   strings.Builder
	tokens int
	labels []model.Label
	// exclude lists the endpoints that failed.
	exclude    []model.EndpointID
	dispatched bool
	sink       func(model.Chunk) error
	sinkError  error
}

// Generate serves a caller's generation. sink gets the chunks in order and without gaps; it may be nil.
func (s *Service) Generate(ctx context.Context, request model.GenerateRequest, sink func(model.Chunk) error) (model.GenerateResult, error) {
	timeout, err := s.checkGenerate(request)
	if err != nil {
		return model.GenerateResult{}, err
	}
	done, err := s.admit()
	if err != nil {
		return model.GenerateResult{}, err
	}
	defer done()
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	g := &generation{request: request, deadline: deadline, sink: sink}
	for attempt := 0; ; attempt++ {
		finished, err := s.attemptGeneration(ctx, g, attempt)
		if finished {
			return model.GenerateResult{ID: request.ID, Text: g.text.String(), Tokens: g.tokens, Labels: g.labels}, nil
		}
		if err != nil {
			return model.GenerateResult{}, afterDispatch(err, g.dispatched)
		}
	}
}

func (s *Service) checkGenerate(request model.GenerateRequest) (time.Duration, error) {
	refuse := func(message string) (time.Duration, error) {
		return 0, jujubeerror.ErrRefused{Code: jujubeerror.CodeBadRequest, Ran: model.RanNo, Message: message}
	}
	timeout := request.Timeout.Std()
	switch {
	case request.ID == "" || request.Caller == "":
		return refuse("ID and Caller must be set")
	case request.MaxTokens <= 0:
		return refuse("MaxTokens must be above zero")
	case timeout < 0:
		return 0, jujubeerror.ErrRefused{Code: jujubeerror.CodeDeadline, Ran: model.RanNo, Message: "Timeout has already passed"}
	case timeout > s.settings.MaxTimeout:
		return refuse("Timeout is above " + s.settings.MaxTimeout.String())
	}
	limits, err := s.readLimits()
	if err != nil {
		return 0, err
	}
	if _, known := limits.Models[request.Model]; !known {
		return 0, jujubeerror.ErrRefused{Code: jujubeerror.CodeUnknownModel, Ran: model.RanNo, Message: "no model " + string(request.Model)}
	}
	body := model.NewFingerprint(string(request.Model), request.Prompt)
	if !s.recent.record(time.Now(), string(request.Caller)+"/"+string(request.ID), body) {
		return 0, jujubeerror.ErrRefused{
			Code: jujubeerror.CodeConflict, Ran: model.RanUnknown, Message: "the id was used for a request with another content",
		}
	}
	if timeout == 0 {
		timeout = s.settings.MaxTimeout
	}
	return timeout, nil
}

// attemptGeneration runs the rest of a generation on one endpoint. It returns neither finished nor an error when the
// next endpoint should be tried.
func (s *Service) attemptGeneration(ctx context.Context, g *generation, attempt int) (finished bool, err error) {
	decision, err := s.route(ctx, s.arrival(g, attempt))
	if err != nil {
		return false, err
	}
	attemptContext, endAttempt := s.beginAttempt(ctx, decision.Request)
	done, err := s.readGeneration(attemptContext, g, decision)
	aborted := attemptContext.Err() != nil
	endAttempt()
	ended := jujubecore.RequestEnded{ID: decision.Request, OK: err == nil, Tokens: g.tokens}
	if err == nil {
		load := done.Load
		ended.Load = &load
		s.apply(ended)
		return true, nil
	}
	var refused jujubeclient.ErrEngine
	var broken jujubeclient.ErrStreamBroken
	switch {
	case errors.As(err, &refused):
		ended.Refused = true
	case errors.As(err, &broken):
		ended.Broken, ended.Refused = broken.Sent && !aborted, !broken.Sent
		g.dispatched = g.dispatched || broken.Sent
	}
	s.apply(ended)
	return false, s.nextAttempt(ctx, g, decision, attempt, err)
}

// nextAttempt returns the final error, or nil when another endpoint should be tried.
func (s *Service) nextAttempt(ctx context.Context, g *generation, decision jujuberouter.Decision, attempt int, cause error) error {
	s.log.Write(jujubeevent.RequestFailed, func() logrus.Fields {
		return logrus.Fields{"Request": decision.Request, "Endpoint": decision.Endpoint, "Error": cause.Error()}
	})
	switch {
	case g.sinkError != nil:
		return errors.Wrap(g.sinkError, "caller's connection")
	case ctx.Err() != nil:
		return jujubeerror.ErrRefused{Code: jujubeerror.CodeDeadline, Ran: model.RanUnknown, Message: "deadline passed"}
	case attempt+1 >= maxAttempts:
		return jujubeerror.ErrRefused{
			Code: jujubeerror.CodeEndpointFailed, Ran: model.RanUnknown, RetryAfter: time.Second,
			Message: "endpoints failed: " + cause.Error(),
		}
	}
	g.exclude = append(g.exclude, decision.Endpoint)
	s.log.Write(jujubeevent.RequestRetried, func() logrus.Fields {
		return logrus.Fields{"Request": decision.Request, "Attempt": attempt + 1, "FromToken": g.tokens}
	})
	return nil
}

func (s *Service) arrival(g *generation, attempt int) jujubecore.RequestArrived {
	return jujubecore.RequestArrived{
		ID: s.attempts.next(g.request.Caller, g.request.ID), Kind: model.KindEngine, Model: g.request.Model,
		Caller: g.request.Caller, Priority: g.priority(), Deadline: g.deadline, Prefix: model.HashPrefix(g.request.Prompt),
		Tokens: g.request.MaxTokens - g.tokens, Exclude: g.exclude, Retry: attempt > 0,
		Fingerprint: model.NewFingerprint("generate", string(g.request.Model), g.request.Prompt),
	}
}

func (g *generation) priority() model.Priority {
	if g.request.Background {
		return model.PriorityBackground
	}
	return model.PriorityInteractive
}

// readGeneration reads the answer from one engine. When the connection breaks and the engine still runs, the stream is
// continued there; on another engine the text so far becomes part of the prompt, so that no token is lost or repeated.
func (s *Service) readGeneration(ctx context.Context, g *generation, decision jujuberouter.Decision) (model.EngineDone, error) {
	base := g.tokens
	request := model.EngineRequest{
		Stream: model.StreamID(decision.Request), Model: g.request.Model, Prompt: g.request.Prompt + g.text.String(),
		MaxTokens: g.request.MaxTokens - base, Priority: g.priority(),
		Timeout: model.Duration(time.Until(g.deadline)),
	}
	for resumes := 0; ; resumes++ {
		done, err := s.generate(ctx, decision.Address, request, func(chunk model.Chunk) { g.take(base, chunk) })
		if g.sinkError != nil {
			s.cancelStream(decision.Address, request.Stream)
			return done, g.sinkError
		}
		var broken jujubeclient.ErrStreamBroken
		if err == nil || !errors.As(err, &broken) {
			return done, err
		}
		if ctx.Err() != nil {
			s.cancelStream(decision.Address, request.Stream)
			return done, err
		}
		if resumes == maxResumes || !broken.Sent || s.isLost(ctx, decision.Endpoint) {
			return done, err
		}
		request.Resume, request.ResumeFrom = true, g.tokens-base
	}
}

// beginAttempt lets the core abort the attempt.
func (s *Service) beginAttempt(ctx context.Context, id model.RequestID) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.aborts[id] = cancel
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.aborts, id)
		s.mu.Unlock()
		cancel()
	}
}

func (s *Service) cancelStream(address string, stream model.StreamID) {
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		// An engine that can't be reached ends the stream when its grace time is over.
		_ = s.engine.Cancel(ctx, address, stream)
	})
}

// take adds a chunk whose indexes start at base. A chunk that isn't the next one is a repeat of a resumed stream.
func (g *generation) take(base int, chunk model.Chunk) {
	chunk.From += base
	chunk.To += base
	if chunk.From != g.tokens || g.sinkError != nil {
		return
	}
	g.text.WriteString(chunk.Text)
	g.tokens = chunk.To
	last := len(g.labels) - 1
	if last >= 0 && g.labels[last].Version == chunk.Version {
		g.labels[last].To = chunk.To
	} else {
		g.labels = append(g.labels, model.Label{Version: chunk.Version, From: chunk.From, To: chunk.To})
	}
	if g.sink != nil {
		g.sinkError = g.sink(chunk)
	}
}
