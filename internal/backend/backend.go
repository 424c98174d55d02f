// Package backend defines the registration, state report and load of one backend server. The membership mirror
// fills them in; dispatch and the weight rollout read them.
package backend

import "time"

// State is the state that a server reports for itself.
type State uint8

// The states of a server.
const (
	Ready State = iota
	Draining
)

// MaxRegistrationBytes bounds an encoded registration. Servers write some hundred bytes; a longer value is of another
// writer.
const MaxRegistrationBytes = 16 << 10

// Server is the registration of one backend server.
type Server struct {
	ID      string
	Service string
	// Address is ip:port.
	Address       string
	FailureDomain string
	Slots         int
	State         State
	// WarmUpLeft is the time for which the server, recently started, will still be slow.
	WarmUpLeft time.Duration
	// StartedMS is the start time in Unix milliseconds, which distinguishes this run of the server from earlier
	// ones under the same ID; zero when the server doesn't report it.
	StartedMS int64
	// Versions maps each model to its weight version.
	Versions map[string]int64
	// SoftwareVersion is the version of the server's software; empty if unknown. Versions have no order.
	SoftwareVersion string
}

// Report is the state of an engine, some hundred milliseconds old.
type Report struct {
	// StartedMS is the start time as in Server.
	StartedMS int64
	Versions  map[string]int64
	// Loading is set while the engine carries out an order.
	Loading bool
	// AcceptedOrders counts the orders that the server has accepted since its start.
	AcceptedOrders int64
	Running        int
	Waiting        int
	// UsedTokens is the memory that can't be freed, out of TotalTokens. Both are in tokens of KV cache.
	UsedTokens  int
	TotalTokens int
	// ClockMS is the server's clock, in Unix milliseconds.
	ClockMS int64
}

// Load is the load that a server reports with its responses.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Speed is how long work takes on the server's host at this moment, relative to usual: 2 takes twice as long. It is 0
	// when the server doesn't state it. Servers that share their hosts do, and it changes many times a second.
	Speed float64
}
