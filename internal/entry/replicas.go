package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/health"
	"balsamyoke.example/balsamyoke/internal/membership"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/placement"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// listInterval is how often the process's copy of the instance list is read.
	listInterval = 200 * time.Millisecond
	// healthInterval is how often replicas are compared with their peers.
	healthInterval = time.Second
)

// replicas is the entry's view of the agents. Only the control goroutine accesses it, except for snapshot and
// agentListed, which any goroutine may load.
type replicas struct {
	identity process.Identity
	list     metastore.InstanceList
	logger   *zap.Logger
	// onList is called with each newly read list.
	onList func([]metastore.Instance)
	// snapshot is the view that placements use; it is never nil.
	snapshot atomic.Pointer[placement.Snapshot]
	// agentListed reports that a list has shown an agent. Before that no request can be placed.
	agentListed atomic.Bool
	// lastList is the latest list passed to members.
	lastList []metastore.Instance

	members *membership.Table
	loads   map[string]*placement.Load
	// health detects replicas that perform worse than their peers; tracked holds the IDs of its replicas.
	health  *health.Tracker
	tracked map[string]bool
}

func newReplicas(identity process.Identity, list metastore.InstanceList, logger *zap.Logger) *replicas {
	r := &replicas{
		identity: identity,
		list:     list,
		logger:   logger,
		onList:   func([]metastore.Instance) {},
		members:  membership.New(metastore.RoleAgent),
		loads:    make(map[string]*placement.Load),
		health:   health.New(health.DefaultConfig()),
	}
	r.rebuild(time.Now())
	return r
}

// watchReplicas reads the instance list and evaluates the replicas' health until ctx ends.
func (e *Entry) watchReplicas(ctx context.Context) {
	listTicker := time.NewTicker(listInterval)
	defer listTicker.Stop()
	healthTicker := time.NewTicker(healthInterval)
	defer healthTicker.Stop()
	e.updateReplicas(func(r *replicas) { r.readList(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-listTicker.C:
			e.updateReplicas(func(r *replicas) { r.readList(ctx) })
		case now := <-healthTicker.C:
			e.updateReplicas(func(r *replicas) { r.evaluateHealth(now) })
		}
	}
}

// updateReplicas runs update on the control goroutine, without waiting for it. When the queue is full, the
// update is dropped; the next update of the same kind carries the same information.
func (e *Entry) updateReplicas(update func(r *replicas)) {
	e.control.TryPost(func() { update(e.replicas) })
}

func (r *replicas) readList(ctx context.Context) {
	instances, err := r.list.Instances(ctx)
	if err != nil || metastore.SameResult(instances, r.lastList) {
		return
	}
	r.lastList = instances
	r.onList(instances)
	now := time.Now()
	r.members.RecordList(now, instances)
	if slices.ContainsFunc(instances, isAgent) {
		r.agentListed.Store(true)
	}
	r.trackHealth()
	r.rebuild(now)
}

func isAgent(instance metastore.Instance) bool { return instance.Role == metastore.RoleAgent }

// recordContactLoss records that contact with an agent was lost.
func (r *replicas) recordContactLoss(instance string, now time.Time) {
	if r.members.RecordFailure(now, instance) {
		r.rebuild(now)
	}
}

// recordReport records an agent's own report, which takes precedence over the instance list.
func (r *replicas) recordReport(report membership.Report, now time.Time) {
	if r.members.RecordReport(now, report) {
		r.rebuild(now)
	}
}

// recordProbeReplies records probe replies as the agents' own reports.
func (r *replicas) recordProbeReplies(replies []*wire.ProbeReply, now time.Time) {
	for _, reply := range replies {
		r.recordReport(membership.Report{
			Instance:      reply.GetInstance(),
			Incarnation:   reply.GetIncarnation(),
			ConfigVersion: reply.GetConfigVersion(),
			Leaving:       reply.GetReason() == wire.RefusalReason_REFUSAL_REASON_LEAVING,
		}, now)
	}
}

// recordLeaving records a refusal in which an agent reported that it is leaving.
func (r *replicas) recordLeaving(instance string, now time.Time) {
	member, _ := r.members.Lookup(instance)
	report := membership.Report{Instance: instance, Incarnation: member.Incarnation, Leaving: true}
	if r.members.RecordReport(now, report) {
		r.rebuild(now)
	}
}

// near returns the agents that placements choose from: those of the entry's region, and all agents of services
// that no open agent of the region serves.
func (r *replicas) near() []membership.Member { return r.members.Near(r.identity.Region) }

// replicasState is the view of the agents as shown by a dump.
type replicasState struct {
	Services  map[string][]membership.Member `json:"services"`
	ListAgeMS int64                          `json:"list_age_ms"`
}

func (r *replicas) state() replicasState {
	services := make(map[string][]membership.Member)
	for _, m := range r.members.Members() {
		services[m.Service] = append(services[m.Service], m)
	}
	return replicasState{Services: services, ListAgeMS: time.Since(r.members.ReadAt()).Milliseconds()}
}
