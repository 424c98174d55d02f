package stream

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("stream")

// Errors of answers.
var (
	// ErrGap means that more chunks wait behind a missing one than the assembler buffers.
	ErrGap = namespace.NewType("gap")
	// ErrContradiction means that the frames of an attempt disagree about the answer's length.
	ErrContradiction = namespace.NewType("contradiction")
)
