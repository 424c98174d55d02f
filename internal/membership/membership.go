// Package membership holds what a process believes about the other instances. The platform's
// instance list lags and only suggests candidates; what an instance says of itself, in greetings
// and probe replies, and whether it can be reached win over the list. The states of an instance
// are in instance.chart.json. The owner of the table calls it; the package starts no goroutines
// and takes no locks.
package membership

import (
	_ "embed"
	"time"

	"balsamyoke.example/balsamyoke/internal/chart"
	"balsamyoke.example/balsamyoke/internal/metastore"
)

//go:embed instance.chart.json
var chartFile []byte

// Labels that the chart gives its states.
const (
	labelOpen     = "open"
	labelDoubtful = "doubtful"
)

var (
	instanceChart = chart.MustLoad(chartFile)

	stateSuspect       = instanceChart.MustState("suspect")
	stateLeaving       = instanceChart.MustState("leaving")
	eventHeard         = instanceChart.MustEvent("heard")
	eventHeardLeaving  = instanceChart.MustEvent("heard_leaving")
	eventReplaced      = instanceChart.MustEvent("replaced")
	eventFailed        = instanceChart.MustEvent("failed")
	eventListedLeaving = instanceChart.MustEvent("listed_leaving")
	eventElapsed       = instanceChart.MustEvent("elapsed")
	eventForgotten     = instanceChart.MustEvent("forgotten")
)

const (
	// SuspectFor is how long an instance that could not be reached is in doubt.
	SuspectFor = 2 * time.Second
	// LeavingFor is how long an instance that said that it is leaving is not asked again while the
	// list shows it as live. Later its place may hold another process; one that is still leaving
	// says so again.
	LeavingFor = 5 * time.Second
	// UnlistedFor is how long an instance that left the list is kept after it was last heard.
	UnlistedFor = 30 * time.Second
)

// Evidence is what an instance says of itself.
type Evidence struct {
	Instance      string
	Incarnation   uint64
	ConfigVersion uint64
	WeightVersion string
	Leaving       bool
}

// Member is one instance with what is believed about it.
type Member struct {
	metastore.Instance
	Incarnation   uint64    `json:"incarnation,omitempty"`
	ConfigVersion uint64    `json:"config_version,omitempty"`
	WeightVersion string    `json:"weight_version,omitempty"`
	State         string    `json:"state"`
	Heard         time.Time `json:"heard,omitzero"`
	// Open says that new work may go to the instance; Doubtful that it may when nothing else is
	// left. Otherwise the instance is leaving.
	Open     bool `json:"-"`
	Doubtful bool `json:"-"`
}

// member is one row of the table.
type member struct {
	instance      metastore.Instance
	state         chart.State
	incarnation   uint64
	configVersion uint64
	weightVersion string
	// listed is the last time at which the list showed the instance, heard that at which it was
	// heard, and since that at which its state began or was confirmed.
	listed time.Time
	heard  time.Time
	since  time.Time
}

// fire applies an event and reports whether the state changed.
func (m *member) fire(now time.Time, event chart.Event) bool {
	before := m.state
	m.state, _ = instanceChart.Next(m.state, event)
	if m.state == before {
		return false
	}
	m.since = now
	return true
}

// overdue reports whether the time of the present belief is over. What the list last said about
// leaving holds until it says otherwise or another incarnation is heard.
func (m *member) overdue(now time.Time) bool {
	held := now.Sub(m.since)
	switch m.state {
	case stateSuspect:
		return held >= SuspectFor
	case stateLeaving:
		return held >= LeavingFor && m.instance.State != metastore.InstanceLeaving
	default:
		return false
	}
}

func (m *member) view() Member {
	label := instanceChart.Label(m.state)
	return Member{
		Instance:      m.instance,
		Incarnation:   m.incarnation,
		ConfigVersion: m.configVersion,
		WeightVersion: m.weightVersion,
		State:         instanceChart.StateName(m.state),
		Heard:         m.heard,
		Open:          label == labelOpen,
		Doubtful:      label == labelDoubtful,
	}
}
