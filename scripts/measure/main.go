// Command measure executes the runs of docs/MEASUREMENTS.md and appends their results to a file, one
// JSON object per line. scripts/measure.sh builds and calls it.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"balsamyoke.example/balsamyoke/internal/load"
	"balsamyoke.example/balsamyoke/internal/measure"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/settings"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

const program = "measure"

// measureSettings select the runs.
type measureSettings struct {
	Profile  string   `json:"profile" long:"profile" description:"ridgeline or nyirangabo"`
	Policies []string `json:"policies" long:"policy" description:"placement policy; may be given more than once"`
	Rows     []string `json:"rows" long:"row" description:"name of a row; may be given more than once; all rows by default"`
	Seeds    []uint64 `json:"seeds" long:"seed" description:"seed of the load; may be given more than once"`
	Out      string   `json:"out" long:"out" description:"file to which the results are appended"`
	Table    bool     `json:"table" long:"table" description:"print tables of the results in the file instead of executing runs"`
	Chart    string   `json:"chart" long:"chart" description:"with --table, file for the chart"`
}

func main() { process.Exit(program, run()) }

func run() error {
	s := measureSettings{Profile: "ridgeline", Out: "measurements.jsonl"}
	if err := settings.Load(program, os.Args[1:], &s); err != nil {
		return err
	}
	if s.Table {
		return printTables(s)
	}
	if len(s.Policies) == 0 {
		s.Policies = []string{""}
	}
	if len(s.Seeds) == 0 {
		s.Seeds = []uint64{1}
	}
	return makeRuns(s)
}

func makeRuns(s measureSettings) error {
	profile, err := load.ByName(s.Profile)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "balsamyoke-measure-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries := filepath.Join(folder, "bin")
	if err := testbed.Build(binaries); err != nil {
		return err
	}
	for _, seed := range s.Seeds {
		for _, row := range measure.Rows() {
			if len(s.Rows) > 0 && !slices.Contains(s.Rows, row.Name) {
				continue
			}
			for _, policy := range s.Policies {
				c := measure.Case{Profile: profile, Row: row, Policy: policy, Seed: seed}
				if err := makeRun(s, binaries, folder, c); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func makeRun(s measureSettings, binaries, folder string, c measure.Case) error {
	ctx, stop := process.StopContext()
	defer stop()
	logs, err := os.MkdirTemp(folder, "run-")
	if err != nil {
		return err
	}
	outcome, err := measure.Run(ctx, binaries, logs, c)
	if err != nil {
		return fmt.Errorf("row %q, policy %q: %w", c.Row.Name, c.Policy, err)
	}
	fmt.Printf("== %s, %s, doubled %d, load average %v\n%s", c.Row.Name, c.Policy, outcome.Doubled, outcome.LoadAverage, outcome.Report.Text())
	file, err := os.OpenFile(s.Out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return json.NewEncoder(file).Encode(outcome)
}

func printTables(s measureSettings) error {
	outcomes, err := measure.Read(s.Out)
	if err != nil {
		return err
	}
	fmt.Print(measure.Tables(outcomes))
	fmt.Println()
	fmt.Print(measure.ProcessTable(outcomes))
	if s.Chart == "" {
		return nil
	}
	return measure.WriteChart(s.Chart, outcomes)
}
