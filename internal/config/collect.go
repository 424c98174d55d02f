package config

import (
	"context"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// maxWriteTries bounds the tries to write one document while other writers change it too.
const maxWriteTries = 5

// writeDocuments ensures that every document of bundle is in the service and is not deleted before a root
// that replaces the given one references it.
//
// Invariant: collect deletes only documents whose last write is older than the root that it works for.
// Therefore a document that the current root does not reference is written again even when it is present:
// then either its last write is newer than that root, or the root has changed and the caller's swap fails.
func (s *Store) writeDocuments(ctx context.Context, root rootRecord, bundle Bundle) error {
	kept, err := s.referencedDigests(ctx, root)
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

// referencedDigests returns the digests of the root's tree and of the documents that the tree references.
func (s *Store) referencedDigests(ctx context.Context, root rootRecord) (map[string]bool, error) {
	referenced := make(map[string]bool)
	if root.Version == 0 {
		return referenced, nil
	}
	return referenced, s.addReferenced(ctx, root.Digest, referenced)
}

func (s *Store) addReferenced(ctx context.Context, digest string, referenced map[string]bool) error {
	content, err := s.document(ctx, digest)
	if err != nil {
		return err
	}
	tree, err := decodeTree(digest, content)
	if err != nil {
		return err
	}
	referenced[digest] = true
	for _, ref := range tree.Documents {
		referenced[ref.Digest] = true
	}
	return nil
}

// writeDocument creates a document, or writes it again unless its last write is newer than after.
func (s *Store) writeDocument(ctx context.Context, after metastore.Revision, digest string, content []byte) error {
	expect := metastore.Revision(0)
	for range maxWriteTries {
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
	return ErrUnavailable.New("document %.12s was changed by other writers during every try", digest)
}

// collect deletes the documents of the versions that a new root no longer lists, except those that a listed
// version references. Errors are ignored and leave unreferenced documents behind.
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
		if err := s.addReferenced(ctx, change.Digest, kept); err != nil {
			return
		}
	}
	for _, change := range dropped {
		garbage := make(map[string]bool)
		if err := s.addReferenced(ctx, change.Digest, garbage); err != nil {
			continue
		}
		for digest := range garbage {
			if !kept[digest] && digest != change.Digest {
				s.deleteOlder(ctx, after.revision, digest)
			}
		}
		// Delete the tree last: without it the remaining documents could not be found again.
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

// deleteOlder deletes a document if it was last written before the given revision.
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
