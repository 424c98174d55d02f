package rollout

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const testLoadTime = 50 * time.Millisecond

// fakeBackend is an engine that takes testLoadTime to load.
type fakeBackend struct {
	mu       sync.Mutex
	version  string
	loading  string
	loadEnds time.Time
	orders   int
	stopped  bool
}

func (b *fakeBackend) State(context.Context) (BackendState, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return BackendState{}, ErrUnavailable.New("stopped")
	}
	b.finish()
	return BackendState{WeightVersion: b.version, Loading: b.loading}, nil
}

func (b *fakeBackend) finish() {
	if b.loading != "" && !time.Now().Before(b.loadEnds) {
		b.version, b.loading = b.loading, ""
	}
}

func (b *fakeBackend) Order(_ context.Context, request *wire.OrderRequest) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders++
	b.loading = request.GetWeightVersion()
	b.loadEnds = time.Now().Add(testLoadTime)
	return nil
}

// deployment is a service whose agents and holders run in one process. It implements Replicas.
type deployment struct {
	kv       *memkv.Store
	backends []*fakeBackend
	servers  map[string]*Server
	members  []Member

	mu      sync.Mutex
	version string
}

func newDeployment(replicas int) *deployment {
	d := &deployment{kv: memkv.New(), servers: make(map[string]*Server), version: "w1"}
	for i := range replicas {
		name := fmt.Sprintf("replica-%d", i)
		backend := &fakeBackend{version: "w0"}
		d.backends = append(d.backends, backend)
		d.members = append(d.members, Member{Instance: name, ControlAddress: name, FailureDomain: "a"})
		d.servers[name] = NewServer(ServerOptions{
			Instance: name, Incarnation: 1, Service: "assistant", KV: d.kv, Backend: backend,
			Leaving:       func() bool { return false },
			ConfigVersion: func() uint64 { return 1 },
		})
	}
	return d
}

func (d *deployment) Order(ctx context.Context, address string, request *wire.OrderRequest) (*wire.OrderReply, error) {
	return d.servers[address].Order(ctx, request)
}

func (d *deployment) Status(ctx context.Context, address string) (*wire.ReplicaStatus, error) {
	return d.servers[address].Status(ctx, &wire.ReplicaStatusRequest{})
}

func (d *deployment) target() (Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Target{Service: "assistant", WeightVersion: d.version, MaxConcurrentLoads: 2}, true
}

func (d *deployment) driver(instance string) *Driver {
	return NewDriver(Options{
		Service: "assistant", Instance: instance, Owner: instance + "/1", KV: d.kv, Replicas: d,
		Members:     func() []Member { return d.members },
		Target:      d.target,
		MaxLoadTime: 10 * testLoadTime,
	})
}

// countBackends returns how many backend servers load and how many serve version.
func (d *deployment) countBackends(version string) (loading, serving int) {
	for _, backend := range d.backends {
		state, err := backend.State(context.Background())
		if err != nil {
			continue
		}
		if state.Loading != "" {
			loading++
		}
		if state.WeightVersion == version {
			serving++
		}
	}
	return loading, serving
}

func (d *deployment) waitServing(c *qt.C, version string, count int) {
	const maxWait = 20 * time.Second
	for deadline := time.Now().Add(maxWait); ; time.Sleep(testLoadTime / 10) {
		loading, serving := d.countBackends(version)
		c.Assert(loading <= 2, qt.IsTrue)
		if serving >= count {
			return
		}
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d replicas serve %s", serving, version))
	}
}

func (d *deployment) lease(c *qt.C) metastore.Record {
	record, err := d.kv.Get(context.Background(), Key("assistant"))
	c.Assert(err, qt.IsNil)
	return record
}

func TestNextDriverFinishesTheRolloutAfterTheLeaseExpires(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(5)
	defer d.kv.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for _, member := range d.members {
		driver := d.driver(member.Instance)
		group.Go(func() { driver.Run(ctx) })
	}
	d.waitServing(c, "w1", 1)
	first := d.lease(c)
	// The holder's lease expires in the middle of the rollout.
	d.kv.Expire(first.Lease)
	d.waitServing(c, "w1", len(d.members))
	second := d.lease(c)
	c.Assert(second.CreateRevision > first.CreateRevision, qt.IsTrue)

	// An order of the first holder is now refused by every agent and reaches no backend server.
	for i, member := range d.members {
		before := d.backends[i].orders
		reply, err := d.servers[member.Instance].Order(ctx, &wire.OrderRequest{
			Fence: uint64(first.CreateRevision), Service: "assistant",
			Kind: wire.OrderKind_ORDER_KIND_LOAD_VERSION, WeightVersion: "w0",
		})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetAccepted(), qt.IsFalse)
		c.Assert(d.backends[i].orders, qt.Equals, before)
	}
	for _, backend := range d.backends {
		c.Assert(backend.orders, qt.Equals, 1, qt.Commentf("the next holder must not repeat orders"))
	}
}

// A restarted agent has no record of earlier holders. It must refuse orders until it has read the current holder from
// the key-value service.
func TestRestartedAgentPassesNothingDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(1)
	defer d.kv.Close()
	ctx := context.Background()
	holding, err := NewLessor(d.kv, "assistant", "holder").Acquire(ctx)
	c.Assert(err, qt.IsNil)
	order := &wire.OrderRequest{
		Fence: holding.Fence, Service: "assistant",
		Kind: wire.OrderKind_ORDER_KIND_LOAD_VERSION, WeightVersion: "w1",
	}
	server := d.servers["replica-0"]
	d.kv.SetFaults(memkv.Faults{Down: true})
	reply, err := server.Order(ctx, order)
	c.Assert(err, qt.IsNil)
	c.Assert(reply.GetAccepted(), qt.IsFalse)
	d.kv.SetFaults(memkv.Faults{})
	for range 2 {
		reply, err = server.Order(ctx, order)
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetAccepted(), qt.IsTrue)
	}
	c.Assert(d.backends[0].orders, qt.Equals, 1)
	order.WeightVersion = "w2"
	reply, err = server.Order(ctx, order)
	c.Assert(err, qt.IsNil)
	c.Assert(reply.GetMessage(), qt.Equals, "the backend server is loading w1")
}

func TestStatusOfAStoppedBackendServerIsUnavailable(t *testing.T) {
	c := qt.New(t)
	d := newDeployment(1)
	defer d.kv.Close()
	d.backends[0].stopped = true
	_, err := d.Status(context.Background(), "replica-0")
	c.Assert(status.Code(err), qt.Equals, codes.Unavailable)
}
