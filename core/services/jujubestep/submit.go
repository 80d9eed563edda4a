package jujubestep

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// Submit accepts a step part. It is idempotent: the same attempt with the same content returns the same response. A
// higher attempt replaces the part and keeps its streams of the same group, index, prompt and length limit.
func (s *Steps) Submit(now time.Time, request model.StepPart) (model.StepAccepted, error) {
	if err := s.validatePart(request); err != nil {
		return model.StepAccepted{}, err
	}
	trainer, ok := s.limits.Trainers[request.Key.Trainer]
	if !ok {
		return model.StepAccepted{}, newRefusal(jujubeerror.CodeUnknownTrainer, model.RanNo, 0,
			"trainer %q", request.Key.Trainer)
	}
	key, fingerprint := request.Key.String(), partFingerprint(request)
	old, held := s.parts.Get(key)
	if held && old.attempt == request.Attempt && s.knownAttempts[key].attempt <= request.Attempt {
		if old.fingerprint != fingerprint {
			return model.StepAccepted{}, newRefusal(jujubeerror.CodeConflict, model.RanNo, 0,
				"attempt %d of part %s was submitted with other content", request.Attempt, key)
		}
		return old.accepted, nil
	}
	if highest := s.knownAttempts[key].attempt; request.Attempt <= highest {
		return model.StepAccepted{}, newRefusal(jujubeerror.CodeStaleAttempt, model.RanUnknown, 0,
			"attempt %d of part %s, attempt %d is known", request.Attempt, key, highest)
	}
	if request.Timeout <= 0 {
		return model.StepAccepted{}, newRefusal(jujubeerror.CodeDeadline, model.RanNo, 0,
			"timeout %s", request.Timeout.Std())
	}
	p := s.newPart(now, request, trainer, fingerprint)
	if err := s.checkCapacity(p, old); err != nil {
		return model.StepAccepted{}, err
	}
	if held {
		p.accepted.Resumed = s.moveStreams(old, p)
		s.endPart(now, old, CauseSuperseded, false)
	}
	s.recordAttempt(now, key, p.attempt)
	s.sampleCount += p.sampleCount
	s.promptBytes += p.promptBytes
	// The version is set before the part is stored: the part is made for this version and doesn't overlap it.
	s.SetTrainerVersion(now, p.key.Trainer, request.Version)
	s.parts.Put(key, p)
	s.updateMinVersion(p)
	return p.accepted, nil
}

// SupersedePart records that another instance accepted a higher attempt. The streams are left running on the engines: the new
// owner queries the engines for them, resumes what it needs and cancels the rest.
func (s *Steps) SupersedePart(now time.Time, key model.PartKey, attempt int64) {
	s.recordAttempt(now, key.String(), attempt)
	if p, ok := s.parts.Get(key.String()); ok && p.attempt < attempt {
		s.endPart(now, p, CauseSuperseded, true)
		s.parts.Delete(key.String())
	}
}

func (s *Steps) validatePart(request model.StepPart) error {
	badRequest := func(format string, values ...any) error {
		return newRefusal(jujubeerror.CodeBadRequest, model.RanNo, 0, format, values...)
	}
	switch {
	case request.Key.Trainer == "" || strings.Contains(string(request.Key.Trainer), "/"):
		return badRequest("trainer %q is empty or has a slash", request.Key.Trainer)
	case request.Key.Step < 0 || request.Key.Part < 0:
		return badRequest("step %d, part %d", request.Key.Step, request.Key.Part)
	case request.Attempt <= 0:
		return badRequest("attempt %d, the first one is 1", request.Attempt)
	case request.Version < 0:
		return badRequest("version %d", request.Version)
	case request.MaxTokens <= 0:
		return badRequest("MaxTokens %d", request.MaxTokens)
	case len(request.Groups) == 0:
		return badRequest("no groups")
	}
	tooLarge := func(unit string, limit int) error {
		return newRefusal(jujubeerror.CodeTooLarge, model.RanNo, 0, "more than %d %s", limit, unit)
	}
	if request.MaxTokens > s.settings.MaxTokens {
		return tooLarge("tokens for one sample", s.settings.MaxTokens)
	}
	samples, bytes := 0, 0
	seen := make(map[int]bool, len(request.Groups))
	for _, g := range request.Groups {
		switch {
		case g.Group < 0:
			return badRequest("group %d", g.Group)
		case seen[g.Group]:
			return badRequest("group %d appears twice", g.Group)
		case g.Samples <= 0:
			return badRequest("group %d with %d samples", g.Group, g.Samples)
		case g.Samples > s.settings.MaxSamples-samples:
			return tooLarge("samples in one part", s.settings.MaxSamples)
		case len(g.Prompt) > s.settings.MaxPromptBytes-bytes:
			return tooLarge("bytes of prompts in one part", s.settings.MaxPromptBytes)
		}
		seen[g.Group] = true
		samples += g.Samples
		bytes += len(g.Prompt)
	}
	return nil
}

// checkCapacity refuses a part that would exceed the limits of the instance; the part that it replaces doesn't count.
func (s *Steps) checkCapacity(p, old *part) error {
	parts, samples, bytes := s.parts.Len()+1, s.sampleCount+p.sampleCount, s.promptBytes+p.promptBytes
	if old != nil {
		parts, samples, bytes = parts-1, samples-old.sampleCount, bytes-old.promptBytes
	}
	if parts > s.settings.MaxParts || samples > s.settings.MaxSamples || bytes > s.settings.MaxPromptBytes {
		return newRefusal(jujubeerror.CodeOverloaded, model.RanNo, s.settings.MaxRetryDelay,
			"the instance holds %d parts with %d samples and %d bytes of prompts", s.parts.Len(), s.sampleCount, s.promptBytes)
	}
	return nil
}

func (s *Steps) newPart(now time.Time, request model.StepPart, trainer model.TrainerLimits, fingerprint model.Fingerprint) *part {
	timeout := request.Timeout.Std()
	if trainer.StepDeadline > 0 {
		timeout = min(timeout, trainer.StepDeadline)
	}
	p := &part{
		key: request.Key, attempt: request.Attempt, fingerprint: fingerprint,
		accepted: model.StepAccepted{Key: request.Key, Attempt: request.Attempt},
		model:    trainer.Model, scorer: trainer.Scorer, stalenessBound: trainer.StalenessBound,
		maxTokens: request.MaxTokens, deadline: now.Add(timeout),
		groupCount: len(request.Groups), discarded: make(map[Cause]int),
	}
	if request.Attempt > 1 {
		p.resumeUntil = now.Add(s.settings.ResumeWait)
	}
	for _, requested := range request.Groups {
		g := &group{
			number: requested.Group, prompt: requested.Prompt,
			contentTag: contentTag(trainer.Model, requested.Prompt, request.MaxTokens),
		}
		for index := range requested.Samples {
			g.samples = append(g.samples, &sample{part: p, group: g, index: index})
		}
		p.groups = append(p.groups, g)
		p.sampleCount += requested.Samples
		p.promptBytes += len(requested.Prompt)
	}
	return p
}

// moveStreams moves the streams of equal samples into the new part, including finished ones: a group that the trainer submits
// again was not received, even if it was delivered. It returns the number of streams moved.
func (s *Steps) moveStreams(from, to *part) int {
	groups := make(map[int]*group, len(from.groups))
	for _, g := range from.groups {
		if g.state == groupOpen || g.state == groupDelivered {
			groups[g.number] = g
		}
	}
	moved := 0
	for _, g := range to.groups {
		old := groups[g.number]
		if old == nil || old.contentTag != g.contentTag {
			continue
		}
		for index := range min(len(g.samples), len(old.samples)) {
			target, source := g.samples[index], old.samples[index]
			target.streams, target.winner = source.streams, source.winner
			target.streamCount, target.failures, target.notBefore = source.streamCount, source.failures, source.notBefore
			target.avoidEndpoints = source.avoidEndpoints
			source.streams, source.winner = nil, nil
			for _, st := range target.keptStreams() {
				st.sample = target
				moved++
				if from.scorer != to.scorer {
					st.scoreRequested, st.scored, st.score = false, false, 0
				}
				to.hasRun = to.hasRun || st.state != streamStarting
				if st.hedged && st.state != streamFinished {
					from.hedgedRuns--
					to.hedgedRuns++
				}
			}
		}
	}
	to.lengths = from.lengths
	return moved
}

// endPart discards all streams of a part and releases its share of the limits.
func (s *Steps) endPart(now time.Time, p *part, cause Cause, detach bool) {
	if p.endedAt.IsZero() {
		s.releaseCapacity(now, p)
	}
	for _, g := range p.groups {
		for _, sm := range g.samples {
			s.discardSample(p, sm, cause, detach)
		}
		g.samples = nil
	}
	p.groups, p.unconfirmed = nil, nil
}

// releaseCapacity marks the part as ended and returns its share of the instance's limits.
func (s *Steps) releaseCapacity(now time.Time, p *part) {
	p.endedAt = now
	s.sampleCount -= p.sampleCount
	s.promptBytes -= p.promptBytes
	p.sampleCount, p.promptBytes = 0, 0
}

func partFingerprint(request model.StepPart) model.Fingerprint {
	parts := []string{
		request.Key.String(), strconv.FormatInt(request.Attempt, 10), strconv.FormatInt(int64(request.Version), 10),
		strconv.Itoa(request.MaxTokens), request.Timeout.Std().String(),
	}
	for _, g := range request.Groups {
		parts = append(parts, strconv.Itoa(g.Group), strconv.Itoa(g.Samples), strconv.Itoa(len(g.Prompt)), g.Prompt)
	}
	return model.NewFingerprint(parts...)
}

func newRefusal(code string, ran model.Ran, after time.Duration, format string, values ...any) error {
	return jujubeerror.ErrRefused{Code: code, Ran: ran, RetryAfter: after, Message: fmt.Sprintf(format, values...)}
}
