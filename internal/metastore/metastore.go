// Package metastore is the boundary to what the platform gives: the key-value service and the
// instance list. Entries, agents and balsamctl use only these interfaces. The in-memory fake and
// the wire adapters are subpackages; each passes the contract suite in metastoretest.
package metastore

import (
	"context"
	"time"
)

// Revision orders the writes of the key-value service. Zero means that a key is absent.
type Revision int64

// LeaseID names a lease of the key-value service. Zero means no lease.
type LeaseID int64

// Record is one key with its value and revisions.
type Record struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Swap is a conditional write. It takes effect only when the key's ModRevision equals Expect.
type Swap struct {
	Key    string
	Expect Revision
	Value  []byte
	Lease  LeaseID
	// Delete removes the key instead of writing Value.
	Delete bool
}

// SwapResult tells whether a Swap took effect. When it did not, Current holds the key as it
// stands, with ModRevision zero when the key is absent.
type SwapResult struct {
	Swapped  bool
	Revision Revision
	Current  Record
}

// Event is one change seen by a watch. Record.ModRevision is the revision of the change.
type Event struct {
	Record  Record
	Deleted bool
}

// KV is the platform's key-value service.
//
// A write returns ErrUnavailable only when it certainly did not take effect; ErrOutcomeUnknown
// when it may have. Reads return ErrUnavailable for every failure to reach the service.
type KV interface {
	// Get returns ErrNotFound when the key is absent.
	Get(ctx context.Context, key string) (Record, error)
	// List returns all records whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Record, error)
	// CompareAndSwap applies one conditional write.
	CompareAndSwap(ctx context.Context, swap Swap) (SwapResult, error)
	// CompareAndSwapEach applies independent conditional writes to distinct keys in one call.
	CompareAndSwapEach(ctx context.Context, swaps []Swap) ([]SwapResult, error)
	// Grant creates a lease that lapses after ttl without KeepAlive. The service counts whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns ErrLeaseNotFound when it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers changes to keys that start with prefix, after revision from, in order,
	// without gaps. The channel closes when ctx ends or the service is lost; the caller then
	// reads again and opens a new watch.
	Watch(ctx context.Context, prefix string, from Revision) (<-chan Event, error)
}

// Listing is what lies under a prefix as of Revision. The store reads it page by page: records may be
// newer than Revision.
type Listing struct {
	Records  []Record
	Revision Revision
}

// Changes are the changes under a prefix up to Revision, oldest first.
type Changes struct {
	Events   []Event
	Revision Revision
}

// Follower reads a prefix and then its changes, call by call, so that the caller sees how old what it
// knows is. All errors but ErrCompacted are ErrUnavailable.
type Follower interface {
	// Snapshot returns everything under prefix.
	Snapshot(ctx context.Context, prefix string) (Listing, error)
	// Changes returns the changes after revision from, waiting up to wait for the first. It returns
	// ErrCompacted when the service has dropped that history; the caller then takes a new Snapshot.
	Changes(ctx context.Context, prefix string, from Revision, wait time.Duration) (Changes, error)
}

// Role is what an instance runs.
type Role string

// The roles in the instance list.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
	RoleStore Role = "store"
)

// InstanceState is the platform's lagging view of an instance.
type InstanceState string

// The states in the instance list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the instance list.
type Instance struct {
	ID            string `json:"id"`
	Role          Role   `json:"role"`
	Service       string `json:"service,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Address is ip:port of the frame and probe port (agents), caller port (entries) or HTTP port (stores).
	Address string `json:"address"`
	// ControlAddress is ip:port of the gRPC port; empty for stores.
	ControlAddress string        `json:"control_address,omitempty"`
	State          InstanceState `json:"state"`
}

// SameReading tells whether two results of Instances are one reading, which a caching list returns
// again and again.
func SameReading(a, b []Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// Instances returns all live and leaving instances in ID order.
	Instances(ctx context.Context) ([]Instance, error)
}
