package jujubestep

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// Submit accepts a step part. The same attempt with the same content gives the same answer again; a higher attempt
// replaces the part and takes over its streams of the same group, index, prompt and length limit.
func (s *Steps) Submit(now time.Time, request model.StepPart) (model.StepAccepted, error) {
	if err := s.checkPart(request); err != nil {
		return model.StepAccepted{}, err
	}
	trainer, ok := s.limits.Trainers[request.Key.Trainer]
	if !ok {
		return model.StepAccepted{}, refuse(jujubeerror.CodeUnknownTrainer, model.RanNo, 0, "trainer %q", request.Key.Trainer)
	}
	key, content := request.Key.String(), fingerprint(request)
	old, held := s.parts.Get(key)
	if held && old.attempt == request.Attempt && s.fences[key].attempt <= request.Attempt {
		if old.content != content {
			return model.StepAccepted{}, refuse(jujubeerror.CodeConflict, model.RanNo, 0,
				"attempt %d of part %s was submitted with other content", request.Attempt, key)
		}
		return old.accepted, nil
	}
	if highest := s.fences[key].attempt; request.Attempt <= highest {
		return model.StepAccepted{}, refuse(jujubeerror.CodeStaleAttempt, model.RanUnknown, 0,
			"attempt %d of part %s, attempt %d is known", request.Attempt, key, highest)
	}
	if request.Timeout <= 0 {
		return model.StepAccepted{}, refuse(jujubeerror.CodeDeadline, model.RanNo, 0, "timeout %s", request.Timeout.Std())
	}
	p := s.newPart(now, request, trainer, content)
	if err := s.checkRoom(p, old); err != nil {
		return model.StepAccepted{}, err
	}
	if held {
		p.accepted.Resumed = s.takeOver(old, p)
		s.end(now, old, CauseSuperseded, false)
	}
	s.raiseFence(now, key, p.attempt)
	s.samples += p.samples
	s.promptBytes += p.bytes
	// The version comes first: the new part is made for it, and not while it came.
	s.SetTrainerVersion(now, p.key.Trainer, request.Version)
	s.parts.Put(key, p)
	s.refresh(p)
	return p.accepted, nil
}

// Superseded records that an instance accepted a higher attempt. The streams stay on the engines: the new owner asks
// the engines for them, resumes what it needs and cancels the rest.
func (s *Steps) Superseded(now time.Time, key model.PartKey, attempt int64) {
	s.raiseFence(now, key.String(), attempt)
	if p, ok := s.parts.Get(key.String()); ok && p.attempt < attempt {
		s.end(now, p, CauseSuperseded, true)
		s.parts.Delete(key.String())
	}
}

func (s *Steps) checkPart(request model.StepPart) error {
	bad := func(format string, values ...any) error {
		return refuse(jujubeerror.CodeBadRequest, model.RanNo, 0, format, values...)
	}
	switch {
	case request.Key.Trainer == "" || strings.Contains(string(request.Key.Trainer), "/"):
		return bad("trainer %q is empty or has a slash", request.Key.Trainer)
	case request.Key.Step < 0 || request.Key.Part < 0:
		return bad("step %d, part %d", request.Key.Step, request.Key.Part)
	case request.Attempt <= 0:
		return bad("attempt %d, the first one is 1", request.Attempt)
	case request.Version < 0:
		return bad("version %d", request.Version)
	case request.MaxTokens <= 0:
		return bad("MaxTokens %d", request.MaxTokens)
	case len(request.Groups) == 0:
		return bad("no groups")
	}
	tooLarge := func(what string, limit int) error {
		return refuse(jujubeerror.CodeTooLarge, model.RanNo, 0, "more than %d %s", limit, what)
	}
	if request.MaxTokens > s.settings.MaxTokens {
		return tooLarge("tokens for one sample", s.settings.MaxTokens)
	}
	samples, bytes := 0, 0
	seen := make(map[int]bool, len(request.Groups))
	for _, g := range request.Groups {
		switch {
		case g.Group < 0:
			return bad("group %d", g.Group)
		case seen[g.Group]:
			return bad("group %d appears twice", g.Group)
		case g.Samples <= 0:
			return bad("group %d with %d samples", g.Group, g.Samples)
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

// checkRoom refuses a part that doesn't fit next to the others; the part that it replaces makes room.
func (s *Steps) checkRoom(p, old *part) error {
	parts, samples, bytes := s.parts.Len()+1, s.samples+p.samples, s.promptBytes+p.bytes
	if old != nil {
		parts, samples, bytes = parts-1, samples-old.samples, bytes-old.bytes
	}
	if parts > s.settings.MaxParts || samples > s.settings.MaxSamples || bytes > s.settings.MaxPromptBytes {
		return refuse(jujubeerror.CodeOverloaded, model.RanNo, s.settings.MaxRetryDelay,
			"the instance holds %d parts with %d samples and %d bytes of prompts", s.parts.Len(), s.samples, s.promptBytes)
	}
	return nil
}

func (s *Steps) newPart(now time.Time, request model.StepPart, trainer model.TrainerLimits, content model.Fingerprint) *part {
	timeout := request.Timeout.Std()
	if trainer.StepDeadline > 0 {
		timeout = min(timeout, trainer.StepDeadline)
	}
	p := &part{
		key: request.Key, attempt: request.Attempt, content: content,
		accepted: model.StepAccepted{Key: request.Key, Attempt: request.Attempt},
		model:    trainer.Model, scorer: trainer.Scorer, bound: trainer.StalenessBound,
		maxTokens: request.MaxTokens, deadline: now.Add(timeout),
		total: len(request.Groups), discarded: make(map[Cause]int),
	}
	if request.Attempt > 1 {
		p.holdUntil = now.Add(s.settings.ResumeWait)
	}
	for _, wanted := range request.Groups {
		g := &group{
			number: wanted.Group, prompt: wanted.Prompt,
			content: contentTag(trainer.Model, wanted.Prompt, request.MaxTokens),
		}
		for index := range wanted.Samples {
			g.samples = append(g.samples, &sample{part: p, group: g, index: index})
		}
		p.groups = append(p.groups, g)
		p.samples += wanted.Samples
		p.bytes += len(wanted.Prompt)
	}
	return p
}

// takeOver moves the streams of equal samples into the new part, finished ones included: a group that the trainer
// submits again was not taken, even if it was handed out. It returns the number of streams moved.
func (s *Steps) takeOver(from, to *part) int {
	groups := make(map[int]*group, len(from.groups))
	for _, g := range from.groups {
		if g.state == groupOpen || g.state == groupHanded {
			groups[g.number] = g
		}
	}
	moved := 0
	for _, g := range to.groups {
		old := groups[g.number]
		if old == nil || old.content != g.content {
			continue
		}
		for index := range min(len(g.samples), len(old.samples)) {
			target, source := g.samples[index], old.samples[index]
			target.streams, target.winner = source.streams, source.winner
			target.tries, target.failures, target.notBefore = source.tries, source.failures, source.notBefore
			target.avoid = source.avoid
			source.streams, source.winner = nil, nil
			for _, st := range target.all() {
				st.sample = target
				moved++
				if from.scorer != to.scorer {
					st.asked, st.scored, st.score = false, false, 0
				}
				to.ran = to.ran || st.state != streamStarting
				if st.second && st.state != streamFinished {
					from.second--
					to.second++
				}
			}
		}
	}
	to.lengths = from.lengths
	return moved
}

// end drops all streams of a part and releases its share of the limits.
func (s *Steps) end(now time.Time, p *part, cause Cause, detach bool) {
	if p.ended.IsZero() {
		s.release(now, p)
	}
	for _, g := range p.groups {
		for _, sm := range g.samples {
			s.dropAll(p, sm, cause, detach)
		}
		g.samples = nil
	}
	p.groups, p.handed = nil, nil
}

// release gives the part's share of the instance's limits back.
func (s *Steps) release(now time.Time, p *part) {
	p.ended = now
	s.samples -= p.samples
	s.promptBytes -= p.bytes
	p.samples, p.bytes = 0, 0
}

func fingerprint(request model.StepPart) model.Fingerprint {
	parts := []string{
		request.Key.String(), strconv.FormatInt(request.Attempt, 10), strconv.FormatInt(int64(request.Version), 10),
		strconv.Itoa(request.MaxTokens), request.Timeout.Std().String(),
	}
	for _, g := range request.Groups {
		parts = append(parts, strconv.Itoa(g.Group), strconv.Itoa(g.Samples), strconv.Itoa(len(g.Prompt)), g.Prompt)
	}
	return model.NewFingerprint(parts...)
}

func refuse(code string, ran model.Ran, after time.Duration, format string, values ...any) error {
	return jujubeerror.ErrRefused{Code: code, Ran: ran, RetryAfter: after, Message: fmt.Sprintf(format, values...)}
}
