package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["free"] = playFree }

const (
	freeGateways = 3
	freeEngines  = 18
	// loadTime is how long an engine takes to load weights.
	loadTime = 760 * time.Millisecond
	// versionTime is version_ms. The rule judges the engines after 1.5 times that; judgedAfter is longer.
	versionTime = 10 * time.Second
	judgedAfter = 22 * time.Second
	// newestWeights is the weight version that the operator names last, betweenNamings the time between two of them.
	newestWeights  = 3
	betweenNamings = 4 * time.Second
)

// cacheStore is a managed store of KV cache.
type cacheStore struct {
	d       *deployment
	address string
	epoch   int64
	server  *http.Server

	mu      sync.Mutex
	parts   map[[2]string]int
	events  [][]any
	changed chan struct{}
	// endless is set while the store answers with bytes without end.
	endless atomic.Bool
	// fast is set if it sends these at the speed of a link.
	fast bool
}

func (d *deployment) startCacheStore() *cacheStore {
	s := &cacheStore{d: d, address: d.freeAddress(), epoch: time.Now().UnixMilli(), parts: make(map[[2]string]int), changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", s.address)
	must(err)
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// change records an event; s.mu is held.
func (s *cacheStore) change(sign string, key [2]string, tokens int) {
	s.events = append(s.events, []any{len(s.events) + 1, sign, key[0], key[1], tokens, model})
	close(s.changed)
	s.changed = make(chan struct{})
}

// save stores a part completely.
func (s *cacheStore) save(salt, id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]string{salt, id}
	if _, ok := s.parts[key]; ok {
		return
	}
	s.parts[key] = tokens
	s.change("+", key, tokens)
}

func (s *cacheStore) serve(out http.ResponseWriter, in *http.Request) {
	switch {
	case s.endless.Load() && s.fast:
		s.serveFast(out, in)
		return
	case s.endless.Load():
		s.serveEndless(out, in)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	reply := map[string]any{"epoch": s.epoch, "clock_ms": time.Now().UnixMilli()}
	switch in.URL.Path {
	case "/balsamyoke/kv-events":
		since, _ := strconv.Atoi(in.URL.Query().Get("since"))
		wait, _ := strconv.Atoi(in.Header.Get("Wait-Ms"))
		s.mu.Lock()
		changed, have := s.changed, len(s.events)
		s.mu.Unlock()
		if have <= since {
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-in.Context().Done():
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		since = min(since, len(s.events))
		reply["next_token"], reply["lost"], reply["events"] = len(s.events), false, append([][]any{}, s.events[since:]...)
	case "/balsamyoke/kv-list":
		s.mu.Lock()
		defer s.mu.Unlock()
		held := [][]any{}
		for key, tokens := range s.parts {
			held = append(held, []any{key[0], key[1], tokens, model})
		}
		reply["next_token"], reply["held"] = len(s.events), held
	case "/balsamyoke/kv-free":
		var call struct {
			Parts [][2]string `json:"parts"`
			Epoch int64       `json:"epoch"`
		}
		if json.NewDecoder(in.Body).Decode(&call) != nil || call.Epoch != s.epoch {
			out.WriteHeader(http.StatusConflict)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, key := range call.Parts {
			if tokens, ok := s.parts[key]; ok {
				delete(s.parts, key)
				s.change("-", key, tokens)
			}
		}
		s.d.record("store frees %d parts", len(call.Parts))
	default:
		out.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(out).Encode(reply)
}

// serveEndless answers with bytes that are no answer, until the caller closes.
func (s *cacheStore) serveEndless(out http.ResponseWriter, in *http.Request) {
	started := time.Now()
	s.d.record("store begins to answer %s of %s without end", in.URL.Path, in.RemoteAddr)
	sent := 0
	for {
		n, err := io.WriteString(out, strings.Repeat("x", 1<<10))
		if err == nil {
			err = http.NewResponseController(out).Flush()
		}
		if sent += n; err != nil {
			break
		}
		select {
		case <-in.Context().Done():
		case <-time.After(20 * time.Millisecond):
		}
		if in.Context().Err() != nil {
			break
		}
	}
	s.d.record("store sent %d bytes in %d ms to %s until it closed", sent, time.Since(started).Milliseconds(), in.RemoteAddr)
}

// playFree lets the operator name new weights while the store of KV cache answers without end.
func playFree(d *deployment, trouble bool) bool {
	store := d.startCacheStore()
	defer store.server.Close()
	d.put("op/config", fmt.Sprintf(`{"version":1,"routes":[{"name":"flue-fit","host":%q,"prefix":"/fit/","kind":"streaming","timeout_ms":3000,"target_latency_ms":400,"target_gap_ms":300,"priority":0,"service":"drafters","max_attempts":2,"public":true,"resumable":true,"session_affinity":true}],
		"services":[{"name":"drafters","max_connections":370,"engine":{"slots":64,"kv_capacity":80011,"kv_token_bytes":18432,"models":[{"name":%q}]}},
		{"name":"prompt-keep-a","max_connections":100,"max_in_flight":12,"kv_store_addr":%q,"zone":"zone-0","kv_capacity":214532,"link_mbps":81000,"managed":true,"first_ms":0.5}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":10000},"tenants":[]}`, host, model, store.address))
	d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var engines []*engine
	for i := range freeEngines {
		e := d.newEngine(fmt.Sprintf("e%02d", i), "drafters", "zone-0", "v1")
		e.events, e.pause, e.loadTime, e.store = 4, 30*time.Millisecond, loadTime, store
		e.startRun("v1")
		engines = append(engines, e)
	}
	d.startGateways(freeGateways)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var named time.Time
	var served, servedLate, refusedLate int
	for _, g := range d.gateways {
		clients.Go(func() {
			ticker := time.NewTicker(50 * time.Millisecond)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				clients.Go(func() {
					id := d.newID()
					headers := fmt.Sprintf("Balsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: 3000\r\nBalsamyoke-Model: %s\r\nBalsamyoke-Token-Usage: 2368,4\r\nBalsamyoke-Prompt-Prefix: 5c1e%02d:1861,%s:507\r\n", id, model, n%40, id)
					a := send(g.address, http.MethodPost, "/fit/x", headers, "prompt", 4*time.Second, nil)
					mu.Lock()
					defer mu.Unlock()
					ok := a.complete && a.status == http.StatusOK
					late := !named.IsZero() && time.Since(named) > versionTime
					switch {
					case ok && late:
						servedLate++
					case ok:
						served++
					case late:
						refusedLate++
						d.record("client got for %s of %s: status %d, error %v", id, g.name, a.status, a.err)
					}
				})
			}
		})
	}
	time.Sleep(8 * time.Second)
	store.endless.Store(trouble)
	d.record("store answers without end: %v", trouble)
	for version := 2; version <= newestWeights; version++ {
		d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":%d}`, model, version))
		mu.Lock()
		named = time.Now()
		mu.Unlock()
		d.record("operator names weights %d, acknowledged by the store", version)
		if version < newestWeights {
			time.Sleep(betweenNamings)
		}
	}
	time.Sleep(judgedAfter)
	close(stop)
	clients.Wait()
	older := 0
	for _, e := range engines {
		e.mu.Lock()
		if e.weights < newestWeights {
			older++
		}
		e.mu.Unlock()
		e.crash()
	}
	d.record("%d prompts served; from %s after the naming %d served, %d refused or failed; %d of %d engines have the older weights %s after it",
		served, versionTime, servedLate, refusedLate, older, len(engines), judgedAfter)
	if served < 100 {
		panic(cannotRun{fmt.Errorf("only %d prompts were served", served)})
	}
	return older > 1 && older*10 > len(engines)
}
