// Command jujubestandin runs emulators of the external systems that the service depends on.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	jujubecommand "jujubepier.example/standin/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := jujubecommand.New().Run(ctx, os.Args); err != nil {
		logrus.WithError(err).Error("emulator failed")
		os.Exit(1)
	}
}
