// Package jujubebench measures the product on emulated sites of today's sizes. Variants are interleaved over the
// repetitions, because other work on the machine changes the times of single runs.
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

// Names of the sites.
const (
	SiteVatuwaqa = "vatuwaqa"
	SiteHimalDan = "himal-dan"
)

// Options of a measurement of the trainers.
type Options struct {
	Site string
	// Document is the text of the environment document.
	Document string
	Policies []string
	Faults   []string
	Steps    int
	Repeat   int
	Groups   int
	// GroupSize is the number of samples in a group.
	GroupSize int
	MaxTokens int
	// MedianTokens and SigmaTokens are the parameters of the log-normal distribution of the lengths.
	MedianTokens float64
	SigmaTokens  float64
	TrainTime    time.Duration
	// Ahead is how many steps are asked for while an earlier one is trained on; 0 or 1.
	Ahead int
	// FetchTime is the time of one engine's fetch from the weight store.
	FetchTime time.Duration
	// Trainers is how many trainers of the document run.
	Trainers int
	// RunTimeout bounds one run.
	RunTimeout time.Duration
	Seed       int64
	// Log gets the log lines of the entry instances; nil drops them.
	Log io.Writer
}

// Variant is what is compared.
type Variant struct {
	Policy string
	Faults string
}

// Name names the variant in a report.
func (v Variant) Name() string { return v.Policy + "/" + v.Faults }

// Measure runs all variants once in each repetition. The start of the order moves with each repetition, so that no
// variant always runs first. A run that fails ends up in the report with its error.
func Measure(ctx context.Context, options Options, progress func(Run)) (Report, error) {
	trainers, err := chooseTrainers(options)
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
	for repetition := range options.Repeat {
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

// trainerChoice is a trainer of the document that runs.
type trainerChoice struct {
	id     model.TrainerID
	limits model.TrainerLimits
}

// chooseTrainers takes the trainers with the largest shares that use the model of the first one.
func chooseTrainers(options Options) ([]trainerChoice, error) {
	document, err := jujubedocument.Parse(options.Site+".yaml", []byte(options.Document))
	if err != nil {
		return nil, err
	}
	var chosen []trainerChoice
	for id, limits := range document.Limits().Trainers {
		chosen = append(chosen, trainerChoice{id: id, limits: limits})
	}
	sortTrainers(chosen)
	if len(chosen) < options.Trainers || options.Trainers < 1 {
		return nil, errors.Errorf("the document has %d trainers, %d are wanted", len(chosen), options.Trainers)
	}
	return chosen[:options.Trainers], nil
}

// siteSettings returns the settings of the measured site.
func siteSettings(options Options, policy string) (jujubesite.Settings, error) {
	var settings jujubesite.Settings
	switch options.Site {
	case SiteVatuwaqa:
		settings = jujubesite.Vatuwaqa(options.Document)
	case SiteHimalDan:
		settings = jujubesite.HimalDan(options.Document)
	default:
		return settings, fmt.Errorf("unknown site %q", options.Site)
	}
	settings.Policy, settings.LogOutput = policy, options.Log
	settings.Engine.MedianTokens, settings.Engine.SigmaTokens = options.MedianTokens, options.SigmaTokens
	settings.Store.BytesPerSecond = float64(settings.Store.WeightBytes) / max(options.FetchTime.Seconds(), 0.001)
	return settings, nil
}
