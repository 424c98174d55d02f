// Package weights brings the model engines to the weight versions that the operator names. The planner
// decides which engine is ordered when; the leader among the gateways runs it and carries out its steps.
//
// Invariant: an engine is ordered only by the holder of the leader lease, with the fence of that lease
// and the number of orders that the engine had accepted, so that an order that arrives late or twice
// changes nothing.
package weights

import (
	"context"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/backend"
)

var namespace = errorx.NewNamespace("weights")

// Errors of the package.
var (
	// ErrUnavailable means that an engine or store could not be reached and did nothing.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrOutcomeUnknown means that a call may have taken effect, or may do so later.
	ErrOutcomeUnknown = namespace.NewType("outcome_unknown")
)

// Mode says what becomes of the requests that run when the weights change.
type Mode uint8

// The modes of an order.
const (
	// Wait lets them finish first.
	Wait Mode = iota
	// Truncate breaks them off.
	Truncate
	// Retain lets them go on under the new weights.
	Retain
)

// Order tells one engine to take a weight version.
type Order struct {
	Server  string
	Address string
	Model   string
	Version int64
	Mode    Mode
	// Holder names the leader, Fence is the fencing number of its lease.
	Holder string
	Fence  int64
	// Expected is the number of orders that the engine has accepted before this one.
	Expected int64
}

// Outcome is an engine's answer to an order.
type Outcome uint8

// The outcomes of an order.
const (
	// Unknown means that the order may be carried out, at once or later.
	Unknown Outcome = iota
	// Accepted means that the engine carries it out.
	Accepted
	// Holds means that the engine already has the version.
	Holds
	// Conflict means that another order is being carried out or was accepted before.
	Conflict
	// Fenced means that the engine has seen a higher fence.
	Fenced
	// Refused means that the engine doesn't know the order, or that another server answered.
	Refused
)

var outcomeNames = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused"}

// String names the outcome as logs show it.
func (o Outcome) String() string { return outcomeNames[o] }

// Engines makes the calls to engines.
type Engines interface {
	// Report returns ErrUnavailable or ErrOutcomeUnknown when the engine can't be asked.
	Report(ctx context.Context, address string) (backend.Report, error)
	// Switch returns Unknown with an error when there was no answer.
	Switch(ctx context.Context, order Order) (Outcome, error)
}
