package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
)

func TestApplyLoadAndRollback(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := NewStore(memkv.New())
	_, err := store.Root(ctx)
	c.Assert(errorx.IsOfType(err, ErrNotFound), qt.IsTrue)

	first, err := store.Apply(ctx, 0, sampleManifest(1), "one")
	c.Assert(err, qt.IsNil)
	second, err := store.Apply(ctx, 1, sampleManifest(2), "two")
	c.Assert(err, qt.IsNil)
	c.Assert(second.Version, qt.Equals, uint64(2))
	again, err := store.Apply(ctx, 0, sampleManifest(1), "one")
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.Equals, first)

	_, err = store.Apply(ctx, 1, sampleManifest(3), "late")
	c.Assert(errorx.IsOfType(err, ErrRaceLost), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, `.*version 2 was made on top of version 1.*`)

	back, err := store.Rollback(ctx, 2, 1, "back")
	c.Assert(err, qt.IsNil)
	c.Assert(back.Version, qt.Equals, uint64(3))
	c.Assert(back.Digest, qt.Equals, first.Digest)
	m, version, err := store.Manifest(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(version, qt.Equals, uint64(3))
	c.Assert(m.Services[0].WeightVersion, qt.Equals, "w1")
	_, err = store.Rollback(ctx, 3, 17, "nowhere")
	c.Assert(errorx.IsOfType(err, ErrNotFound), qt.IsTrue)
}

func TestApplyReportsAnOutage(t *testing.T) {
	c := qt.New(t)
	kv := memkv.New()
	setDown(kv, true)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := NewStore(kv).Apply(ctx, 0, sampleManifest(1), "one")
	c.Assert(errorx.IsOfType(err, ErrUnavailable), qt.IsTrue)
}

// lostResponses writes the root, takes the service down and reports an unknown outcome.
type lostResponses struct{ *memkv.Store }

func (l lostResponses) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	result, err := l.Store.CompareAndSwap(ctx, swap)
	if swap.Key != rootKey {
		return result, err
	}
	setDown(l.Store, true)
	return metastore.SwapResult{}, metastore.ErrOutcomeUnknown.New("lost response")
}

func TestApplyReportsUnknownOutcomeWhenTheResponseIsLost(t *testing.T) {
	c := qt.New(t)
	kv := memkv.New()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := NewStore(lostResponses{kv}).Apply(ctx, 0, sampleManifest(1), "one")
	c.Assert(errorx.IsOfType(err, ErrOutcomeUnknown), qt.IsTrue)

	setDown(kv, false)
	change, err := NewStore(kv).Apply(context.Background(), 0, sampleManifest(1), "one")
	c.Assert(err, qt.IsNil)
	c.Assert(change.Version, qt.Equals, uint64(1))
}

func TestOldDocumentsAreCollectedAndReferencedOnesStay(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := memkv.New()
	store := NewStore(kv)
	const versions = keptVersions + 20
	for i := range versions {
		_, err := store.Apply(ctx, uint64(i), sampleManifest(i), fmt.Sprintf("change-%d", i))
		c.Assert(err, qt.IsNil)
	}
	root, err := store.Root(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(root.Changes, qt.HasLen, keptVersions)
	referenced := make(map[string]bool)
	for _, change := range root.Changes {
		_, _, err := store.Manifest(ctx, change.Version)
		c.Assert(err, qt.IsNil)
		c.Assert(store.addReferenced(ctx, change.Digest, referenced), qt.IsNil)
	}
	records, err := kv.List(ctx, documentPrefix)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, len(referenced))
}

// collectBeforeSwap runs a hook once, after the documents of an apply were written or found and before its
// root is written.
type collectBeforeSwap struct {
	*memkv.Store
	hook func()
}

func (k *collectBeforeSwap) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	if swap.Key == rootKey && k.hook != nil {
		hook := k.hook
		k.hook = nil
		hook()
	}
	return k.Store.CompareAndSwap(ctx, swap)
}

// A writer reuses a document of an old version while the writer of the preceding version has not yet deleted
// unreferenced documents. That deletion must keep the reused document, however late it runs.
func TestCollectorKeepsDocumentsOfAnApplyInProgress(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := memkv.New()
	store := NewStore(kv)
	_, err := store.Apply(ctx, 0, sampleManifest(1000), "old")
	c.Assert(err, qt.IsNil)
	before, err := store.root(ctx)
	c.Assert(err, qt.IsNil)
	_, err = store.Apply(ctx, 1, sampleManifest(1), "new")
	c.Assert(err, qt.IsNil)
	// The root after a change that dropped version 1; its writer has not deleted the documents yet.
	after, err := store.root(ctx)
	c.Assert(err, qt.IsNil)
	after.Changes = after.Changes[1:]

	late := &collectBeforeSwap{Store: kv, hook: func() { store.collect(ctx, before.Root, after) }}
	_, err = NewStore(late).Apply(ctx, 2, sampleManifest(1000), "again")
	c.Assert(err, qt.IsNil)
	_, _, err = store.Manifest(ctx, 0)
	c.Assert(err, qt.IsNil)
}

// operation is one operation of a client in the history of concurrent operators: a read of the root or an
// apply.
type operation struct {
	read bool
	base uint64
	id   string
}

type outcome struct {
	version uint64
	id      string // of the version that was read
	err     string
}

// Values of outcome.err.
const (
	raceLost       = "lost"
	outcomeUnknown = "unknown"
	nothingWritten = "nothing written"
)

// history is the state of the model: the change ids of all versions, each followed by a semicolon.
type history string

func (h history) with(id string) history { return h + history(id) + ";" }

func (h history) ids() []string {
	var ids []string
	start := 0
	for i := range h {
		if h[i] == ';' {
			ids = append(ids, string(h[start:i]))
			start = i + 1
		}
	}
	return ids
}

func step(state history, op operation, out outcome) []any {
	ids := state.ids()
	version := uint64(len(ids))
	if op.read {
		current := ""
		if version > 0 {
			current = ids[version-1]
		}
		if out.version == version && out.id == current {
			return []any{state}
		}
		return nil
	}
	onCurrent := version == op.base
	switch out.err {
	case "":
		if onCurrent && out.version == version+1 {
			return []any{state.with(op.id)}
		}
	case raceLost:
		if version > op.base && ids[op.base] != op.id {
			return []any{state}
		}
	case nothingWritten:
		return []any{state}
	case outcomeUnknown:
		if onCurrent {
			return []any{state, state.with(op.id)}
		}
		return []any{state}
	}
	return nil
}

var configurationModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{history("")} },
	Step: func(state, input, output any) []any {
		return step(state.(history), input.(operation), output.(outcome))
	},
	Equal: func(a, b any) bool { return a == b },
}

// Concurrent operators apply changes while calls and responses get lost and the service fails. The history
// of applies and reads must be that of a register written by compare-and-swap: for each base version at most
// one apply succeeds.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			operations := runConcurrentOperators(t, seed)
			if !porcupine.CheckOperations(configurationModel.ToModel(), operations) {
				for _, op := range operations {
					t.Logf("%d: %+v -> %+v [%d, %d]", op.ClientId, op.Input, op.Output, op.Call, op.Return)
				}
				t.Fatal("history is not linearizable")
			}
		})
	}
}

const (
	operators          = 5
	changesPerOperator = 4
	// neverReturns is the return time, in nanoseconds, of an apply with an unknown outcome, because its write
	// may still take effect at any later time.
	neverReturns = int64(1) << 60
)

func runConcurrentOperators(t *testing.T, seed uint64) []porcupine.Operation {
	kv := memkv.New()
	var mu sync.Mutex
	var operations []porcupine.Operation
	start := time.Now()
	record := func(client int, input operation, call int64, out outcome) {
		end := time.Since(start).Nanoseconds()
		if out.err == outcomeUnknown {
			end = neverReturns
		}
		mu.Lock()
		defer mu.Unlock()
		operations = append(operations, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: out, Return: end})
	}
	var group sync.WaitGroup
	for client := range operators {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			store := NewStore(&flakyKV{Store: kv, random: random})
			for i := range changesPerOperator {
				call := time.Since(start).Nanoseconds()
				root, err := store.rootOrNew(context.Background())
				if err != nil {
					continue
				}
				out := outcome{version: root.Version}
				if root.Version > 0 {
					out.id = root.Changes[len(root.Changes)-1].ID
				}
				record(client, operation{read: true}, call, out)
				input := operation{base: root.Version, id: fmt.Sprintf("%d.%d", client, i)}
				call = time.Since(start).Nanoseconds()
				record(client, input, call, applyOnce(store, input, client*changesPerOperator+i))
			}
		})
	}
	group.Wait()
	return operations
}

func applyOnce(store *Store, input operation, content int) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	change, err := store.Apply(ctx, input.base, sampleManifest(content), input.id)
	switch {
	case err == nil:
		return outcome{version: change.Version}
	case errorx.IsOfType(err, ErrRaceLost):
		return outcome{err: raceLost}
	case errorx.IsOfType(err, ErrUnavailable):
		return outcome{err: nothingWritten}
	default:
		return outcome{err: outcomeUnknown}
	}
}
