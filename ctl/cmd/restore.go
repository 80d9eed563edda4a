package jujubecommand

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/ctl/services/jujubepublish"
)

func toInstances(clients []*jujubeclient.OperatorClient) []jujubepublish.Instance {
	instances := make([]jujubepublish.Instance, 0, len(clients))
	for _, client := range clients {
		instances = append(instances, client)
	}
	return instances
}

func (p *Program) newRestore() *cli.Command {
	return &cli.Command{
		Name: "restore", ArgsUsage: "FILE",
		Usage: "put a document in force after all instances were stopped for longer than the log retains its records",
		Flags: []cli.Flag{&cli.Int64Flag{
			Name: "revision", Required: true, Usage: "a revision higher than any that was ever in force",
		}},
		Action: p.newAction(1, 1, func(ctx context.Context, command *cli.Command, settings Settings) error {
			data, log, closeLog, err := readDocumentAndOpenLog(command, settings)
			if err != nil {
				return err
			}
			defer closeLog()
			clients, closeClients, err := openOperators(settings.Operator, "operator", settings)
			if err != nil {
				return err
			}
			defer closeClients()
			state, err := jujubepublish.Restore(ctx, log, toInstances(clients), data, command.Int64("revision"), settings.Author)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(p.Output, "revision %d is in force\n", state.Revision)
			return errors.Wrap(err, "print")
		}),
	}
}
