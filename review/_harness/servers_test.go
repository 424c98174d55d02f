package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// engine is a model replica. Its process ends and starts again by crash and startRun.
type engine struct {
	d           *deployment
	id, service string
	zone        string
	address     string

	mu       sync.Mutex
	software string
	born     int64
	weights  int64
	orders   int64
	server   *http.Server
	stop     chan struct{}
	// work, if set, makes it a plain server, which works so long on each request.
	work time.Duration
	// onRun is called for each request that a plain server begins to run; nil for none.
	onRun func(request string)
	// report, if set, answers requests for the report.
	report http.HandlerFunc

	// cache is the KV cache of what the engine has read; nil for none.
	cache *prefixCache

	// store, if set, is the store to which parts are saved, loadTime how long a load of weights takes.
	store    *cacheStore
	loadTime time.Duration
	loading  bool

	events int
	pause  time.Duration
	// prefill is held while a prompt is read, at tokensPerMS; 0 reads at once.
	prefill     sync.Mutex
	tokensPerMS int
}

func (d *deployment) newEngine(id, service, zone, software string) *engine {
	return &engine{d: d, id: id, service: service, zone: zone, address: d.freeAddress(), software: software, weights: 1}
}

// startRun starts the engine's process: it listens at once and then registers itself again and again.
func (e *engine) startRun(software string) {
	listener, err := net.Listen("tcp4", e.address)
	must(err)
	e.mu.Lock()
	e.software, e.born, e.orders = software, time.Now().UnixMilli(), 0
	e.stop = make(chan struct{})
	stop := e.stop
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	server := e.server
	e.mu.Unlock()
	e.d.record("server %s starts with software %s, born %d", e.id, software, e.born)
	go func() { _ = server.Serve(listener) }()
	go func() {
		for n := 1; ; n++ {
			if e.d.tryPut("servers/"+e.id, e.registration(n)) && n == 1 {
				e.d.record("server %s has registered software %s", e.id, software)
			} else if n == 1 {
				n = 0
			}
			wait := heartbeat
			if n == 0 {
				wait = 50 * time.Millisecond
			}
			select {
			case <-stop:
				return
			case <-time.After(wait):
			}
		}
	}()
}

// leave ends the engine's heartbeats.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stop)
}

// exit ends the process of an engine that has left.
func (e *engine) exit() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	e.d.record("server %s exits", e.id)
	_ = server.Close()
}

// crash ends the engine's process: its connections close and its address refuses new ones.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	close(e.stop)
	e.mu.Unlock()
	e.d.record("server %s crashes", e.id)
	_ = server.Close()
}

func (e *engine) registration(sequence int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.work > 0 {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":6,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
			e.service, e.address, e.zone, e.software, sequence, e.born)
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":64,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d,"stage":"both","models":[{"name":%q,"version":%d,"adapters":[]}]}`,
		e.service, e.address, e.zone, e.software, sequence, e.born, model, e.weights)
}

func (e *engine) serve(out http.ResponseWriter, in *http.Request) {
	switch in.URL.Path {
	case "/balsamyoke/report":
		if e.report != nil {
			e.report(out, in)
			return
		}
		e.serveReport(out)
	case "/balsamyoke/order":
		e.serveOrder(out, in)
	default:
		e.serveStream(out, in)
	}
}

func (e *engine) serveReport(out http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": model, "version": e.weights, "adapters": []any{}}}, "busy": e.loading,
		"sequence": e.orders, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 80000, "handles": 0, "born": e.born, "clock_ms": time.Now().UnixMilli(),
	})
}

func (e *engine) serveOrder(out http.ResponseWriter, in *http.Request) {
	var o struct {
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Expected *int64 `json:"expected"`
	}
	if json.NewDecoder(in.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.loading || o.Expected != nil && *o.Expected != e.orders:
		out.WriteHeader(http.StatusConflict)
		return
	case e.weights == o.Version:
		out.WriteHeader(http.StatusOK)
		return
	}
	e.orders, e.loading = e.orders+1, true
	e.d.record("server %s is ordered by %s to load weights %d", e.id, o.Holder, o.Version)
	time.AfterFunc(e.loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.weights, e.loading = o.Version, false
		e.d.record("server %s has weights %d", e.id, o.Version)
	})
	out.WriteHeader(http.StatusAccepted)
}

// serveStream writes the events of a stream, or those after the Last-Event-Id of the request. Each one names the server, its
// software and its run.
func (e *engine) serveStream(out http.ResponseWriter, in *http.Request) {
	e.mu.Lock()
	software, born, weights, loading := e.software, e.born, e.weights, e.loading
	e.mu.Unlock()
	id := in.Header.Get("Balsamyoke-Request-Id")
	out.Header().Set("Balsamyoke-Request-Id", id)
	if in.Header.Get("Balsamyoke-Expect-Instance") != e.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if v := in.Header.Get("Balsamyoke-Expect-Version"); v != "" && v != strconv.FormatInt(weights, 10) {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.work > 0 {
		e.servePlain(out, in, id)
		return
	}
	if loading {
		out.Header().Set("Balsamyoke-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	last, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	e.d.record("server %s (software %s) runs %s after event %d", e.id, software, id, last)
	out.Header().Set("Balsamyoke-Response-Stamp", "stamp-"+id)
	out.Header().Set("Balsamyoke-Weight-Versions", strconv.FormatInt(weights, 10))
	out.Header().Set("Content-Type", "text/event-stream")
	if e.cache != nil {
		e.cache.read(e, in)
	}
	if e.store != nil {
		e.savePromptParts(in)
	}
	if e.tokensPerMS > 0 {
		prompt, _, _ := strings.Cut(in.Header.Get("Balsamyoke-Token-Usage"), ",")
		tokens, _ := strconv.Atoi(prompt)
		e.prefill.Lock()
		time.Sleep(time.Duration(tokens/e.tokensPerMS) * time.Millisecond)
		e.prefill.Unlock()
	}
	for i := last + 1; i <= e.events; i++ {
		if _, err := io.WriteString(out, fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", i, software, e.id, born)); err != nil {
			return
		}
		if http.NewResponseController(out).Flush() != nil {
			return
		}
		select {
		case <-in.Context().Done():
			return
		case <-time.After(e.pause):
		}
	}
}

// servePlain answers a request to a plain service.
func (e *engine) servePlain(out http.ResponseWriter, in *http.Request, id string) {
	e.d.record("server %s runs %s", e.id, id)
	if e.onRun != nil {
		e.onRun(id)
	}
	select {
	case <-in.Context().Done():
		return
	case <-time.After(e.work/2 + rand.N(e.work)):
	}
	body := strings.Repeat("b", 800-len(id)) + id
	out.Header().Set("Balsamyoke-Response-Stamp", "stamp-"+id)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(out, body)
}

// savePromptParts saves the parts of a prompt that the request names a store for.
func (e *engine) savePromptParts(in *http.Request) {
	targets := strings.Split(in.Header.Get("Balsamyoke-Kv-Save"), ",")
	for i, entry := range strings.Split(in.Header.Get("Balsamyoke-Prompt-Prefix"), ",") {
		id, tokens, _ := strings.Cut(entry, ":")
		if n, _ := strconv.Atoi(tokens); i < len(targets) && targets[i] == e.store.address {
			e.store.save(in.Header.Get("Balsamyoke-Cache-Salt"), id, n)
		}
	}
}
