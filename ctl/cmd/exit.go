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
	// ExitFailure is any failure without its own code.
	ExitFailure = 1
	// ExitUsage is an invalid command, flag, argument or setting.
	ExitUsage = 2
	// ExitDocument is a document or a trace with problems.
	ExitDocument = 3
	// ExitConflict is a change that was refused because another change replaced its base, or a restore that isn't needed.
	ExitConflict = 4
	// ExitUnknown is a change whose outcome is unknown. It may be in force; the command must be repeated with the same ID.
	ExitUnknown = 5
	// ExitUnavailable means that the log or an instance didn't respond and the configuration is unchanged.
	ExitUnavailable = 6
	// ExitNotProven is a promotion of a document that isn't in force on all instances of the trial environment.
	ExitNotProven = 7
	// ExitRefused is a request that an instance refused.
	ExitRefused = 8
)

// ErrUsage is returned for an invalid command line or a missing setting.
type ErrUsage struct {
	Message string
}

// Error returns the message.
func (e ErrUsage) Error() string { return e.Message }

// exitCode returns the exit code for an error. The errors of publishing are tested first, because they wrap the others.
func exitCode(err error) int {
	_, isDocument := jujubedocument.IsErrDocument(err)
	_, isTrace := jujubetrace.IsErrTrace(err)
	_, isSetting := jujubesetting.IsErrSetting(err)
	_, isRefused := jujubeerror.IsErrRefused(err)
	_, isUnavailable := jujubeclient.IsErrLogUnavailable(err)
	switch {
	case err == nil:
		return ExitOK
	case isErr[jujubepublish.ErrUnknownOutcome](err):
		return ExitUnknown
	case isErr[jujubepublish.ErrConflict](err), isErr[jujubepublish.ErrStateKnown](err):
		return ExitConflict
	case isErr[jujubepublish.ErrNotProven](err):
		return ExitNotProven
	case isErr[jujubepublish.ErrNotAppended](err), isUnavailable, isErr[jujubepublish.ErrStateUnknown](err),
		isErr[jujubeclient.ErrOperator](err):
		return ExitUnavailable
	case isDocument, isTrace:
		return ExitDocument
	case isRefused:
		return ExitRefused
	case isSetting, isErr[ErrUsage](err):
		return ExitUsage
	}
	return ExitFailure
}

// isErr reports whether the error or one that it wraps has the type T.
func isErr[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
