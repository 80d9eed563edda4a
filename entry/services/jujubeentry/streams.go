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
)

// maxResumes bounds how often a broken stream is resumed on the same engine before it is reported as broken.
const maxResumes = 2

// heldStream holds the text received of one stream. Guarded by Service.mu.
type heldStream struct {
	text strings.Builder
	// tokens is the index after the last token in text.
	tokens int
	cancel context.CancelFunc
}

// streamTable holds the streams of step parts. Guarded by Service.mu.
type streamTable struct {
	byID map[model.StreamID]*heldStream
}

func newStreamTable() *streamTable {
	return &streamTable{byID: make(map[model.StreamID]*heldStream)}
}

func (t *streamTable) remove(id model.StreamID) {
	if held, known := t.byID[id]; known {
		held.cancel()
		delete(t.byID, id)
	}
}

func (t *streamTable) text(id model.StreamID) (string, bool) {
	held, known := t.byID[id]
	if !known {
		return "", false
	}
	return held.text.String(), true
}

// HeldStreamCount returns the number of streams of step parts whose text is held.
func (s *Service) HeldStreamCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams.byID)
}

// startStream starts a stream of a step part in the background. The caller holds mu.
func (s *Service) startStream(action jujubecore.RunStream) {
	ctx, cancel := context.WithDeadline(s.tomb.Context(nil), action.Deadline)
	held := &heldStream{cancel: cancel}
	s.streams.byID[action.Stream] = held
	s.logDecision(action.Decision)
	s.spawn(func(context.Context) {
		defer cancel()
		s.runStream(ctx, action, held)
	})
}

// stopStream cancels a stream locally and, unless another instance may have taken it over, on the engine. The caller holds
// mu.
func (s *Service) stopStream(action jujubecore.StopStream) {
	if held, known := s.streams.byID[action.Stream]; known {
		held.cancel()
	}
	if action.Detach || action.Address == "" {
		return
	}
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		// An unreachable engine ends the stream by itself when its grace period for disconnected streams expires.
		_ = s.engine.CancelStream(ctx, action.Address, action.Stream)
	})
}

func (s *Service) runStream(ctx context.Context, run jujubecore.RunStream, held *heldStream) {
	ended := s.readStream(ctx, run, held)
	if errors.Is(context.Cause(ctx), context.Canceled) {
		// The core has stopped the stream and expects no result.
		return
	}
	if !ended.OK {
		s.log.Write(jujubeevent.StreamFailed, func() logrus.Fields {
			return logrus.Fields{"Stream": run.Stream, "Endpoint": run.Endpoint, "Code": ended.Code, "Broken": ended.Broken}
		})
	}
	s.apply(ended)
}

// readStream reads a stream to its end. When the connection breaks, it resumes the stream on the same engine.
func (s *Service) readStream(ctx context.Context, run jujubecore.RunStream, held *heldStream) jujubecore.StreamEnded {
	request := model.EngineRequest{
		Stream: run.Stream, Model: run.Model, Prompt: run.Prompt, MaxTokens: run.MaxTokens,
		Priority: model.PriorityTrainer, Resume: run.Resume, Timeout: model.Duration(time.Until(run.Deadline)),
	}
	for resumes := 0; ; resumes++ {
		done, err := s.readEngineStream(ctx, run.Address, request, func(chunk model.Chunk) { s.appendChunk(run.Stream, held, chunk) })
		if err == nil {
			load := done.Load
			return jujubecore.StreamEnded{Stream: run.Stream, OK: true, Tokens: done.Tokens, Load: &load}
		}
		var refused jujubeclient.ErrEngine
		if errors.As(err, &refused) {
			return jujubecore.StreamEnded{Stream: run.Stream, Code: refused.Code}
		}
		if ctx.Err() != nil || resumes == maxResumes || s.probeLost(ctx, run.Endpoint) {
			return jujubecore.StreamEnded{Stream: run.Stream, Broken: true}
		}
		s.mu.Lock()
		request.ResumeFrom = held.tokens
		s.mu.Unlock()
		request.Resume = true
		s.log.Write(jujubeevent.StreamResumed, func() logrus.Fields {
			return logrus.Fields{"Stream": run.Stream, "Endpoint": run.Endpoint, "From": request.ResumeFrom}
		})
	}
}

// appendChunk appends a chunk to the text of a stream and reports the progress to the core. The text of a chunk that repeats
// known tokens is ignored.
func (s *Service) appendChunk(id model.StreamID, held *heldStream, chunk model.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if chunk.From == held.tokens {
		held.text.WriteString(chunk.Text)
		held.tokens = chunk.To
	}
	s.metrics.generated.Add(chunk.To - chunk.From)
	s.startActions(s.core.Apply(time.Now(), jujubecore.StreamProgressed{
		Stream: id, From: chunk.From, To: chunk.To, Version: chunk.Version,
	}))
}

// readEngineStream reads one stream from an engine and aborts it when no chunk arrives for the stall timeout.
func (s *Service) readEngineStream(ctx context.Context, address string, request model.EngineRequest, onChunk func(model.Chunk)) (model.EngineDone, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(s.settings.StallTimeout, func() {
		cancel(jujubeerror.ErrRefused{
			Code: jujubeerror.CodeEndpointFailed, Ran: model.RanUnknown, Message: "no token for " + s.settings.StallTimeout.String(),
		})
	})
	defer stallTimer.Stop()
	return s.engine.Generate(ctx, address, request, func(chunk model.Chunk) error {
		stallTimer.Reset(s.settings.StallTimeout)
		onChunk(chunk)
		return nil
	})
}
