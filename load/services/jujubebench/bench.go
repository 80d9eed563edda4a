// Package jujubebench benchmarks the service on emulated sites of production size. Variants are interleaved across
// repetitions, because other load on the machine distorts the times of single runs.
package jujubebench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/services/jujubedocument"
	"jujubepier.example/load/services/jujubesite"
)

// Names of the emulated sites.
const (
	SiteVatuwaqa = "vatuwaqa"
	SiteHimalDan = "himal-dan"
)

// Options configures a benchmark of the trainers.
type Options struct {
	Site string
	// Document is the text of the environment document.
	Document    string
	Policies    []string
	Faults      []string
	Steps       int
	Repetitions int
	Groups      int
	// GroupSize is the number of samples in a group.
	GroupSize int
	MaxTokens int
	// MedianTokens and SigmaTokens are the parameters of the log-normal distribution of sample lengths.
	MedianTokens float64
	SigmaTokens  float64
	TrainTime    time.Duration
	// Ahead is the number of steps submitted while an earlier step is being trained on: 0 or 1.
	Ahead int
	// FetchTime is how long one engine takes to fetch weights from the weight store.
	FetchTime time.Duration
	// Trainers is the number of trainers of the document that take part.
	Trainers int
	// RunTimeout limits the duration of one run.
	RunTimeout time.Duration
	Seed       int64
	// Log receives the log lines of the entry instances; nil discards them.
	Log io.Writer
}

// Variant is a combination of endpoint policy and fault plan to compare.
type Variant struct {
	Policy string
	Faults string
}

// Name returns the variant's name in reports.
func (v Variant) Name() string { return v.Policy + "/" + v.Faults }

// Measure runs every variant once per repetition. The order is rotated with each repetition, so that no variant always
// runs first. A failed run is reported with its error.
func Measure(ctx context.Context, options Options, progress func(Run)) (Report, error) {
	trainers, err := selectTrainers(options)
	if err != nil {
		return Report{}, err
	}
	var variants []Variant
	for _, policy := range options.Policies {
		for _, faults := range options.Faults {
			if _, err := planFaults(faults); err != nil {
				return Report{}, err
			}
			variants = append(variants, Variant{Policy: policy, Faults: faults})
		}
	}
	var runs []Run
	for repetition := range options.Repetitions {
		for i := range variants {
			variant := variants[(i+repetition)%len(variants)]
			run := measureRun(ctx, options, variant, trainers, repetition)
			progress(run)
			runs = append(runs, run)
			if ctx.Err() != nil {
				return summarize(options, variants, runs), ctx.Err()
			}
		}
	}
	return summarize(options, variants, runs), nil
}

// selectedTrainer is a trainer of the document that takes part in the benchmark.
type selectedTrainer struct {
	id     model.TrainerID
	limits model.TrainerLimits
}

// selectTrainers returns the options.Trainers trainers with the largest shares.
func selectTrainers(options Options) ([]selectedTrainer, error) {
	document, err := jujubedocument.Parse(options.Site+".yaml", []byte(options.Document))
	if err != nil {
		return nil, err
	}
	var selected []selectedTrainer
	for id, limits := range document.Limits().Trainers {
		selected = append(selected, selectedTrainer{id: id, limits: limits})
	}
	sortTrainers(selected)
	if len(selected) < options.Trainers || options.Trainers < 1 {
		return nil, errors.Errorf("the document has %d trainers, but %d were requested", len(selected), options.Trainers)
	}
	return selected[:options.Trainers], nil
}

// siteSettings returns the settings of the site to benchmark.
func siteSettings(options Options, policy string) (jujubesite.Settings, error) {
	var settings jujubesite.Settings
	switch options.Site {
	case SiteVatuwaqa:
		settings = jujubesite.VatuwaqaSettings(options.Document)
	case SiteHimalDan:
		settings = jujubesite.HimalDanSettings(options.Document)
	default:
		return settings, fmt.Errorf("unknown site %q", options.Site)
	}
	settings.Policy, settings.LogOutput = policy, options.Log
	settings.Engine.MedianTokens, settings.Engine.SigmaTokens = options.MedianTokens, options.SigmaTokens
	settings.Store.BytesPerSecond = float64(settings.Store.WeightBytes) / max(options.FetchTime.Seconds(), 0.001)
	return settings, nil
}
