package jujubecommand

import (
	"context"
	stderrors "errors"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/ctl/services/jujubereport"
)

// maxFiles bounds the arguments of replay.
const maxFiles = 1000

func (p *Program) newStatus() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show instances, endpoints, step parts and weight rollouts",
		Action: p.action(0, 0, func(ctx context.Context, command *cli.Command, settings Settings) error {
			clients, closeClients, err := openOperators(settings.Operator, "operator", settings)
			if err != nil {
				return err
			}
			defer closeClients()
			answers := jujubereport.Gather(ctx, clients)
			if err := p.print(command, answers, jujubereport.NewStatusTables(answers)...); err != nil {
				return err
			}
			for _, answer := range answers {
				if answer.Failure != nil {
					return answer.Failure
				}
			}
			return nil
		}),
	}
}

func (p *Program) newDrain() *cli.Command {
	return p.newEndpointOrder("drain", "send no new work to an endpoint", "endpoint %s is leaving", (*jujubeclient.OperatorClient).Drain)
}

func (p *Program) newUndrain() *cli.Command {
	return p.newEndpointOrder("undrain", "let a drained endpoint have new work again", "the drain of endpoint %s is ended",
		(*jujubeclient.OperatorClient).EndDrain)
}

// newEndpointOrder returns a command that tells the instances something about one endpoint.
func (p *Program) newEndpointOrder(name, usage, done string, order func(*jujubeclient.OperatorClient, context.Context, model.EndpointID) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "ENDPOINT",
		Action: p.action(1, 1, func(ctx context.Context, command *cli.Command, settings Settings) error {
			endpoint := model.EndpointID(command.Args().First())
			return p.tell(settings, fmt.Sprintf(done, endpoint), func(client *jujubeclient.OperatorClient) error {
				return order(client, ctx, endpoint)
			})
		}),
	}
}

func (p *Program) newQuarantine() *cli.Command {
	list := &cli.Command{
		Name: "list", Usage: "list requests that crashed endpoints",
		Action: p.action(0, 0, func(ctx context.Context, command *cli.Command, settings Settings) error {
			clients, closeClients, err := openOperators(settings.Operator, "operator", settings)
			if err != nil {
				return err
			}
			defer closeClients()
			var lists [][]model.QuarantineStatus
			var failure error
			for _, client := range clients {
				list, err := client.Quarantine(ctx)
				if err != nil {
					failure = err
				}
				lists = append(lists, list)
			}
			merged := jujubereport.MergeQuarantine(lists...)
			if err := p.print(command, merged, jujubereport.NewQuarantineTable(merged)); err != nil {
				return err
			}
			return failure
		}),
	}
	lift := &cli.Command{
		Name: "lift", Usage: "let a quarantined request run again", ArgsUsage: "FINGERPRINT",
		Action: p.action(1, 1, func(ctx context.Context, command *cli.Command, settings Settings) error {
			fingerprint, err := strconv.ParseUint(command.Args().First(), 0, 64)
			if err != nil {
				return ErrUsage{Message: "FINGERPRINT must be a number, such as 0x00c0ffee00c0ffee"}
			}
			return p.tell(settings, fmt.Sprintf("quarantine of 0x%016x is lifted", fingerprint), func(client *jujubeclient.OperatorClient) error {
				return client.Lift(ctx, model.Fingerprint(fingerprint))
			})
		}),
	}
	return &cli.Command{Name: "quarantine", Usage: "list or lift quarantines", Commands: []*cli.Command{list, lift}, Action: refuseUnknown}
}

// tell sends an operator's order to the first instance that answers; rumours carry it to the others. The orders may be
// repeated, so an instance whose answer is lost does no harm.
func (p *Program) tell(settings Settings, done string, order func(*jujubeclient.OperatorClient) error) error {
	clients, closeClients, err := openOperators(settings.Operator, "operator", settings)
	if err != nil {
		return err
	}
	defer closeClients()
	for _, client := range clients {
		err = order(client)
		if !is[jujubeclient.ErrOperator](err) {
			break
		}
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(p.Output, done)
	return errors.Wrap(err, "print")
}

func (p *Program) newReplay() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay traces and check their expectations", ArgsUsage: "FILE...",
		Action: p.action(1, maxFiles, func(ctx context.Context, command *cli.Command, _ Settings) error {
			var failures []error
			for _, file := range command.Args().Slice() {
				if err := ctx.Err(); err != nil {
					return errors.Wrap(err, "replay")
				}
				if err := p.Replay(ctx, file, p.Output); err != nil {
					failures = append(failures, err)
				}
			}
			return stderrors.Join(failures...)
		}),
	}
}
