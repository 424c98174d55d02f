// Package metastore defines the interfaces to the platform's services: the key-value service and the
// instance list. Entries, agents and balsamctl use only these interfaces. The in-memory fakes and the
// wire adapter listhttp are subpackages; each implementation passes the contract suite in metastoretest.
package metastore

import (
	"context"
	"time"
)

// Revision orders the writes of the key-value service. Zero means that a key is absent.
type Revision int64

// LeaseID identifies a lease of the key-value service. Zero means no lease.
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

// SwapResult reports whether a Swap took effect. If it did, Revision is the revision of the write. If
// not, Current is the current record of the key, with ModRevision zero when the key is absent.
type SwapResult struct {
	Swapped  bool
	Revision Revision
	Current  Record
}

// Event is one change delivered by a watch. Record.ModRevision is the revision of the change.
type Event struct {
	Record  Record
	Deleted bool
}

// KV is the platform's key-value service.
//
// A write returns ErrUnavailable only when it certainly did not take effect, and ErrOutcomeUnknown
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
	// Grant creates a lease that expires after ttl without KeepAlive. The service counts whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns ErrLeaseNotFound when the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers changes to keys that start with prefix, after revision from, in order,
	// without gaps. The channel closes when ctx ends or the service becomes unreachable; the caller
	// then reads again and opens a new watch.
	Watch(ctx context.Context, prefix string, from Revision) (<-chan Event, error)
}

// Listing contains the records under a prefix as of Revision. It is read page by page, so records may be
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

// Follower reads a prefix and then its changes, call by call, so that the caller can determine the age of
// its data. All errors but ErrCompacted are ErrUnavailable.
type Follower interface {
	// Snapshot returns all records under prefix.
	Snapshot(ctx context.Context, prefix string) (Listing, error)
	// Changes returns the changes after revision from. It waits up to wait for the first. It returns
	// ErrCompacted when the service has dropped that history; the caller then takes a new Snapshot.
	Changes(ctx context.Context, prefix string, from Revision, wait time.Duration) (Changes, error)
}

// Role is the kind of process that an instance runs.
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

// SameResult reports whether two results of Instances are the same slice, which a caching list returns
// repeatedly until it reads again.
func SameResult(a, b []Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	// Instances returns all live and leaving instances in ID order.
	Instances(ctx context.Context) ([]Instance, error)
}
