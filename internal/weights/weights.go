// Package weights rolls out the target weight versions that the operator sets to the model engines. The
// Planner decides when each engine is ordered to load; the leader among the gateways runs it and carries
// out its steps.
//
// Invariant: only the holder of the leader lease orders an engine. Each order carries the fence of that
// lease and the number of orders that the engine had accepted, so that a late or duplicate order changes
// nothing.
package weights

import (
	"context"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/backend"
)

var namespace = errorx.NewNamespace("weights")

// The error types of the package.
var (
	// ErrUnavailable means that an engine or store was unreachable and did nothing.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrOutcomeUnknown means that a call may have taken effect, or may do so later.
	ErrOutcomeUnknown = namespace.NewType("outcome_unknown")
)

// Mode defines what an engine does with its running requests when its weights change.
type Mode uint8

// The modes of an order.
const (
	// Wait lets running requests finish before the load.
	Wait Mode = iota
	// Truncate stops running requests before their end.
	Truncate
	// Retain continues running requests with the new weights.
	Retain
)

// Order instructs one engine to load a weight version.
type Order struct {
	Server  string
	Address string
	Model   string
	Version int64
	Mode    Mode
	// Holder is the name of the leader. Fence is the fencing token of its lease.
	Holder string
	Fence  int64
	// Expected is the number of orders that the engine has accepted before this one.
	Expected int64
}

// Outcome is the result of an order.
type Outcome uint8

// The outcomes of an order.
const (
	// Unknown means that the engine may carry out the order, now or later.
	Unknown Outcome = iota
	// Accepted means that the engine carries out the order.
	Accepted
	// AlreadyLoaded means that the engine already has the version.
	AlreadyLoaded
	// Conflict means that the engine is carrying out another order or has accepted one before.
	Conflict
	// Fenced means that the engine has received a higher fence.
	Fenced
	// Refused means that the engine does not support the order, or that another server responded.
	Refused
)

var outcomeNames = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "refused"}

// String returns the outcome's name for logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Engines calls the engines.
type Engines interface {
	// Report returns the engine's report, or ErrUnavailable or ErrOutcomeUnknown when the call fails.
	Report(ctx context.Context, address string) (backend.Report, error)
	// Switch sends the order. It returns Unknown with an error when there was no response.
	Switch(ctx context.Context, order Order) (Outcome, error)
}
