// Package jujubecommand holds the sub-commands of jujubestandin.
package jujubecommand

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// exitCrashed is the status of a process that ends by a crash fault.
const exitCrashed = 3

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "jujubestandin",
		Usage: "run an emulator of an outside system; faults are set with PUT /faults",
		Commands: []*cli.Command{
			newEngine(), newStore(), newLog(), newList(), newScorer(), newService(),
		},
	}
}

// serve runs an emulator until ctx ends.
func serve[S interface{ Address() string }](ctx context.Context, name string, server S, stop func(), err error) error {
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"Emulator": name, "Address": server.Address()}).Info("emulator is listening")
	<-ctx.Done()
	stop()
	return nil
}

// crash ends the process as a crash would, without any clean-up.
func crash() { os.Exit(exitCrashed) }

func stringFlag[T ~string](name, usage string, target *T) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: string(*target), Action: func(_ context.Context, _ *cli.Command, value string) error {
		*target = T(value)
		return nil
	}}
}

func intFlag[T ~int | ~int64](name, usage string, target *T) cli.Flag {
	return &cli.Int64Flag{Name: name, Usage: usage, Value: int64(*target), Action: func(_ context.Context, _ *cli.Command, value int64) error {
		*target = T(value)
		return nil
	}}
}

func floatFlag(name, usage string, target *float64) cli.Flag {
	return &cli.Float64Flag{Name: name, Usage: usage, Value: *target, Destination: target}
}

func durationFlag(name, usage string, target *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: *target, Destination: target}
}

func boolFlag(name, usage string, target *bool) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Value: *target, Destination: target}
}
