package jujubedocs_test

import (
	"bytes"
	"context"
	"io"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	jujubectl "jujubepier.example/ctl/cmd"
	jujubepier "jujubepier.example/entry/cmd"
	jujubeload "jujubepier.example/load/cmd"
	jujubestandin "jujubepier.example/standin/cmd"
)

var (
	// codeSpan matches an inline code span, and codeBlock a line of an indented code block.
	codeSpan  = regexp.MustCompile("`([^`\n]+)`")
	codeBlock = regexp.MustCompile(`(?m)^ {4,}(.+)$`)
	// invocation matches the name of a program and its arguments up to the end of the command.
	invocation = regexp.MustCompile(`(?:^|[\s($"])(?:bin/)?(jujubectl|jujubeload|jujubestandin|jujubepier)((?: +[^\s|&;)>]+)*)`)
	// arithmetic matches an arithmetic expansion of the shell, whose closing parentheses would end the command.
	arithmetic = regexp.MustCompile(`\$\(\(.*?\)\)`)
	// commandWord matches names of commands, but neither placeholders nor file names.
	commandWord = regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
)

// TestCommands guards against commands and flags in the pages and scripts that the programs don't have.
func TestCommands(t *testing.T) {
	programs := commandTrees()
	checked := 0
	for _, page := range append(listPages(t), "scripts/local-site.sh") {
		text := strings.ReplaceAll(readPage(t, page), "\\\n", " ")
		var sources []string
		if strings.HasSuffix(page, ".sh") {
			sources = strings.Split(arithmetic.ReplaceAllString(text, "0"), "\n")
		}
		for _, pattern := range []*regexp.Regexp{codeSpan, codeBlock} {
			for _, match := range pattern.FindAllStringSubmatch(text, -1) {
				sources = append(sources, match[1])
			}
		}
		for _, source := range sources {
			source = regexp.MustCompile(`go run \./load`).ReplaceAllString(source, "jujubeload")
			for _, match := range invocation.FindAllStringSubmatch(source, -1) {
				checked++
				if problem := programs[match[1]].findProblem(strings.Fields(match[2])); problem != "" {
					t.Errorf("%s: %s: %s", page, strings.TrimSpace(match[0]), problem)
				}
			}
		}
	}
	if checked < 50 {
		t.Errorf("only %d commands were found in the pages", checked)
	}
}

// commandTree holds the flags of a command, each with whether it requires a value, and its subcommands.
type commandTree struct {
	flags    map[string]bool
	commands map[string]commandTree
}

// findProblem checks the words of a command line and describes the first unknown flag or command. It returns an empty string
// if all are known.
func (c commandTree) findProblem(words []string) string {
	for i := 0; i < len(words); i++ {
		word := strings.Trim(words[i], `"'`)
		switch name, isFlag := strings.CutPrefix(word, "--"); {
		case isFlag:
			name, _, hasValue := strings.Cut(name, "=")
			takesValue, known := c.flags[name]
			if !known {
				return "unknown flag --" + name
			}
			if takesValue && !hasValue {
				i++
			}
		case !commandWord.MatchString(word) || len(c.commands) == 0:
		default:
			command, known := c.commands[word]
			if !known {
				return "unknown command " + word
			}
			return command.findProblem(words[i+1:])
		}
	}
	return ""
}

// commandTrees returns the command tree of each program by its name.
func commandTrees() map[string]commandTree {
	return map[string]commandTree{
		"jujubectl": newCtlTree(), "jujubeload": newCommandTree(jujubeload.New()), "jujubestandin": newCommandTree(jujubestandin.New()),
		"jujubepier": newCommandTree(jujubepier.New()),
	}
}

func newCommandTree(command *cli.Command) commandTree {
	tree := commandTree{flags: map[string]bool{"help": false}, commands: map[string]commandTree{}}
	for _, flag := range command.Flags {
		_, isBool := flag.(*cli.BoolFlag)
		for _, name := range flag.Names() {
			tree.flags[name] = !isBool
		}
	}
	for _, child := range command.Commands {
		tree.commands[child.Name] = newCommandTree(child)
	}
	return tree
}

var (
	// helpFlag and helpCommand match the lines of a help text that list a flag or a command.
	helpFlag    = regexp.MustCompile(`(?m)^ +--([a-z-]+)( (?:string|int))?`)
	helpCommand = regexp.MustCompile(`(?m)^   ([a-z]+)(?:, [a-z]+)?  `)
)

// newCtlTree builds the command tree of jujubectl from its help texts, because the program doesn't export its root command.
func newCtlTree(path ...string) commandTree {
	tree := commandTree{flags: map[string]bool{}, commands: map[string]commandTree{}}
	var help bytes.Buffer
	jujubectl.NewProgram(&help, io.Discard).Run(context.Background(), append(append([]string{"jujubectl"}, path...), "--help"))
	for _, match := range helpFlag.FindAllStringSubmatch(help.String(), -1) {
		tree.flags[match[1]] = match[2] != ""
	}
	_, commands, _ := strings.Cut(help.String(), "\nCOMMANDS:\n")
	commands, _, _ = strings.Cut(commands, "\n\n")
	for _, match := range helpCommand.FindAllStringSubmatch(commands, -1) {
		if match[1] == "help" || match[1] == "completion" {
			tree.commands[match[1]] = commandTree{}
			continue
		}
		tree.commands[match[1]] = newCtlTree(append(slices.Clone(path), match[1])...)
	}
	return tree
}
