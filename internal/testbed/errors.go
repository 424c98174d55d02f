package testbed

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("testbed")

// The error types of the package.
var (
	// ErrBuild means that the binaries could not be built.
	ErrBuild = namespace.NewType("build")
	// ErrStart means that a process did not start or become ready.
	ErrStart = namespace.NewType("start")
	// ErrCall means that a call by the test bed failed.
	ErrCall = namespace.NewType("call")
)
