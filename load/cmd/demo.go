package jujubecommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"jujubepier.example/load/services/jujubesite"
	"jujubepier.example/load/services/jujubetrainer"
)

func newDemo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a whole site of production size in one process and train a few steps on it",
		Flags: append(stepFlags(),
			&cli.StringFlag{Name: "document", Value: "examples/vatuwaqa.yaml", Usage: "file of the environment document"},
			&cli.StringFlag{Name: "log", Usage: "file to write the log lines of the entry instances to"},
		),
		Action: runDemo,
	}
}

// stepFlags returns the flags that trainerSettings reads.
func stepFlags() []cli.Flag {
	return []cli.Flag{
		&cli.IntFlag{Name: "steps", Value: 4, Usage: "number of steps"},
		&cli.IntFlag{Name: "groups", Value: 32, Usage: "number of groups in a step"},
		&cli.IntFlag{Name: "group-size", Value: 8, Usage: "number of samples in a group"},
		&cli.IntFlag{Name: "max-tokens", Value: 1024, Usage: "maximum length of a sample, in tokens"},
		&cli.DurationFlag{Name: "train-time", Value: time.Second, Usage: "time that the trainer takes to train on a step"},
		&cli.IntFlag{Name: "ahead", Value: 1, Usage: "number of steps submitted ahead while another is trained on (0 or 1)"},
		&cli.DurationFlag{Name: "step-timeout", Value: 5 * time.Minute, Usage: "timeout of a step"},
		&cli.IntFlag{Name: "seed", Value: 1, Usage: "random seed of the prompts"},
	}
}

func trainerSettings(command *cli.Command) jujubetrainer.Settings {
	return jujubetrainer.Settings{
		Steps: command.Int("steps"), Groups: command.Int("groups"), GroupSize: command.Int("group-size"),
		MaxTokens: command.Int("max-tokens"), PromptBytes: 400, TrainTime: command.Duration("train-time"),
		PrefetchSteps: command.Int("ahead"), StepTimeout: command.Duration("step-timeout"), Seed: int64(command.Int("seed")),
	}
}

func runDemo(ctx context.Context, command *cli.Command) error {
	document, err := jujubesite.ReadDocument(command.String("document"))
	if err != nil {
		return err
	}
	settings := jujubesite.VatuwaqaSettings(document)
	if name := command.String("log"); name != "" {
		file, err := os.Create(name)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		settings.LogOutput = file
	}
	out := command.Root().Writer
	fmt.Fprintf(out, "starting %d engines, %d %s servers, %d entry instances in %d data centres\n",
		settings.Engines, settings.Services, settings.Service, settings.Entries, len(settings.DataCentres))
	site, closeSite, err := jujubesite.Start(ctx, settings)
	if err != nil {
		return err
	}
	defer closeSite()
	trainer := trainerSettings(command)
	trainer.Trainer, trainer.Model, trainer.DataCentre = "sump-policy", settings.Model, settings.DataCentres[0]
	trainer.Addresses, trainer.StoreURL, trainer.StalenessBound = site.Addresses(), site.StoreURL(), 1
	display := newProgressDisplay(out)
	trainer.Progress = display.show
	results, err := jujubetrainer.New(trainer).Run(ctx)
	display.end()
	writeSummary(out, results)
	return err
}

// progressDisplay shows a progress bar for each step.
type progressDisplay struct {
	out io.Writer
	// terminal is true if the output is a terminal, where the bar is redrawn in place. Otherwise a line is written for each
	// eighth of a step.
	terminal bool

	mu     sync.Mutex
	step   int64
	eighth int
}

func newProgressDisplay(out io.Writer) *progressDisplay {
	file, isFile := out.(*os.File)
	if !isFile {
		return &progressDisplay{out: out}
	}
	info, err := file.Stat()
	return &progressDisplay{out: out, terminal: err == nil && info.Mode()&os.ModeCharDevice != 0}
}

func (d *progressDisplay) show(progress jujubetrainer.Progress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	const width = 32
	line := fmt.Sprintf("%s step %d [%-*s] %d/%d samples, %.1f s", progress.Trainer, progress.Step, width,
		strings.Repeat("=", width*progress.Delivered/progress.Wanted), progress.Delivered, progress.Wanted, progress.Elapsed.Seconds())
	eighth := 8 * progress.Delivered / progress.Wanted
	isNew := d.step != progress.Step
	switch {
	case !d.terminal && (isNew || eighth != d.eighth):
		fmt.Fprintln(d.out, line)
	case d.terminal && isNew && d.step != 0:
		fmt.Fprint(d.out, "\n", line)
	case d.terminal:
		fmt.Fprint(d.out, "\r", line)
	}
	d.step, d.eighth = progress.Step, eighth
}

func (d *progressDisplay) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.terminal && d.step != 0 {
		fmt.Fprintln(d.out)
	}
}

func writeSummary(out io.Writer, results []jujubetrainer.StepResult) {
	summary := jujubetrainer.Summarize(results)
	fmt.Fprintf(out, "steps %d, samples delivered %d (each once, whole groups, labels checked), tokens %d\n",
		summary.Steps, summary.Samples, summary.Tokens)
	fmt.Fprintf(out, "trainer idle %.2f s of %.2f s of sampling\n", summary.Idle.Seconds(), summary.Duration.Seconds())
	fmt.Fprintf(out, "staleness mean %.2f versions, p99 %d; samples of more than one version %d\n",
		summary.MeanStaleness, summary.P99Staleness, summary.MixedVersions)
	fmt.Fprintf(out, "groups failed %d, parts submitted again %d\n", summary.Failed, summary.Resubmits)
}
