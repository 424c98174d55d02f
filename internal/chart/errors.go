package chart

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("chart")

// The error types of state charts.
var (
	// ErrMalformed means that a chart file cannot be parsed.
	ErrMalformed = namespace.NewType("malformed")
	// ErrInvalid means that a chart file is contradictory or incomplete.
	ErrInvalid = namespace.NewType("invalid")
	// ErrNotAllowed means that a chart refuses an event in the current state.
	ErrNotAllowed = namespace.NewType("not_allowed").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrUnknownName means that the code requests a state or event that a chart lacks.
	ErrUnknownName = namespace.NewType("unknown_name", errorx.NotFound())
)
