// Command jujubectl is the command line with which operators manage a jujubepier environment.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"jujubepier.example/core/services/jujubetrace"
	jujubecommand "jujubepier.example/ctl/cmd"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program := jujubecommand.NewProgram(os.Stdout, os.Stderr)
	program.Replay = replay
	return program.Run(ctx, os.Args)
}

func replay(_ context.Context, file string, output io.Writer) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "replay")
	}
	return jujubetrace.Replay(file, data, output)
}
