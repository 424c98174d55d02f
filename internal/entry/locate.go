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
	// lookupTimeout bounds how long a placement waits for the location directory.
	lookupTimeout = 10 * time.Millisecond
	// initialFetchMS is the time to fetch a piece assumed before any agent predicted one, in
	// milliseconds.
	initialFetchMS = 10
	// fetchSmoothing is the weight of the latest prediction in the mean.
	fetchSmoothing = 0.1
)

// located is what the location directory believes about a prompt.
type located struct {
	hints []placement.Hint
	// storePieces counts the leading pieces that stores hold, of pieceBytes bytes each.
	storePieces uint32
	pieceBytes  uint32
}

// locate asks the location directory where the prompt's pieces are. No answer is no belief.
func (e *Entry) locate(ctx context.Context, policy placement.Policy, names []piece.Name) located {
	if len(names) == 0 || !policy.NeedsProbes() {
		return located{}
	}
	lookupCtx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	runs, err := e.directory.Lookup(lookupCtx, names, 0)
	if err != nil {
		return located{}
	}
	return locatedOf(runs)
}

// locatedOf sums up the runs of a prompt's pieces.
func locatedOf(runs []directory.Run) located {
	slices.SortFunc(runs, func(a, b directory.Run) int { return cmp.Compare(a.Start, b.Start) })
	var found located
	for _, run := range runs {
		switch {
		case run.Tier == wire.Tier_TIER_REPLICA:
			found.hints = addHint(found.hints, run)
		case run.Start <= int(found.storePieces):
			found.storePieces = max(found.storePieces, uint32(run.End))
			found.pieceBytes = run.Bytes
		}
	}
	return found
}

// addHint keeps the deepest position of each holder.
func addHint(hints []placement.Hint, run directory.Run) []placement.Hint {
	for i := range hints {
		if hints[i].Instance == run.Holder {
			hints[i].Pieces = max(hints[i].Pieces, uint32(run.End))
			return hints
		}
	}
	return append(hints, placement.Hint{Instance: run.Holder, Pieces: uint32(run.End)})
}

// fetchTime is the mean time to fetch a piece, in milliseconds, that agents predicted.
type fetchTime struct {
	bits atomic.Uint64
}

func newFetchTime() *fetchTime {
	f := &fetchTime{}
	f.bits.Store(math.Float64bits(initialFetchMS))
	return f
}

func (f *fetchTime) mean() float64 { return math.Float64frombits(f.bits.Load()) }

// learn takes one prediction. A prediction lost to a concurrent one does no harm.
func (f *fetchTime) learn(ms float64) {
	mean := f.mean()
	f.bits.Store(math.Float64bits(mean + fetchSmoothing*(ms-mean)))
}

// creditStores lets candidates whose agents have not heard of the stores' pieces count them: an
// agent asks the directory itself once the request is dispatched to it.
func (e *Entry) creditStores(decision *placement.Decision, found located) {
	for i := range decision.Candidates {
		estimate := &decision.Candidates[i].Estimate
		if estimate.FetchablePieces > 0 {
			e.fetchTime.learn(float64(estimate.FetchMS) / float64(estimate.FetchablePieces))
			continue
		}
		estimate.CreditStores(found.storePieces, e.fetchTime.mean(), found.pieceBytes)
	}
}
