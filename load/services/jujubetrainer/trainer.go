// Package jujubetrainer emulates a trainer: it asks for the samples of each step, checks what it gets, and publishes
// new weights after the step.
package jujubetrainer

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubehttp"
)

// Settings describe a trainer's run.
type Settings struct {
	Trainer    model.TrainerID
	Model      model.ModelName
	DataCentre model.DataCentre
	// Addresses are entry instances to ask for addresses; one that answers is enough.
	Addresses []string
	// StoreURL is where new weights are put; empty for none.
	StoreURL  string
	Steps     int
	Groups    int
	GroupSize int
	MaxTokens int
	// PromptBytes is the length of a prompt.
	PromptBytes int
	// TrainTime is how long the trainer computes on a step.
	TrainTime time.Duration
	// Ahead is how many steps are asked for while an earlier one is trained on; 0 or 1.
	Ahead int
	// StalenessBound is what the environment document allows; samples are checked against it.
	StalenessBound model.WeightVersion
	StepTimeout    time.Duration
	Seed           int64
	// Progress is called after each pull that brought groups; it may be nil.
	Progress func(Progress)
}

// Progress tells how far a step is.
type Progress struct {
	Trainer   model.TrainerID
	Step      int64
	Delivered int
	Wanted    int
	Elapsed   time.Duration
}

// StepResult describes one step.
type StepResult struct {
	Step int64
	// Duration is from the submit to the last group; Idle is how long the trainer had nothing to compute.
	Duration time.Duration
	Idle     time.Duration
	Samples  int
	Tokens   int
	// Longest is the number of tokens of the longest sample.
	Longest int
	Failed  int
	// Resubmits counts the parts that were sent again to another instance.
	Resubmits int
	// Ages holds the age of each sample, in weight versions, when it was taken.
	Ages []int
	// Mixed counts the samples that more than one weight version produced.
	Mixed int
}

// Trainer runs steps.
type Trainer struct {
	settings Settings
	client   *jujubeclient.EntryClient
	random   *rand.Rand
	// version is the trainer's own weight version.
	version atomic.Int64
	// attempt grows with each submit, also over restarts because it starts from the time.
	attempt atomic.Int64
	book    *addressBook
}

// New returns a trainer.
func New(settings Settings) *Trainer {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 16
	t := &Trainer{
		settings: settings,
		client:   &jujubeclient.EntryClient{HTTP: &http.Client{Transport: transport}},
		random:   rand.New(rand.NewSource(settings.Seed)),
	}
	t.version.Store(1)
	t.attempt.Store(time.Now().UnixNano())
	t.book = &addressBook{trainer: t}
	return t
}

// Run runs the steps and returns one result for each.
func (t *Trainer) Run(ctx context.Context) ([]StepResult, error) {
	defer t.client.HTTP.CloseIdleConnections()
	var results []StepResult
	var next *pending
	for step := int64(1); step <= int64(t.settings.Steps); step++ {
		current := next
		if current == nil {
			current = t.begin(ctx, step)
		}
		waiting := time.Now()
		result, err := current.wait()
		if err != nil {
			return results, errors.Wrapf(err, "step %d", step)
		}
		result.Idle = time.Since(waiting)
		results = append(results, result)
		next = nil
		if t.settings.Ahead > 0 && step < int64(t.settings.Steps) {
			next = t.begin(ctx, step+1)
		}
		if err := t.train(ctx); err != nil {
			return results, err
		}
	}
	return results, nil
}

// pending is a step whose samples are being collected.
type pending struct {
	result StepResult
	err    error
	done   chan struct{}
}

func (p *pending) wait() (StepResult, error) {
	<-p.done
	return p.result, p.err
}

func (t *Trainer) begin(ctx context.Context, step int64) *pending {
	p := &pending{done: make(chan struct{})}
	groups := t.newGroups(step)
	collection := newCollection(t, step, groups)
	go func() {
		defer close(p.done)
		p.result, p.err = collection.run(ctx)
	}()
	return p
}

// newGroups makes prompts whose first bytes are shared by a few groups, as prompts with a common instruction are.
func (t *Trainer) newGroups(step int64) []model.GroupRequest {
	const kinds = 8
	groups := make([]model.GroupRequest, t.settings.Groups)
	for i := range groups {
		prompt := fmt.Sprintf("instruction %d of %s: read the pump log and name the fault. ", i%kinds, t.settings.Trainer)
		for len(prompt) < t.settings.PromptBytes {
			prompt += fmt.Sprintf("step %d entry %d value %d; ", step, i, t.random.Intn(100000))
		}
		groups[i] = model.GroupRequest{Group: i, Prompt: prompt, Samples: t.settings.GroupSize}
	}
	return groups
}

// train computes on a step, then puts the new weights into the store and announces them.
func (t *Trainer) train(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(t.settings.TrainTime):
	}
	next := model.WeightVersion(t.version.Load() + 1)
	if t.settings.StoreURL != "" {
		url := fmt.Sprintf("%s/v1/weights/%s/%d", t.settings.StoreURL, t.settings.Model, next)
		if err := jujubehttp.Call(ctx, t.client.HTTP, http.MethodPut, url, "weights", nil); err != nil {
			return errors.Wrap(err, "put weights")
		}
	}
	// The weights are in the store before the number is used, because the engines fetch them by it.
	t.version.Store(int64(next))
	announced := model.WeightsAnnounced{Trainer: t.settings.Trainer, Model: t.settings.Model, Version: next}
	for _, address := range t.book.addresses(ctx) {
		if t.client.Announce(ctx, address.Address, announced) == nil {
			return nil
		}
	}
	// The number also travels with each pull, so a lost announcement only delays the swap.
	return nil
}
