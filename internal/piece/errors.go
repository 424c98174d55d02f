package piece

import "github.com/joomcode/errorx"

// Errors of Open and Decode are frequent and expected, so they carry no stack trace.
var namespace = errorx.NewNamespace("piece").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// The error types of sealed pieces. Each of them makes the read a cache miss.
var (
	// ErrMagic means that the bytes don't start with the format's magic number.
	ErrMagic = namespace.NewType("magic")
	// ErrTruncated means that the header is incomplete, or that fewer bytes are present than it states.
	ErrTruncated = namespace.NewType("truncated")
	// ErrTrailing means that more bytes are present than the header states.
	ErrTrailing = namespace.NewType("trailing")
	// ErrWrongName means that the sealed bytes belong to another piece.
	ErrWrongName = namespace.NewType("wrong_name")
	// ErrChecksum means that the header or the data was altered after sealing.
	ErrChecksum = namespace.NewType("checksum")
	// ErrName means that a piece name is malformed.
	ErrName = namespace.NewType("name")
)
