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

// maxFiles bounds the number of files that replay, day and explain accept; for explain it includes the id.
const maxFiles = 1000

func (p *Program) newStatus() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show instances, endpoints, step parts and weight rollouts",
		Action: p.newAction(0, 0, func(ctx context.Context, command *cli.Command, settings Settings) error {
			clients, closeClients, err := openOperators(settings.Operator, "operator", settings)
			if err != nil {
				return err
			}
			defer closeClients()
			responses := jujubereport.CollectStatus(ctx, clients)
			if err := p.print(command, responses, jujubereport.NewStatusTables(responses)...); err != nil {
				return err
			}
			for _, response := range responses {
				if response.Failure != nil {
					return response.Failure
				}
			}
			return nil
		}),
	}
}

func (p *Program) newDrain() *cli.Command {
	return p.newEndpointCommand("drain", "send no new work to an endpoint", "endpoint %s is leaving",
		(*jujubeclient.OperatorClient).Drain)
}

func (p *Program) newUndrain() *cli.Command {
	return p.newEndpointCommand("undrain", "send new work to a drained endpoint again", "endpoint %s is no longer drained",
		(*jujubeclient.OperatorClient).EndDrain)
}

// newEndpointCommand returns a command that sends a request about one endpoint to the instances. confirmation is the format of
// the text that is printed on success.
func (p *Program) newEndpointCommand(
	name, usage, confirmation string, send func(*jujubeclient.OperatorClient, context.Context, model.EndpointID) error,
) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "ENDPOINT",
		Action: p.newAction(1, 1, func(ctx context.Context, command *cli.Command, settings Settings) error {
			endpoint := model.EndpointID(command.Args().First())
			return p.sendToAny(settings, fmt.Sprintf(confirmation, endpoint), func(client *jujubeclient.OperatorClient) error {
				return send(client, ctx, endpoint)
			})
		}),
	}
}

func (p *Program) newQuarantine() *cli.Command {
	list := &cli.Command{
		Name: "list", Usage: "list the fingerprints of requests that crashed endpoints",
		Action: p.newAction(0, 0, func(ctx context.Context, command *cli.Command, settings Settings) error {
			clients, closeClients, err := openOperators(settings.Operator, "operator", settings)
			if err != nil {
				return err
			}
			defer closeClients()
			var lists [][]model.QuarantineStatus
			var failure error
			for _, client := range clients {
				list, err := client.ListQuarantine(ctx)
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
		Name: "lift", Usage: "allow a quarantined request to run again", ArgsUsage: "FINGERPRINT",
		Action: p.newAction(1, 1, func(ctx context.Context, command *cli.Command, settings Settings) error {
			fingerprint, err := strconv.ParseUint(command.Args().First(), 0, 64)
			if err != nil {
				return ErrUsage{Message: "FINGERPRINT must be a number, such as 0x00c0ffee00c0ffee"}
			}
			return p.sendToAny(settings, fmt.Sprintf("quarantine of 0x%016x is lifted", fingerprint), func(client *jujubeclient.OperatorClient) error {
				return client.LiftQuarantine(ctx, model.Fingerprint(fingerprint))
			})
		}),
	}
	return &cli.Command{
		Name: "quarantine", Usage: "list or lift quarantines", Commands: []*cli.Command{list, lift}, Action: rejectUnknownCommand,
	}
}

// sendToAny sends an operator's request to the first instance that responds and prints the confirmation. Gossip updates pass
// the request to the other instances. The requests are idempotent, so it does no harm if an instance applied one and its
// response was lost.
func (p *Program) sendToAny(settings Settings, confirmation string, send func(*jujubeclient.OperatorClient) error) error {
	clients, closeClients, err := openOperators(settings.Operator, "operator", settings)
	if err != nil {
		return err
	}
	defer closeClients()
	for _, client := range clients {
		err = send(client)
		if !isErr[jujubeclient.ErrOperator](err) {
			break
		}
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(p.Output, confirmation)
	return errors.Wrap(err, "print")
}

func (p *Program) newReplay() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "replay traces and check their expectations", ArgsUsage: "FILE...",
		Action: p.newAction(1, maxFiles, func(ctx context.Context, command *cli.Command, _ Settings) error {
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
