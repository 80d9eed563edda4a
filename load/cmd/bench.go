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
		Usage: "measure trainers on a whole site in one process, with endpoint policies and faults interleaved",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: jujubebench.SiteVatuwaqa, Usage: "vatuwaqa or himal-dan"},
			&cli.StringFlag{Name: "document", Usage: "environment document; examples/<site>.yaml by default"},
			&cli.StringFlag{Name: "policies", Value: "LeastExpectedWait", Usage: "comma-separated endpoint policies"},
			&cli.StringFlag{Name: "faults", Value: jujubebench.FaultsNone, Usage: "comma-separated fault plans: none, standard, kill"},
			&cli.IntFlag{Name: "steps", Value: 4, Usage: "steps of each trainer"},
			&cli.IntFlag{Name: "repeat", Value: 3, Usage: "repetitions of each variant"},
			&cli.IntFlag{Name: "groups", Value: 32, Usage: "groups in a step"},
			&cli.IntFlag{Name: "group-size", Value: 8, Usage: "samples in a group"},
			&cli.IntFlag{Name: "max-tokens", Value: 4096, Usage: "longest sample"},
			&cli.FloatFlag{Name: "median-tokens", Value: 400, Usage: "median of the lengths"},
			&cli.FloatFlag{Name: "sigma-tokens", Value: 0.8, Usage: "spread of the log-normal lengths"},
			&cli.DurationFlag{Name: "train-time", Value: time.Second, Usage: "time to train on a step"},
			&cli.IntFlag{Name: "ahead", Usage: "steps asked for while another is trained on (0 or 1)"},
			&cli.DurationFlag{Name: "fetch-time", Value: 200 * time.Millisecond, Usage: "time of one fetch of weights"},
			&cli.IntFlag{Name: "trainers", Value: 2, Usage: "trainers that share the engines"},
			&cli.DurationFlag{Name: "run-timeout", Value: 110 * time.Second, Usage: "longest run"},
			&cli.IntFlag{Name: "seed", Value: 1, Usage: "seed of the prompts"},
			&cli.StringFlag{Name: "log", Usage: "file for the log lines of the entry instances"},
			jsonFlag(),
		},
		Action: runBench,
	}
}

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
		Steps: command.Int("steps"), Repeat: command.Int("repeat"), Groups: command.Int("groups"),
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

// writeReport writes a report as text, or as JSON when the flag is set.
func writeReport(command *cli.Command, report interface{ WriteText(out io.Writer) error }) error {
	out := command.Root().Writer
	if !command.Bool("json") {
		return report.WriteText(out)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
