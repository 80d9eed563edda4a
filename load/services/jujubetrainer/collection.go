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

// Times of the pulling of samples.
const (
	pullWait     = 2 * time.Second
	pullTimeout  = pullWait + 5*time.Second
	submitWait   = 5 * time.Second
	resubmitWait = 100 * time.Millisecond
	// maxTries bounds the submits of one part.
	maxTries = 60
)

// ErrSample is a sample that breaks a promise of the service.
type ErrSample struct {
	Step   int64
	Group  int
	Index  int
	Reason string
}

// Error gives the reason.
func (e ErrSample) Error() string { return "sample breaks a promise: " + e.Reason }

// collection collects the samples of one step.
type collection struct {
	trainer *Trainer
	step    int64
	groups  []model.GroupRequest
	started time.Time

	mu sync.Mutex
	// taken holds the groups that were delivered or given up.
	taken  map[int]bool
	result StepResult
}

func newCollection(t *Trainer, step int64, groups []model.GroupRequest) *collection {
	return &collection{
		trainer: t, step: step, groups: groups, started: time.Now(), taken: make(map[int]bool),
		result: StepResult{Step: step},
	}
}

// run splits the step over the instances, collects the parts and returns the result.
func (c *collection) run(ctx context.Context) (StepResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.trainer.settings.StepTimeout)
	defer cancel()
	parts := c.split(max(len(c.trainer.book.addresses(ctx)), 1))
	ended := make(chan error, len(parts))
	for i, groups := range parts {
		go func() { ended <- c.collectPart(ctx, i, groups) }()
	}
	var first error
	for range parts {
		if err := <-ended; err != nil && first == nil {
			first = err
			cancel()
		}
	}
	c.result.Duration = time.Since(c.started)
	return c.result, first
}

// split deals the groups out in turn, so that the parts differ by one group at most.
func (c *collection) split(count int) [][]model.GroupRequest {
	parts := make([][]model.GroupRequest, min(count, len(c.groups)))
	for i, group := range c.groups {
		parts[i%len(parts)] = append(parts[i%len(parts)], group)
	}
	return parts
}

// collectPart submits a part and pulls it to its end; when the instance fails, what is left goes to another one.
func (c *collection) collectPart(ctx context.Context, part int, groups []model.GroupRequest) error {
	key := model.PartKey{Trainer: c.trainer.settings.Trainer, Step: c.step, Part: part}
	var last error
	for try := range maxTries {
		left := c.left(groups)
		if len(left) == 0 {
			return nil
		}
		addresses := c.trainer.book.addresses(ctx)
		if len(addresses) > 0 {
			address := addresses[(part+try)%len(addresses)].Address
			ended, err := c.runPart(ctx, address, key, left, try > 0)
			if ended || err == nil {
				return err
			}
			last = err
		}
		c.trainer.book.renew()
		if try > 0 {
			c.count(func(r *StepResult) { r.Resubmits++ })
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "part %d, last error: %v", part, last)
		case <-time.After(resubmitWait):
		}
	}
	return errors.Wrapf(last, "part %d was submitted %d times", part, maxTries)
}

func (c *collection) left(groups []model.GroupRequest) []model.GroupRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(groups), func(group model.GroupRequest) bool { return c.taken[group.Group] })
}

func (c *collection) count(change func(r *StepResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.result)
}

// runPart submits to one instance and pulls from it. ended is true when the part must not be submitted again.
func (c *collection) runPart(ctx context.Context, address string, key model.PartKey, groups []model.GroupRequest, resubmitted bool) (ended bool, err error) {
	deadline, _ := ctx.Deadline()
	part := model.StepPart{
		Key: key, Attempt: c.trainer.attempt.Add(1), Version: c.version(), Groups: groups,
		MaxTokens: c.trainer.settings.MaxTokens, Timeout: model.Duration(time.Until(deadline)), Resubmitted: resubmitted,
	}
	submit, cancel := context.WithTimeout(ctx, submitWait)
	_, err = c.trainer.client.Submit(submit, address, part)
	cancel()
	if err != nil {
		return isFinal(err), errors.Wrap(err, "submit")
	}
	pull := model.Pull{Key: key, Attempt: part.Attempt, Wait: model.Duration(pullWait)}
	for {
		pull.Version = c.version()
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		pulled, err := c.trainer.client.Pull(call, address, pull)
		cancel()
		if err != nil {
			return isFinal(err), errors.Wrap(err, "pull")
		}
		if err := c.take(pull, pulled); err != nil {
			return true, err
		}
		pull.Cursor += len(pulled.Groups)
		if pulled.Remaining == 0 && len(pulled.Groups) == 0 {
			return true, nil
		}
	}
}

func (c *collection) version() model.WeightVersion {
	return model.WeightVersion(c.trainer.version.Load())
}

// isFinal tells whether a refusal can't be mended by another instance.
func isFinal(err error) bool {
	refused, ok := jujubeerror.IsErrRefused(err)
	if !ok {
		return false
	}
	switch refused.Code {
	case jujubeerror.CodeBadRequest, jujubeerror.CodeTooLarge, jujubeerror.CodeUnknownTrainer, jujubeerror.CodeDeadline,
		jujubeerror.CodeCursorAhead, jujubeerror.CodeConflict:
		return true
	}
	return false
}

// take checks an answer against the promises and records its samples.
func (c *collection) take(pull model.Pull, pulled model.Pulled) error {
	if pulled.Attempt != pull.Attempt || pulled.Cursor != pull.Cursor {
		return ErrSample{Step: c.step, Reason: "the answer is to another pull"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, group := range pulled.Groups {
		if err := c.checkGroup(pull, group); err != nil {
			return err
		}
		c.taken[group.Group] = true
		for _, sample := range group.Samples {
			c.record(pull, sample)
		}
	}
	for _, failed := range pulled.Failed {
		if !c.taken[failed.Group] {
			c.taken[failed.Group] = true
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

func (c *collection) record(pull model.Pull, sample model.Sample) {
	c.result.Samples++
	c.result.Tokens += sample.Tokens
	c.result.Longest = max(c.result.Longest, sample.Tokens)
	c.result.Ages = append(c.result.Ages, int(pull.Version-oldestVersion(sample)))
	if len(sample.Labels) > 1 {
		c.result.Mixed++
	}
}

func oldestVersion(sample model.Sample) model.WeightVersion {
	oldest := sample.Labels[0].Version
	for _, label := range sample.Labels {
		oldest = min(oldest, label.Version)
	}
	return oldest
}

// checkGroup checks a group against what the trainer was promised.
func (c *collection) checkGroup(pull model.Pull, group model.Group) error {
	broken := func(index int, reason string) error {
		return ErrSample{Step: c.step, Group: group.Group, Index: index, Reason: reason}
	}
	if c.taken[group.Group] {
		return broken(-1, "the group was delivered before")
	}
	if len(group.Samples) != c.trainer.settings.GroupSize {
		return broken(-1, "the group isn't whole")
	}
	for i, sample := range group.Samples {
		if sample.Index != i {
			return broken(i, "the samples aren't each there once")
		}
		next := 0
		for _, label := range sample.Labels {
			if label.From != next || label.To <= label.From || label.Version <= 0 {
				return broken(i, "the labels have a gap or an overlap")
			}
			next = label.To
		}
		if next != sample.Tokens || sample.Tokens == 0 {
			return broken(i, "the labels don't cover the sample")
		}
		if pull.Version-oldestVersion(sample) > c.trainer.settings.StalenessBound {
			return broken(i, "the sample is older than the bound")
		}
	}
	return nil
}
