package config

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/chart"
	"balsamyoke.example/balsamyoke/internal/manifest"
)

// Snapshot is the configuration that a process has in force. It is immutable.
type Snapshot struct {
	Version uint64
	Digest  string
	Index   *manifest.Index
	// Confirmed reports whether the service, or peers of enough failure domains, confirmed the process's
	// version at start-up. A process serves only with a confirmed snapshot.
	Confirmed bool

	earlier map[string][]EarlierVersion
}

// Source provides entries and agents with the configuration in force and fetches newer versions.
type Source interface {
	// Current returns the configuration in force, or nil before the first one.
	Current() *Snapshot
	// CatchUp blocks until version or a later one is in force, or ctx ends. The parameter from is the
	// control address of a process that has the version.
	CatchUp(ctx context.Context, version uint64, from string) error
}

// graceWithoutManifest is the grace period of a process that has no configuration.
const graceWithoutManifest = 30 * time.Second

// Grace returns how long a leaving process lets its streams and runs finish: overrideSeconds, from the
// process's settings, or the manifest's value when overrideSeconds is 0. The snapshot may be nil.
func (s *Snapshot) Grace(overrideSeconds int) time.Duration {
	switch {
	case overrideSeconds > 0:
		return time.Duration(overrideSeconds) * time.Second
	case s == nil:
		return graceWithoutManifest
	default:
		return time.Duration(s.Index.Manifest().GraceSeconds) * time.Second
	}
}

// HolderStats counts the offers to a Holder by outcome.
type HolderStats struct {
	Accepted  uint64 `json:"accepted"`  // offers that came into force
	Older     uint64 `json:"older"`     // offers of a version not above the one in force
	Corrupt   uint64 `json:"corrupt"`   // offers whose content did not match its digest
	Conflicts uint64 `json:"conflicts"` // offers of the version in force with another digest
}

// Holder keeps the configuration that is in force in a process. Its version only increases. All methods
// are safe for concurrent use; Current, Version and Ready take no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	bundle      Bundle
	machine     chart.Machine
	subscribers []func(*Snapshot)
	stats       HolderStats
}

// NewHolder returns a Holder with no configuration.
func NewHolder() *Holder { return &Holder{machine: stateChart.NewMachine()} }

// Current returns the configuration in force, or nil before the first one.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Version returns the version in force, 0 before the first one.
func (h *Holder) Version() uint64 {
	snapshot := h.current.Load()
	if snapshot == nil {
		return 0
	}
	return snapshot.Version
}

// Ready reports whether the process may serve: a configuration is in force and confirmed.
func (h *Holder) Ready() bool {
	snapshot := h.current.Load()
	return snapshot != nil && snapshot.Confirmed
}

// Subscribe calls notify for the snapshot in force, if any, and for each later one, in order. The Holder's
// lock is held during the calls: notify must not block, and of the Holder's methods it may call only
// Current, Version and Ready.
func (h *Holder) Subscribe(notify func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, notify)
	if snapshot := h.current.Load(); snapshot != nil {
		notify(snapshot)
	}
}

// Offer puts a bundle in force when its version is above the one in force, and reports whether it did.
// Documents that the bundle omits are taken from the configuration in force. It returns ErrIncomplete when
// documents are missing, ErrCorrupt when content does not match its digest, ErrInvalid when the manifest is
// invalid, and ErrConflict when the bundle has the version in force but another digest.
func (h *Holder) Offer(offered Bundle) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if offered.Version <= h.bundle.Version {
		return false, h.refuse(offered)
	}
	complete := h.complete(offered)
	m, err := complete.Manifest()
	if err != nil {
		if errorx.IsOfType(err, ErrIncomplete) {
			return false, err
		}
		h.stats.Corrupt++
		return false, err
	}
	state, err := h.machine.Fire(eventAdopt)
	if err != nil {
		return false, ErrInvalid.Wrap(err, "version %d cannot be adopted", offered.Version)
	}
	h.bundle = complete
	h.stats.Accepted++
	index := manifest.NewIndex(m, complete.Version)
	h.publish(&Snapshot{
		Version:   complete.Version,
		Digest:    complete.Digest,
		Index:     index,
		Confirmed: serving(state),
		earlier:   updateEarlier(h.current.Load(), index, time.Now()),
	})
	return true, nil
}

// Confirm marks the configuration in force as confirmed unless its version is below the given one. It
// reports whether the configuration is confirmed.
func (h *Holder) Confirm(version uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	snapshot := h.current.Load()
	if snapshot == nil || snapshot.Version < version {
		return false
	}
	if snapshot.Confirmed {
		return true
	}
	state, err := h.machine.Fire(eventConfirm)
	if err != nil || !serving(state) {
		return false
	}
	confirmed := *snapshot
	confirmed.Confirmed = true
	h.publish(&confirmed)
	return true
}

// Delta returns the configuration in force without the documents whose digests are in have. The version is
// 0 when no configuration is in force.
func (h *Holder) Delta(have []string) Bundle {
	h.mu.Lock()
	defer h.mu.Unlock()
	delta := h.bundle
	delta.Documents = maps.Clone(h.bundle.Documents)
	for _, digest := range have {
		delete(delta.Documents, digest)
	}
	return delta
}

// Digests returns the digests of the documents in force, sorted.
func (h *Holder) Digests() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.bundle.Documents))
}

// Stats returns the counts so far.
func (h *Holder) Stats() HolderStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}

func (h *Holder) refuse(offered Bundle) error {
	if offered.Version == h.bundle.Version && offered.Digest != h.bundle.Digest {
		h.stats.Conflicts++
		return ErrConflict.New("version %d is in force with digest %.12s but was offered with digest %.12s", offered.Version, h.bundle.Digest, offered.Digest)
	}
	h.stats.Older++
	return nil
}

// complete returns the offered bundle with those documents of its tree that are offered or in force.
func (h *Holder) complete(offered Bundle) Bundle {
	tree, err := decodeTree(offered.Digest, offered.Tree)
	if err != nil {
		return offered
	}
	documents := make(map[string][]byte, len(tree.Documents))
	for _, ref := range tree.Documents {
		if content, ok := offered.Documents[ref.Digest]; ok {
			documents[ref.Digest] = content
		} else if content, ok := h.bundle.Documents[ref.Digest]; ok {
			documents[ref.Digest] = content
		}
	}
	offered.Documents = documents
	return offered
}

func (h *Holder) publish(snapshot *Snapshot) {
	h.current.Store(snapshot)
	for _, notify := range h.subscribers {
		notify(snapshot)
	}
}
