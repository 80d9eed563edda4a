package jujubecommand

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	model "jujubepier.example/core/models/jujubemodel"
	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/services/jujubedocument"
	"jujubepier.example/ctl/services/jujubepublish"
	"jujubepier.example/ctl/services/jujubereport"
)

// inForce is the argument that names the document in force instead of a file.
const inForce = "in-force"

func (p *Program) newCheck() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a document and report all its problems", ArgsUsage: "FILE",
		Action: p.newAction(1, 1, func(_ context.Context, command *cli.Command, _ Settings) error {
			data, document, err := readDocument(command.Args().First())
			if err != nil {
				return err
			}
			table := jujubereport.Table{Columns: []string{"DIGEST", "TRAINERS", "MODELS", "SERVICES", "CALLERS"}}
			table.Add(jujubedocument.Digest(data), len(document.Trainers), len(document.Models), len(document.Services), len(document.Callers))
			values := map[string]string{}
			for _, value := range jujubedocument.Diff(nil, document) {
				values[value.Key] = value.To
			}
			return p.print(command, map[string]any{"Digest": jujubedocument.Digest(data), "Values": values}, table)
		}),
	}
}

func (p *Program) newDiff() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "list the values that differ; FROM defaults to the document in force",
		ArgsUsage: "[FROM] TO   (a file, or " + inForce + ")",
		Action: p.newAction(1, 2, func(ctx context.Context, command *cli.Command, settings Settings) error {
			from, to := command.Args().Get(0), command.Args().Get(1)
			if to == "" {
				from, to = inForce, from
			}
			fromDocument, err := readDocumentOrInForce(ctx, from, settings)
			if err != nil {
				return err
			}
			toDocument, err := readDocumentOrInForce(ctx, to, settings)
			if err != nil {
				return err
			}
			changes := jujubedocument.Diff(fromDocument, toDocument)
			table := jujubereport.Table{Columns: []string{"KEY", "FROM", "TO"}}
			for _, change := range changes {
				table.Add(change.Key, change.From, change.To)
			}
			return p.print(command, append([]jujubedocument.Change{}, changes...), table)
		}),
	}
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "id", Usage: "ID of the change; reuse it to repeat a command whose outcome is unknown"},
		&cli.Int64Flag{Name: "base", Usage: "revision that the change replaces", Value: jujubepublish.CurrentBase, DefaultText: "the one in force"},
		&cli.StringFlag{Name: "note", Usage: "reason for the change, shown in the history"},
	}
}

// newChange returns the change that the flags describe, without its document. The ID defaults to a random one, the author to
// the environment variable USER.
func newChange(command *cli.Command, settings Settings) jujubepublish.Change {
	change := jujubepublish.Change{ID: command.String("id"), Base: command.Int64("base"), Note: command.String("note"), Author: settings.Author}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if change.Author == "" {
		change.Author = os.Getenv("USER")
	}
	return change
}

// readDocumentAndOpenLog reads and checks the document that is the command's argument, and opens the environment's log.
func readDocumentAndOpenLog(command *cli.Command, settings Settings) ([]byte, *jujubeclient.LogClient, func(), error) {
	data, _, err := readDocument(command.Args().First())
	if err != nil {
		return nil, nil, nil, err
	}
	log, closeLog, err := openLog(settings.Log, "log", settings)
	return data, log, closeLog, err
}

func (p *Program) newPublish() *cli.Command {
	return &cli.Command{
		Name: "publish", Usage: "put a document in force", ArgsUsage: "FILE", Flags: changeFlags(),
		Action: p.newAction(1, 1, func(ctx context.Context, command *cli.Command, settings Settings) error {
			data, log, closeLog, err := readDocumentAndOpenLog(command, settings)
			if err != nil {
				return err
			}
			defer closeLog()
			change := newChange(command, settings)
			change.Document = data
			result, err := jujubepublish.Publish(ctx, log, change)
			return p.printResult(command, result, err)
		}),
	}
}

func (p *Program) newPromote() *cli.Command {
	return &cli.Command{
		Name: "promote", Usage: "publish the document in force in the trial environment to this environment", Flags: changeFlags(),
		Action: p.newAction(0, 0, func(ctx context.Context, command *cli.Command, settings Settings) error {
			trial, closeTrial, err := openLog(settings.TrialLog, "trial-log", settings)
			if err != nil {
				return err
			}
			defer closeTrial()
			log, closeLog, err := openLog(settings.Log, "log", settings)
			if err != nil {
				return err
			}
			defer closeLog()
			clients, closeClients, err := openOperators(settings.TrialOperator, "trial-operator", settings)
			if err != nil {
				return err
			}
			defer closeClients()
			instances := toInstances(clients)
			result, err := jujubepublish.Promote(ctx, trial, log, instances, newChange(command, settings))
			return p.printResult(command, result, err)
		}),
	}
}

// publishOutput is the JSON output of publish and promote for all outcomes. Change is absent if no change was appended or its
// outcome is unknown; ExitCode distinguishes the two.
type publishOutput struct {
	ExitCode  int
	Unchanged bool
	Change    *model.ConfigOutcome `json:",omitempty"`
	// Revision and Digest are those in force when the outcome was read. Revision is 0 if the outcome could not be read.
	Revision int64
	Digest   string
}

// printResult prints the outcome of publish or promote and returns err.
func (p *Program) printResult(command *cli.Command, result jujubepublish.Result, err error) error {
	if command.Bool("json") {
		printed := publishOutput{
			ExitCode: exitCode(err), Unchanged: result.Unchanged, Revision: result.InForce.Revision, Digest: result.InForce.Digest,
		}
		if result.Outcome.ID != "" {
			printed.Change = &result.Outcome
		}
		if printErr := jujubereport.PrintJSON(p.Output, printed); printErr != nil {
			return printErr
		}
		return err
	}
	if err != nil {
		return err
	}
	message := fmt.Sprintf("change %s is accepted as revision %d\n", result.Outcome.ID, result.Outcome.Revision)
	switch {
	case result.Unchanged:
		message = fmt.Sprintf("the document is already in force as revision %d\n", result.InForce.Revision)
	case result.InForce.Revision > result.Outcome.Revision:
		message += fmt.Sprintf("revision %d has replaced it\n", result.InForce.Revision)
	}
	_, err = io.WriteString(p.Output, message)
	return errors.Wrap(err, "print")
}

func (p *Program) newHistory() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the latest changes, oldest first",
		Action: p.newAction(0, 0, func(ctx context.Context, command *cli.Command, settings Settings) error {
			log, closeLog, err := openLog(settings.Log, "log", settings)
			if err != nil {
				return err
			}
			defer closeLog()
			state, err := jujubepublish.ReadState(ctx, log)
			if err != nil {
				return err
			}
			return p.print(command, append([]model.ConfigOutcome{}, state.History...), jujubereport.NewHistoryTable(state.History))
		}),
	}
}

func readDocument(file string) ([]byte, *jujubedocument.Document, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, nil, ErrUsage{Message: err.Error()}
	}
	if info.Size() > jujubedocument.MaxBytes {
		return nil, nil, ErrUsage{
			Message: fmt.Sprintf("%s has %d bytes; a document may have at most %d", file, info.Size(), jujubedocument.MaxBytes),
		}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, ErrUsage{Message: err.Error()}
	}
	document, err := jujubedocument.Parse(file, data)
	return data, document, err
}

// readDocumentOrInForce reads a document from a file or, by the name inForce, from the log. It returns nil for the document in
// force if no change has been accepted yet.
func readDocumentOrInForce(ctx context.Context, name string, settings Settings) (*jujubedocument.Document, error) {
	if name != inForce {
		_, document, err := readDocument(name)
		return document, err
	}
	log, closeLog, err := openLog(settings.Log, "log", settings)
	if err != nil {
		return nil, err
	}
	defer closeLog()
	state, err := jujubepublish.ReadState(ctx, log)
	if err != nil || !state.InForce() {
		return nil, err
	}
	return jujubedocument.Parse(fmt.Sprintf("revision %d", state.Revision), []byte(state.Document))
}
