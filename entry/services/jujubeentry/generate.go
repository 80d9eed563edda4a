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

// generation is the state of a caller's generation request across all of its attempts.
type generation struct {
	request  model.GenerateRequest
	deadline time.Time
	// text holds tokens [0, tokens) of the result, which several engines may have produced.
	text   strings.Builder
	tokens int
	labels []model.Label
	// software is the version of the engines that generated the text; empty if it is unknown.
	software model.SoftwareVersion
	// exclude lists the endpoints that failed and must not be tried again.
	exclude    []model.EndpointID
	dispatched bool
	// sink writes a chunk to the caller; sinkError is its first error.
	sink      func(model.Chunk) error
	sinkError error
}

// Generate serves a caller's generation request. sink receives the chunks in order and without gaps; it may be nil.
func (s *Service) Generate(ctx context.Context, request model.GenerateRequest, sink func(model.Chunk) error) (model.GenerateResult, error) {
	timeout, err := s.checkGenerate(request)
	if err != nil {
		return model.GenerateResult{}, err
	}
	done, err := s.admit(timeout)
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
			return model.GenerateResult{}, correctRan(err, g.dispatched)
		}
	}
}

// checkGenerate validates a request and returns its timeout.
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
	content := model.NewFingerprint(string(request.Model), request.Prompt)
	if !s.recent.checkAndRecord(time.Now(), string(request.Caller)+"/"+string(request.ID), content) {
		return 0, jujubeerror.ErrRefused{
			Code: jujubeerror.CodeConflict, Ran: model.RanUnknown, Message: "the id was used for a request with another content",
		}
	}
	if timeout == 0 {
		timeout = s.settings.MaxTimeout
	}
	return timeout, nil
}

// attemptGeneration runs the remainder of a generation on one endpoint. When another endpoint should be tried, it returns
// false and no error.
func (s *Service) attemptGeneration(ctx context.Context, g *generation, attempt int) (finished bool, err error) {
	if g.tokens > 0 && g.software == "" && !s.restartText(g, "its software version is unknown") {
		return false, errTextUnfinished()
	}
	decision, err := s.route(ctx, s.newArrival(g, attempt))
	if err != nil && g.tokens > 0 && s.restartText(g, err.Error()) {
		decision, err = s.route(ctx, s.newArrival(g, attempt))
	}
	if err != nil {
		return false, err
	}
	if g.tokens == 0 {
		g.software = decision.SoftwareVersion
	}
	attemptCtx, release := s.registerAttempt(ctx, decision.Request)
	done, err := s.readGeneration(attemptCtx, g, decision)
	aborted := attemptCtx.Err() != nil
	release()
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
	return false, s.retryOrFail(ctx, g, decision, attempt, err)
}

// retryOrFail handles a failed attempt. It returns the error for the caller, or nil after it has excluded the endpoint when
// another one should be tried.
func (s *Service) retryOrFail(ctx context.Context, g *generation, decision jujuberouter.Decision, attempt int, cause error) error {
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

// restartText drops the text of a request that no engine may continue, and reports whether the request may start anew: it may
// not once the caller has received a part.
func (s *Service) restartText(g *generation, reason string) bool {
	if g.sink != nil {
		return false
	}
	s.log.Write(jujubeevent.GenerationRestarted, func() logrus.Fields {
		return logrus.Fields{"Request": g.request.ID, "Tokens": g.tokens, "SoftwareVersion": g.software, "Reason": reason}
	})
	g.text.Reset()
	g.tokens, g.labels, g.software = 0, nil, ""
	return true
}

// errTextUnfinished is the error of a request whose caller has a part of a text that no engine may continue.
func errTextUnfinished() error {
	return jujubeerror.ErrRefused{
		Code: jujubeerror.CodeEndpointFailed, Ran: model.RanUnknown, RetryAfter: time.Second,
		Message: "no engine of the software version that began the text can continue it",
	}
}

func (s *Service) newArrival(g *generation, attempt int) jujubecore.RequestArrived {
	return jujubecore.RequestArrived{
		ID: s.attempts.next(g.request.Caller, g.request.ID), Kind: model.KindEngine, Model: g.request.Model,
		Caller: g.request.Caller, Priority: g.priority(), Deadline: g.deadline, Prefix: model.HashPrefix(g.request.Prompt),
		Tokens: g.request.MaxTokens - g.tokens, SoftwareVersion: g.software, Exclude: g.exclude, Retry: attempt > 0,
		Fingerprint: model.NewFingerprint("generate", string(g.request.Model), g.request.Prompt),
	}
}

func (g *generation) priority() model.Priority {
	if g.request.Background {
		return model.PriorityBackground
	}
	return model.PriorityInteractive
}

// readGeneration reads the output of one engine. When the connection breaks while the engine still runs, the stream is
// resumed on it. When the request moves to another engine, the text generated so far is appended to the prompt, so that no
// token is lost or repeated.
func (s *Service) readGeneration(ctx context.Context, g *generation, decision jujuberouter.Decision) (model.EngineDone, error) {
	base := g.tokens
	request := model.EngineRequest{
		Stream: model.StreamID(decision.Request), Model: g.request.Model, Prompt: g.request.Prompt + g.text.String(),
		MaxTokens: g.request.MaxTokens - base, Priority: g.priority(),
		Timeout: model.Duration(time.Until(g.deadline)),
	}
	for resumes := 0; ; resumes++ {
		done, err := s.readEngineStream(ctx, decision.Address, request, func(chunk model.Chunk) { g.appendChunk(base, chunk) })
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
		if resumes == maxResumes || !broken.Sent || s.probeLost(ctx, decision.Endpoint) {
			return done, err
		}
		request.Resume, request.ResumeFrom = true, g.tokens-base
	}
}

// registerAttempt returns a context that the core can cancel by the id of the attempt, and a function that releases it.
func (s *Service) registerAttempt(ctx context.Context, id model.RequestID) (context.Context, func()) {
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
		// An unreachable engine ends the stream by itself when its grace period for disconnected streams expires.
		_ = s.engine.CancelStream(ctx, address, stream)
	})
}

// appendChunk appends a chunk whose token indexes are relative to base, and passes it to the sink. A chunk that doesn't
// start at the next token repeats known tokens of a resumed stream and is ignored.
func (g *generation) appendChunk(base int, chunk model.Chunk) {
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
