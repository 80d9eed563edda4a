// Command main is jujubectl, the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	jujubecommand "jujubepier.example/ctl/cmd"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return jujubecommand.NewProgram(os.Stdout, os.Stderr).Run(ctx, os.Args)
}
