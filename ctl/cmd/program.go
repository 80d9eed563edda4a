// Package jujubecommand implements the commands of jujubectl. The commands parse arguments and print results; the logic is in
// the packages under services.
package jujubecommand

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubesetting"
	"jujubepier.example/ctl/services/jujubereport"
)

// EnvironPrefix is the prefix of the environment variables for settings.
const EnvironPrefix = "JUJUBECTL"

// Settings holds the program's settings, which are read from a file, the environment and the flags.
type Settings struct {
	Log           string        `usage:"host:port of the environment's log" validate:"omitempty,hostname_port"`
	Operator      []string      `usage:"host:port of an entry instance's operator listener; may be repeated" validate:"dive,hostname_port"`
	TrialLog      string        `usage:"host:port of the trial environment's log (promote)" validate:"omitempty,hostname_port"`
	TrialOperator []string      `usage:"host:port of a trial instance's operator listener; name all instances (promote)" validate:"dive,hostname_port"`
	Author        string        `usage:"name of the author, shown in the history"`
	Timeout       time.Duration `default:"5s" usage:"timeout of a single request" validate:"min=10ms,max=10m"`
	Deadline      time.Duration `default:"1m" usage:"timeout of the whole command, including retries" validate:"min=10ms,max=1h"`
}

// Program is jujubectl with its outputs and its replaceable parts.
type Program struct {
	Output io.Writer
	Errors io.Writer
	// Replay replays a trace file and prints the result to output.
	Replay func(ctx context.Context, file string, output io.Writer) error
}

// NewProgram returns a program whose replay command fails until Replay is set.
func NewProgram(output, errorOutput io.Writer) *Program {
	return &Program{Output: output, Errors: errorOutput, Replay: func(context.Context, string, io.Writer) error {
		return errors.New("replay: not built in")
	}}
}

// Run executes a command line and returns the exit code.
func (p *Program) Run(ctx context.Context, arguments []string) int {
	err := p.newRoot().Run(ctx, arguments)
	if err != nil {
		_, _ = fmt.Fprintln(p.Errors, err)
	}
	return exitCode(err)
}

func (p *Program) newRoot() *cli.Command {
	root := &cli.Command{
		Name:      "jujubectl",
		Usage:     "operate a jujubepier environment",
		Writer:    p.Output,
		ErrWriter: p.Errors,
		Flags:     append(jujubesetting.Flags[Settings](), &cli.BoolFlag{Name: "json", Usage: "print JSON instead of tables"}),
		Commands: []*cli.Command{
			p.newCheck(), p.newDiff(), p.newPublish(), p.newPromote(), p.newRestore(), p.newHistory(),
			p.newStatus(), p.newRoute(), p.newDrain(), p.newUndrain(), p.newQuarantine(), p.newReplay(), p.newExplain(), p.newDay(),
		},
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(command *cli.Command) { command.Hidden = false },
		// Without a handler, the library would end the process on an error.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         rejectUnknownCommand,
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes a command and its subcommands return ErrUsage for usage errors. The library doesn't pass the handler
// on to subcommands.
func setUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return ErrUsage{Message: err.Error()}
	}
	for _, child := range command.Commands {
		setUsageErrors(child)
	}
}

// rejectUnknownCommand is the action of a command that only groups subcommands. It prints the help text, or returns ErrUsage if
// there is an argument.
func rejectUnknownCommand(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return ErrUsage{Message: fmt.Sprintf("unknown command %q", command.Args().First())}
	}
	return cli.ShowSubcommandHelp(command)
}

// newAction returns an action that checks the number of arguments, loads the settings and calls run with the deadline.
func (p *Program) newAction(
	minArguments, maxArguments int, run func(ctx context.Context, command *cli.Command, settings Settings) error,
) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if count := command.NArg(); count < minArguments || count > maxArguments {
			return ErrUsage{Message: fmt.Sprintf("%s takes %s", command.FullName(), describeArgumentCount(minArguments, maxArguments))}
		}
		var settings Settings
		if err := jujubesetting.LoadCommand(command, EnvironPrefix, &settings); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, settings.Deadline)
		defer cancel()
		return run(ctx, command, settings)
	}
}

func describeArgumentCount(minCount, maxCount int) string {
	switch {
	case maxCount == 0:
		return "no argument"
	case maxCount == 1:
		return "1 argument"
	}
	return fmt.Sprintf("%d to %d arguments", minCount, maxCount)
}

// openLog returns a client of the log and a function that closes its connections. If address is empty, the error names flag.
func openLog(address, flag string, settings Settings) (*jujubeclient.LogClient, func(), error) {
	if address == "" {
		return nil, nil, ErrUsage{Message: "--" + flag + " is required"}
	}
	client, closeIdle := jujubeclient.NewLogClient(address, settings.Timeout)
	return client, closeIdle, nil
}

// openOperators returns clients of the operator listeners and a function that closes their connections. If there are no
// addresses, the error names flag.
func openOperators(addresses []string, flag string, settings Settings) ([]*jujubeclient.OperatorClient, func(), error) {
	if len(addresses) == 0 {
		return nil, nil, ErrUsage{Message: "--" + flag + " is required"}
	}
	var clients []*jujubeclient.OperatorClient
	var closers []func()
	for _, address := range addresses {
		client, closeIdle := jujubeclient.NewOperatorClient(address, settings.Timeout)
		clients, closers = append(clients, client), append(closers, closeIdle)
	}
	return clients, func() {
		for _, closeIdle := range closers {
			closeIdle()
		}
	}, nil
}

// print writes value as JSON if --json is set, and the tables otherwise.
func (p *Program) print(command *cli.Command, value any, tables ...jujubereport.Table) error {
	if command.Bool("json") {
		return jujubereport.PrintJSON(p.Output, value)
	}
	return jujubereport.PrintTables(p.Output, tables...)
}
