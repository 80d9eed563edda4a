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
		Name: "explain", Usage: "show what instances' logs say of a request, item, submission or endpoint, and why it failed",
		ArgsUsage: "ID FILE...",
		Action: p.action(2, maxFiles, func(_ context.Context, command *cli.Command, _ Settings) error {
			arguments := command.Args().Slice()
			reader := jujubeexplain.NewReader(arguments[0])
			for _, file := range arguments[1:] {
				if err := readLog(reader, file); err != nil {
					return err
				}
			}
			story, err := reader.Story()
			if err != nil {
				return err
			}
			tables, err := newStoryTables(story)
			if err != nil {
				return err
			}
			return p.print(command, story, tables...)
		}),
	}
}

func (p *Program) newDay() *cli.Command {
	return &cli.Command{
		Name: "day", Usage: "write a page with plots of steps, engines, versions and refusals from instances' logs",
		ArgsUsage: "FILE...",
		Action: p.action(1, maxFiles, func(_ context.Context, command *cli.Command, _ Settings) error {
			day := jujubeday.New()
			for _, file := range command.Args().Slice() {
				if err := readLog(day, file); err != nil {
					return err
				}
			}
			day.Close()
			return day.WritePage(p.Output)
		}),
	}
}

// logReader takes an instance's log.
type logReader interface {
	Read(name string, input io.Reader) error
}

// readLog reads a file; the instance is called as the file is, without its ending.
func readLog(reader logReader, file string) error {
	input, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	err = reader.Read(strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), input)
	if closed := input.Close(); err == nil {
		err = errors.Wrap(closed, "close log")
	}
	return err
}

func newStoryTables(story *jujubeexplain.Story) ([]jujubereport.Table, error) {
	lines := jujubereport.Table{Title: string(story.Kind) + " " + story.ID, Columns: []string{"AFTER", "INSTANCE", "EVENT", "NAME", "FIELDS"}}
	for _, line := range story.Lines {
		fields, err := json.Marshal(line.Fields)
		if err != nil {
			return nil, errors.Wrap(err, "print fields")
		}
		after := line.Time.Sub(story.Lines[0].Time).Round(time.Millisecond)
		lines.Add(after, line.Instance, line.Event, line.Name, string(fields))
	}
	causes := jujubereport.Table{Columns: []string{"CAUSES"}}
	for _, cause := range story.Causes {
		causes.Add(cause)
	}
	if len(causes.Rows) == 0 {
		causes.Add("the lines name no failure and no delay")
	}
	return []jujubereport.Table{lines, causes}, nil
}
