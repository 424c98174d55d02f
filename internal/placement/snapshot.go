package placement

import (
	"sort"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
)

// DefaultSubsetSize bounds the replicas of one service and version that an entry samples at random,
// and so the connections that it opens. Hints and affinity may select replicas outside the subset.
const DefaultSubsetSize = 64

// Load is the last load report of a replica with a correction for the runs that this entry sent since.
type Load struct {
	// InFlight is the number of runs at the time of the report.
	InFlight uint32
	// ReportedAt is when the report arrived; zero means that there is no report.
	ReportedAt time.Time
	// OwnInFlightAtReport is the value of OwnInFlight when the report arrived.
	OwnInFlightAtReport int64
	// OwnInFlight is the number of this entry's runs in flight at the replica. Snapshots share the counter.
	OwnInFlight *atomic.Int64
}

// Estimate returns the number of reported runs plus those that this entry added since the report.
func (l *Load) Estimate() uint32 {
	if l.OwnInFlight == nil {
		return l.InFlight
	}
	added := l.OwnInFlight.Load() - l.OwnInFlightAtReport
	if added <= 0 {
		return l.InFlight
	}
	return l.InFlight + uint32(added)
}

// Replica is an entry's last known state of one agent and its backend server, without a probe.
type Replica struct {
	Instance    string
	Incarnation uint64
	Address     string
	// ControlAddress is ip:port of the control port.
	ControlAddress string
	Region         string
	FailureDomain  string
	Service        string
	WeightVersion  string
	Adapters       []string
	Leaving        bool
	// Ejected is true when recent attempts at the replica failed.
	Ejected bool
	// DomainUnhealthy is true when the replica's failure domain is considered unreachable.
	DomainUnhealthy bool
	// DistanceMS is the round-trip time from this entry in milliseconds.
	DistanceMS float64
	Load       Load

	hash uint64
}

// groupKey identifies the group of replicas that serve a service and weight version.
type groupKey struct {
	service string
	version string
}

// group holds the replicas of one service and weight version.
type group struct {
	members []int32
	subset  []int32
}

// Snapshot is an immutable view of all replicas, indexed for placement.
type Snapshot struct {
	replicas   []Replica
	byInstance map[string]int32
	groups     map[groupKey]*group
}

// NewSnapshot indexes replicas. It keeps and sorts the slice. Each entry has its own subset of
// subsetSize replicas in every group, so that connections are spread evenly. A subsetSize of 0 means
// DefaultSubsetSize.
func NewSnapshot(entry string, replicas []Replica, subsetSize int) *Snapshot {
	sort.Slice(replicas, func(i, j int) bool { return replicas[i].Instance < replicas[j].Instance })
	s := &Snapshot{
		replicas:   replicas,
		byInstance: make(map[string]int32, len(replicas)),
		groups:     make(map[groupKey]*group),
	}
	for i := range replicas {
		r := &replicas[i]
		r.hash = rendezvous.Hash(r.Instance)
		s.byInstance[r.Instance] = int32(i)
		key := groupKey{r.Service, r.WeightVersion}
		g := s.groups[key]
		if g == nil {
			g = &group{}
			s.groups[key] = g
		}
		g.members = append(g.members, int32(i))
	}
	for _, g := range s.groups {
		g.subset = s.chooseSubset(rendezvous.Hash(entry), g.members, subsetSize)
	}
	return s
}

// chooseSubset returns the members with the highest rendezvous rank for the entry, up to size of them.
func (s *Snapshot) chooseSubset(entry uint64, members []int32, size int) []int32 {
	if size <= 0 {
		size = DefaultSubsetSize
	}
	subset := append([]int32(nil), members...)
	if len(subset) <= size {
		return subset
	}
	sort.Slice(subset, func(i, j int) bool {
		a, b := s.replicas[subset[i]].hash, s.replicas[subset[j]].hash
		return rendezvous.Weight(entry, a) > rendezvous.Weight(entry, b)
	})
	return subset[:size]
}

// Replica returns the replica at the index of a Candidate. The caller must not change it.
func (s *Snapshot) Replica(index int32) *Replica { return &s.replicas[index] }

// Len returns the number of replicas.
func (s *Snapshot) Len() int { return len(s.replicas) }

// Lookup returns the replica of an instance, or nil.
func (s *Snapshot) Lookup(instance string) *Replica {
	i, ok := s.byInstance[instance]
	if !ok {
		return nil
	}
	return &s.replicas[i]
}

// Subset returns the indices of the replicas that this entry samples for a service and version.
func (s *Snapshot) Subset(service, version string) []int32 {
	g := s.groups[groupKey{service, version}]
	if g == nil {
		return nil
	}
	return g.subset
}

// emptyGroup is the group of a service and version without replicas.
var emptyGroup group

// groupOf returns the replicas that serve the request's service and weight version.
func (s *Snapshot) groupOf(req *Request) *group {
	if g := s.groups[groupKey{req.Service, req.WeightVersion}]; g != nil {
		return g
	}
	return &emptyGroup
}
