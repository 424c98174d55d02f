// Command balsam-load sends the requests of a deployment to a fleet at a fixed rate, checks the responses and
// reports the results. Its settings come from a file named by --settings and from flags.
package main

import (
	"fmt"
	"os"
	"time"

	"balsamyoke.example/balsamyoke/internal/load"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/settings"
)

const program = "balsam-load"

// loadSettings are the settings of the tool.
type loadSettings struct {
	Entries  []string       `json:"entries" long:"entry" description:"ip:port of an entry; may be given more than once"`
	Profile  string         `json:"profile" long:"profile" description:"ridgeline or nyirangabo"`
	Rate     float64        `json:"requests_per_second" long:"rate" description:"requests per second"`
	Seconds  float64        `json:"seconds" long:"seconds" description:"duration of the run in seconds, including the warm-up"`
	WarmUp   float64        `json:"warm_up_seconds" long:"warm-up-seconds" description:"seconds at the start that are not reported"`
	Gap      float64        `json:"mean_gap_seconds" long:"mean-gap-seconds" description:"mean seconds until the next turn of a conversation is due"`
	Seed     uint64         `json:"seed" long:"seed" description:"seed of the schedule"`
	PIDs     map[string]int `json:"pids" long:"pid" description:"NAME:PID of a process to sample; may be given more than once"`
	Report   string         `json:"report" long:"report" description:"file for the report as JSON"`
	Chart    string         `json:"chart" long:"chart" description:"file for the chart, .svg or .png"`
	Manifest bool           `json:"manifest" long:"manifest" description:"print the manifest that the profile needs and exit"`
}

func main() { process.Exit(program, run()) }

func run() error {
	s := loadSettings{Profile: "ridgeline", Rate: 5, Seconds: 30, WarmUp: 5, Gap: 10, Seed: 1}
	if err := settings.Load(program, os.Args[1:], &s); err != nil {
		return err
	}
	profile, err := load.ByName(s.Profile)
	if err != nil {
		return err
	}
	if s.Manifest {
		return load.WriteManifest(os.Stdout, profile)
	}
	ctx, stop := process.StopContext()
	defer stop()
	report, err := load.Run(ctx, load.Options{
		Plan: load.Plan{
			Profile:  profile,
			Seed:     s.Seed,
			Rate:     s.Rate,
			Duration: seconds(s.Seconds),
			MeanGap:  seconds(s.Gap),
		},
		Entries:   s.Entries,
		WarmUp:    seconds(s.WarmUp),
		Processes: s.PIDs,
	})
	if err != nil {
		return err
	}
	fmt.Print(report.Text())
	return write(report, s)
}

func write(report *load.Report, s loadSettings) error {
	if s.Chart != "" {
		if err := report.WriteChart(s.Chart); err != nil {
			return err
		}
	}
	if s.Report == "" {
		return nil
	}
	file, err := os.Create(s.Report)
	if err != nil {
		return load.ErrReport.Wrap(err, "report %q", s.Report)
	}
	defer func() { _ = file.Close() }()
	return report.WriteJSON(file)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
