package manifest

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A file of a million levels overflowed the stack of the process that parsed it.
func TestDeeplyNestedManifestIsRefused(t *testing.T) {
	c := qt.New(t)
	for _, levels := range []int{maxNesting, 10_000, 1_000_000} {
		for _, text := range []string{
			"{\"kinds\":\n" + strings.Repeat("[", levels) + strings.Repeat("]", levels) + "}",
			"{\"kinds\": // {\"\n" + strings.Repeat(`{"a":`, levels), "{\"kinds\": /* [\" */\n" + strings.Repeat("[", levels),
		} {
			_, err := Parse("m.json", []byte(text))
			c.Assert(err, qt.ErrorMatches, `.*m\.json:2.*more than 64 levels.*`)
		}
	}
}

// Brackets in strings and comments are no levels.
func TestBracketsInStringsAreNoLevels(t *testing.T) {
	c := qt.New(t)
	brackets := strings.Repeat("[", 100)
	c.Assert(nestingProblem("m", []byte(`{"a\\\"`+brackets+`": "\\", "b": "`+brackets+`"} // `+brackets+"\n/* "+brackets+" * */")), qt.HasLen, 0)
	c.Assert(nestingProblem("m", []byte(`"\\"`+brackets)), qt.HasLen, 1)
	c.Assert(nestingProblem("m", []byte(`"`+brackets)), qt.HasLen, 0)
	c.Assert(nestingProblem("m", []byte(`/*`+brackets)), qt.HasLen, 0)
}
