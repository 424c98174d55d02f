package measure

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/load"
)

func testOutcome(policy string) Outcome {
	kind := &load.KindReport{
		Kind: "trace", Requests: 4, Verdicts: map[load.Verdict]int{load.VerdictRight: 3, load.VerdictRefused: 1},
		FirstTokenP50MS: 10, FirstTokenP95MS: 20, FirstTokenP99MS: 30, PromptTokens: 100, ComputedTokens: 25,
	}
	uses := []load.ProcessUse{{Name: "entry-0", CPUShare: 0.01}, {Name: "entry-1", CPUShare: 0.02}, {Name: "a-b-0"}}
	report := &load.Report{Seed: 7, Kinds: []*load.KindReport{kind, kind}, Processes: uses}
	return Outcome{Row: "steady", Policy: policy, Report: report, LoadAverage: [2]string{"1.0", "2.0"}}
}

func TestOutcomesAreReadBackAndShownInTables(t *testing.T) {
	c := qt.New(t)
	name := filepath.Join(c.TempDir(), "figures.jsonl")
	file, err := os.Create(name)
	c.Assert(err, qt.IsNil)
	for _, policy := range []string{"cost", "random"} {
		c.Assert(json.NewEncoder(file).Encode(testOutcome(policy)), qt.IsNil)
	}
	c.Assert(file.Close(), qt.IsNil)
	outcomes, err := Read(name)
	c.Assert(err, qt.IsNil)
	c.Assert(Tables(outcomes), qt.Contains,
		"| steady | random | 7 | 1.0, 2.0 | 4 | 3 | 0 | 1 | 0 | 0 | 0 | 0 | 10 / 20 / 30 | 0.250 | 0.000 | 0.0 |\n")
	c.Assert(ProcessTable(outcomes), qt.Contains, "| steady | cost | entry | 2 | 2.00 | 0.0 | 0 |\n")
	c.Assert(ProcessTable(outcomes), qt.Contains, "| steady | cost | a-b | 1 |")
	c.Assert(WriteChart(filepath.Join(c.TempDir(), "chart.svg"), outcomes), qt.IsNil)
	_, err = Read(filepath.Join(c.TempDir(), "absent"))
	c.Assert(err, qt.IsNotNil)
}

func TestRowNamesAreUnique(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for _, row := range Rows() {
		c.Assert(seen[row.Name], qt.IsFalse)
		seen[row.Name] = true
		c.Assert(row.Measured > 0 && row.MeanGap > 0, qt.IsTrue)
	}
}
