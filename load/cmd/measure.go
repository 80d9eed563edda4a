package jujubecommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"jujubepier.example/load/services/jujubebench"
	"jujubepier.example/load/services/jujubesite"
)

func newHop() *cli.Command {
	return &cli.Command{
		Name:  "hop",
		Usage: "compare the latency of calls through one entry instance with that of direct calls to the endpoint",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "document", Value: "examples/vatuwaqa.yaml", Usage: "file of the environment document"},
			&cli.IntFlag{Name: "calls", Value: 1000, Usage: "number of calls of each kind on each path"},
			&cli.IntFlag{Name: "repeat", Value: 5, Usage: "repetitions"},
			&cli.IntFlag{Name: "tokens", Value: 16, Usage: "length of a generation, in tokens"},
			jsonFlag(),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			document, err := jujubesite.ReadDocument(command.String("document"))
			if err != nil {
				return err
			}
			report, err := jujubebench.MeasureHop(ctx, jujubebench.HopOptions{
				Document: document, Calls: command.Int("calls"), Repetitions: command.Int("repeat"), Tokens: command.Int("tokens"),
			})
			if err != nil {
				return err
			}
			return writeReport(command, report)
		},
	}
}

func newOverload() *cli.Command {
	return &cli.Command{
		Name:  "overload",
		Usage: "send more requests than a site has capacity for and measure its recovery",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "document", Value: "examples/vatuwaqa.yaml", Usage: "file of the environment document"},
			&cli.StringFlag{Name: "repeats", Value: "never,asked,hasty", Usage: "comma-separated retry policies of callers after a refusal: never, asked (after RetryAfter), hasty"},
			&cli.IntFlag{Name: "repeat", Value: 1, Usage: "repetitions"},
			&cli.DurationFlag{Name: "before", Value: 10 * time.Second, Usage: "duration of normal load before the overload"},
			&cli.DurationFlag{Name: "overload", Value: 30 * time.Second, Usage: "duration of the overload"},
			&cli.DurationFlag{Name: "after", Value: 15 * time.Second, Usage: "duration of normal load after the overload"},
			&cli.FloatFlag{Name: "normal", Value: 0.7, Usage: "request rate outside the overload, as a fraction of the capacity"},
			&cli.FloatFlag{Name: "factor", Value: 2, Usage: "request rate during the overload, as a multiple of the capacity"},
			&cli.DurationFlag{Name: "patience", Value: 5 * time.Second, Usage: "time within which a caller needs its response, retries included"},
			jsonFlag(),
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			document, err := jujubesite.ReadDocument(command.String("document"))
			if err != nil {
				return err
			}
			report, err := jujubebench.MeasureOverload(ctx, jujubebench.OverloadOptions{
				Document: document, RetryPolicies: strings.Split(command.String("repeats"), ","), Repetitions: command.Int("repeat"),
				Before: command.Duration("before"), Overload: command.Duration("overload"), After: command.Duration("after"),
				Normal: command.Float("normal"), Factor: command.Float("factor"), CallerTimeout: command.Duration("patience"),
			}, func(figure jujubebench.OverloadResult) {
				fmt.Fprintf(command.Root().ErrWriter, "repeats %s, repetition %d: recovery %s\n", figure.Repeats, figure.Repetition, figure.Recovery)
			})
			if err != nil {
				return err
			}
			return writeReport(command, report)
		},
	}
}
