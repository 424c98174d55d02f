// Package placement picks the replica that runs a request. Entries call it on their traffic
// goroutines with an immutable Snapshot that the control goroutine publishes.
//
// A decision has three steps. Hard filters drop replicas that must not run the request. The
// policy selects candidates; if it needs probe replies, the caller probes the candidates. The policy
// then scores the candidates and picks one. Locality only lowers a candidate's cost; it never
// excludes the others. The Decision records every input and term for the explain ring.
package placement

import (
	"math/rand/v2"
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// Request holds the features of a request that placement depends on.
type Request struct {
	ID            [16]byte
	Organisation  string
	Service       string
	WeightVersion string
	Adapter       string
	Urgency       wire.Urgency
	// Deadline is the time left until the first token is due.
	Deadline time.Duration
	// Affinity is the hash of the prompt's first piece or conversation; zero means none.
	Affinity uint64
	// PromptTokens is the number of prompt tokens, PieceTokens the number of tokens of a complete piece.
	PromptTokens uint32
	PieceTokens  uint32
	MaxTokens    uint32
	// Tried lists the instances that must not be tried again.
	Tried []string
}

// Hint is the last known number of leading pieces of the prompt that an instance holds. It may be wrong.
type Hint struct {
	Instance string
	Pieces   uint32
}

// Policy selects and scores the replicas for one request. Policies are safe for concurrent use;
// rng and decision belong to the caller.
type Policy interface {
	// Name returns the policy's name in the settings.
	Name() string
	// NeedsProbes reports whether the caller should probe the candidates between Select and Pick.
	NeedsProbes() bool
	// Select resets decision and fills its candidates.
	Select(req *Request, snapshot *Snapshot, hints []Hint, rng *rand.Rand, decision *Decision)
	// Pick scores the candidates and sets decision.Picked, or NoCandidate when none may run the
	// request. After a refusal the caller appends the instance to req.Tried and picks again.
	Pick(req *Request, snapshot *Snapshot, decision *Decision)
}
