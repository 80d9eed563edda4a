package jujubecommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"jujubepier.example/load/services/jujubebench"
	"jujubepier.example/load/services/jujubesite"
)

func newBench() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "benchmark trainers on a whole site in one process, interleaving endpoint policies and fault plans",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: jujubebench.SiteVatuwaqa, Usage: "site to emulate: vatuwaqa or himal-dan"},
			&cli.StringFlag{Name: "document", Usage: "file of the environment document (default: examples/<site>.yaml)"},
			&cli.StringFlag{Name: "policies", Value: "LeastExpectedWait", Usage: "comma-separated endpoint policies"},
			&cli.StringFlag{Name: "faults", Value: jujubebench.FaultsNone, Usage: "comma-separated fault plans: none, standard, kill"},
			&cli.IntFlag{Name: "steps", Value: 4, Usage: "number of steps of each trainer"},
			&cli.IntFlag{Name: "repeat", Value: 3, Usage: "number of repetitions of each variant"},
			&cli.IntFlag{Name: "groups", Value: 32, Usage: "number of groups in a step"},
			&cli.IntFlag{Name: "group-size", Value: 8, Usage: "number of samples in a group"},
			&cli.IntFlag{Name: "max-tokens", Value: 4096, Usage: "maximum length of a sample, in tokens"},
			&cli.FloatFlag{Name: "median-tokens", Value: 400, Usage: "median of the log-normal sample lengths, in tokens"},
			&cli.FloatFlag{Name: "sigma-tokens", Value: 0.8, Usage: "sigma of the log-normal sample lengths"},
			&cli.DurationFlag{Name: "train-time", Value: time.Second, Usage: "time that a trainer takes to train on a step"},
			&cli.IntFlag{Name: "ahead", Usage: "number of steps submitted ahead while another is trained on (0 or 1)"},
			&cli.DurationFlag{Name: "fetch-time", Value: 200 * time.Millisecond, Usage: "time that an engine takes to fetch weights"},
			&cli.IntFlag{Name: "trainers", Value: 2, Usage: "number of trainers that share the engines"},
			&cli.DurationFlag{Name: "run-timeout", Value: 110 * time.Second, Usage: "timeout of a run"},
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "random seed of the prompts"},
			&cli.StringFlag{Name: "log", Usage: "file to write the log lines of the entry instances to"},
			jsonFlag(),
		},
		Action: runBench,
	}
}

// jsonFlag returns the flag that writeReport reads.
func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "write the report as JSON"} }

func runBench(ctx context.Context, command *cli.Command) error {
	file := command.String("document")
	if file == "" {
		file = "examples/" + command.String("site") + ".yaml"
	}
	document, err := jujubesite.ReadDocument(file)
	if err != nil {
		return err
	}
	options := jujubebench.Options{
		Site: command.String("site"), Document: document,
		Policies: strings.Split(command.String("policies"), ","), Faults: strings.Split(command.String("faults"), ","),
		Steps: command.Int("steps"), Repetitions: command.Int("repeat"), Groups: command.Int("groups"),
		GroupSize: command.Int("group-size"), MaxTokens: command.Int("max-tokens"),
		MedianTokens: command.Float("median-tokens"), SigmaTokens: command.Float("sigma-tokens"),
		TrainTime: command.Duration("train-time"), Ahead: command.Int("ahead"), FetchTime: command.Duration("fetch-time"),
		Trainers: command.Int("trainers"), RunTimeout: command.Duration("run-timeout"), Seed: int64(command.Int("seed")),
	}
	if name := command.String("log"); name != "" {
		output, err := os.Create(name)
		if err != nil {
			return err
		}
		defer func() { _ = output.Close() }()
		options.Log = output
	}
	report, err := jujubebench.Measure(ctx, options, func(run jujubebench.Run) {
		fmt.Fprintf(command.Root().ErrWriter, "%s repetition %d: %d samples, pause %s %s\n",
			run.Variant.Name(), run.Repetition, run.Delivered, run.Pause.Round(time.Millisecond), run.Err)
	})
	if err != nil {
		return err
	}
	return writeReport(command, report)
}

// writeReport writes a report as text, or as JSON if the json flag is set.
func writeReport(command *cli.Command, report interface{ WriteText(out io.Writer) error }) error {
	out := command.Root().Writer
	if !command.Bool("json") {
		return report.WriteText(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
