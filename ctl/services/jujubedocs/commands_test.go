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
	// codeSpan is a text in backquotes on one line, and codeBlock a line of an indented block.
	codeSpan  = regexp.MustCompile("`([^`\n]+)`")
	codeBlock = regexp.MustCompile(`(?m)^ {4,}(.+)$`)
	// invocation is a program and what follows up to the end of the command.
	invocation = regexp.MustCompile(`(?:^|[\s($"])(?:bin/)?(jujubectl|jujubeload|jujubestandin|jujubepier)((?: +[^\s|&;)>]+)*)`)
	// arithmetic is a shell's expression, whose brackets would end the command.
	arithmetic = regexp.MustCompile(`\$\(\(.*?\)\)`)
	// commandWord is what the name of a command looks like; placeholders and files don't.
	commandWord = regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
)

// Guards against commands and flags on the pages and in the scripts that the programs don't have.
func TestCommands(t *testing.T) {
	programs := newPrograms()
	found := 0
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
				found++
				if problem := programs[match[1]].check(strings.Fields(match[2])); problem != "" {
					t.Errorf("%s: %s: %s", page, strings.TrimSpace(match[0]), problem)
				}
			}
		}
	}
	if found < 50 {
		t.Errorf("only %d commands were found on the pages", found)
	}
}

// program is a command, its flags with whether they take a value, and its sub-commands.
type program struct {
	flags    map[string]bool
	commands map[string]program
}

// check follows the words of a command line and returns what the program doesn't have.
func (p program) check(words []string) string {
	for at := 0; at < len(words); at++ {
		word := strings.Trim(words[at], `"'`)
		switch name, isFlag := strings.CutPrefix(word, "--"); {
		case isFlag:
			name, _, hasValue := strings.Cut(name, "=")
			takesValue, known := p.flags[name]
			if !known {
				return "no flag --" + name
			}
			if takesValue && !hasValue {
				at++
			}
		case !commandWord.MatchString(word) || len(p.commands) == 0:
		default:
			command, known := p.commands[word]
			if !known {
				return "no command " + word
			}
			return command.check(words[at+1:])
		}
	}
	return ""
}

func newPrograms() map[string]program {
	return map[string]program{
		"jujubectl": newCtl(), "jujubeload": newProgram(jujubeload.New()), "jujubestandin": newProgram(jujubestandin.New()),
		"jujubepier": newProgram(jujubepier.New()),
	}
}

func newProgram(command *cli.Command) program {
	p := program{flags: map[string]bool{"help": false}, commands: map[string]program{}}
	for _, flag := range command.Flags {
		_, isBool := flag.(*cli.BoolFlag)
		for _, name := range flag.Names() {
			p.flags[name] = !isBool
		}
	}
	for _, child := range command.Commands {
		p.commands[child.Name] = newProgram(child)
	}
	return p
}

var (
	helpFlag    = regexp.MustCompile(`(?m)^ +--([a-z-]+)( (?:string|int))?`)
	helpCommand = regexp.MustCompile(`(?m)^   ([a-z]+)(?:, [a-z]+)?  `)
)

// newCtl reads the tree of jujubectl from its help texts, as the program doesn't export the tree.
func newCtl(path ...string) program {
	p := program{flags: map[string]bool{}, commands: map[string]program{}}
	var help bytes.Buffer
	jujubectl.NewProgram(&help, io.Discard).Run(context.Background(), append(append([]string{"jujubectl"}, path...), "--help"))
	for _, match := range helpFlag.FindAllStringSubmatch(help.String(), -1) {
		p.flags[match[1]] = match[2] != ""
	}
	_, commands, _ := strings.Cut(help.String(), "\nCOMMANDS:\n")
	commands, _, _ = strings.Cut(commands, "\n\n")
	for _, match := range helpCommand.FindAllStringSubmatch(commands, -1) {
		if match[1] == "help" || match[1] == "completion" {
			p.commands[match[1]] = program{}
			continue
		}
		p.commands[match[1]] = newCtl(append(slices.Clone(path), match[1])...)
	}
	return p
}
