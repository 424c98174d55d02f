package manifest

import (
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Bounds on numbers. The schema library computes with exact fractions; the cost grows with the exponent.
const (
	maxNumberLength = 32  // characters
	maxExponent     = 300 // powers of ten
)

// unboundedNumbers returns a Problem for each number that exceeds the bounds on length or exponent.
func (s *source) unboundedNumbers(value *hujson.Value, p path) []Problem {
	var problems []Problem
	switch literal := value.Value.(type) {
	case hujson.Literal:
		if literal.Kind() == '0' && !isBoundedNumber(string(literal)) {
			problems = append(problems, s.problem(p, "number is out of range"))
		}
	case *hujson.Object:
		for i := range literal.Members {
			member := &literal.Members[i]
			problems = append(problems, s.unboundedNumbers(&member.Value, p.with(memberName(member)))...)
		}
	case *hujson.Array:
		for i := range literal.Elements {
			problems = append(problems, s.unboundedNumbers(&literal.Elements[i], p.with(formatIndex(i)))...)
		}
	}
	return problems
}

func isBoundedNumber(text string) bool {
	if len(text) > maxNumberLength {
		return false
	}
	i := strings.IndexAny(text, "eE")
	if i < 0 {
		return true
	}
	exponent, err := strconv.Atoi(strings.TrimPrefix(text[i+1:], "+"))
	return err == nil && exponent <= maxExponent && exponent >= -maxExponent
}
