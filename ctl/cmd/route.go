package jujubecommand

import (
	"context"
	"net/url"
	"strings"

	"github.com/urfave/cli/v3"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/ctl/services/jujubereport"
)

func (p *Program) newRoute() *cli.Command {
	flags := []struct{ name, parameter, usage string }{
		{"model", "Model", "name of the model"},
		{"service", "Service", "name of the plain service"},
		{"caller", "Caller", "id of the caller"},
		{"priority", "Priority", "0 interactive, 1 trainer, 2 background"},
		{"prompt", "Prompt", "prompt, of which the beginning counts"},
		{"prefix", "Prefix", "key of the prompt's prefix"},
		{"max-tokens", "MaxTokens", "highest number of tokens to generate"},
	}
	command := &cli.Command{Name: "route", Usage: "explain where a request would go now, and why, without sending it"}
	for _, flag := range flags {
		command.Flags = append(command.Flags, &cli.StringFlag{Name: flag.name, Usage: flag.usage})
	}
	command.Action = p.newAction(0, 0, func(ctx context.Context, command *cli.Command, settings Settings) error {
		query := url.Values{}
		for _, flag := range flags {
			if command.IsSet(flag.name) {
				query.Set(flag.parameter, command.String(flag.name))
			}
		}
		if query.Has("Model") == query.Has("Service") {
			return ErrUsage{Message: "either --model or --service is required"}
		}
		clients, closeClients, err := openOperators(settings.Operator, "operator", settings)
		if err != nil {
			return err
		}
		defer closeClients()
		var explanation model.RouteExplanation
		for _, client := range clients {
			if explanation, err = client.ExplainRoute(ctx, query); !isErr[jujubeclient.ErrOperator](err) {
				break
			}
		}
		if err != nil {
			return err
		}
		return p.print(command, explanation, newRouteTables(explanation)...)
	})
	return command
}

// newRouteTables returns tables of the decision, the endpoints and the waiting requests.
func newRouteTables(e model.RouteExplanation) []jujubereport.Table {
	var choices []string
	for _, id := range e.Choices {
		choices = append(choices, string(id))
	}
	decision := jujubereport.Table{Columns: []string{"INSTANCE", "DECISION", "CODE", "REASON", "WAIT", "RETRY-AFTER", "ONE-OF"}}
	decision.Add(e.Instance, e.Decision, e.Code, e.Reason, e.ExpectedWait.Std(), e.RetryAfter.Std(), strings.Join(choices, " "))
	endpoints := jujubereport.Table{Title: "ENDPOINTS", Columns: []string{
		"ENDPOINT", "EXCLUDED", "WAIT", "SLOWDOWN", "PREFILL", "DELAYED", "RUNNING", "WAITING", "IN-FLIGHT", "SHARE", "KEEPS-PROMPT",
	}}
	for _, x := range e.Endpoints {
		endpoints.Add(x.Endpoint, x.Excluded, x.ExpectedWait.Std(), x.Slowdown.Std(), x.Prefill.Std(), x.Delayed.Std(),
			x.Running, x.Waiting, x.InFlight, x.Share, x.KeepsPrompt)
	}
	queue := jujubereport.Table{Title: "WAITING REQUESTS", Columns: []string{"PRIORITY", "WAITING", "AHEAD"}}
	for _, c := range e.Queue {
		queue.Add(c.Priority, c.Waiting, c.Ahead)
	}
	return []jujubereport.Table{decision, endpoints, queue}
}
