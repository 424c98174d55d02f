package manifest

import (
	"bytes"
	"fmt"
)

// maxNesting bounds the levels of a manifest. Parsers of the text call themselves for each level; manifests have a few.
const maxNesting = 64

// nestingProblem returns a Problem if the text, JSON with comments, has more levels than maxNesting.
func nestingProblem(file string, data []byte) []Problem {
	level := 0
	for i := 0; i < len(data); {
		switch data[i] {
		case '[', '{':
			if level++; level > maxNesting {
				return []Problem{{File: file, Line: 1 + bytes.Count(data[:i], []byte("\n")), Text: fmt.Sprintf("more than %d levels", maxNesting)}}
			}
		case ']', '}':
			level--
		}
		i += tokenLength(data[i:])
	}
	return nil
}

// tokenLength returns the length of the string or the comment at the start of the text, and otherwise 1.
func tokenLength(text []byte) int {
	switch {
	case text[0] == '"':
		return stringLength(text)
	case bytes.HasPrefix(text, []byte("//")):
		return lengthUntil(text, "\n")
	case bytes.HasPrefix(text, []byte("/*")):
		return 2 + lengthUntil(text[2:], "*/")
	default:
		return 1
	}
}

func stringLength(text []byte) int {
	for i := 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text)
}

// lengthUntil returns the length of the text up to the end of the first occurrence of mark.
func lengthUntil(text []byte, mark string) int {
	if i := bytes.Index(text, []byte(mark)); i >= 0 {
		return i + len(mark)
	}
	return len(text)
}
