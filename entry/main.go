// Command jujubepier runs one entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	jujubecommand "jujubepier.example/entry/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := jujubecommand.New().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jujubepier:", err)
		os.Exit(1)
	}
}
