package jujubecommand

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jujubepier.example/load/services/jujubeslope"
)

func newSlopes() *cli.Command {
	var names []string
	for _, study := range jujubeslope.Studies() {
		names = append(names, study.Name)
	}
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure the resource usage of an entry instance at several sizes and fit lines to it",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "only", Usage: "studies to run: " + strings.Join(names, ", ")},
			&cli.BoolFlag{Name: "json", Usage: "write the report as JSON"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			only := make(map[string]bool)
			for _, name := range command.StringSlice("only") {
				if !slices.Contains(names, name) {
					return errors.Errorf("unknown study %q", name)
				}
				only[name] = true
			}
			report, err := jujubeslope.Run(ctx, only)
			if err != nil {
				return err
			}
			if command.Bool("json") {
				return report.WriteJSON(command.Root().Writer)
			}
			return report.WriteTable(command.Root().Writer)
		},
	}
}
