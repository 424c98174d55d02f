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

// maxConcurrentReads bounds the documents that one load reads concurrently.
const maxConcurrentReads = 8

// Bounds of the exponential backoff between tries while the service does not respond.
const (
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

// Store reads and writes configurations in the platform's key-value service.
//
// The root key is written by compare-and-swap only, each time with the version increased by one, and only
// after the documents that it references. So at most one of the changes made on the same base version
// succeeds, and a root never references a missing document.
type Store struct {
	kv metastore.KV
}

// NewStore returns a Store that uses the given service.
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

// rootOrNew returns the root, or an empty one before the first apply.
func (s *Store) rootOrNew(ctx context.Context) (rootRecord, error) {
	root, err := s.root(ctx)
	if errorx.IsOfType(err, ErrNotFound) {
		return rootRecord{}, nil
	}
	return root, err
}

// Load returns the configuration with the given version and digest, without the documents in have, which
// is keyed by digest.
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

// documents reads several documents concurrently.
func (s *Store) documents(ctx context.Context, digests []string) (map[string][]byte, error) {
	documents := make(map[string][]byte, len(digests))
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
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

// Manifest returns the manifest of a version and the version number; version 0 means the current version.
// It returns ErrNotFound when the root does not list the version.
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
// with the same change id returns the version of the first call. While the service does not respond,
// Apply retries until ctx ends. It returns
//   - ErrInvalid when the manifest is invalid,
//   - ErrRaceLost when another change was made on top of base; the text contains its version,
//   - ErrUnavailable when ctx ended and nothing was written,
//   - ErrOutcomeUnknown when ctx ended and the change has taken effect or may still do so.
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

// Rollback creates a new version on top of base with the content of an earlier version. It returns the
// errors of Apply, and ErrNotFound when the root does not list the earlier version.
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

// fromPlatform wraps an error of the service in the corresponding error of this package.
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

// pause waits before the next try, with exponential backoff. It returns false when ctx ended.
func pause(ctx context.Context, try int) bool {
	wait := min(firstPause<<min(try, 10), maxPause)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
