// Package membership keeps the last known state of the other instances. The platform's instance list
// lags and only provides candidates; an instance's own reports, in greetings and probe replies, and its
// reachability take precedence over the list. The states of an instance are in instance.chart.json. Only
// the owner of the table calls it; the package starts no goroutines and takes no locks.
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
	labelOpen        = "open"
	labelUnconfirmed = "doubtful"
)

var (
	instanceChart = chart.MustLoad(chartFile)

	stateSuspect         = instanceChart.MustState("suspect")
	stateLeaving         = instanceChart.MustState("leaving")
	eventReported        = instanceChart.MustEvent("heard")
	eventReportedLeaving = instanceChart.MustEvent("heard_leaving")
	eventReplaced        = instanceChart.MustEvent("replaced")
	eventFailed          = instanceChart.MustEvent("failed")
	eventListedLeaving   = instanceChart.MustEvent("listed_leaving")
	eventElapsed         = instanceChart.MustEvent("elapsed")
	eventAbsent          = instanceChart.MustEvent("forgotten")
)

const (
	// SuspectTTL is how long an instance that could not be reached stays suspect.
	SuspectTTL = 2 * time.Second
	// LeavingTTL is how long an instance that reported that it is leaving gets no new work while the list
	// shows it as live. After that, another process may run as this instance; one that is still leaving
	// reports so again.
	LeavingTTL = 5 * time.Second
	// UnlistedTTL is how long an instance that the list no longer shows is kept after its last report.
	UnlistedTTL = 30 * time.Second
)

// Report is an instance's report about itself.
type Report struct {
	Instance      string
	Incarnation   uint64
	ConfigVersion uint64
	WeightVersion string
	Leaving       bool
}

// Member is one instance with its last known state.
type Member struct {
	metastore.Instance
	Incarnation   uint64    `json:"incarnation,omitempty"`
	ConfigVersion uint64    `json:"config_version,omitempty"`
	WeightVersion string    `json:"weight_version,omitempty"`
	State         string    `json:"state"`
	LastReportAt  time.Time `json:"heard,omitzero"`
	// Open reports whether the instance may get new work; Unconfirmed, whether it may when no open instance
	// is left. When both are false the instance is leaving.
	Open        bool `json:"-"`
	Unconfirmed bool `json:"-"`
}

// member is one row of the table.
type member struct {
	instance      metastore.Instance
	state         chart.State
	incarnation   uint64
	configVersion uint64
	weightVersion string
	// listedAt is when the list last showed the instance, lastReportAt when its last report was received,
	// and stateSince when its state started or was last confirmed.
	listedAt     time.Time
	lastReportAt time.Time
	stateSince   time.Time
}

// fire applies an event and reports whether the state changed.
func (m *member) fire(now time.Time, event chart.Event) bool {
	before := m.state
	m.state, _ = instanceChart.Next(m.state, event)
	if m.state == before {
		return false
	}
	m.stateSince = now
	return true
}

// expired reports whether the time for which the state is valid is over. While the list shows the instance as
// leaving, that state does not expire; another incarnation ends it.
func (m *member) expired(now time.Time) bool {
	age := now.Sub(m.stateSince)
	switch m.state {
	case stateSuspect:
		return age >= SuspectTTL
	case stateLeaving:
		return age >= LeavingTTL && m.instance.State != metastore.InstanceLeaving
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
		LastReportAt:  m.lastReportAt,
		Open:          label == labelOpen,
		Unconfirmed:   label == labelUnconfirmed,
	}
}
