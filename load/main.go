// Command jujubeload emulates trainers and callers and runs benchmarks of the service.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	jujubecommand "jujubepier.example/load/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := jujubecommand.New().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jujubeload:", err)
		os.Exit(1)
	}
}
