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

// Document is what one key of the metadata store says. At most one field is set.
type Document struct {
	Configuration *routing.Configuration
	Weights       *NamedWeights
	Server        *backend.Server
}

// NamedWeights is a weight version that the operator has named.
type NamedWeights struct {
	Model   string
	Version int64
}

// Documents reads the keys that the operator and the backend servers write.
type Documents interface {
	// OperatorPrefix is where the configuration and the weight versions lie.
	OperatorPrefix() string
	// ServerPrefix is where the backend servers register, each under its id.
	ServerPrefix() string
	// ServerID returns the id in a key under ServerPrefix.
	ServerID(key string) string
	// Read returns an empty Document for keys that say nothing to a gateway.
	Read(key string, value []byte) (Document, error)
}

// Stores makes the calls to cache stores that aren't part of a request.
type Stores interface {
	// Events returns the changes after since, waiting up to wait for the first.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (kvcache.Batch, error)
	// List returns everything that lies whole in the store.
	List(ctx context.Context, address string) (kvcache.Batch, error)
	// Free frees parts if the store's epoch is still the same.
	Free(ctx context.Context, address string, epoch int64, keys []kvcache.Key) error
}

// Metastore is what a gateway uses of the metadata store.
type Metastore interface {
	metastore.KV
	metastore.Follower
}

// Platform is everything outside the system, behind the product's own interfaces.
type Platform struct {
	Metastore Metastore
	Documents Documents
	Engines   weights.Engines
	Stores    Stores
}
