package entry

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/placement"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// lookupTimeout is the maximum time that a placement waits for the location directory.
	lookupTimeout = 10 * time.Millisecond
	// initialFetchMS is the assumed time to fetch a piece, in milliseconds, before any agent predicted one.
	initialFetchMS = 10
	// fetchSmoothing is the weight of the latest prediction in the moving average.
	fetchSmoothing = 0.1
)

// pieceLocations is where a prompt's pieces are according to the location directory.
type pieceLocations struct {
	hints []placement.Hint
	// storePieces is the number of leading pieces that stores hold; each has pieceBytes bytes.
	storePieces uint32
	pieceBytes  uint32
}

// locate looks up the prompt's pieces in the location directory. A failed lookup returns no locations.
func (e *Entry) locate(ctx context.Context, policy placement.Policy, names []piece.Name) pieceLocations {
	if len(names) == 0 || !policy.NeedsProbes() {
		return pieceLocations{}
	}
	lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	runs, err := e.directory.Lookup(lookupCtx, names, 0)
	if err != nil {
		return pieceLocations{}
	}
	return summariseRuns(runs)
}

// summariseRuns combines the directory's runs of a prompt's pieces. Runs of stores count up to the first gap.
func summariseRuns(runs []directory.Run) pieceLocations {
	slices.SortFunc(runs, func(a, b directory.Run) int { return cmp.Compare(a.Start, b.Start) })
	var locations pieceLocations
	for _, run := range runs {
		switch {
		case run.Tier == wire.Tier_TIER_REPLICA:
			locations.hints = addHint(locations.hints, run)
		case run.Start <= int(locations.storePieces):
			locations.storePieces = max(locations.storePieces, uint32(run.End))
			locations.pieceBytes = run.Bytes
		}
	}
	return locations
}

// addHint adds a holder or raises its number of pieces.
func addHint(hints []placement.Hint, run directory.Run) []placement.Hint {
	for i := range hints {
		if hints[i].Instance == run.Holder {
			hints[i].Pieces = max(hints[i].Pieces, uint32(run.End))
			return hints
		}
	}
	return append(hints, placement.Hint{Instance: run.Holder, Pieces: uint32(run.End)})
}

// pieceFetchTime is a moving average of the predicted time to fetch a piece, in milliseconds.
type pieceFetchTime struct {
	bits atomic.Uint64
}

func newPieceFetchTime() *pieceFetchTime {
	f := &pieceFetchTime{}
	f.bits.Store(math.Float64bits(initialFetchMS))
	return f
}

func (f *pieceFetchTime) meanMS() float64 { return math.Float64frombits(f.bits.Load()) }

// add includes one prediction of an agent, in milliseconds. Losing a prediction to a concurrent update is
// harmless.
func (f *pieceFetchTime) add(ms float64) {
	meanMS := f.meanMS()
	f.bits.Store(math.Float64bits(meanMS + fetchSmoothing*(ms-meanMS)))
}

// creditStores counts the stores' pieces for candidates whose agents reported no fetchable pieces. An agent
// queries the directory itself once the request is dispatched to it.
func (e *Entry) creditStores(decision *placement.Decision, locations pieceLocations) {
	for i := range decision.Candidates {
		estimate := &decision.Candidates[i].Estimate
		if estimate.FetchablePieces > 0 {
			e.fetchTime.add(float64(estimate.FetchMS) / float64(estimate.FetchablePieces))
			continue
		}
		estimate.CreditStores(locations.storePieces, e.fetchTime.meanMS(), locations.pieceBytes)
	}
}
