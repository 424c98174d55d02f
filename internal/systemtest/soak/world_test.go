package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/gateway"
	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/testbed"
	"balsamyoke.example/balsamyoke/platform/standin"
)

const (
	gateways = 3
	servers  = 4
	// streamEvents is how many events each stream has.
	streamEvents = 6
	graceMS      = 3000
)

// world is a deployment of real gateways before servers and a metadata store of this process.
type world struct {
	c      *qt.C
	folder string
	store  *standin.Metastore
	nodes  []*node
	back   []*server
	// engines and caches are the model engines and their cache stores, weights the newest named version and
	// fetched how many parts the engines were told to fetch.
	engines []*engine
	caches  []*cacheStore
	weights atomic.Int64
	fetched atomic.Int64
	// version is the newest configuration, acked its time by version.
	version atomic.Int64
	ran     sync.Map // request id to *atomic.Int64
	// refused are the requests that were answered with the promise not to have run, with the status.
	refused sync.Map
	faults  atomic.Int64
	// struck counts faults that began, so that a request can tell whether one began while it was under way.
	struck atomic.Int64
}

// node is one gateway with its way to the metadata store.
type node struct {
	name    string
	file    string
	address string
	proxy   *proxy
	mu      sync.Mutex
	process *testbed.Process
	// run counts its starts.
	run atomic.Int64
}

// server is one backend server with the proxy before it.
type server struct {
	id    string
	http  *http.Server
	proxy *proxy
}

func newWorld(c *qt.C) *world {
	w := &world{c: c, folder: c.TempDir()}
	var err error
	w.store, err = standin.StartMetastore(standin.MetastoreSettings{Listen: "127.0.0.1:0", Admin: "127.0.0.1:0"})
	c.Assert(err, qt.IsNil)
	c.Cleanup(w.store.Stop)
	for range stores {
		w.caches = append(w.caches, w.startStore())
	}
	w.configure(1)
	w.nameWeights()
	for i := range servers {
		w.back = append(w.back, w.startServer(fmt.Sprint("s", i)))
	}
	for i := range engines {
		w.engines = append(w.engines, w.startEngine(i))
	}
	binaries, err := testbed.Binaries()
	c.Assert(err, qt.IsNil)
	for i := range gateways {
		w.nodes = append(w.nodes, w.newNode(i))
		w.start(w.nodes[i], filepath.Join(binaries, "balsam-gateway"))
	}
	c.Cleanup(func() {
		for _, n := range w.nodes {
			n.process.Thaw()
			n.process.Kill()
			n.proxy.stop()
		}
		for _, s := range w.back {
			_ = s.http.Close()
			s.proxy.stop()
		}
		for _, e := range w.engines {
			_ = e.http.Close()
			e.proxy.stop()
		}
		for _, s := range w.caches {
			_ = s.http.Close()
			s.proxy.stop()
		}
	})
	return w
}

func (w *world) newNode(i int) *node {
	p, err := startProxy(w.store.Address())
	w.c.Assert(err, qt.IsNil)
	n := &node{name: fmt.Sprint("g", i), proxy: p, file: filepath.Join(w.folder, fmt.Sprintf("g%d.json", i))}
	var free [5]string
	for j := range free {
		free[j], err = loopback.FreeAddress()
		w.c.Assert(err, qt.IsNil)
	}
	n.address = free[0]
	s := gateway.DefaultSettings()
	s.Instance, s.FailureDomain = n.name, fmt.Sprint("d", i%2)
	s.Listen, s.Ready, s.Control, s.Beats, s.Metrics = free[0], free[1], free[2], free[3], free[4]
	s.Metastore, s.GraceMS, s.RetrySlack = p.address(), graceMS, 1000
	for _, other := range w.nodes {
		s.Seeds = append(s.Seeds, other.control())
	}
	text, err := json.Marshal(s)
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(os.WriteFile(n.file, text, 0o600), qt.IsNil)
	return n
}

// keepLogs copies the gateways' logs of a seed that failed.
func (w *world) keepLogs(seed uint64) {
	if !w.c.Failed() || *keepFlag == "" {
		return
	}
	for _, n := range w.nodes {
		text, err := os.ReadFile(n.process.LogFile)
		w.c.Check(err, qt.IsNil)
		file := filepath.Join(*keepFlag, fmt.Sprintf("soak-%d-%s.log", seed, n.name))
		w.c.Check(os.WriteFile(file, text, 0o600), qt.IsNil)
	}
}

// control returns the gateway's control address, from its settings file.
func (n *node) control() string {
	text, _ := os.ReadFile(n.file)
	var s gateway.Settings
	_ = json.Unmarshal(text, &s)
	return s.Control
}

// startAfter starts a gateway whose process has ended, unless another fault has done so.
func (w *world) startAfter(n *node, ended *testbed.Process, binary string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == ended {
		w.start(n, binary)
	}
}

// start starts a gateway; the caller holds its mutex where faults may strike.
func (w *world) start(n *node, binary string) {
	process, err := testbed.StartProcess(w.folder, n.name, binary, "--settings", n.file)
	w.c.Assert(err, qt.IsNil)
	n.process = process
	n.run.Add(1)
}

// configure puts a version in force: version v has the routes /v1/ to /vv/ besides the others.
func (w *world) configure(version int64) {
	var routes strings.Builder
	route := func(name, kind string, attempts int, resumable bool) {
		fmt.Fprintf(&routes, `,{"name":%q,"host":"h","prefix":"/%s/","kind":%q,"timeout_ms":4000,"target_latency_ms":500,"priority":1,"service":"app","max_attempts":%d,"public":true,"resumable":%v}`,
			name, name, kind, attempts, resumable)
	}
	route("get", "idempotent", 3, false)
	route("book", "non_idempotent", 1, false)
	route("stream", "streaming", 3, true)
	route("once", "streaming", 1, false)
	fmt.Fprintf(&routes, `,{"name":"ask","host":"h","prefix":"/ask/","kind":"streaming","timeout_ms":4000,"target_latency_ms":500,"priority":1,"service":"llm","max_attempts":3,"public":true}`)
	services := `{"name":"app"},{"name":"llm","engine":{"slots":16,"kv_capacity":20000,"kv_token_bytes":100,"models":[{"name":"m"}]}}`
	for i, s := range w.caches {
		services += fmt.Sprintf(`,{"name":"cache%d","kv_store_addr":%q,"zone":"d0","kv_capacity":%d,"link_mbps":10000,"max_in_flight":64,"managed":true,"first_ms":1}`,
			i, s.proxy.address(), storeTokens)
	}
	for v := int64(1); v <= version; v++ {
		route(fmt.Sprint("v", v), "idempotent", 3, false)
	}
	w.put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":8192,"max_body_bytes":100000,"header_timeout_ms":2000,"idle_timeout_ms":10000},"tenants":[]}`,
		version, routes.String()[1:], services))
	w.version.Store(version)
}

func (w *world) put(key, value string) {
	store := w.store.Store()
	for {
		record, err := store.Get(w.c.Context(), key)
		if err != nil {
			record.ModRevision = 0
		}
		result, err := store.CompareAndSwap(w.c.Context(), metastore.Swap{Key: key, Value: []byte(value), Expect: record.ModRevision})
		if err == nil && result.Swapped {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startServer starts a backend server that counts the runs of each request.
func (w *world) startServer(id string) *server {
	s := &server{id: id}
	s.http, s.proxy = w.listen(func(out http.ResponseWriter, in *http.Request) { w.serve(id, out, in) })
	w.register(s, "ready")
	return s
}

func (w *world) register(s *server, state string) {
	w.put("servers/"+s.id, fmt.Sprintf(`{"service":"app","address":%q,"zone":"d0","slots":64,"state":%q,"sequence":1}`, s.proxy.address(), state))
}

func (w *world) serve(id string, out http.ResponseWriter, in *http.Request) {
	request := in.Header.Get("Balsamyoke-Request-Id")
	out.Header().Set("Balsamyoke-Request-Id", request)
	if in.Header.Get("Balsamyoke-Expect-Instance") != id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if len(request)%7 == 3 && strings.HasSuffix(request, "7") && in.Header.Get("Last-Event-Id") == "" {
		out.Header().Set("Balsamyoke-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	count, _ := w.ran.LoadOrStore(request, new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	out.Header().Set("Balsamyoke-Response-Stamp", "stamp")
	if !strings.HasPrefix(in.URL.Path, "/stream/") && !strings.HasPrefix(in.URL.Path, "/once/") {
		time.Sleep(2 * time.Millisecond)
		fmt.Fprintf(out, "answer to %s", request)
		return
	}
	w.stream(out, in)
}

// stream answers with events, or with the rest of them.
func (w *world) stream(out http.ResponseWriter, in *http.Request) {
	request := in.Header.Get("Balsamyoke-Request-Id")
	out.Header().Set("Balsamyoke-Response-Stamp", "stamp")
	first := 1
	_, _ = fmt.Sscan(in.Header.Get("Last-Event-Id"), &first)
	if in.Header.Get("Last-Event-Id") != "" {
		first++
	}
	out.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= streamEvents; i++ {
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i, request)
		_ = http.NewResponseController(out).Flush()
		time.Sleep(15 * time.Millisecond)
	}
}
