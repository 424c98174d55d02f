package stream

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("stream")

// The error types of the package.
var (
	// ErrGap means that a chunk is missing and more later ones arrived than the assembler buffers.
	ErrGap = namespace.NewType("gap")
	// ErrContradiction means that the frames of an attempt disagree about the length of the response.
	ErrContradiction = namespace.NewType("contradiction")
)
