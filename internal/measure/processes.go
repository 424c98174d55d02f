package measure

import (
	"fmt"
	"slices"
	"strings"

	"balsamyoke.example/balsamyoke/internal/load"
)

// ProcessTable returns the most that a process of each role used, as a Markdown table: one line a
// run and role.
func ProcessTable(outcomes []Outcome) string {
	var b strings.Builder
	b.WriteString("| row | policy | role | processes | core (%) | memory (MB) | bytes/s |\n")
	b.WriteString("|---|---|---|--:|--:|--:|--:|\n")
	for _, o := range outcomes {
		for _, group := range byRole(o.Report.Processes) {
			fmt.Fprintf(&b, "| %s | %s | %s | %d | %.2f | %.1f | %.0f |\n", o.Row, o.Policy, group.Name,
				group.count, 100*group.CPUShare, float64(group.RSSBytes)/1e6, group.BytesPerSecond)
		}
	}
	return b.String()
}

// roleUse is the most that one process of a role used.
type roleUse struct {
	load.ProcessUse
	count int
}

// byRole groups processes whose names differ only in the number at their end.
func byRole(uses []load.ProcessUse) []*roleUse {
	var groups []*roleUse
	for _, use := range uses {
		role := use.Name
		if cut := strings.LastIndexByte(role, '-'); cut > 0 {
			role = role[:cut]
		}
		at := slices.IndexFunc(groups, func(g *roleUse) bool { return g.Name == role })
		if at < 0 {
			at = len(groups)
			groups = append(groups, &roleUse{ProcessUse: load.ProcessUse{Name: role}})
		}
		g := groups[at]
		g.count++
		g.CPUShare = max(g.CPUShare, use.CPUShare)
		g.RSSBytes = max(g.RSSBytes, use.RSSBytes)
		g.BytesPerSecond = max(g.BytesPerSecond, use.BytesPerSecond)
	}
	return groups
}
