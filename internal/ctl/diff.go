package ctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"balsamyoke.example/balsamyoke/internal/manifest"
)

// difference is a value that differs between two manifests. Old or New is empty when that manifest lacks the
// value.
type difference struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// differences is the result of diff.
type differences struct {
	// Base is the version that the manifest was compared with; 0 before the first apply.
	Base  uint64       `json:"base"`
	Lines []difference `json:"differences"`
}

func (d differences) text() string {
	if len(d.Lines) == 0 {
		return fmt.Sprintf("no difference from version %d\n", d.Base)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "changes to version %d:\n", d.Base)
	for _, line := range d.Lines {
		switch {
		case line.Old == "":
			fmt.Fprintf(&b, "+ %s = %s\n", line.Path, line.New)
		case line.New == "":
			fmt.Fprintf(&b, "- %s = %s\n", line.Path, line.Old)
		default:
			fmt.Fprintf(&b, "~ %s = %s -> %s\n", line.Path, line.Old, line.New)
		}
	}
	return b.String()
}

// compare returns the values that differ, sorted by path.
func compare(old, updated *manifest.Manifest) []difference {
	before, after := flatten(old), flatten(updated)
	paths := make(map[string]bool, len(after))
	for path := range before {
		paths[path] = true
	}
	for path := range after {
		paths[path] = true
	}
	lines := []difference{}
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			lines = append(lines, difference{Path: path, Old: before[path], New: after[path]})
		}
	}
	return lines
}

// flatten returns the values of a manifest in JSON by path. Paths contain the names of organisations,
// services and kinds, so that their order in the file makes no difference.
func flatten(m *manifest.Manifest) map[string]string {
	values := make(map[string]string)
	index := manifest.NewIndex(m, 0)
	withDefaults := index.Manifest()
	for _, organisation := range withDefaults.Organisations {
		addFields(values, "organisations/"+organisation.Name, organisation)
	}
	for _, service := range withDefaults.Services {
		addFields(values, "services/"+service.Name, service)
		if kind, ok := index.DefaultKind(service.Name); ok {
			values["services/"+service.Name+"/default kind"] = encode(kind.Name)
		}
	}
	for _, kind := range withDefaults.Kinds {
		addFields(values, "kinds/"+kind.Service+"/"+kind.Name, kind)
	}
	if m.Deployment == "" {
		return values
	}
	values["deployment"] = encode(withDefaults.Deployment)
	values["claim_ttl_seconds"] = encode(withDefaults.ClaimTTLSeconds)
	values["grace_seconds"] = encode(withDefaults.GraceSeconds)
	values["piece_bytes"] = encode(withDefaults.PieceBytes)
	return values
}

func addFields(values map[string]string, path string, value any) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(encode(value)), &fields); err != nil {
		return
	}
	for name, field := range fields {
		values[path+"/"+name] = string(field)
	}
}

func encode(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(text)
}

func sortByInstance(versions []processVersion) {
	slices.SortFunc(versions, func(a, b processVersion) int { return strings.Compare(a.Instance, b.Instance) })
}
