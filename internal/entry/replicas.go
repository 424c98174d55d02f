package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/platform"
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
	list   platform.InstanceList
	logger *zap.Logger

	mu        sync.RWMutex
	byService map[string][]platform.Instance
	readAt    time.Time
	avoid     map[string]time.Time
	// leaving holds the incarnations that said that they are leaving. What an agent says of
	// itself wins over the lagging list.
	leaving map[string]uint64
}

func newReplicas(list platform.InstanceList, logger *zap.Logger) *replicas {
	return &replicas{list: list, logger: logger, avoid: make(map[string]time.Time), leaving: make(map[string]uint64)}
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byService = byService
	r.readAt = time.Now()
}

// of returns the replicas of a service that did not fail lately; all of them when all failed.
func (r *replicas) of(service string, now time.Time) []platform.Instance {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var healthy []platform.Instance
	for _, instance := range r.byService[service] {
		if _, leaving := r.leaving[instance.ID]; leaving {
			continue
		}
		if now.After(r.avoid[instance.ID]) {
			healthy = append(healthy, instance)
		}
	}
	if len(healthy) == 0 {
		return append(healthy, r.byService[service]...)
	}
	return healthy
}

func (r *replicas) failed(instance platform.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoid[instance.ID] = now.Add(avoidFor)
}

// heard takes an agent's own word on whether it is leaving.
func (r *replicas) heard(hello *wire.Hello) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if hello.GetLeaving() {
		r.leaving[hello.GetInstance()] = hello.GetIncarnation()
		return
	}
	if r.leaving[hello.GetInstance()] != hello.GetIncarnation() {
		delete(r.leaving, hello.GetInstance())
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
