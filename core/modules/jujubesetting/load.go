// Package jujubesetting loads a program's settings into a struct. Later sources override earlier ones: values already in the
// struct and the `default` tags, the YAML file, environment variables, command-line flags.
package jujubesetting

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"jujubepier.example/core/modules/jujubeyaml"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

// FlagFile is the name of the flag for the path of the settings file.
const FlagFile = "settings"

// ErrSetting is one problem in the settings.
type ErrSetting struct {
	// Source is the file, environment variable or flag that set the value, or "default" if none did.
	Source string
	// Line and Column are zero unless the source is a file.
	Line   int
	Column int
	Key    string
	Reason string
}

// Error returns the source, the position, the key and the reason.
func (e ErrSetting) Error() string {
	location := e.Source
	if e.Line > 0 {
		location += fmt.Sprintf(":%d:%d", e.Line, e.Column)
	}
	if e.Key != "" {
		location += ": " + e.Key
	}
	return location + ": " + e.Reason
}

// ErrSettings holds all problems in the settings.
type ErrSettings []ErrSetting

// Error returns the problems, one per line.
func (e ErrSettings) Error() string {
	lines := make([]string, len(e))
	for i, problem := range e {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, so that errors.As finds an ErrSetting.
func (e ErrSettings) Unwrap() []error {
	list := make([]error, len(e))
	for i, problem := range e {
		list[i] = problem
	}
	return list
}

// IsErrSetting returns the problems of the ErrSettings in the chain of an error, and whether there is one.
func IsErrSetting(err error) ([]ErrSetting, bool) {
	var problems ErrSettings
	ok := errors.As(err, &problems)
	return problems, ok
}

// Load loads settings from a file, or none if file is "", and from the environment variables that begin with environPrefix
// and an underscore. A variable with this prefix that corresponds to no key is rejected, as it is probably misspelt.
func Load[T any](file string, environPrefix string, settings *T) error {
	return load(file, environPrefix, nil, settings)
}

// LoadCommand is like Load, and also applies the flags of a command whose flags were created by Flags. The settings file is
// the value of FlagFile.
func LoadCommand[T any](command *cli.Command, environPrefix string, settings *T) error {
	flags := map[string]string{}
	for _, leaf := range listLeaves(settings) {
		if command.IsSet(leaf.flag()) {
			flags[leaf.path] = command.String(leaf.flag())
			if leaf.isList() {
				flags[leaf.path] = strings.Join(command.StringSlice(leaf.flag()), ",")
			}
		}
	}
	return load(command.String(FlagFile), environPrefix, flags, settings)
}

// Flags returns the flag for the settings file and one flag for each key of T. The flag of a list may be repeated. The values
// are text and are validated when they are loaded.
func Flags[T any]() []cli.Flag {
	flags := []cli.Flag{&cli.StringFlag{Name: FlagFile, Usage: "YAML file with settings"}}
	for _, leaf := range listLeaves(new(T)) {
		usage := leaf.field.Tag.Get("usage")
		if value := leaf.field.Tag.Get("default"); value != "" {
			usage = strings.TrimSpace(usage + " (default " + value + ")")
		}
		if leaf.isList() {
			flags = append(flags, &cli.StringSliceFlag{Name: leaf.flag(), Usage: usage, HideDefault: true})
			continue
		}
		flags = append(flags, &cli.StringFlag{Name: leaf.flag(), Usage: usage, HideDefault: true})
	}
	return flags
}

// loader collects the problems and records which source set a key, so that a violated rule is reported with its source.
type loader struct {
	problems ErrSettings
	// sources maps the path of a key to the source that set it last.
	sources map[string]string
}

func load(file, environPrefix string, flags map[string]string, settings any) error {
	l := &loader{sources: map[string]string{}}
	leaves := listLeaves(settings)
	for _, leaf := range leaves {
		if text := leaf.field.Tag.Get("default"); text != "" && leaf.value.IsZero() {
			l.set(leaf, "default", text)
		}
	}
	positions := jujubeyaml.Positions{}
	if file != "" {
		data, err := readFile(file)
		if err != nil {
			return err
		}
		var problems []jujubeyaml.Problem
		positions, problems = jujubeyaml.Decode(data, settings)
		for path := range positions {
			l.sources[path] = file
		}
		for _, p := range problems {
			l.problems = append(l.problems, ErrSetting{Source: file, Line: p.Line, Column: p.Column, Key: p.Key, Reason: p.Reason})
		}
	}
	l.applyEnviron(leaves, environPrefix)
	for _, leaf := range leaves {
		if text, ok := flags[leaf.path]; ok {
			l.set(leaf, "--"+leaf.flag(), text)
		}
	}
	violations, err := jujubeyaml.Check(settings, positions, nil)
	if err != nil {
		return errors.Wrap(err, "check settings")
	}
	for _, violation := range violations {
		l.reportViolation(violation, file)
	}
	if len(l.problems) > 0 {
		return l.problems
	}
	return nil
}

// readFile reads a regular file of at most MaxFileBytes. The limit rejects a file that was given by mistake.
func readFile(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, ErrSettings{{Source: file, Reason: err.Error()}}
	}
	if info.Size() > MaxFileBytes || !info.Mode().IsRegular() {
		return nil, ErrSettings{{Source: file, Reason: fmt.Sprintf("must be a regular file of at most %d bytes", MaxFileBytes)}}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrSettings{{Source: file, Reason: err.Error()}}
	}
	return data, nil
}

func (l *loader) set(leaf leaf, source, text string) {
	l.sources[leaf.path] = source
	if err := leaf.set(text); err != nil {
		l.problems = append(l.problems, ErrSetting{Source: source, Key: leaf.path, Reason: err.Error()})
	}
}

func (l *loader) applyEnviron(leaves []leaf, prefix string) {
	if prefix == "" {
		return
	}
	environ := os.Environ()
	slices.Sort(environ)
	for _, entry := range environ {
		name, text, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, prefix+"_") {
			continue
		}
		index := slices.IndexFunc(leaves, func(leaf leaf) bool { return leaf.variable(prefix) == name })
		if index < 0 {
			l.problems = append(l.problems, ErrSetting{Source: name, Reason: "no key corresponds to this environment variable"})
			continue
		}
		l.set(leaves[index], name, text)
	}
}

// reportViolation adds the violation of a rule, unless the key already has a problem: its value couldn't be decoded, and the
// violation is only a consequence of its zero value.
func (l *loader) reportViolation(violation jujubeyaml.Problem, file string) {
	if slices.ContainsFunc(l.problems, func(p ErrSetting) bool { return p.Key == violation.Key }) {
		return
	}
	problem := ErrSetting{Source: l.sources[violation.Key], Key: violation.Key, Reason: violation.Reason}
	switch problem.Source {
	case "":
		problem.Source = "default"
	case file:
		problem.Line, problem.Column = violation.Line, violation.Column
	}
	l.problems = append(l.problems, problem)
}
