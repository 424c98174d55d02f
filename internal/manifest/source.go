package manifest

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// path identifies a value inside a manifest. Its elements are member names and array indexes.
type path []string

// String returns the path in the form organisations[3].name.
func (p path) String() string {
	var b strings.Builder
	for _, element := range p {
		if _, err := strconv.Atoi(element); err == nil {
			b.WriteString("[" + element + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(element)
	}
	return b.String()
}

func (p path) with(elements ...string) path {
	joined := make(path, 0, len(p)+len(elements))
	joined = append(joined, p...)
	return append(joined, elements...)
}

// source is the text of a manifest with the positions of its values.
type source struct {
	file string
	data []byte
	root hujson.Value
}

// problem returns a Problem at the value at p or, if there is none, at the innermost existing value around it.
func (s *source) problem(p path, format string, args ...any) Problem {
	return Problem{
		File:  s.file,
		Line:  s.line(p),
		Field: p.String(),
		Text:  fmt.Sprintf(format, args...),
	}
}

func (s *source) line(p path) int {
	if s.data == nil {
		return 0
	}
	offset := s.root.StartOffset
	current := &s.root
	for _, element := range p {
		next, start := child(current, element)
		if next == nil {
			break
		}
		current, offset = next, start
	}
	return 1 + bytes.Count(s.data[:offset], []byte("\n"))
}

// child returns the member or element of value with the given name or index, and the offset where it starts. It
// returns nil when there is none.
func child(value *hujson.Value, element string) (*hujson.Value, int) {
	switch composite := value.Value.(type) {
	case *hujson.Object:
		for i := range composite.Members {
			member := &composite.Members[i]
			if memberName(member) == element {
				return &member.Value, member.Name.StartOffset
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(element)
		if err == nil && i >= 0 && i < len(composite.Elements) {
			return &composite.Elements[i], composite.Elements[i].StartOffset
		}
	}
	return nil, 0
}

func memberName(member *hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// duplicateFields returns a Problem for each member whose name occurs earlier in the same object.
func (s *source) duplicateFields(value *hujson.Value, p path) []Problem {
	var problems []Problem
	switch composite := value.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool, len(composite.Members))
		for i := range composite.Members {
			name := memberName(&composite.Members[i])
			at := p.with(name)
			if seen[name] {
				problem := s.problem(at, "field %q is given twice", name)
				problem.Line = 1 + bytes.Count(s.data[:composite.Members[i].Name.StartOffset], []byte("\n"))
				problems = append(problems, problem)
			}
			seen[name] = true
			problems = append(problems, s.duplicateFields(&composite.Members[i].Value, at)...)
		}
	case *hujson.Array:
		for i := range composite.Elements {
			at := p.with(strconv.Itoa(i))
			problems = append(problems, s.duplicateFields(&composite.Elements[i], at)...)
		}
	}
	return problems
}
