// Package jujubecommand defines the commands of jujubestandin.
package jujubecommand

import (
	"context"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// exitCodeCrashed is the exit code of a process that an injected crash has ended.
const exitCodeCrashed = 3

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:  "jujubestandin",
		Usage: "run an emulator of an external system; faults are injected with PUT /faults",
		Commands: []*cli.Command{
			newEngineCommand(), newStoreCommand(), newLogCommand(), newListCommand(), newScorerCommand(), newServiceCommand(),
		},
	}
}

// serve blocks until ctx ends and then stops the emulator. It takes the results of a Start function, including its error.
func serve[S interface{ Address() string }](ctx context.Context, name string, server S, stop func(), err error) error {
	if err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"Emulator": name, "Address": server.Address()}).Info("emulator is listening")
	<-ctx.Done()
	stop()
	return nil
}

// crashProcess ends the process without any cleanup, like a crash.
func crashProcess() { os.Exit(exitCodeCrashed) }

// stringFlag returns a flag that writes its value to dest, whose current value is the default.
func stringFlag[T ~string](name, usage string, dest *T) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: string(*dest), Action: func(_ context.Context, _ *cli.Command, value string) error {
		*dest = T(value)
		return nil
	}}
}

func intFlag[T ~int | ~int64](name, usage string, dest *T) cli.Flag {
	return &cli.Int64Flag{Name: name, Usage: usage, Value: int64(*dest), Action: func(_ context.Context, _ *cli.Command, value int64) error {
		*dest = T(value)
		return nil
	}}
}

func floatFlag(name, usage string, dest *float64) cli.Flag {
	return &cli.Float64Flag{Name: name, Usage: usage, Value: *dest, Destination: dest}
}

func durationFlag(name, usage string, dest *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: *dest, Destination: dest}
}

func boolFlag(name, usage string, dest *bool) cli.Flag {
	return &cli.BoolFlag{Name: name, Usage: usage, Value: *dest, Destination: dest}
}
