package transfer

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/control"
	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/engine"
	"balsamyoke.example/balsamyoke/internal/httpclient"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/standin/storeserver"
	"balsamyoke.example/balsamyoke/internal/store"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const testContentBytes = 4096

// fakeEngine is an engine in memory. The correct content of a piece is contentOf its name; damaged
// counts the imports of other content.
type fakeEngine struct {
	mu       sync.Mutex
	pieces   map[piece.Name][]byte
	imports  int
	damaged  int
	onExport func()
}

func contentOf(name piece.Name) []byte { return bytes.Repeat(name[:], testContentBytes/piece.NameSize) }

func (e *fakeEngine) Export(_ context.Context, raw []byte) ([]byte, error) {
	if e.onExport != nil {
		e.onExport()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	data, ok := e.pieces[piece.Name(raw)]
	if !ok {
		return nil, engine.ErrNotCached.New("piece %x", raw)
	}
	return data, nil
}

func (e *fakeEngine) Import(_ context.Context, raw, content []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imports++
	if !bytes.Equal(content, contentOf(piece.Name(raw))) {
		e.damaged++
	}
	e.pieces[piece.Name(raw)] = content
	return nil
}

// fakeDirectory returns one store for all pieces, or an error if store is empty.
type fakeDirectory struct{ store string }

func (d fakeDirectory) Lookup(_ context.Context, names []piece.Name, start int) ([]directory.Run, error) {
	if d.store == "" {
		return nil, directory.ErrUnavailable.New("no owner")
	}
	return []directory.Run{{Holder: d.store, Tier: wire.Tier_TIER_STORE_MEMORY, Start: start, End: len(names)}}, nil
}

// fixture is a Mover with a fake engine and a store stand-in.
type fixture struct {
	*qt.C
	mover  *Mover
	loop   *control.Loop
	engine *fakeEngine
	store  *storeserver.Server
	stores []metastore.Instance
	mu     sync.Mutex
	stored int
	lost   int
}

func (h *fixture) Imported(piece.Name)         {}
func (h *fixture) NotCached(piece.Name)        {}
func (h *fixture) Stored(Location, piece.Name) { h.mu.Lock(); h.stored++; h.mu.Unlock() }
func (h *fixture) Lost(Location)               { h.mu.Lock(); h.lost++; h.mu.Unlock() }

func newFixture(t *testing.T, d Directory, s storeserver.Settings) *fixture {
	h := &fixture{C: qt.New(t), loop: control.NewLoop(), engine: &fakeEngine{pieces: map[piece.Name][]byte{}}}
	s.Listen, s.Admin = "127.0.0.1:0", "127.0.0.1:0"
	var err error
	h.store, err = storeserver.Start(s)
	h.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { h.loop.Run(ctx); close(stopped) }()
	h.mover = NewMover(ctx, Settings{FailureDomain: "a", BytesPerSecond: 1 << 30}, Dependencies{
		Loop: h.loop, Engine: h.engine, Directory: d, Observer: h, Scope: tally.NoopScope,
	}, 1, time.Now())
	h.stores = []metastore.Instance{{
		ID: "store-1", Role: metastore.RoleStore, State: metastore.InstanceLive, FailureDomain: "a", Address: h.store.Address(),
	}}
	h.loop.Call(func() { h.mover.SetStores(h.stores) })
	t.Cleanup(func() {
		h.loop.Call(h.mover.Close)
		h.store.Stop()
		cancel()
		<-stopped
	})
	return h
}

func testPrompt(names []piece.Name) Prompt {
	return Prompt{Names: names, PiecePrefill: time.Second, PieceTokens: 1000, Deadline: time.Minute}
}

func testNames(organisation string, count int) []piece.Name {
	scope := piece.Scope{Organisation: organisation, WeightVersion: "w1"}
	return piece.Names(scope, bytes.Repeat([]byte("some text "), count*10), 100)[:count]
}

// fetch fetches a prompt and returns how many of its pieces the engine then has cached.
func (h *fixture) fetch(names []piece.Name) int {
	var f *Fetch
	h.loop.Call(func() { f = h.mover.Fetch(testPrompt(names)) })
	<-f.Done()
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	cached := 0
	for _, name := range names {
		if _, ok := h.engine.pieces[name]; ok {
			cached++
		}
	}
	return cached
}

// export runs a prompt on the engine and exports its pieces.
func (h *fixture) export(names []piece.Name) {
	h.engine.mu.Lock()
	for _, name := range names {
		h.engine.pieces[name] = contentOf(name)
	}
	h.engine.mu.Unlock()
	h.loop.Call(func() { h.mover.Offer("o", testPrompt(names)) })
	h.waitUntil(func() bool { return h.mover.activeExports == 0 && h.mover.exports.Len() == 0 })
}

// waitUntil waits until a condition, evaluated on the control goroutine, is true.
func (h *fixture) waitUntil(condition func() bool) {
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		met := false
		h.loop.Call(func() { met = condition() })
		if met {
			return
		}
		if time.Now().After(deadline) {
			h.Fatal("timed out waiting for the condition")
		}
	}
}

func (h *fixture) evictAll() {
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	h.engine.pieces = map[piece.Name][]byte{}
}

func (h *fixture) put(name piece.Name, raw []byte) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetRequestURI("http://" + h.store.Address() + "/pieces/" + name.String())
	request.SetBody(raw)
	client := httpclient.New(h.store.Address(), httpclient.Options{})
	defer client.Close()
	h.Assert(client.Do(context.Background(), request, response), qt.IsNil)
}

func TestEvictedPromptIsFetchedFromTheStore(t *testing.T) {
	h := newFixture(t, fakeDirectory{}, storeserver.Settings{})
	names := testNames("ridge", 12)
	h.export(names)
	h.Assert(h.stored, qt.Equals, 12)
	h.evictAll()
	h.Assert(h.fetch(names), qt.Equals, 12)
	h.Assert(h.engine.damaged, qt.Equals, 0)
	// Another organisation's pieces of the same text have other names, so nothing is found.
	h.Assert(h.fetch(testNames("other", 12)), qt.Equals, 0)
}

func TestPieceCutAtAnyBoundaryIsNeverImported(t *testing.T) {
	names := testNames("ridge", 1)
	sealed := piece.Seal(names[0], 3, contentOf(names[0]))
	damaged := map[string][]byte{
		"nothing":           {},
		"half a header":     sealed[:piece.HeaderSize/2],
		"header alone":      sealed[:piece.HeaderSize],
		"first byte":        sealed[:piece.HeaderSize+1],
		"all but the last":  sealed[:len(sealed)-1],
		"zeroes at the end": append(bytes.Clone(sealed[:len(sealed)-8]), make([]byte, 8)...),
		"another piece":     piece.Seal(piece.Name{9}, 3, contentOf(piece.Name{9})),
		// A store reuses a slot: the old header precedes the new content.
		"reused slot": append(bytes.Clone(sealed[:piece.HeaderSize]), contentOf(piece.Name{9})...),
	}
	for label, raw := range damaged {
		t.Run(label, func(t *testing.T) {
			h := newFixture(t, fakeDirectory{store: "store-1"}, storeserver.Settings{})
			h.put(names[0], raw)
			h.Assert(h.fetch(names), qt.Equals, 0)
			h.Assert(h.engine.imports, qt.Equals, 0)
			h.Assert(h.lost, qt.Equals, 1)
			h.put(names[0], sealed)
			h.Assert(h.fetch(names), qt.Equals, 1)
		})
	}
}

func TestStoreLostWhileWritingLeavesNoReadablePiece(t *testing.T) {
	h := newFixture(t, fakeDirectory{store: "store-1"}, storeserver.Settings{
		PublishPartial: true, LinkBytesPerSecond: 64 << 10,
	})
	name := testNames("ridge", 1)[0]
	big := bytes.Repeat([]byte{7}, 64<<10) // two chunks on the link, half a second each
	h.engine.pieces[name] = big
	h.loop.Call(func() { h.mover.Offer("o", testPrompt([]piece.Name{name})) })
	h.waitUntil(func() bool { return h.store.Stats().MemoryPieces == 1 })
	h.Assert(h.store.SetFaults(storeserver.Faults{Down: true}), qt.IsNil)
	h.waitUntil(func() bool { return h.mover.activeExports == 0 })
	h.Assert(h.stored, qt.Equals, 0)
	h.evictAll()
	h.Assert(h.store.SetFaults(storeserver.Faults{}), qt.IsNil)
	h.Assert(h.store.Stats().MemoryPieces, qt.Equals, 1)
	h.waitUntil(func() bool { return !h.mover.stores["store-1"].client.Suspended(time.Now()) })
	h.Assert(h.fetch([]piece.Name{name}), qt.Equals, 0)
	h.Assert(h.engine.imports, qt.Equals, 0)
}

func TestReadCutByTheStoreIsAMiss(t *testing.T) {
	h := newFixture(t, fakeDirectory{store: "store-1"}, storeserver.Settings{LinkBytesPerSecond: 1 << 20})
	name := testNames("ridge", 1)[0]
	big := bytes.Repeat(name[:], 16<<10) // a quarter of a second on the link
	h.put(name, piece.Seal(name, 1, big))
	var f *Fetch
	h.loop.Call(func() { f = h.mover.Fetch(testPrompt([]piece.Name{name})) })
	h.waitUntil(func() bool { return h.store.Stats().BytesOut > 0 })
	h.Assert(h.store.SetFaults(storeserver.Faults{Down: true}), qt.IsNil)
	<-f.Done()
	h.Assert(h.engine.imports, qt.Equals, 0)
}

// A store that evicts a piece during a read may complete the read or cut it off. In both cases the
// engine must get the complete piece or none.
func TestEvictionDuringAReadLeavesACompletePieceOrNone(t *testing.T) {
	h := newFixture(t, fakeDirectory{store: "store-1"}, storeserver.Settings{LinkBytesPerSecond: 1 << 20})
	name := testNames("ridge", 1)[0]
	h.put(name, piece.Seal(name, 1, contentOf(name)))
	for range 20 {
		var f *Fetch
		h.loop.Call(func() { f = h.mover.Fetch(testPrompt([]piece.Name{name})) })
		removed := make(chan error, 1)
		client := h.mover.stores["store-1"].client
		go func() { removed <- client.Delete(context.Background(), name, store.Export) }()
		<-f.Done()
		h.Assert(<-removed, qt.IsNil)
		h.put(name, piece.Seal(name, 2, contentOf(name)))
	}
	h.engine.mu.Lock()
	defer h.engine.mu.Unlock()
	h.Assert(h.engine.damaged, qt.Equals, 0)
}

func TestExportsResumeWhenTheStoreIsBack(t *testing.T) {
	h := newFixture(t, fakeDirectory{}, storeserver.Settings{})
	names := testNames("ridge", 6)
	for _, name := range names {
		h.engine.pieces[name] = contentOf(name)
	}
	h.Assert(h.store.SetFaults(storeserver.Faults{Down: true}), qt.IsNil)
	h.loop.Call(func() { h.mover.Offer("o", testPrompt(names)) })
	h.waitUntil(func() bool { return h.mover.activeExports == 0 })
	h.Assert(h.store.SetFaults(storeserver.Faults{}), qt.IsNil)
	h.waitUntil(func() bool {
		h.mover.SetStores(h.stores)
		return h.store.Stats().MemoryPieces == len(names)
	})
}

func TestFailedStoreIsAMissAndIsSkippedNextTime(t *testing.T) {
	h := newFixture(t, fakeDirectory{store: "store-1"}, storeserver.Settings{})
	h.Assert(h.store.SetFaults(storeserver.Faults{Down: true}), qt.IsNil)
	names := testNames("ridge", 5)
	h.Assert(h.fetch(names), qt.Equals, 0)
	start := time.Now()
	h.Assert(h.fetch(names), qt.Equals, 0)
	h.Assert(time.Since(start) < minFetchTimeout, qt.IsTrue)
}

func TestSlowFetchIsAbandonedForRecomputing(t *testing.T) {
	h := newFixture(t, fakeDirectory{store: "store-1"}, storeserver.Settings{LinkBytesPerSecond: 1024})
	name := testNames("ridge", 1)[0]
	h.loop.Call(func() {
		prompt := testPrompt([]piece.Name{name})
		prompt.PiecePrefill = 30 * time.Millisecond
		h.mover.addRuns(prompt.Names, []directory.Run{{Holder: "store-1", Tier: wire.Tier_TIER_STORE_MEMORY, End: 1}})
		// The store's link is slow, but no transfer has shown that yet.
		f := h.mover.Fetch(prompt)
		go func() { <-f.Done() }()
	})
	h.waitUntil(func() bool { return len(h.mover.pieceFetches) == 0 })
	h.Assert(h.engine.imports, qt.Equals, 0)
}

func TestFetchesOfOnePieceAreCoalesced(t *testing.T) {
	h := newFixture(t, fakeDirectory{store: "store-1"}, storeserver.Settings{})
	names := testNames("ridge", 4)
	h.export(names)
	h.evictAll()
	var fetches []*Fetch
	h.loop.Call(func() {
		for range 5 {
			fetches = append(fetches, h.mover.Fetch(testPrompt(names)))
		}
	})
	var total uint64
	for _, f := range fetches {
		<-f.Done()
		total += f.Bytes()
	}
	h.Assert(h.engine.imports, qt.Equals, 4)
	h.Assert(total, qt.Equals, uint64(4*testContentBytes))
}

func TestPieceEvictedBeforeItsExportIsNotStored(t *testing.T) {
	h := newFixture(t, fakeDirectory{}, storeserver.Settings{})
	h.engine.onExport = h.evictAll
	h.export(testNames("ridge", 3))
	h.Assert(h.stored, qt.Equals, 0)
	h.Assert(h.store.Stats().MemoryPieces, qt.Equals, 0)
}

func TestFullStoreEvictsTheLeastValuablePiece(t *testing.T) {
	h := newFixture(t, fakeDirectory{}, storeserver.Settings{})
	cheap, valuable := testNames("ridge", 1), testNames("other", 1)
	h.export(cheap)
	h.Assert(h.store.SetFaults(storeserver.Faults{Full: true}), qt.IsNil)
	h.engine.pieces[valuable[0]] = contentOf(valuable[0])
	h.loop.Call(func() {
		prompt := testPrompt(valuable)
		prompt.PiecePrefill *= 100
		h.mover.Offer("p", prompt)
	})
	h.waitUntil(func() bool { return h.store.Stats().MemoryPieces == 0 })
	h.Assert(h.lost, qt.Equals, 1)
}
