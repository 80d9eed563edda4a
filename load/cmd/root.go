// Package jujubecommand holds the command line of the load tool.
package jujubecommand

import "github.com/urfave/cli/v3"

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name: "jujubeload", Usage: "emulate trainers and callers, and run benchmarks", EnableShellCompletion: true,
		Commands: []*cli.Command{newDemo(), newTrain(), newBench(), newHop(), newOverload(), newSlopes()},
	}
}
