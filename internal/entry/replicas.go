package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/health"
	"balsamyoke.example/balsamyoke/internal/placement"
	"balsamyoke.example/balsamyoke/internal/platform"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// listInterval is how often the instance list is read.
	listInterval = time.Second
	// avoidFor is how long a replica that failed is not chosen.
	avoidFor = 2 * time.Second
)

// replicas holds what the entry believes about agents.
type replicas struct {
	identity process.Identity
	list     platform.InstanceList
	logger   *zap.Logger
	// onList is called with each list that was read.
	onList func([]platform.Instance)
	// snapshot is what placements use; it is never nil.
	snapshot atomic.Pointer[placement.Snapshot]

	mu        sync.RWMutex
	byService map[string][]platform.Instance
	readAt    time.Time
	avoid     map[string]time.Time
	// leaving holds the incarnations that said that they are leaving. What an agent says of
	// itself wins over the lagging list.
	leaving map[string]leavingMark
	loads   map[string]*placement.Load
	// health finds replicas that do worse than their peers; tracked are those it knows.
	health  *health.Tracker
	tracked map[string]bool
}

func newReplicas(identity process.Identity, list platform.InstanceList, logger *zap.Logger) *replicas {
	r := &replicas{
		identity: identity,
		list:     list,
		logger:   logger,
		onList:   func([]platform.Instance) {},
		avoid:    make(map[string]time.Time),
		leaving:  make(map[string]leavingMark),
		loads:    make(map[string]*placement.Load),
		health:   health.New(health.DefaultConfig()),
	}
	r.rebuild(time.Now())
	return r
}

// poll reads the instance list until ctx ends. It keeps the last list during an outage.
func (r *replicas) poll(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	r.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.read(ctx)
			r.judge(time.Now())
		}
	}
}

func (r *replicas) read(ctx context.Context) {
	instances, err := r.list.Instances(ctx)
	if err != nil {
		return
	}
	byService := make(map[string][]platform.Instance)
	for _, instance := range instances {
		if instance.Role == platform.RoleAgent && instance.State == platform.InstanceLive {
			byService[instance.Service] = append(byService[instance.Service], instance)
		}
	}
	r.onList(instances)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byService = byService
	r.readAt = time.Now()
	r.forgetLeaving(r.readAt)
	r.track()
	r.rebuild(r.readAt)
}

// known says whether the instance list was ever read: before that no request can be placed.
func (r *replicas) known() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.readAt.IsZero()
}

func (r *replicas) failed(instance platform.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid[instance.ID] = now.Add(avoidFor)
	r.rebuild(now)
}

// heard takes an agent's own word on whether it is leaving.
func (r *replicas) heard(hello *wire.Hello) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hello.GetLeaving() {
		r.leaving[hello.GetInstance()] = leavingMark{incarnation: hello.GetIncarnation(), at: time.Now()}
		r.rebuild(time.Now())
		return
	}
	left, known := r.leaving[hello.GetInstance()]
	if known && left.incarnation != hello.GetIncarnation() {
		delete(r.leaving, hello.GetInstance())
		r.rebuild(time.Now())
	}
}

// replicasState is what dump shows.
type replicasState struct {
	Services  map[string][]platform.Instance `json:"services"`
	ListAgeMS int64                          `json:"list_age_ms"`
}

func (r *replicas) state() replicasState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return replicasState{Services: r.byService, ListAgeMS: time.Since(r.readAt).Milliseconds()}
}
