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
	// listInterval is how often the process's copy of the instance list is looked at.
	listInterval = 200 * time.Millisecond
	// judgeInterval is how often replicas are compared with their peers.
	judgeInterval = time.Second
)

// replicas holds what the entry believes about agents. Only the control goroutine touches it, but
// for snapshot and known, which any goroutine may load.
type replicas struct {
	identity process.Identity
	list     metastore.InstanceList
	logger   *zap.Logger
	// onList is called with each list that was read.
	onList func([]metastore.Instance)
	// snapshot is what placements use; it is never nil.
	snapshot atomic.Pointer[placement.Snapshot]
	// known says that the list has shown an agent: before that no request can be placed.
	known atomic.Bool
	// last is the reading that members hold.
	last []metastore.Instance

	members *membership.Table
	loads   map[string]*placement.Load
	// health finds replicas that do worse than their peers; tracked are those it knows.
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

// watchReplicas looks at the instance list and judges replicas until ctx ends.
func (e *Entry) watchReplicas(ctx context.Context) {
	look := time.NewTicker(listInterval)
	defer look.Stop()
	judge := time.NewTicker(judgeInterval)
	defer judge.Stop()
	e.learn(func(r *replicas) { r.read(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
			e.learn(func(r *replicas) { r.read(ctx) })
		case now := <-judge.C:
			e.learn(func(r *replicas) { r.judge(now) })
		}
	}
}

// learn has the control goroutine take evidence about agents. It never waits: evidence that finds
// the queue full is dropped, and the next of its kind tells the same.
func (e *Entry) learn(take func(r *replicas)) {
	e.control.TryPost(func() { take(e.replicas) })
}

func (r *replicas) read(ctx context.Context) {
	instances, err := r.list.Instances(ctx)
	if err != nil || metastore.SameReading(instances, r.last) {
		return
	}
	r.last = instances
	r.onList(instances)
	now := time.Now()
	r.members.Listed(now, instances)
	if slices.ContainsFunc(instances, isAgent) {
		r.known.Store(true)
	}
	r.track()
	r.rebuild(now)
}

func isAgent(instance metastore.Instance) bool { return instance.Role == metastore.RoleAgent }

// failed notes that contact with an agent was lost.
func (r *replicas) failed(instance string, now time.Time) {
	if r.members.Failed(now, instance) {
		r.rebuild(now)
	}
}

// heard takes an agent's own word, which wins over the list.
func (r *replicas) heard(evidence membership.Evidence, now time.Time) {
	if r.members.Heard(now, evidence) {
		r.rebuild(now)
	}
}

// answered takes probe replies as the agents' own word.
func (r *replicas) answered(replies []*wire.ProbeReply, now time.Time) {
	for _, reply := range replies {
		r.heard(membership.Evidence{
			Instance:      reply.GetInstance(),
			Incarnation:   reply.GetIncarnation(),
			ConfigVersion: reply.GetConfigVersion(),
			Leaving:       reply.GetReason() == wire.RefusalReason_REFUSAL_REASON_LEAVING,
		}, now)
	}
}

// refusedAsLeaving takes a refusal in which an agent said that it is leaving.
func (r *replicas) refusedAsLeaving(instance string, now time.Time) {
	known, _ := r.members.Lookup(instance)
	evidence := membership.Evidence{Instance: instance, Incarnation: known.Incarnation, Leaving: true}
	if r.members.Heard(now, evidence) {
		r.rebuild(now)
	}
}

// near returns the agents that placements choose from.
func (r *replicas) near() []membership.Member { return r.members.Near(r.identity.Region) }

// replicasState is what dump shows.
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
