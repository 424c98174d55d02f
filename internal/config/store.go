package config

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/metastore"
)

// concurrentReads bounds the documents that are read at once.
const concurrentReads = 8

// Pauses between tries while the service does not answer.
const (
	firstPause = 20 * time.Millisecond
	lastPause  = time.Second
)

// Store reads and writes configurations in the platform's key-value service.
//
// The root key is written by compare-and-swap only, each time with a version one higher, and only
// after the documents it names. So of the changes made on one base version at most one wins, and
// a root never names a document that is missing.
type Store struct {
	kv metastore.KV
}

// NewStore returns a Store on the given service.
func NewStore(kv metastore.KV) *Store { return &Store{kv: kv} }

// Root returns the root. It returns ErrNotFound before the first apply and ErrUnavailable when
// the service cannot be reached.
func (s *Store) Root(ctx context.Context) (Root, error) {
	record, err := s.root(ctx)
	return record.Root, err
}

func (s *Store) root(ctx context.Context) (rootRecord, error) {
	record, err := s.kv.Get(ctx, rootKey)
	if err != nil {
		return rootRecord{}, fromPlatform(err, "root cannot be read")
	}
	return decodeRoot(record)
}

// rootOrNew is root, with an empty root before the first apply.
func (s *Store) rootOrNew(ctx context.Context) (rootRecord, error) {
	root, err := s.root(ctx)
	if errorx.IsOfType(err, ErrNotFound) {
		return rootRecord{}, nil
	}
	return root, err
}

// Load returns the configuration with the given version and digest, without the documents that
// have holds.
func (s *Store) Load(ctx context.Context, version uint64, digest string, have map[string][]byte) (Bundle, error) {
	content, err := s.document(ctx, digest)
	if err != nil {
		return Bundle{}, err
	}
	tree, err := decodeTree(digest, content)
	if err != nil {
		return Bundle{}, err
	}
	bundle := Bundle{
		Version: version,
		Digest:  digest,
		Tree:    content,
	}
	bundle.Documents, err = s.documents(ctx, tree.missing(have))
	return bundle, err
}

// documents reads several documents at once.
func (s *Store) documents(ctx context.Context, digests []string) (map[string][]byte, error) {
	documents := make(map[string][]byte, len(digests))
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrentReads)
	for _, digest := range digests {
		group.Go(func() error {
			content, err := s.document(ctx, digest)
			mu.Lock()
			defer mu.Unlock()
			documents[digest] = content
			return err
		})
	}
	return documents, group.Wait()
}

func (s *Store) document(ctx context.Context, digest string) ([]byte, error) {
	record, err := s.kv.Get(ctx, documentPrefix+digest)
	if err != nil {
		return nil, fromPlatform(err, "document %.12s cannot be read", digest)
	}
	return record.Value, nil
}

// Manifest returns a version that the root still remembers; version 0 means the current one.
func (s *Store) Manifest(ctx context.Context, version uint64) (*manifest.Manifest, uint64, error) {
	root, err := s.root(ctx)
	if err != nil {
		return nil, 0, err
	}
	if version == 0 {
		version = root.Version
	}
	change, ok := root.byVersion(version)
	if !ok {
		return nil, 0, ErrNotFound.New("version %d is not among the last %d versions", version, keptVersions)
	}
	bundle, err := s.Load(ctx, change.Version, change.Digest, nil)
	if err != nil {
		return nil, 0, err
	}
	m, err := bundle.Manifest()
	return m, version, err
}

// Apply writes a manifest on top of the base version and returns the new version. A repeated call
// with the same change id returns the version of the first one. While the service does not answer
// it tries again until ctx ends. It returns
//   - ErrInvalid when the manifest is refused,
//   - ErrRaceLost when another change was made on top of base; the text names its version,
//   - ErrUnavailable when ctx ended and nothing was written,
//   - ErrOutcomeUnknown when ctx ended and the change may take effect or may have done so.
func (s *Store) Apply(ctx context.Context, base uint64, m *manifest.Manifest, changeID string) (Change, error) {
	bundle, err := NewBundle(base+1, m)
	if err != nil {
		return Change{}, err
	}
	c := &changer{store: s, base: base, id: changeID}
	return c.run(ctx, func(ctx context.Context, root rootRecord) (string, error) {
		return bundle.Digest, s.writeDocuments(ctx, root, bundle)
	})
}

// Rollback makes the content of an earlier version the content of a new version on top of base.
// Its errors are those of Apply, and ErrNotFound when the root no longer remembers the version.
func (s *Store) Rollback(ctx context.Context, base, version uint64, changeID string) (Change, error) {
	c := &changer{store: s, base: base, id: changeID}
	return c.run(ctx, func(_ context.Context, root rootRecord) (string, error) {
		change, ok := root.byVersion(version)
		if !ok {
			return "", ErrNotFound.New("version %d is not among the last %d versions", version, keptVersions)
		}
		return change.Digest, nil
	})
}

// fromPlatform turns an error of the service into one of this package.
func fromPlatform(err error, format string, args ...any) error {
	switch {
	case errorx.IsOfType(err, metastore.ErrNotFound):
		return ErrNotFound.Wrap(err, format, args...)
	case errorx.IsOfType(err, metastore.ErrOutcomeUnknown):
		return ErrOutcomeUnknown.Wrap(err, format, args...)
	case errorx.IsOfType(err, metastore.ErrInvalid):
		return ErrInvalid.Wrap(err, format, args...)
	default:
		return ErrUnavailable.Wrap(err, format, args...)
	}
}

// pause waits between tries. It returns false when ctx ended.
func pause(ctx context.Context, try int) bool {
	wait := min(firstPause<<min(try, 10), lastPause)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
