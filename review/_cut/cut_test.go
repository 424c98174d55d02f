// Package cut plays a small deployment whose gateways run as separate processes, and cuts some of them off from the metadata store and
// from the other gateways, while they still reach the backend servers and the cache stores. Its stand-ins judge what the servers see.
// It is a test file because only test files may contain the wire names of the platform. It is built as a program by review/build-2.sh.
package cut

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/testbed"
	"balsamyoke.example/balsamyoke/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The deployment. The figures are those of nyiraflue-quotes where the pages state them. The first cutCount gateways are cut off.
const (
	model         = "m0"
	gatewayCount  = 5
	cutCount      = 2
	engineCount   = 18
	engineSlots   = 64
	engineTokens  = 80_011
	tokenBytes    = 18_432
	prefillPerMS  = 55.0
	loadTime      = 760 * time.Millisecond
	storeTokens   = 1_072_660
	storeMbps     = 32_000.0
	storeFirst    = 6 * time.Millisecond
	heartbeat     = 1200 * time.Millisecond
	weightsWithin = 10_000
	configApply   = 2 * time.Second
)

var (
	gatewayFlag = flag.String("cut.gateway", "target/balsam-gateway", "the gateway program")
	recordFlag  = flag.String("cut.record", "record.txt", "the file for the record")
	caseFlag    = flag.String("cut.case", "freed", "the case: freed, isolated or order")
	lengthFlag  = flag.Duration("cut.length", 30*time.Second, "length of the cut")
	namedFlag   = flag.Duration("cut.named", 4500*time.Millisecond, "time from the start of a cut until weights are named")
	roundsFlag  = flag.Int("cut.rounds", 1, "number of cuts")
	logsFlag    = flag.String("cut.logs", "", "folder for copies of the gateways' logs; none if empty")
	troubleFlag = flag.Bool("cut.trouble", true, "whether the gateways are cut off")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run())
}

// world is the deployment with its record.
type world struct {
	folder   string
	meta     *standin.Metastore
	gateways []*gatewayProcess
	engines  []*engine
	stores   []*cacheStore
	started  time.Time

	apps []*app

	cutMu sync.Mutex
	cut   bool
	// silent is set while the metadata store answers nobody.
	silent bool

	mu         sync.Mutex
	record     *os.File
	violations int
	// named is the newest weight version that was named.
	named int64
	// isolatedAt is when the store acknowledged that a tenant is isolated.
	isolatedAt map[string]time.Time
	answers    map[string]int
}

func run() int {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	w := &world{isolatedAt: make(map[string]time.Time), answers: make(map[string]int), named: 1, started: time.Now()}
	if err := w.start(); err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		w.stop()
		return exitNotRun
	}
	defer w.stop()
	result := make(chan int, 1)
	go func() { result <- w.play() }()
	select {
	case code := <-result:
		return code
	case <-ended:
		return exitNotRun
	}
}

func (w *world) start() (err error) {
	if w.record, err = os.Create(*recordFlag); err != nil {
		return err
	}
	if w.folder, err = os.MkdirTemp("", "cut"); err != nil {
		return err
	}
	address, err := loopback.FreeAddress()
	if err != nil {
		return err
	}
	if w.meta, err = standin.StartMetastore(standin.MetastoreSettings{Listen: address, Admin: "127.0.0.1:0", WritesPerSecond: 400, ReadsPerSecond: 2000}); err != nil {
		return err
	}
	for i := range 4 {
		s, err := w.startStore(fmt.Sprintf("zone-%d", i%2))
		if err != nil {
			return err
		}
		w.stores = append(w.stores, s)
	}
	w.putConfiguration(1, "")
	w.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	for i := range engineCount {
		e, err := w.startEngine(fmt.Sprintf("i-%04x", 0xa000+i), fmt.Sprintf("zone-%d", i%2))
		if err != nil {
			return err
		}
		w.engines = append(w.engines, e)
	}
	if err := w.startApps(); err != nil {
		return err
	}
	return w.startGateways()
}

func (w *world) stop() {
	for _, g := range w.gateways {
		if g.process != nil {
			g.process.Kill()
		}
	}
	if w.folder != "" {
		_ = os.RemoveAll(w.folder)
	}
	if w.record != nil {
		_ = w.record.Close()
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) violate(format string, args ...any) {
	w.note("BROKEN: "+format, args...)
	w.mu.Lock()
	w.violations++
	w.mu.Unlock()
}

func (w *world) isCut() bool {
	w.cutMu.Lock()
	defer w.cutMu.Unlock()
	return w.cut
}

func (w *world) setCut(cut bool) {
	if !*troubleFlag {
		return
	}
	w.cutMu.Lock()
	w.cut = cut
	w.cutMu.Unlock()
	w.note("cut of g0 and g1 from the metadata store and the other gateways: %v", cut)
}

// put writes a key as the operator or a server does. The metadata store acknowledges it before put returns.
func (w *world) put(key, value string) {
	store := w.meta.Store()
	for {
		record, err := store.Get(testContext, key)
		if err != nil {
			record.ModRevision = 0
		}
		result, err := store.CompareAndSwap(testContext, metastore.Swap{Key: key, Value: []byte(value), Expect: record.ModRevision})
		if err == nil && result.Swapped {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// The tenants and their keys.
var tenants = []string{"alder", "birch", "cedar"}

func keyOf(tenant string) string { return "key-" + tenant }

// putConfiguration stores a configuration in which a tenant is isolated; none if the name is empty.
func (w *world) putConfiguration(version int64, isolated string) {
	services := []any{map[string]any{
		"name": "llm", "max_connections": 370, "health_path": "/health",
		"engine": map[string]any{"slots": engineSlots, "kv_capacity": engineTokens, "kv_token_bytes": tokenBytes, "models": []any{map[string]any{"name": model}}},
	}}
	for i, s := range w.stores {
		services = append(services, map[string]any{
			"name": fmt.Sprintf("keep-%d", i), "kv_store_addr": s.address, "zone": s.zone, "kv_capacity": storeTokens,
			"link_mbps": storeMbps, "max_in_flight": 12, "managed": true, "first_ms": 6.0,
		})
	}
	services = append(services, map[string]any{"name": "app", "max_connections": 110, "health_path": "/health"})
	var list []any
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t, "api_keys": []string{keyOf(t)}, "isolated": t == isolated})
	}
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "trace", "host": "h.example", "prefix": "/trace/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 1000,
			"priority": 1, "service": "llm", "max_attempts": 1, "public": false, "session_affinity": true, "resumable": false,
		}, map[string]any{
			"name": "watch", "host": "h.example", "prefix": "/watch/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 400, "target_gap_ms": 300,
			"priority": 0, "service": "app", "max_attempts": 2, "public": true, "resumable": true,
		}},
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  list,
	})
	w.put("op/config", string(text))
	if isolated != "" {
		w.mu.Lock()
		w.isolatedAt[isolated] = time.Now()
		w.mu.Unlock()
	}
	w.note("the store acknowledged configuration %d, isolated: %q", version, isolated)
}

// nameWeights names the next weight version.
func (w *world) nameWeights() {
	w.mu.Lock()
	w.named++
	version := w.named
	w.mu.Unlock()
	w.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":%d}`, model, version))
	w.note("the store acknowledged weight version %d", version)
}

// play runs the case and returns its exit code.
func (w *world) play() int {
	if !w.awaitReady(15 * time.Second) {
		w.note("the gateways are not ready")
		return exitNotRun
	}
	if *caseFlag == "order" {
		return w.playOrder()
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range w.gateways {
		callers.Go(func() { w.call(w.gateways[i], stop) })
	}
	time.Sleep(8 * time.Second)
	for round := range *roundsFlag {
		if round > 0 {
			time.Sleep(healTime)
		}
		w.playCut()
	}
	time.Sleep(healTime)
	close(stop)
	callers.Wait()
	w.mu.Lock()
	violations, answers := w.violations, fmt.Sprint(w.answers)
	w.mu.Unlock()
	w.note("answers by gateway and status: %s", answers)
	w.keepLogs()
	w.note("violations: %d", violations)
	fmt.Printf("violations: %d\n", violations)
	if violations > 0 {
		return exitBroken
	}
	return exitHeld
}

// keepLogs copies the gateways' logs to the folder of -cut.logs.
func (w *world) keepLogs() {
	if *logsFlag == "" {
		return
	}
	for _, g := range w.gateways {
		if text, err := os.ReadFile(g.process.LogFile); err == nil {
			_ = os.WriteFile(filepath.Join(*logsFlag, g.name+".log"), text, 0o600)
		}
	}
}

// healTime is the time after each cut, in which the gateways catch up.
const healTime = 4 * time.Second

// playCut plays one cut and what the operator does meanwhile.
func (w *world) playCut() {
	started := time.Now()
	w.setCut(true)
	switch *caseFlag {
	case "freed":
		time.Sleep(*namedFlag)
		w.nameWeights()
	case "isolated":
		time.Sleep(time.Second)
		w.putConfiguration(2, tenants[0])
	}
	time.Sleep(time.Until(started.Add(*lengthFlag)))
	w.setCut(false)
}

// gatewayProcess is one gateway. group is the side of the cut that it is on.
type gatewayProcess struct {
	name, listen, ready, control, beats string
	group                               int
	// beatsFor and controlFor are the addresses at which the gateways of each group reach it.
	beatsFor, controlFor [2]string
	process              *testbed.Process
}

func (w *world) startGateways() error {
	for i := range gatewayCount {
		g := &gatewayProcess{name: fmt.Sprint("g", i), group: min(i/cutCount, 1)}
		for _, field := range []*string{&g.listen, &g.ready, &g.control, &g.beats} {
			address, err := loopback.FreeAddress()
			if err != nil {
				return err
			}
			*field = address
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := w.startLinks(g); err != nil {
			return err
		}
	}
	for _, g := range w.gateways {
		metastoreAddress, err := w.startStoreLink(g)
		if err != nil {
			return err
		}
		metrics, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		// The fields of deploy/gateway.json.tmpl.
		settings, _ := json.Marshal(map[string]any{
			"instance": g.name, "failure_domain": fmt.Sprintf("zone-%d", g.group), "listen": g.listen, "ready": g.ready, "control": g.control,
			"beats": g.beats, "metrics": metrics, "metastore": metastoreAddress,
			"seeds": []string{w.gateways[0].controlFor[g.group], w.gateways[2].controlFor[g.group]}, "grace_ms": 8000, "lease_ms": 3000, "contact_ms": 3000,
			"memory_mb": 134, "retry_ratio": 0.2, "retry_slack": 58, "retry_window_ms": 10000, "cold_overage": 1, "cold_slack": 0,
			"weights_within_ms": weightsWithin,
		})
		file := filepath.Join(w.folder, g.name+".json")
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			return err
		}
		if g.process, err = testbed.StartProcess(w.folder, g.name, *gatewayFlag, "--settings", file); err != nil {
			return err
		}
	}
	return nil
}

// part is one part of a prompt.
type part struct {
	id     string
	tokens int
}

// prompt returns the parts of a prompt: one that many share, one of a subject, one of the request.
func prompt(rng *rand.Rand, number int) []part {
	subject := rng.IntN(300)
	base := subject % 3
	return []part{
		{fmt.Sprintf("ba%02x", base), 512}, {fmt.Sprintf("5b%04x", subject), 4000 + 30*subject}, {fmt.Sprintf("1a%06x", number), 300},
	}
}
