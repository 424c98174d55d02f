// Package metastore defines the interfaces to the platform's services: the key-value service and the
// instance list. Entries, agents and balsamctl use only these interfaces. The in-memory fakes and the
// wire adapter listhttp are subpackages; each implementation passes the contract suite in metastoretest.
package metastore

import (
	"cmp"
	"context"
	"time"
)

// Revision orders the writes of the key-value service. Zero means that a key is absent.
type Revision int64

// Era numbers the histories of the key-value service. It rises when the service comes back from a copy that lacks
// its latest writes: revisions and leases of the lost writes are then given out again, so that revisions of
// different eras can't be compared. Zero means that the service doesn't report eras.
type Era int64

// Position is a point in the service's history.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1 if p is before q, 1 if it is after q, and otherwise 0. A later era is after all revisions of an
// earlier one.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// fenceEraShift is the number of bits for the revision in a fencing token.
const fenceEraShift = 40

// Fence returns a fencing token for the position. Tokens are in the order of their positions also across eras. They
// stay below 2^53, which every JSON number holds, for the first 2^13 eras.
func (p Position) Fence() uint64 { return uint64(p.Era)<<fenceEraShift + uint64(p.Revision) }

// LeaseID identifies a lease of the key-value service, which ends with the era in which it was granted at the latest.
// The zero value means no lease.
type LeaseID struct {
	Number int64
	Era    Era
}

// IsZero reports whether the value means no lease.
func (l LeaseID) IsZero() bool { return l.Number == 0 }

// Record is one key with its value and revisions.
type Record struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
	// Era is the era to which the revisions belong.
	Era Era
}

// Created returns the position at which the key was created.
func (r *Record) Created() Position { return Position{r.Era, r.CreateRevision} }

// Modified returns the position of the key's latest write.
func (r *Record) Modified() Position { return Position{r.Era, r.ModRevision} }

// Swap is a conditional write. It takes effect only when the key's ModRevision equals Expect.
type Swap struct {
	Key    string
	Expect Revision
	Value  []byte
	Lease  LeaseID
	// Delete removes the key instead of writing Value.
	Delete bool
}

// SwapResult reports whether a Swap took effect. If it did, Revision is the revision of the write, in Era. If
// not, Current is the current record of the key, with ModRevision zero when the key is absent.
type SwapResult struct {
	Swapped  bool
	Revision Revision
	Era      Era
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

// Listing contains the records under a prefix as of a Position. It is read page by page, so records may be
// newer than that. All of it is of one era.
type Listing struct {
	Records []Record
	Position
}

// Changes are the changes under a prefix up to a Position, oldest first. All of them are of one era.
type Changes struct {
	Events []Event
	Position
}

// Follower reads a prefix and then its changes, call by call, so that the caller can determine the age of
// its data. All errors but ErrCompacted are ErrUnavailable.
type Follower interface {
	// Snapshot returns all records under prefix.
	Snapshot(ctx context.Context, prefix string) (Listing, error)
	// Changes returns the changes after from. It waits up to wait for the first. It returns ErrCompacted when the
	// service no longer has that history or is in another era; the caller then takes a new Snapshot.
	Changes(ctx context.Context, prefix string, from Position, wait time.Duration) (Changes, error)
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
