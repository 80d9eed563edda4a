package jujubecommand

import (
	"context"

	"github.com/urfave/cli/v3"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/load/services/jujubetrainer"
)

func newTrain() *cli.Command {
	return &cli.Command{
		Name:  "train",
		Usage: "emulate a trainer that uses running entry instances",
		Flags: append(stepFlags(),
			&cli.StringSliceFlag{Name: "address", Required: true, Usage: "caller address of an entry instance; may be repeated"},
			&cli.StringFlag{Name: "trainer", Value: "sump-policy", Usage: "name of the trainer in the environment document"},
			&cli.StringFlag{Name: "model", Value: "faultserve", Usage: "model of the trainer"},
			&cli.StringFlag{Name: "data-centre", Usage: "data centre of the trainer"},
			&cli.StringFlag{Name: "store", Usage: "base URL of the weight store"},
			&cli.IntFlag{Name: "staleness-bound", Value: 1, Usage: "staleness bound that the environment document sets, in weight versions"},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			settings := trainerSettings(command)
			settings.Trainer = model.TrainerID(command.String("trainer"))
			settings.Model = model.ModelName(command.String("model"))
			settings.DataCentre = model.DataCentre(command.String("data-centre"))
			settings.Addresses = command.StringSlice("address")
			settings.StoreURL = command.String("store")
			settings.StalenessBound = model.WeightVersion(command.Int("staleness-bound"))
			out := command.Root().Writer
			display := newProgressDisplay(out)
			settings.Progress = display.show
			results, err := jujubetrainer.New(settings).Run(ctx)
			display.end()
			writeSummary(out, results)
			return err
		},
	}
}
