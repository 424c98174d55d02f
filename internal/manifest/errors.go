package manifest

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("manifest")

// ErrInvalid means that a manifest is invalid. Problems returns its faults.
var ErrInvalid = namespace.NewType("invalid")

var problemsProperty = errorx.RegisterProperty("problems")

// Problem is one fault in a manifest.
type Problem struct {
	File string `json:"file"`
	// Line is the line number, starting at 1; 0 when the manifest did not come from a file.
	Line int `json:"line,omitempty"`
	// Field is a path such as organisations[3].name; empty when the fault concerns no single field.
	Field string `json:"field,omitempty"`
	Text  string `json:"text"`
}

// String returns "file:line: field: text".
func (p Problem) String() string {
	position := p.File
	if p.Line > 0 {
		position = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field == "" {
		return position + ": " + p.Text
	}
	return position + ": " + p.Field + ": " + p.Text
}

// Problems returns the faults that an ErrInvalid lists, in file order, or nil for other errors.
func Problems(err error) []Problem {
	value, ok := errorx.ExtractProperty(err, problemsProperty)
	if !ok {
		return nil
	}
	problems, _ := value.([]Problem)
	return problems
}

func newInvalid(problems []Problem) error {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.String()
	}
	return ErrInvalid.New("%s", strings.Join(lines, "\n")).
		WithProperty(problemsProperty, problems)
}
