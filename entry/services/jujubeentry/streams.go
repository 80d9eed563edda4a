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

// maxResumes bounds how often a broken stream is continued on the same engine before it is reported as lost.
const maxResumes = 2

// streamRow is the text of one stream. Guarded by Service.mu.
type streamRow struct {
	text strings.Builder
	// tokens is the index after the last token in text.
	tokens int
	cancel context.CancelFunc
}

// streamTable holds the texts of the step parts' streams. Guarded by Service.mu.
type streamTable struct {
	rows map[model.StreamID]*streamRow
}

func newStreamTable() *streamTable {
	return &streamTable{rows: make(map[model.StreamID]*streamRow)}
}

func (t *streamTable) forget(id model.StreamID) {
	if row, known := t.rows[id]; known {
		row.cancel()
		delete(t.rows, id)
	}
}

func (t *streamTable) text(id model.StreamID) (string, bool) {
	row, known := t.rows[id]
	if !known {
		return "", false
	}
	return row.text.String(), true
}

// HeldStreams counts the streams of step parts whose text is kept.
func (s *Service) HeldStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams.rows)
}

// beginStream runs a stream of a step part. The caller holds mu.
func (s *Service) beginStream(run jujubecore.RunStream) {
	ctx, cancel := context.WithDeadline(s.tomb.Context(nil), run.Deadline)
	row := &streamRow{cancel: cancel}
	s.streams.rows[run.Stream] = row
	s.logDecision(run.Decision)
	s.spawn(func(context.Context) {
		defer cancel()
		s.runStream(ctx, run, row)
	})
}

// stopStream ends a stream here and, unless another instance may have taken it over, on the engine. The caller holds mu.
func (s *Service) stopStream(stop jujubecore.StopStream) {
	if row, known := s.streams.rows[stop.Stream]; known {
		row.cancel()
	}
	if stop.Detach || stop.Address == "" {
		return
	}
	s.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		// An engine that can't be reached ends the stream when its grace time is over.
		_ = s.engine.Cancel(ctx, stop.Address, stop.Stream)
	})
}

func (s *Service) runStream(ctx context.Context, run jujubecore.RunStream, row *streamRow) {
	ended := s.readStream(ctx, run, row)
	if errors.Is(context.Cause(ctx), context.Canceled) {
		// The core has already ended the stream.
		return
	}
	if !ended.OK {
		s.log.Write(jujubeevent.StreamFailed, func() logrus.Fields {
			return logrus.Fields{"Stream": run.Stream, "Endpoint": run.Endpoint, "Code": ended.Code, "Broken": ended.Broken}
		})
	}
	s.apply(ended)
}

// readStream reads a stream to its end, and continues it on the same engine when the connection breaks.
func (s *Service) readStream(ctx context.Context, run jujubecore.RunStream, row *streamRow) jujubecore.StreamEnded {
	request := model.EngineRequest{
		Stream: run.Stream, Model: run.Model, Prompt: run.Prompt, MaxTokens: run.MaxTokens,
		Priority: model.PriorityTrainer, Resume: run.Resume, Timeout: model.Duration(time.Until(run.Deadline)),
	}
	for resumes := 0; ; resumes++ {
		done, err := s.generate(ctx, run.Address, request, func(chunk model.Chunk) { s.takeChunk(run.Stream, row, chunk) })
		if err == nil {
			load := done.Load
			return jujubecore.StreamEnded{Stream: run.Stream, OK: true, Tokens: done.Tokens, Load: &load}
		}
		var refused jujubeclient.ErrEngine
		if errors.As(err, &refused) {
			return jujubecore.StreamEnded{Stream: run.Stream, Code: refused.Code}
		}
		if ctx.Err() != nil || resumes == maxResumes || s.isLost(ctx, run.Endpoint) {
			return jujubecore.StreamEnded{Stream: run.Stream, Broken: true}
		}
		s.mu.Lock()
		request.ResumeFrom = row.tokens
		s.mu.Unlock()
		request.Resume = true
		s.log.Write(jujubeevent.StreamResumed, func() logrus.Fields {
			return logrus.Fields{"Stream": run.Stream, "Endpoint": run.Endpoint, "From": request.ResumeFrom}
		})
	}
}

// takeChunk adds a chunk to the text and reports its labels. Chunks that repeat known tokens are passed over.
func (s *Service) takeChunk(id model.StreamID, row *streamRow, chunk model.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if chunk.From == row.tokens {
		row.text.WriteString(chunk.Text)
		row.tokens = chunk.To
	}
	s.metrics.generated.Add(chunk.To - chunk.From)
	s.begin(s.core.Apply(time.Now(), jujubecore.StreamProgressed{
		Stream: id, From: chunk.From, To: chunk.To, Version: chunk.Version,
	}))
}

// generate reads one stream and ends it when no chunk comes for the stall timeout.
func (s *Service) generate(ctx context.Context, address string, request model.EngineRequest, take func(model.Chunk)) (model.EngineDone, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(s.settings.StallTimeout, func() {
		cancel(jujubeerror.ErrRefused{
			Code: jujubeerror.CodeEndpointFailed, Ran: model.RanUnknown, Message: "no token for " + s.settings.StallTimeout.String(),
		})
	})
	defer stall.Stop()
	return s.engine.Generate(ctx, address, request, func(chunk model.Chunk) error {
		stall.Reset(s.settings.StallTimeout)
		take(chunk)
		return nil
	})
}
