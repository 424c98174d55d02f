package placement

import "slices"

// Rejection identifies the filter that dropped a replica.
type Rejection uint8

// The filters, in the order in which they apply. RejectedEjected and RejectedDomain depend on a last
// known state that may be wrong, so they are ignored when no other replica is left. The others
// always apply.
const (
	Eligible Rejection = iota
	RejectedService
	RejectedVersion
	RejectedAdapter
	RejectedLeaving
	RejectedTried
	RejectedEjected
	RejectedDomain
	RejectedByAgent
	rejectionCount
)

var rejectionNames = [rejectionCount]string{
	"eligible", "service", "weight_version", "adapter", "leaving", "tried", "ejected",
	"failure_domain", "agent",
}

// String returns the name of the filter.
func (r Rejection) String() string { return rejectionNames[r] }

// MarshalText implements encoding.TextMarshaler.
func (r Rejection) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Check returns the first filter that drops the replica for the request, or Eligible. With relaxed
// set, RejectedEjected and RejectedDomain do not apply.
func Check(req *Request, r *Replica, relaxed bool) Rejection {
	switch {
	case r.Service != req.Service:
		return RejectedService
	case r.WeightVersion != req.WeightVersion:
		return RejectedVersion
	case req.Adapter != "" && !slices.Contains(r.Adapters, req.Adapter):
		return RejectedAdapter
	case r.Leaving:
		return RejectedLeaving
	case slices.Contains(req.Tried, r.Instance):
		return RejectedTried
	case relaxed:
		return Eligible
	case r.Ejected:
		return RejectedEjected
	case r.DomainUnhealthy:
		return RejectedDomain
	}
	return Eligible
}
