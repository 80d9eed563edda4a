// Package jujubecommand holds the commands of jujubectl. They read arguments and print results; the logic is in the
// services packages.
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

// EnvironPrefix starts the environment variables that are settings.
const EnvironPrefix = "JUJUBECTL"

// Settings are the program's settings: file, environment and flags.
type Settings struct {
	Log           string        `usage:"host:port of the environment's log" validate:"omitempty,hostname_port"`
	Operator      []string      `usage:"host:port of an entry instance's operator listener; may be repeated" validate:"dive,hostname_port"`
	TrialLog      string        `usage:"host:port of the trial environment's log (promote)" validate:"omitempty,hostname_port"`
	TrialOperator []string      `usage:"host:port of a trial instance's operator listener; name all instances (promote)" validate:"dive,hostname_port"`
	Author        string        `usage:"who publishes, for the history"`
	Timeout       time.Duration `default:"5s" usage:"time for one request" validate:"min=10ms,max=10m"`
	Deadline      time.Duration `default:"1m" usage:"time for the whole command, with its retries" validate:"min=10ms,max=1h"`
}

// Program is jujubectl with its output and the parts that are built in.
type Program struct {
	Output io.Writer
	Errors io.Writer
	// Replay runs a trace file and prints to output.
	Replay func(ctx context.Context, file string, output io.Writer) error
}

// NewProgram returns a program without replay.
func NewProgram(output, failures io.Writer) *Program {
	return &Program{Output: output, Errors: failures, Replay: func(context.Context, string, io.Writer) error {
		return errors.New("replay: not built in")
	}}
}

// Run runs a command line and returns the exit code.
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
			p.newStatus(), p.newDrain(), p.newUndrain(), p.newQuarantine(), p.newReplay(), p.newExplain(), p.newDay(),
		},
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(command *cli.Command) { command.Hidden = false },
		// The library would otherwise end the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         refuseUnknown,
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors gives all commands the usage exit code; the library doesn't pass the handler down.
func setUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return ErrUsage{Message: err.Error()}
	}
	for _, child := range command.Commands {
		setUsageErrors(child)
	}
}

// refuseUnknown is the action of a command that only groups others.
func refuseUnknown(_ context.Context, command *cli.Command) error {
	if command.Args().Present() {
		return ErrUsage{Message: fmt.Sprintf("unknown command %q", command.Args().First())}
	}
	return cli.ShowSubcommandHelp(command)
}

// action wraps a command's logic with its settings, the number of its arguments and the deadline.
func (p *Program) action(least, most int, run func(ctx context.Context, command *cli.Command, settings Settings) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if count := command.NArg(); count < least || count > most {
			return ErrUsage{Message: fmt.Sprintf("%s takes %s", command.FullName(), describeCount(least, most))}
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

func describeCount(least, most int) string {
	switch {
	case most == 0:
		return "no argument"
	case most == 1:
		return "1 argument"
	}
	return fmt.Sprintf("%d to %d arguments", least, most)
}

// openLog returns a client of the log; flag names the setting in the error when it is missing.
func openLog(address, flag string, settings Settings) (*jujubeclient.LogClient, func(), error) {
	if address == "" {
		return nil, nil, ErrUsage{Message: "--" + flag + " is required"}
	}
	client, closeIdle := jujubeclient.NewLogClient(address, settings.Timeout)
	return client, closeIdle, nil
}

// openOperators returns clients of the listeners; flag names the setting in the error when there is none.
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

// print writes value as JSON or the tables, by the --json flag.
func (p *Program) print(command *cli.Command, value any, tables ...jujubereport.Table) error {
	if command.Bool("json") {
		return jujubereport.PrintJSON(p.Output, value)
	}
	return jujubereport.PrintTables(p.Output, tables...)
}
