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
	// initialPieceBytes is the size of a piece assumed before the first was moved.
	initialPieceBytes = 64 << 10
	// lookupTimeout bounds asking the directory for the stores of a prompt.
	lookupTimeout = 20 * time.Millisecond
)

// Engine is the part of an engine's client that moves pieces. An import makes the engine use the
// bytes, so they must have been verified in full before.
type Engine interface {
	Export(ctx context.Context, name []byte) ([]byte, error)
	Import(ctx context.Context, name, content []byte) error
}

// Directory finds the stores that hold the pieces of a prompt.
type Directory interface {
	Lookup(ctx context.Context, names []piece.Name, start int) ([]directory.Run, error)
}

// Observer learns what the Mover did. Its methods run on the control goroutine.
type Observer interface {
	// Imported tells that the engine holds a piece that was fetched.
	Imported(name piece.Name)
	// NotCached tells that the engine denied having a piece.
	NotCached(name piece.Name)
	// Stored tells that a store holds a piece that was exported.
	Stored(location Location, anchor piece.Name)
	// Lost tells that a store doesn't hold a whole copy of a piece.
	Lost(location Location)
}

// Loop is the control goroutine.
type Loop interface {
	Post(f func()) bool
}

// Settings of a Mover.
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

// Mover fetches and exports pieces. All its methods run on the control goroutine; the transfers
// themselves run on goroutines of their own.
type Mover struct {
	settings  Settings
	ctx       context.Context
	loop      Loop
	engine    Engine
	directory Directory
	observer  Observer

	link       *Link
	pumping    *time.Timer
	locations  *Locations
	returns    *Returns
	exports    *Exports
	exporting  int
	generation uint64
	flights    map[piece.Name]*flight
	stores     map[string]*storeMember
	pieceBytes int64
	counters   counters
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

// Dependencies are what a Mover is built from.
type Dependencies struct {
	Loop      Loop
	Engine    Engine
	Directory Directory
	Observer  Observer
	Scope     tally.Scope
}

// NewMover returns a Mover without stores. Its transfers end with ctx. The generation numbers of
// its exports start at generation, which should differ between incarnations.
func NewMover(ctx context.Context, s Settings, d Dependencies, generation uint64, now time.Time) *Mover {
	return &Mover{
		settings:   s,
		ctx:        ctx,
		loop:       d.Loop,
		engine:     d.Engine,
		directory:  d.Directory,
		observer:   d.Observer,
		link:       NewLink(s.BytesPerSecond, now),
		locations:  NewLocations(now),
		returns:    NewReturns(),
		exports:    NewExports(),
		generation: generation,
		flights:    make(map[piece.Name]*flight),
		stores:     make(map[string]*storeMember),
		pieceBytes: initialPieceBytes,
		counters:   newCounters(d.Scope),
	}
}

// SetStores uses the live stores of a list.
func (m *Mover) SetStores(instances []metastore.Instance) {
	live := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Role != metastore.RoleStore || instance.State != metastore.InstanceLive {
			continue
		}
		live[instance.ID] = true
		known := m.stores[instance.ID]
		if known != nil && known.client.Address() == instance.Address {
			continue
		}
		if known != nil {
			known.client.Close()
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
	m.pumpExports()
}

// Close closes the connections to the stores.
func (m *Mover) Close() {
	for id, member := range m.stores {
		member.client.Close()
		delete(m.stores, id)
	}
	if m.pumping != nil {
		m.pumping.Stop()
	}
}

// storeFor returns the store for pieces under an anchor, or nil. Stores of the agent's own failure
// domain go before others; pieces of one conversation meet in one store.
func (m *Mover) storeFor(anchor piece.Name, now time.Time) *storeMember {
	var best *storeMember
	for _, member := range m.stores {
		if member.client.Suspended(now) {
			continue
		}
		if best == nil || m.nearer(member, best, anchor.Hash()) {
			best = member
		}
	}
	return best
}

// anyStore reports whether there is a store that is not suspended.
func (m *Mover) anyStore(now time.Time) bool {
	for _, member := range m.stores {
		if !member.client.Suspended(now) {
			return true
		}
	}
	return false
}

func (m *Mover) nearer(a, b *storeMember, key uint64) bool {
	aLocal, bLocal := a.failureDomain == m.settings.FailureDomain, b.failureDomain == m.settings.FailureDomain
	if aLocal != bLocal {
		return aLocal
	}
	return rendezvous.Weight(key, a.hash) > rendezvous.Weight(key, b.hash)
}

// remember adds a location. The agent stops vouching for one that gives way to it.
func (m *Mover) remember(location Location, value float64, now time.Time) {
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

// pump starts the transfers that may start, and again when the link's budget allows the next.
func (m *Mover) pump() {
	wait := m.link.Pump(time.Now())
	if wait == 0 || m.pumping != nil {
		return
	}
	m.pumping = time.AfterFunc(wait, func() {
		m.loop.Post(func() {
			m.pumping = nil
			m.pump()
		})
	})
}

// moved updates the expected size of a piece.
func (m *Mover) moved(bytes int) {
	m.pieceBytes += int64(smoothing * float64(int64(bytes)-m.pieceBytes))
}

// State is the part of a Mover that dumps show.
type State struct {
	Link           LinkState         `json:"link"`
	Flights        int               `json:"flights"`
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
		Flights:        len(m.flights),
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
