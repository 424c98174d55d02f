package measure

import (
	"fmt"
	"slices"
	"strings"

	"balsamyoke.example/balsamyoke/internal/load"
)

// ProcessTable returns the highest resource usage of a process of each role, as a Markdown table with one
// line for each run and role.
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

// roleUse holds the highest value of each kind of usage among the processes of a role, and their count.
type roleUse struct {
	load.ProcessUse
	count int
}

// byRole groups processes whose names differ only in the number at the end.
func byRole(usage []load.ProcessUse) []*roleUse {
	var groups []*roleUse
	for _, use := range usage {
		role := use.Name
		if dash := strings.LastIndexByte(role, '-'); dash > 0 {
			role = role[:dash]
		}
		index := slices.IndexFunc(groups, func(g *roleUse) bool { return g.Name == role })
		if index < 0 {
			index = len(groups)
			groups = append(groups, &roleUse{ProcessUse: load.ProcessUse{Name: role}})
		}
		g := groups[index]
		g.count++
		g.CPUShare = max(g.CPUShare, use.CPUShare)
		g.RSSBytes = max(g.RSSBytes, use.RSSBytes)
		g.BytesPerSecond = max(g.BytesPerSecond, use.BytesPerSecond)
	}
	return groups
}
