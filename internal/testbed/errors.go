package testbed

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("testbed")

// Errors of the test bed.
var (
	// ErrBuild means that the binaries could not be built.
	ErrBuild = namespace.NewType("build")
	// ErrStart means that a process did not start or become ready.
	ErrStart = namespace.NewType("start")
	// ErrCall means that a process did not answer a call of the test bed.
	ErrCall = namespace.NewType("call")
)
