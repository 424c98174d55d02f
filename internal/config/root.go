package config

import (
	"encoding/json"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// Keys in the platform's service.
const (
	rootKey        = "config/root"
	documentPrefix = "config/doc/"
)

// keptVersions is the number of versions that the root lists. Only for these versions are repeated
// change ids recognised and rollbacks possible.
const keptVersions = 32

// Change is one version that the root lists.
type Change struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// ID identifies the operator's change, so that a repeated apply is recognised.
	ID string `json:"id"`
}

// Root is the value of the root key.
type Root struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Changes are the last versions, oldest first; the last one is the current version.
	Changes []Change `json:"changes"`
}

// rootRecord is the root together with the revision of its key.
type rootRecord struct {
	Root
	revision metastore.Revision
}

// next returns the root after one more change, without the oldest changes above keptVersions.
func (r Root) next(digest, changeID string) Root {
	change := Change{Version: r.Version + 1, Digest: digest, ID: changeID}
	kept := r.Changes
	if len(kept) >= keptVersions {
		kept = kept[len(kept)-keptVersions+1:]
	}
	changes := make([]Change, 0, len(kept)+1)
	changes = append(changes, kept...)
	return Root{
		Version: change.Version,
		Digest:  digest,
		Changes: append(changes, change),
	}
}

// byID returns the change with the given id.
func (r Root) byID(id string) (Change, bool) {
	for _, change := range r.Changes {
		if change.ID == id {
			return change, true
		}
	}
	return Change{}, false
}

// byVersion returns the change that made the given version.
func (r Root) byVersion(version uint64) (Change, bool) {
	for _, change := range r.Changes {
		if change.Version == version {
			return change, true
		}
	}
	return Change{}, false
}

// encode returns the value of the root key.
func (r Root) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "root cannot be encoded")
	}
	return value, nil
}

func decodeRoot(record metastore.Record) (rootRecord, error) {
	root := rootRecord{revision: record.ModRevision}
	if err := json.Unmarshal(record.Value, &root.Root); err != nil {
		return rootRecord{}, ErrCorrupt.Wrap(err, "root at revision %d cannot be decoded", record.ModRevision)
	}
	return root, nil
}
