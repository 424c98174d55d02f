// Package memlist is an in-memory instance list for tests and for the list stand-in.
package memlist

import (
	"context"
	"sort"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// List is an in-memory instance list. It is safe for concurrent use.
type List struct {
	lag time.Duration

	mu      sync.Mutex
	visible []metastore.Instance
	pending []change
	down    bool
}

// change is a state of the list that becomes visible later.
type change struct {
	at        time.Time
	instances []metastore.Instance
}

var _ metastore.InstanceList = (*List)(nil)

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Replace sets all instances.
func (l *List) Replace(instances []metastore.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue(append([]metastore.Instance{}, instances...))
}

// SetState changes the state of one instance. It returns false when there is no instance with that ID.
func (l *List) SetState(id string, state metastore.InstanceState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := append([]metastore.Instance{}, l.latest()...)
	for i := range latest {
		if latest[i].ID == id {
			latest[i].State = state
			l.queue(latest)
			return true
		}
	}
	return false
}

// SetDown makes calls fail with ErrUnavailable.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Instances implements metastore.InstanceList.
func (l *List) Instances(ctx context.Context) ([]metastore.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || ctx.Err() != nil {
		return nil, metastore.ErrUnavailable.New("the instance list is down")
	}
	l.applyDue(time.Now())
	return append([]metastore.Instance{}, l.visible...), nil
}

func (l *List) queue(instances []metastore.Instance) {
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	l.pending = append(l.pending, change{at: time.Now().Add(l.lag), instances: instances})
}

func (l *List) latest() []metastore.Instance {
	if len(l.pending) > 0 {
		return l.pending[len(l.pending)-1].instances
	}
	return l.visible
}

func (l *List) applyDue(now time.Time) {
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.visible = l.pending[0].instances
		l.pending = l.pending[1:]
	}
}
