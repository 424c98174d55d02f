package transfer

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/rendezvous"
	"balsamyoke.example/balsamyoke/internal/store"
)

const (
	// initialPieceBytes is the assumed size of a piece before the first one is moved.
	initialPieceBytes = 64 << 10
	// lookupTimeout limits the time of a directory lookup.
	lookupTimeout = 20 * time.Millisecond
)

// Engine is the part of an engine's client that moves pieces. The engine uses the bytes that it
// imports, so they must be fully verified before.
type Engine interface {
	Export(ctx context.Context, name []byte) ([]byte, error)
	Import(ctx context.Context, name, content []byte) error
}

// Directory finds the stores that hold the pieces of a prompt.
type Directory interface {
	Lookup(ctx context.Context, names []piece.Name, start int) ([]directory.Run, error)
}

// Observer receives the results of the Mover's transfers. Its methods run on the control goroutine.
type Observer interface {
	// Imported reports that a fetched piece was imported into the engine.
	Imported(name piece.Name)
	// NotCached reports that the engine doesn't have a piece.
	NotCached(name piece.Name)
	// Stored reports that an exported piece is in a store. The directory is queried for it by
	// lookupPiece.
	Stored(location Location, lookupPiece piece.Name)
	// Lost reports that a store has no complete copy of a piece, or that its location was dropped.
	Lost(location Location)
}

// Loop runs functions on the control goroutine.
type Loop interface {
	Post(f func()) bool
}

// Settings configures a Mover.
type Settings struct {
	FailureDomain string
	// BytesPerSecond is the agent's share of the link to the stores.
	BytesPerSecond float64
}

// storeMember is a store that the Mover may use.
type storeMember struct {
	client        *store.Client
	failureDomain string
	hash          uint64
}

// Mover fetches and exports pieces. Its methods run on the control goroutine, except those that do the
// I/O of a transfer or lookup: these run on goroutines of their own.
type Mover struct {
	settings  Settings
	ctx       context.Context
	loop      Loop
	engine    Engine
	directory Directory
	observer  Observer

	link          *Link
	nextStart     *time.Timer
	locations     *Locations
	returns       *Returns
	exports       *Exports
	activeExports int
	generation    uint64
	pieceFetches  map[piece.Name]*pieceFetch
	stores        map[string]*storeMember
	pieceBytes    int64
	counters      counters
}

// counters are the Mover's metrics.
type counters struct {
	fetched      tally.Counter
	fetchedBytes tally.Counter
	coalesced    tally.Counter
	missed       tally.Counter
	damaged      tally.Counter
	failed       tally.Counter
	abandoned    tally.Counter
	exported     tally.Counter
	exportBytes  tally.Counter
	exportFailed tally.Counter
	evicted      tally.Counter
}

func newCounters(scope tally.Scope) counters {
	return counters{
		fetched:      scope.Counter("pieces_fetched"),
		fetchedBytes: scope.Counter("fetched_bytes"),
		coalesced:    scope.Counter("fetches_coalesced"),
		missed:       scope.Counter("fetches_missed"),
		damaged:      scope.Counter("fetches_damaged"),
		failed:       scope.Counter("fetches_failed"),
		abandoned:    scope.Counter("fetches_abandoned"),
		exported:     scope.Counter("pieces_exported"),
		exportBytes:  scope.Counter("exported_bytes"),
		exportFailed: scope.Counter("exports_failed"),
		evicted:      scope.Counter("pieces_evicted"),
	}
}

// Dependencies holds the components that a Mover uses.
type Dependencies struct {
	Loop      Loop
	Engine    Engine
	Directory Directory
	Observer  Observer
	Scope     tally.Scope
}

// NewMover returns a Mover without stores. Its transfers are cancelled with ctx. The generation numbers
// of its exports start at generation, which should differ between incarnations.
func NewMover(ctx context.Context, s Settings, d Dependencies, generation uint64, now time.Time) *Mover {
	return &Mover{
		settings:     s,
		ctx:          ctx,
		loop:         d.Loop,
		engine:       d.Engine,
		directory:    d.Directory,
		observer:     d.Observer,
		link:         NewLink(s.BytesPerSecond, now),
		locations:    NewLocations(now),
		returns:      NewReturns(),
		exports:      NewExports(),
		generation:   generation,
		pieceFetches: make(map[piece.Name]*pieceFetch),
		stores:       make(map[string]*storeMember),
		pieceBytes:   initialPieceBytes,
		counters:     newCounters(d.Scope),
	}
}

// SetStores sets the stores to the live ones of an instance list.
func (m *Mover) SetStores(instances []metastore.Instance) {
	live := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Role != metastore.RoleStore || instance.State != metastore.InstanceLive {
			continue
		}
		live[instance.ID] = true
		existing := m.stores[instance.ID]
		if existing != nil && existing.client.Address() == instance.Address {
			continue
		}
		if existing != nil {
			existing.client.Close()
		}
		m.stores[instance.ID] = &storeMember{
			client:        store.New(instance.ID, instance.Address),
			failureDomain: instance.FailureDomain,
			hash:          rendezvous.Hash(instance.ID),
		}
	}
	for id, member := range m.stores {
		if !live[id] {
			member.client.Close()
			delete(m.stores, id)
		}
	}
	m.enqueueExports()
}

// Close closes the connections to the stores.
func (m *Mover) Close() {
	for id, member := range m.stores {
		member.client.Close()
		delete(m.stores, id)
	}
	if m.nextStart != nil {
		m.nextStart.Stop()
	}
}

// storeFor returns the store for pieces with the given lookup piece, or nil when no store is usable.
// Stores of the agent's own failure domain are preferred. Pieces with the same lookup piece go to the
// same store, so the pieces of one conversation are kept together.
func (m *Mover) storeFor(lookupPiece piece.Name, now time.Time) *storeMember {
	var best *storeMember
	for _, member := range m.stores {
		if member.client.Suspended(now) {
			continue
		}
		if best == nil || m.preferred(member, best, lookupPiece.Hash()) {
			best = member
		}
	}
	return best
}

// hasUsableStore reports whether there is a store that is not suspended.
func (m *Mover) hasUsableStore(now time.Time) bool {
	for _, member := range m.stores {
		if !member.client.Suspended(now) {
			return true
		}
	}
	return false
}

func (m *Mover) preferred(a, b *storeMember, key uint64) bool {
	aLocal, bLocal := a.failureDomain == m.settings.FailureDomain, b.failureDomain == m.settings.FailureDomain
	if aLocal != bLocal {
		return aLocal
	}
	return rendezvous.Weight(key, a.hash) > rendezvous.Weight(key, b.hash)
}

// addLocation adds a location. If that drops the location of an own export, the export is reported as
// lost, so that the agent no longer announces it.
func (m *Mover) addLocation(location Location, value float64, now time.Time) {
	if dropped, ok := m.locations.Add(location, value, now); ok && dropped.Own {
		m.observer.Lost(dropped)
	}
}

// usable reports whether a location's store is live and not suspended.
func (m *Mover) usable(location Location, now time.Time) bool {
	member := m.stores[location.Store]
	return member != nil && !member.client.Suspended(now)
}

// available returns how many leading names have a location in a usable store.
func (m *Mover) available(names []piece.Name, now time.Time) int {
	for i, name := range names {
		location, ok := m.locations.Find(name)
		if !ok || !m.usable(location, now) {
			return i
		}
	}
	return len(names)
}

// startTransfers starts the transfers that may start now, and sets a timer for when the link's budget
// allows the next one.
func (m *Mover) startTransfers() {
	wait := m.link.StartTransfers(time.Now())
	if wait == 0 || m.nextStart != nil {
		return
	}
	m.nextStart = time.AfterFunc(wait, func() {
		m.loop.Post(func() {
			m.nextStart = nil
			m.startTransfers()
		})
	})
}

// updatePieceBytes updates the moving average of the size of a piece, in bytes.
func (m *Mover) updatePieceBytes(bytes int) {
	m.pieceBytes += int64(smoothing * float64(int64(bytes)-m.pieceBytes))
}

// State is the part of a dump about a Mover.
type State struct {
	Link           LinkState         `json:"link"`
	PieceFetches   int               `json:"flights"`
	Locations      int               `json:"locations"`
	WaitingExports int               `json:"waiting_exports"`
	DroppedExports uint64            `json:"dropped_exports"`
	PieceBytes     int64             `json:"piece_bytes"`
	Stores         map[string]string `json:"stores"`
}

// State returns the Mover's counts.
func (m *Mover) State(now time.Time) State {
	state := State{
		Link:           m.link.State(),
		PieceFetches:   len(m.pieceFetches),
		Locations:      m.locations.Len(),
		WaitingExports: m.exports.Len(),
		DroppedExports: m.exports.Dropped(),
		PieceBytes:     m.pieceBytes,
		Stores:         make(map[string]string, len(m.stores)),
	}
	for id, member := range m.stores {
		state.Stores[id] = "in use"
		if member.client.Suspended(now) {
			state.Stores[id] = "suspended"
		}
	}
	return state
}
