package jujubecommand

import (
	"github.com/pkg/errors"

	"jujubepier.example/core/modules/jujubeclient"
	"jujubepier.example/core/modules/jujubeerror"
	"jujubepier.example/core/modules/jujubesetting"
	"jujubepier.example/core/services/jujubedocument"
	"jujubepier.example/core/services/jujubetrace"
	"jujubepier.example/ctl/services/jujubepublish"
)

// Exit codes of the program; docs/ctl.md lists them for operators.
const (
	ExitOK = 0
	// ExitFailure is any failure without a code of its own.
	ExitFailure = 1
	// ExitUsage is a wrong command, flag, argument or setting.
	ExitUsage = 2
	// ExitDocument is a document or a trace with problems.
	ExitDocument = 3
	// ExitConflict is a change that was refused because another one replaced its base, or a restore that isn't needed.
	ExitConflict = 4
	// ExitUnknown is a change that may be in force: repeat the command with the same ID.
	ExitUnknown = 5
	// ExitUnavailable means that the log or an instance gave no answer and no configuration has changed.
	ExitUnavailable = 6
	// ExitNotProven is a promotion of a document that isn't in force on the whole trial environment.
	ExitNotProven = 7
	// ExitRefused is a request that an instance refused.
	ExitRefused = 8
)

// ErrUsage is a wrong argument or a missing setting.
type ErrUsage struct {
	Message string
}

// Error gives the message.
func (e ErrUsage) Error() string { return e.Message }

// exitCode tells the outcome to scripts. The errors of a publication come first, because they wrap others.
func exitCode(err error) int {
	_, isDocument := jujubedocument.IsErrDocument(err)
	_, isTrace := jujubetrace.IsErrTrace(err)
	_, isSetting := jujubesetting.IsErrSetting(err)
	_, isRefused := jujubeerror.IsErrRefused(err)
	_, isUnavailable := jujubeclient.IsErrLogUnavailable(err)
	switch {
	case err == nil:
		return ExitOK
	case is[jujubepublish.ErrUnknownOutcome](err):
		return ExitUnknown
	case is[jujubepublish.ErrConflict](err), is[jujubepublish.ErrStateKnown](err):
		return ExitConflict
	case is[jujubepublish.ErrNotProven](err):
		return ExitNotProven
	case is[jujubepublish.ErrNotAppended](err), isUnavailable, is[jujubepublish.ErrStateUnknown](err), is[jujubeclient.ErrOperator](err):
		return ExitUnavailable
	case isDocument, isTrace:
		return ExitDocument
	case isRefused:
		return ExitRefused
	case isSetting, is[ErrUsage](err):
		return ExitUsage
	}
	return ExitFailure
}

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
