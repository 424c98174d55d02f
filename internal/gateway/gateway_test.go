package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/fleet"
	"balsamyoke.example/balsamyoke/internal/gateway"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/leaktest"
	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/weights"
	"balsamyoke.example/balsamyoke/platform"
)

func TestMain(m *testing.M) { leaktest.VerifyMain(m) }

const (
	host        = "site.example"
	testTimeout = 10 * time.Second
	// probePath is the path of the requests by which a test waits for the gateway to know its servers. Every server
	// responds to them.
	probePath = "/open/probe"
)

// stubEngines replaces the engines and cache stores, which these tests of the request path don't need.
type stubEngines struct{}

func (stubEngines) Report(context.Context, string) (backend.Report, error) {
	return backend.Report{}, weights.ErrUnavailable.New("no engine")
}

func (stubEngines) Switch(context.Context, weights.Order) (weights.Outcome, error) {
	return weights.Refused, nil
}

func (stubEngines) Events(ctx context.Context, _ string, _ int64, wait time.Duration) (kvcache.Batch, error) {
	time.Sleep(wait)
	return kvcache.Batch{Epoch: 1}, nil
}

func (stubEngines) List(context.Context, string) (kvcache.Batch, error) {
	return kvcache.Batch{Epoch: 1}, nil
}

func (stubEngines) Free(context.Context, string, int64, []kvcache.Key) error { return nil }

// deployment is a gateway in front of servers, with an in-memory metadata store.
type deployment struct {
	c            *qt.C
	store        *memkv.Store
	address      string
	readyAddress string
	// metricsAddress serves the dump.
	metricsAddress string
	// controlAddress serves balsamctl.
	controlAddress string
	stop           context.CancelFunc
	ended          chan error
	graceMS        int
	// withoutServers is set if no server is registered when the gateway starts.
	withoutServers bool
	// memoryMB is the memory of the gateway's process; 0 for the default.
	memoryMB int
	// retrySlack is the number of retries that are allowed beside a share of the requests; 0 for the default.
	retrySlack float64
	// metastore replaces store for the gateway; nil for store itself.
	metastore fleet.Metastore
	// log gets the gateway's log lines; nil to discard them.
	log io.Writer
	// configuration is the first one; empty for that of configuration.
	configuration string
}

func deploy(c *qt.C, servers ...*server) *deployment {
	return deployWithGrace(c, 600, servers...)
}

// deployWithGrace returns a deployment whose gateway has graceMS milliseconds from SIGTERM to SIGKILL.
func deployWithGrace(c *qt.C, graceMS int, servers ...*server) *deployment {
	return deployAs(&deployment{c: c, graceMS: graceMS}, servers...)
}

// deployAs starts the gateway of a deployment with the given settings.
func deployAs(d *deployment, servers ...*server) *deployment {
	if d.store == nil {
		d.store = memkv.New()
	}
	d.ended = make(chan error, 1)
	d.c.Cleanup(d.store.Close)
	if d.configuration == "" {
		d.configuration = configuration(1, `"key-1"`)
	}
	d.put("op/config", d.configuration)
	for i, s := range servers {
		d.register(fmt.Sprint("s", i), s, "ready")
	}
	d.start("g")
	return d
}

// addGateway starts another gateway on the same metadata store. Its deployment has the address of that gateway.
func (d *deployment) addGateway(instance string) *deployment {
	other := &deployment{c: d.c, store: d.store, ended: make(chan error, 1), graceMS: d.graceMS}
	other.start(instance)
	return other
}

func (d *deployment) put(key, value string) {
	record, err := d.store.Get(context.Background(), key)
	if err != nil {
		record.ModRevision = 0
	}
	_, err = d.store.CompareAndSwap(context.Background(), metastore.Swap{Key: key, Value: []byte(value), Expect: record.ModRevision})
	d.c.Assert(err, qt.IsNil)
}

func (d *deployment) register(id string, s *server, state string) {
	d.registerVersion(id, s, state, "v1")
}

// registerVersion registers a server with a software version.
func (d *deployment) registerVersion(id string, s *server, state, version string) {
	d.registerAddress(id, s.listener.Addr().String(), state, version)
}

// registerAddress registers a server at an address.
func (d *deployment) registerAddress(id, address, state, version string) {
	entry, err := json.Marshal(map[string]any{
		"service": "app", "address": address, "zone": "a", "version": version, "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": 1,
	})
	d.c.Assert(err, qt.IsNil)
	d.put("servers/"+id, string(entry))
}

// registerEngine registers an engine of the service llm whose run starts now.
func (d *deployment) registerEngine(id string, s *server) {
	d.put("servers/"+id, fmt.Sprintf(`{"service":"llm","address":%q,"zone":"a","slots":16,"state":"ready","born":%d,"models":[{"name":"m","version":1}]}`,
		s.listener.Addr(), time.Now().UnixMilli()))
}

func configuration(version int, keys string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
	{"name":"get","host":"site.example","prefix":"/get/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2},
	{"name":"book","host":"site.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2},
	{"name":"stream","host":"site.example","prefix":"/stream/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,"priority":1,"service":"app","max_attempts":2,"resumable":true},
	{"name":"once","host":"site.example","prefix":"/once/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,"priority":1,"service":"app","max_attempts":2},
	{"name":"ask","host":"site.example","prefix":"/ask/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,"priority":1,"service":"llm","max_attempts":2,"resumable":true},
	{"name":"open","host":"site.example","prefix":"/open/","kind":"idempotent","timeout_ms":400,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1,"public":true}],
	"services":[{"name":"app","health_path":"/health","max_connections":100},
	{"name":"llm","engine":{"slots":16,"kv_capacity":100000,"kv_token_bytes":100,"models":[{"name":"m"}]}}],
	"limits":{"max_header_bytes":4096,"max_body_bytes":100000,"header_timeout_ms":1000,"idle_timeout_ms":5000},
	"tenants":[{"name":"org","api_keys":[%s],"priority":1},{"name":"others","api_keys":["key-of-others"],"priority":1}]}`, version, keys)
}

func (d *deployment) start(instance string) {
	var addresses [5]string
	for i := range addresses {
		address, err := loopback.FreeAddress()
		d.c.Assert(err, qt.IsNil)
		addresses[i] = address
	}
	s := gateway.DefaultSettings()
	s.Instance, s.FailureDomain = instance, "a"
	s.Listen, s.Ready, s.Control, s.Beats, s.Metrics = addresses[0], addresses[1], addresses[2], addresses[3], addresses[4]
	s.GraceMS = d.graceMS
	if d.memoryMB > 0 {
		s.MemoryMB = d.memoryMB
	}
	if d.retrySlack > 0 {
		s.RetrySlack = d.retrySlack
	}
	d.address, d.readyAddress, d.metricsAddress = s.Listen, s.Ready, s.Metrics
	d.controlAddress = s.Control
	engines := stubEngines{}
	var store fleet.Metastore = d.store
	if d.metastore != nil {
		store = d.metastore
	}
	if d.log == nil {
		d.log = io.Discard
	}
	log := eventlog.New(d.log)
	g := gateway.New(s, fleet.Platform{
		Metastore: store, Documents: platform.Documents{}, Engines: engines, Stores: engines,
	}, platform.Headers{}, log)
	var ctx context.Context
	ctx, d.stop = context.WithCancel(context.Background())
	go func() { d.ended <- g.Run(ctx) }()
	d.c.Cleanup(func() {
		d.stop()
		select {
		case err := <-d.ended:
			d.c.Check(err, qt.IsNil)
		case <-time.After(testTimeout):
			d.c.Error("the gateway did not stop in time")
		}
		log.Close()
	})
	d.eventually(func() bool { return d.readiness() == 200 })
	if d.withoutServers {
		return
	}
	// The servers are registered before the gateway starts. A successful request shows that it has read them.
	d.eventually(func() bool {
		resp, err := d.send("GET", probePath, "", "")
		return err == nil && resp.status != 503
	})
}

func (d *deployment) eventually(condition func() bool) {
	d.c.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.c.Fatal("timed out waiting for the condition")
}

func (d *deployment) readiness() int {
	conn, err := net.Dial("tcp4", d.readyAddress)
	if err != nil {
		return 0
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /balsamyoke/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	var status int
	line, _ := bufio.NewReader(conn).ReadString('\n')
	_, _ = fmt.Sscanf(line, "HTTP/1.1 %d", &status)
	return status
}
