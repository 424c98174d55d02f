package manifest

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"regexp"
	"slices"
	"strconv"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"github.com/tailscale/hujson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaJSON []byte

const schemaURL = "urn:balsamyoke:manifest:1"

var (
	compiledSchema = compileSchema()
	printer        = message.NewPrinter(language.English)
)

func compileSchema() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaURL, document); err != nil {
		panic(err)
	}
	return compiler.MustCompile(schemaURL)
}

// Parse reads a manifest in JSON with comments. It validates the text against the schema, fills in defaults
// and then checks the semantics. It returns ErrInvalid with all faults of the first failed check, each with
// file, line and field.
func Parse(file string, data []byte) (*Manifest, error) {
	if problems := nestingProblem(file, data); len(problems) > 0 {
		return nil, newInvalid(problems)
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, newInvalid([]Problem{syntaxProblem(file, data, err)})
	}
	text := &source{file: file, data: data, root: root}
	if problems := text.duplicateFields(&root, nil); len(problems) > 0 {
		return nil, newInvalid(problems)
	}
	if problems := text.unboundedNumbers(&root, nil); len(problems) > 0 {
		return nil, newInvalid(problems)
	}
	standardized := root.Clone()
	standardized.Standardize()
	standardJSON := standardized.Pack()
	if problems := schemaProblems(text, standardJSON); len(problems) > 0 {
		return nil, newInvalid(problems)
	}
	m := &Manifest{}
	if err := json.Unmarshal(standardJSON, m); err != nil {
		return nil, newInvalid([]Problem{typeProblem(file, standardJSON, err)})
	}
	m.setDefaults()
	if problems := check(m, text); len(problems) > 0 {
		return nil, newInvalid(problems)
	}
	return m, nil
}

// Check checks the semantics of a manifest that did not come from a file. It returns ErrInvalid with all faults.
func Check(m *Manifest) error {
	filled := m.clone()
	filled.setDefaults()
	if problems := check(filled, &source{file: "manifest"}); len(problems) > 0 {
		return newInvalid(problems)
	}
	return nil
}

// syntaxErrorPosition matches the position at the start of hujson's syntax errors.
var syntaxErrorPosition = regexp.MustCompile(`(?s)^hujson: line (\d+), column \d+: (.*)$`)

func syntaxProblem(file string, data []byte, err error) Problem {
	match := syntaxErrorPosition.FindStringSubmatch(err.Error())
	if match == nil {
		return Problem{File: file, Line: 1 + bytes.Count(data, []byte("\n")), Text: err.Error()}
	}
	line, _ := strconv.Atoi(match[1])
	return Problem{File: file, Line: line, Text: match[2]}
}

// typeProblem returns an error of encoding/json as a Problem with its line and field. The offsets in
// standardJSON are those of the file.
func typeProblem(file string, standardJSON []byte, err error) Problem {
	problem := Problem{File: file, Text: err.Error()}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		problem.Field = mismatch.Field
		problem.Line = 1 + bytes.Count(standardJSON[:mismatch.Offset], []byte("\n"))
	}
	return problem
}

func schemaProblems(text *source, standardJSON []byte) []Problem {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(standardJSON))
	if err != nil {
		return []Problem{{File: text.file, Text: err.Error()}}
	}
	err = compiledSchema.Validate(document)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	problems := leafProblems(text, invalid)
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return problems
}

// leafProblems returns a Problem for each innermost cause of a validation error.
func leafProblems(text *source, invalid *jsonschema.ValidationError) []Problem {
	if len(invalid.Causes) > 0 {
		var problems []Problem
		for _, cause := range invalid.Causes {
			problems = append(problems, leafProblems(text, cause)...)
		}
		return problems
	}
	at := path(invalid.InstanceLocation)
	switch fault := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		problems := make([]Problem, len(fault.Properties))
		for i, name := range fault.Properties {
			problems[i] = text.problem(at.with(name), "field %q does not exist", name)
		}
		return problems
	case *kind.Required:
		problems := make([]Problem, len(fault.Missing))
		for i, name := range fault.Missing {
			problems[i] = text.problem(at, "field %q is missing", name)
		}
		return problems
	}
	return []Problem{text.problem(at, "%s", invalid.ErrorKind.LocalizedString(printer))}
}

func formatIndex(i int) string { return strconv.Itoa(i) }
