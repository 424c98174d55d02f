// Package backend holds what the system knows of one backend server. The membership mirror fills it,
// dispatch and the weight rollout read it.
package backend

import "time"

// State is what a server says of itself.
type State uint8

// The states of a server.
const (
	Ready State = iota
	Draining
)

// Server is the registration of one backend server.
type Server struct {
	ID      string
	Service string
	// Address is ip:port.
	Address       string
	FailureDomain string
	Slots         int
	State         State
	// Cold is how much longer the server stays slow after its start.
	Cold time.Duration
	// Started tells this run of the server from earlier ones under the same ID, in Unix milliseconds;
	// zero when the server doesn't say.
	Started int64
	// Versions holds the weight version by model.
	Versions map[string]int64
}

// Report is the state of an engine as of some hundred milliseconds ago.
type Report struct {
	Started  int64
	Versions map[string]int64
	// Loading tells that an order is being carried out.
	Loading bool
	// Orders counts the orders that the server has accepted since its start.
	Orders  int64
	Running int
	Waiting int
	// UsedTokens is the memory that can't be given up, of TotalTokens.
	UsedTokens  int
	TotalTokens int
	// ClockMS is the server's clock, in Unix milliseconds.
	ClockMS int64
}

// Load is the load that a server adds to its answers.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
