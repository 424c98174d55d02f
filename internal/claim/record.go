package claim

import (
	"encoding/hex"
	"encoding/json"

	"github.com/google/uuid"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/metastore"
)

// Prefix is the key prefix of all claims in the platform's service.
const Prefix = "claims/"

// Digest is the SHA-256 of a request without its key.
type Digest [32]byte

// Executor is the one attempt that may run under a key, and the agent incarnation that may run it.
type Executor struct {
	Attempt     attempt.ID
	Instance    string
	Address     string
	Incarnation uint64
}

// Binding is a stored claim.
type Binding struct {
	Executor
	// Mine is true when the claim is for the attempt of the call that returned the binding. Only that
	// call may dispatch the attempt.
	Mine bool
	// revision identifies the claim for Rebind.
	revision metastore.Revision
}

// stored is the value of a claim's record.
type stored struct {
	Attempt     string `json:"attempt"`
	Instance    string `json:"instance"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Digest      string `json:"digest"`
}

func recordKey(organisation string, key Key) string {
	return Prefix + organisation + "/" + key.String()
}

func encode(executor Executor, digest Digest) ([]byte, error) {
	return json.Marshal(stored{
		Attempt:     executor.Attempt.String(),
		Instance:    executor.Instance,
		Address:     executor.Address,
		Incarnation: executor.Incarnation,
		Digest:      hex.EncodeToString(digest[:]),
	})
}

// decode decodes a claim. It returns ErrKeyReused when the claim is for a request with another digest.
func decode(record metastore.Record, digest Digest) (Binding, error) {
	var found stored
	if err := json.Unmarshal(record.Value, &found); err != nil {
		return Binding{}, ErrUnreadable.Wrap(err, "cannot decode claim %q", record.Key)
	}
	id, err := uuid.Parse(found.Attempt)
	if err != nil {
		return Binding{}, ErrUnreadable.Wrap(err, "cannot decode claim %q", record.Key)
	}
	if found.Digest != hex.EncodeToString(digest[:]) {
		return Binding{}, ErrKeyReused.New("claim %q belongs to another request", record.Key)
	}
	return Binding{
		Executor: Executor{
			Attempt:     attempt.ID(id),
			Instance:    found.Instance,
			Address:     found.Address,
			Incarnation: found.Incarnation,
		},
		revision: record.ModRevision,
	}, nil
}
