package config

import (
	"context"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// writeTries bounds the tries at one document when other writers touch it too.
const writeTries = 5

// writeDocuments makes sure that every document of bundle is in the service and stays there for a
// root that is swapped on top of the given one.
//
// Invariant: collect deletes only documents whose last write is older than the root it works for.
// A document that the root does not name is therefore written again, also when it is present:
// then either its last write is newer than that root, or the root has moved on and our swap fails.
func (s *Store) writeDocuments(ctx context.Context, root rootRecord, bundle Bundle) error {
	kept, err := s.named(ctx, root)
	if err != nil {
		return err
	}
	all := map[string][]byte{bundle.Digest: bundle.Tree}
	for digest, content := range bundle.Documents {
		all[digest] = content
	}
	for digest, content := range all {
		if kept[digest] {
			continue
		}
		if err := s.writeDocument(ctx, root.revision, digest, content); err != nil {
			return err
		}
	}
	return nil
}

// named returns the digests of the current tree and its documents.
func (s *Store) named(ctx context.Context, root rootRecord) (map[string]bool, error) {
	named := make(map[string]bool)
	if root.Version == 0 {
		return named, nil
	}
	return named, s.addNamed(ctx, root.Digest, named)
}

func (s *Store) addNamed(ctx context.Context, digest string, named map[string]bool) error {
	content, err := s.document(ctx, digest)
	if err != nil {
		return err
	}
	tree, err := decodeTree(digest, content)
	if err != nil {
		return err
	}
	named[digest] = true
	for _, ref := range tree.Documents {
		named[ref.Digest] = true
	}
	return nil
}

// writeDocument creates a document, or writes it again when its last write is older than after.
func (s *Store) writeDocument(ctx context.Context, after metastore.Revision, digest string, content []byte) error {
	expect := metastore.Revision(0)
	for range writeTries {
		result, err := s.kv.CompareAndSwap(ctx, metastore.Swap{
			Key:    documentPrefix + digest,
			Expect: expect,
			Value:  content,
		})
		if err != nil {
			return fromPlatform(err, "document %.12s cannot be written", digest)
		}
		if result.Swapped || result.Current.ModRevision > after {
			return nil
		}
		expect = result.Current.ModRevision
	}
	return ErrUnavailable.New("document %.12s changes all the time", digest)
}

// collect deletes the documents of the version that a new root dropped, unless a version that it
// remembers names them. Failures leave garbage behind and are not reported.
func (s *Store) collect(ctx context.Context, before Root, after rootRecord) {
	dropped := droppedChanges(before, after.Root)
	if len(dropped) == 0 {
		return
	}
	kept := make(map[string]bool)
	for _, change := range after.Changes {
		if kept[change.Digest] {
			continue
		}
		if err := s.addNamed(ctx, change.Digest, kept); err != nil {
			return
		}
	}
	for _, change := range dropped {
		garbage := make(map[string]bool)
		if err := s.addNamed(ctx, change.Digest, garbage); err != nil {
			continue
		}
		for digest := range garbage {
			if !kept[digest] && digest != change.Digest {
				s.deleteOlder(ctx, after.revision, digest)
			}
		}
		// The tree goes last: without it the rest could not be found again.
		if !kept[change.Digest] {
			s.deleteOlder(ctx, after.revision, change.Digest)
		}
	}
}

func droppedChanges(before, after Root) []Change {
	var dropped []Change
	for _, change := range before.Changes {
		if _, ok := after.byVersion(change.Version); !ok {
			dropped = append(dropped, change)
		}
	}
	return dropped
}

// deleteOlder deletes a document unless it was written after the given revision.
func (s *Store) deleteOlder(ctx context.Context, before metastore.Revision, digest string) {
	record, err := s.kv.Get(ctx, documentPrefix+digest)
	if err != nil || record.ModRevision >= before {
		return
	}
	_, _ = s.kv.CompareAndSwap(ctx, metastore.Swap{
		Key:    record.Key,
		Expect: record.ModRevision,
		Delete: true,
	})
}
