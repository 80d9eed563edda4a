package jujubetrainer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeerror"
)

// Timeouts and delays of submits and pulls.
const (
	pullWait      = 2 * time.Second
	pullTimeout   = pullWait + 5*time.Second
	submitTimeout = 5 * time.Second
	resubmitDelay = 100 * time.Millisecond
	// maxSubmits limits how often one part is submitted.
	maxSubmits = 60
)

// ErrSample reports a pull response or sample that violates a guarantee of the service. Index is the sample's position in
// its group, or -1 when the reason applies to the whole group. Group and Index are unset when it applies to the response.
type ErrSample struct {
	Step   int64
	Group  int
	Index  int
	Reason string
}

// Error returns the reason.
func (e ErrSample) Error() string { return "guarantee violated: " + e.Reason }

// stepCollector requests and collects the samples of one step.
type stepCollector struct {
	trainer *Trainer
	step    int64
	groups  []model.GroupRequest
	started time.Time

	mu sync.Mutex
	// finished holds the groups that were delivered or reported as failed.
	finished map[int]bool
	result   StepResult
}

func newStepCollector(t *Trainer, step int64, groups []model.GroupRequest) *stepCollector {
	return &stepCollector{
		trainer: t, step: step, groups: groups, started: time.Now(), finished: make(map[int]bool),
		result: StepResult{Step: step},
	}
}

// run splits the step over the entry instances, collects all parts and returns the result. The first error cancels the
// remaining parts.
func (c *stepCollector) run(ctx context.Context) (StepResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.trainer.settings.StepTimeout)
	defer cancel()
	parts := c.split(max(len(c.trainer.addressCache.addresses(ctx)), 1))
	done := make(chan error, len(parts))
	for i, groups := range parts {
		go func() { done <- c.collectPart(ctx, i, groups) }()
	}
	var firstErr error
	for range parts {
		if err := <-done; err != nil && firstErr == nil {
			firstErr = err
			cancel()
		}
	}
	c.result.Duration = time.Since(c.started)
	return c.result, firstErr
}

// split assigns the groups to parts round-robin, so that the sizes of the parts differ by one at most.
func (c *stepCollector) split(count int) [][]model.GroupRequest {
	parts := make([][]model.GroupRequest, min(count, len(c.groups)))
	for i, group := range c.groups {
		parts[i%len(parts)] = append(parts[i%len(parts)], group)
	}
	return parts
}

// collectPart submits a part and pulls until all its groups are finished. When the instance fails, the unfinished groups
// are submitted to another instance.
func (c *stepCollector) collectPart(ctx context.Context, part int, groups []model.GroupRequest) error {
	key := model.PartKey{Trainer: c.trainer.settings.Trainer, Step: c.step, Part: part}
	var lastErr error
	for submit := range maxSubmits {
		unfinished := c.unfinished(groups)
		if len(unfinished) == 0 {
			return nil
		}
		addresses := c.trainer.addressCache.addresses(ctx)
		if len(addresses) > 0 {
			address := addresses[(part+submit)%len(addresses)].Address
			final, err := c.submitAndPull(ctx, address, key, unfinished, submit > 0)
			if final || err == nil {
				return err
			}
			lastErr = err
		}
		c.trainer.addressCache.invalidate()
		if submit > 0 {
			c.updateResult(func(r *StepResult) { r.Resubmits++ })
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "part %d unfinished, last error: %v", part, lastErr)
		case <-time.After(resubmitDelay):
		}
	}
	return errors.Wrapf(lastErr, "part %d unfinished after %d submits", part, maxSubmits)
}

// unfinished returns the groups that were neither delivered nor reported as failed.
func (c *stepCollector) unfinished(groups []model.GroupRequest) []model.GroupRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(groups), func(group model.GroupRequest) bool { return c.finished[group.Group] })
}

func (c *stepCollector) updateResult(update func(r *StepResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.result)
}

// submitAndPull submits the groups to one instance and pulls from it until it has no more. final is true when the part
// must not be submitted again.
func (c *stepCollector) submitAndPull(
	ctx context.Context, address string, key model.PartKey, groups []model.GroupRequest, resubmitted bool,
) (final bool, err error) {
	deadline, _ := ctx.Deadline()
	part := model.StepPart{
		Key: key, Attempt: c.trainer.attempt.Add(1), Version: c.currentVersion(), Groups: groups,
		MaxTokens: c.trainer.settings.MaxTokens, Timeout: model.Duration(time.Until(deadline)), Resubmitted: resubmitted,
	}
	submitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	_, err = c.trainer.client.Submit(submitCtx, address, part)
	cancel()
	if err != nil {
		return isFinal(err), errors.Wrap(err, "submit")
	}
	pull := model.Pull{Key: key, Attempt: part.Attempt, Wait: model.Duration(pullWait)}
	for {
		pull.Version = c.currentVersion()
		pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		pulled, err := c.trainer.client.Pull(pullCtx, address, pull)
		cancel()
		if err != nil {
			return isFinal(err), errors.Wrap(err, "pull")
		}
		if err := c.applyPulled(pull, pulled); err != nil {
			return true, err
		}
		pull.Cursor += len(pulled.Groups)
		if pulled.Remaining == 0 && len(pulled.Groups) == 0 {
			return true, nil
		}
	}
}

func (c *stepCollector) currentVersion() model.WeightVersion {
	return model.WeightVersion(c.trainer.version.Load())
}

// isFinal reports whether err is a refusal that every instance would return, so that a resubmit is useless.
func isFinal(err error) bool {
	refusal, ok := jujubeerror.IsErrRefused(err)
	if !ok {
		return false
	}
	switch refusal.Code {
	case jujubeerror.CodeBadRequest, jujubeerror.CodeTooLarge, jujubeerror.CodeUnknownTrainer, jujubeerror.CodeDeadline,
		jujubeerror.CodeCursorAhead, jujubeerror.CodeConflict:
		return true
	}
	return false
}

// applyPulled checks a pull response against the guarantees of the service, records its samples and reports progress.
func (c *stepCollector) applyPulled(pull model.Pull, pulled model.Pulled) error {
	if pulled.Attempt != pull.Attempt || pulled.Cursor != pull.Cursor {
		return ErrSample{Step: c.step, Reason: "the response doesn't match the attempt and cursor of the pull"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, group := range pulled.Groups {
		if err := c.checkGroup(pull, group); err != nil {
			return err
		}
		c.finished[group.Group] = true
		for _, sample := range group.Samples {
			c.recordSample(pull, sample)
		}
	}
	for _, failed := range pulled.Failed {
		if !c.finished[failed.Group] {
			c.finished[failed.Group] = true
			c.result.Failed++
		}
	}
	if progress := c.trainer.settings.Progress; progress != nil && len(pulled.Groups) > 0 {
		progress(Progress{
			Trainer: c.trainer.settings.Trainer, Step: c.step, Delivered: c.result.Samples,
			Wanted: len(c.groups) * c.trainer.settings.GroupSize, Elapsed: time.Since(c.started),
		})
	}
	return nil
}

// recordSample adds a sample to the result of the step.
func (c *stepCollector) recordSample(pull model.Pull, sample model.Sample) {
	c.result.Samples++
	c.result.Tokens += sample.Tokens
	c.result.MaxSampleTokens = max(c.result.MaxSampleTokens, sample.Tokens)
	c.result.SampleAges = append(c.result.SampleAges, int(pull.Version-oldestVersion(sample)))
	if len(sample.Labels) > 1 {
		c.result.MixedVersions++
	}
}

func oldestVersion(sample model.Sample) model.WeightVersion {
	oldest := sample.Labels[0].Version
	for _, label := range sample.Labels {
		oldest = min(oldest, label.Version)
	}
	return oldest
}

// checkGroup checks that a group is new and complete, that the labels of each sample cover it without gap or overlap, and
// that no sample exceeds the staleness bound.
func (c *stepCollector) checkGroup(pull model.Pull, group model.Group) error {
	violation := func(index int, reason string) error {
		return ErrSample{Step: c.step, Group: group.Group, Index: index, Reason: reason}
	}
	if c.finished[group.Group] {
		return violation(-1, "the group was already delivered or reported as failed")
	}
	if len(group.Samples) != c.trainer.settings.GroupSize {
		return violation(-1, "the group is incomplete")
	}
	for i, sample := range group.Samples {
		if sample.Index != i {
			return violation(i, "the samples are not in the order of their indices")
		}
		next := 0
		for _, label := range sample.Labels {
			if label.From != next || label.To <= label.From || label.Version <= 0 {
				return violation(i, "the labels have a gap or an overlap")
			}
			next = label.To
		}
		if next != sample.Tokens || sample.Tokens == 0 {
			return violation(i, "the labels don't cover the sample")
		}
		if pull.Version-oldestVersion(sample) > c.trainer.settings.StalenessBound {
			return violation(i, "the sample exceeds the staleness bound")
		}
	}
	return nil
}
