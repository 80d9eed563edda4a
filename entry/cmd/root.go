// Package jujubecommand implements the command line of jujubepier.
package jujubecommand

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"jujubepier.example/core/modules/jujubeevent"
	"jujubepier.example/core/modules/jujubesetting"
	"jujubepier.example/entry/routers/jujubeserver"
	"jujubepier.example/entry/services/jujubeentry"
)

// envPrefix is the prefix of the environment variables for settings.
const envPrefix = "JUJUBEPIER"

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name: "jujubepier", Usage: "run an entry instance of the rollout service", EnableShellCompletion: true,
		Commands: []*cli.Command{newServe(), newCheck()},
	}
}

func newServe() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "serve callers until SIGINT or SIGTERM, then shut down gracefully",
		Flags: jujubesetting.Flags[jujubeentry.Settings](),
		Action: func(ctx context.Context, command *cli.Command) error {
			settings, err := loadSettings(command)
			if err != nil {
				return err
			}
			logger, err := jujubeevent.NewLogger(os.Stderr, settings.LogLevel, settings.LogFormat)
			if err != nil {
				return err
			}
			server, _, err := jujubeserver.Start(ctx, settings, logger)
			if err != nil {
				return err
			}
			<-server.Done
			return server.Err
		},
	}
}

func newCheck() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check the settings and exit",
		Flags: jujubesetting.Flags[jujubeentry.Settings](),
		Action: func(_ context.Context, command *cli.Command) error {
			_, err := loadSettings(command)
			return err
		},
	}
}

func loadSettings(command *cli.Command) (jujubeentry.Settings, error) {
	settings := jujubeentry.DefaultSettings()
	if err := jujubesetting.LoadCommand(command, envPrefix, &settings); err != nil {
		return settings, err
	}
	return settings, settings.Check()
}
