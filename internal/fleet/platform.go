package fleet

import (
	"context"
	"time"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/weights"
)

// Document is the decoded value of one key of the metadata store. At most one field is set.
type Document struct {
	Configuration *routing.Configuration
	Weights       *TargetWeights
	Server        *backend.Server
}

// TargetWeights is the target weight version that the operator has set for a model.
type TargetWeights struct {
	Model   string
	Version int64
}

// Documents decodes the keys that the operator and the backend servers write.
type Documents interface {
	// OperatorPrefix returns the prefix of the configuration and the weight versions.
	OperatorPrefix() string
	// ServerPrefix returns the prefix under which the backend servers register, each under its id.
	ServerPrefix() string
	// ServerID returns the id in a key under ServerPrefix.
	ServerID(key string) string
	// EvacuatedDomain returns the failure domain whose servers get nothing while the key exists, whatever its value; empty for other
	// keys.
	EvacuatedDomain(key string) string
	// Read decodes a value. It returns an empty Document for keys that a gateway doesn't use.
	Read(key string, value []byte) (Document, error)
}

// Stores makes the calls to cache stores that aren't part of a request.
type Stores interface {
	// Events returns the changes after since, waiting up to wait for the first.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (kvcache.Batch, error)
	// List returns all parts that are complete in the store.
	List(ctx context.Context, address string) (kvcache.Batch, error)
	// Free frees parts if the store's epoch is still the same.
	Free(ctx context.Context, address string, epoch int64, keys []kvcache.Key) error
}

// Metastore is the part of the metadata store's interface that a gateway uses.
type Metastore interface {
	metastore.KV
	metastore.Follower
}

// Platform gives access to everything outside the system, behind the system's own interfaces.
type Platform struct {
	Metastore Metastore
	Documents Documents
	Engines   weights.Engines
	Stores    Stores
}
