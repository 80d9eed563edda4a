package jujubecommand

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jujubepier.example/ctl/services/jujubeday"
	"jujubepier.example/ctl/services/jujubeexplain"
	"jujubepier.example/ctl/services/jujubereport"
)

func (p *Program) newExplain() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the log lines about a request, item, submission, endpoint or instance, and causes of failures and delays",
		ArgsUsage: "ID FILE...",
		Action: p.newAction(2, maxFiles, func(_ context.Context, command *cli.Command, _ Settings) error {
			arguments := command.Args().Slice()
			reader := jujubeexplain.NewReader(arguments[0])
			for _, file := range arguments[1:] {
				if err := readLog(reader, file); err != nil {
					return err
				}
			}
			explanation, err := reader.Explain()
			if err != nil {
				return err
			}
			tables, err := newExplanationTables(explanation)
			if err != nil {
				return err
			}
			return p.print(command, explanation, tables...)
		}),
	}
}

func (p *Program) newDay() *cli.Command {
	return &cli.Command{
		Name: "day", Usage: "write an HTML page with plots of steps, engines, weight versions and refusals from logs of instances",
		ArgsUsage: "FILE...",
		Action: p.newAction(1, maxFiles, func(_ context.Context, command *cli.Command, _ Settings) error {
			summary := jujubeday.New()
			for _, file := range command.Args().Slice() {
				if err := readLog(summary, file); err != nil {
					return err
				}
			}
			summary.CloseOpenRuns()
			return summary.WritePage(p.Output)
		}),
	}
}

// logReader parses the log of an instance.
type logReader interface {
	Read(name string, input io.Reader) error
}

// readLog passes a log file to the reader. The instance is named after the file, without its extension.
func readLog(reader logReader, file string) error {
	input, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	err = reader.Read(strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), input)
	if closeErr := input.Close(); err == nil {
		err = errors.Wrap(closeErr, "close log")
	}
	return err
}

// newExplanationTables returns a table of the lines, with times relative to the first line, and a table of the causes.
func newExplanationTables(explanation *jujubeexplain.Explanation) ([]jujubereport.Table, error) {
	lines := jujubereport.Table{
		Title: string(explanation.Kind) + " " + explanation.ID, Columns: []string{"AFTER", "INSTANCE", "EVENT", "NAME", "FIELDS"},
	}
	for _, line := range explanation.Lines {
		fields, err := json.Marshal(line.Fields)
		if err != nil {
			return nil, errors.Wrap(err, "encode fields")
		}
		after := line.Time.Sub(explanation.Lines[0].Time).Round(time.Millisecond)
		lines.Add(after, line.Instance, line.Event, line.Name, string(fields))
	}
	causes := jujubereport.Table{Columns: []string{"CAUSES"}}
	for _, cause := range explanation.Causes {
		causes.Add(cause)
	}
	if len(causes.Rows) == 0 {
		causes.Add("no failure or delay was found in the lines")
	}
	return []jujubereport.Table{lines, causes}, nil
}
