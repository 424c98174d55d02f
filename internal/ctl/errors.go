package ctl

import (
	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/manifest"
)

var namespace = errorx.NewNamespace("ctl")

// The error types of the commands.
var (
	// ErrUsage means that the command line is wrong.
	ErrUsage = namespace.NewType("usage")
	// ErrFile means that a file cannot be read.
	ErrFile = namespace.NewType("file")
	// ErrProcess means that a process or the instance list did not respond.
	ErrProcess = namespace.NewType("process", errorx.Temporary())
)

// Exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1 // the manifest or the change was refused; nothing changed
	ExitUsage       = 2 // the command line is wrong
	ExitRaceLost    = 3 // another change was made first; nothing changed
	ExitUnavailable = 4 // the service or process did not respond; a change may have been made
)

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	switch {
	case err == nil || flags.WroteHelp(err):
		return ExitOK
	case isAny(err, ErrUsage):
		return ExitUsage
	case isAny(err, config.ErrRaceLost):
		return ExitRaceLost
	case isAny(err, config.ErrUnavailable, config.ErrOutcomeUnknown, ErrProcess):
		return ExitUnavailable
	default:
		return ExitRefused
	}
}

func isAny(err error, types ...*errorx.Type) bool {
	for _, t := range types {
		if errorx.IsOfType(err, t) {
			return true
		}
	}
	return false
}

// failure is the JSON output of a command that failed.
type failure struct {
	Error    string             `json:"error"`
	Kind     string             `json:"kind"`
	Problems []manifest.Problem `json:"problems,omitempty"`
}

func newFailure(err error) failure {
	output := failure{Error: err.Error(), Problems: manifest.Problems(err)}
	if typed := errorx.Cast(err); typed != nil {
		output.Kind = typed.Type().FullName()
	}
	return output
}
