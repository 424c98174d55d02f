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

	first, err := store.Apply(ctx, 0, sample(1), "one")
	c.Assert(err, qt.IsNil)
	second, err := store.Apply(ctx, 1, sample(2), "two")
	c.Assert(err, qt.IsNil)
	c.Assert(second.Version, qt.Equals, uint64(2))
	again, err := store.Apply(ctx, 0, sample(1), "one")
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.Equals, first)

	_, err = store.Apply(ctx, 1, sample(3), "late")
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
	_, err := NewStore(kv).Apply(ctx, 0, sample(1), "one")
	c.Assert(errorx.IsOfType(err, ErrUnavailable), qt.IsTrue)
}

// lostAnswers writes every root but never answers.
type lostAnswers struct{ *memkv.Store }

func (l lostAnswers) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	result, err := l.Store.CompareAndSwap(ctx, swap)
	if swap.Key != rootKey {
		return result, err
	}
	setDown(l.Store, true)
	return metastore.SwapResult{}, metastore.ErrOutcomeUnknown.New("lost answer")
}

func TestApplySaysUnknownWhenTheAnswerIsLostAndTheServiceStaysDown(t *testing.T) {
	c := qt.New(t)
	kv := memkv.New()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := NewStore(lostAnswers{kv}).Apply(ctx, 0, sample(1), "one")
	c.Assert(errorx.IsOfType(err, ErrOutcomeUnknown), qt.IsTrue)

	setDown(kv, false)
	change, err := NewStore(kv).Apply(context.Background(), 0, sample(1), "one")
	c.Assert(err, qt.IsNil)
	c.Assert(change.Version, qt.Equals, uint64(1))
}

func TestOldDocumentsAreCollectedAndRememberedOnesStay(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := memkv.New()
	store := NewStore(kv)
	const versions = keptVersions + 20
	for i := range versions {
		_, err := store.Apply(ctx, uint64(i), sample(i), fmt.Sprintf("change-%d", i))
		c.Assert(err, qt.IsNil)
	}
	root, err := store.Root(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(root.Changes, qt.HasLen, keptVersions)
	named := make(map[string]bool)
	for _, change := range root.Changes {
		_, _, err := store.Manifest(ctx, change.Version)
		c.Assert(err, qt.IsNil)
		c.Assert(store.addNamed(ctx, change.Digest, named), qt.IsNil)
	}
	records, err := kv.List(ctx, documentPrefix)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, len(named))
}

// collectDuring runs a hook once, after the documents of an apply were written or found and
// before its root is swapped.
type collectDuring struct {
	*memkv.Store
	hook func()
}

func (k *collectDuring) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	if swap.Key == rootKey && k.hook != nil {
		hook := k.hook
		k.hook = nil
		hook()
	}
	return k.Store.CompareAndSwap(ctx, swap)
}

// A writer that reuses an old document must not lose it to the collector of the version that
// preceded its own, however late that collector runs.
func TestCollectorSparesDocumentsOfAnApplyUnderWay(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	kv := memkv.New()
	store := NewStore(kv)
	_, err := store.Apply(ctx, 0, sample(1000), "old")
	c.Assert(err, qt.IsNil)
	before, err := store.root(ctx)
	c.Assert(err, qt.IsNil)
	_, err = store.Apply(ctx, 1, sample(1), "new")
	c.Assert(err, qt.IsNil)
	// The root after a change that dropped version 1, whose writer has not collected yet.
	after, err := store.root(ctx)
	c.Assert(err, qt.IsNil)
	after.Changes = after.Changes[1:]

	late := &collectDuring{Store: kv, hook: func() { store.collect(ctx, before.Root, after) }}
	_, err = NewStore(late).Apply(ctx, 2, sample(1000), "again")
	c.Assert(err, qt.IsNil)
	_, _, err = store.Manifest(ctx, 0)
	c.Assert(err, qt.IsNil)
}

// The history of concurrent operators: one operation of a client.
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

const (
	lost    = "lost"
	unknown = "unknown"
	nothing = "nothing written"
)

// history is the state of the model: the change ids of all versions, joined.
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
	fresh := version == op.base
	switch out.err {
	case "":
		if fresh && out.version == version+1 {
			return []any{state.with(op.id)}
		}
	case lost:
		if version > op.base && ids[op.base] != op.id {
			return []any{state}
		}
	case nothing:
		return []any{state}
	case unknown:
		if fresh {
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

// Racing operators with lost calls, lost answers and outages: the history of applies and reads is
// that of a register written by compare-and-swap, so one apply wins for each base version.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			operations := race(t, seed)
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
	operators    = 5
	changesEach  = 4
	neverReturns = int64(1) << 60
)

func race(t *testing.T, seed uint64) []porcupine.Operation {
	kv := memkv.New()
	var mu sync.Mutex
	var operations []porcupine.Operation
	start := time.Now()
	record := func(client int, in operation, call int64, out outcome) {
		end := time.Since(start).Nanoseconds()
		if out.err == unknown {
			end = neverReturns
		}
		mu.Lock()
		defer mu.Unlock()
		operations = append(operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	}
	var group sync.WaitGroup
	for client := range operators {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			store := NewStore(&flakyKV{Store: kv, random: random})
			for i := range changesEach {
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
				in := operation{base: root.Version, id: fmt.Sprintf("%d.%d", client, i)}
				call = time.Since(start).Nanoseconds()
				record(client, in, call, applyOnce(store, in, client*changesEach+i))
			}
		})
	}
	group.Wait()
	return operations
}

func applyOnce(store *Store, in operation, content int) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	change, err := store.Apply(ctx, in.base, sample(content), in.id)
	switch {
	case err == nil:
		return outcome{version: change.Version}
	case errorx.IsOfType(err, ErrRaceLost):
		return outcome{err: lost}
	case errorx.IsOfType(err, ErrUnavailable):
		return outcome{err: nothing}
	default:
		return outcome{err: unknown}
	}
}
