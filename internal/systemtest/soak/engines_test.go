package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	engines = 3
	stores  = 2
	// storeTokens is room for the shared parts of little more than one weight version.
	storeTokens = 12_000
	// eventsKept is how many of its latest changes a store tells.
	eventsKept = 40
	// weightsWithin is when all engines must have the newest weights after the last fault: the gateways' default
	// bound and a load for each engine.
	weightsWithin = 25 * time.Second
)

// partKey is the salt and the id of a part.
type partKey [2]string

// storedPart is a part in a store; weights is the version that it was made under.
type storedPart struct {
	tokens, readers int
	weights         int64
	whole           bool
}

// cacheStore is a managed store of KV cache. It reports every use that the product promises not to make: of
// parts that aren't whole, of parts made under other weights, and that parts are freed while they are read.
type cacheStore struct {
	w     *world
	proxy *proxy
	http  *http.Server

	mu     sync.Mutex
	epoch  int64
	parts  map[partKey]*storedPart
	used   int
	events []any
	next   int64
}

func (w *world) startStore() *cacheStore {
	s := &cacheStore{w: w, epoch: 1, parts: make(map[partKey]*storedPart)}
	s.http, s.proxy = w.listen(s.serve)
	return s
}

// listen serves a handler behind a proxy.
func (w *world) listen(handler http.HandlerFunc) (*http.Server, *proxy) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	w.c.Assert(err, qt.IsNil)
	p, err := startProxy(listener.Addr().String())
	w.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return server, p
}

func (s *cacheStore) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.parts, s.used, s.events = make(map[partKey]*storedPart), 0, nil
}

// save reserves room at once and has the part whole a little later, unless the store restarts meanwhile.
func (s *cacheStore) save(key partKey, tokens int, weights int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[key] != nil || s.used+tokens > storeTokens {
		return
	}
	part := &storedPart{tokens: tokens, weights: weights}
	s.parts[key], s.used = part, s.used+tokens
	time.AfterFunc(time.Duration(20+rand.IntN(150))*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.parts[key] == part {
			part.whole = true
			s.tell("+", key, tokens)
		}
	})
}

// tell notes a change; a few are never told.
func (s *cacheStore) tell(sign string, key partKey, tokens int) {
	s.next++
	if rand.IntN(50) == 0 {
		return
	}
	s.events = append(s.events, []any{s.next, sign, key[0], key[1], tokens, "m"})
	if len(s.events) > eventsKept {
		s.events = s.events[1:]
	}
}

// fetch reads a part for an engine.
func (s *cacheStore) fetch(key partKey, weights int64, until time.Time) {
	s.mu.Lock()
	part := s.parts[key]
	if part == nil || time.Now().After(until) {
		s.mu.Unlock()
		return
	}
	if !part.whole {
		s.w.c.Errorf("part %v is fetched before it is whole", key)
	}
	if part.weights != weights {
		s.w.c.Errorf("part %v of weights %d is fetched for weights %d", key, part.weights, weights)
	}
	part.readers++
	s.mu.Unlock()
	time.Sleep(min(time.Duration(5+rand.IntN(250))*time.Millisecond, time.Until(until)))
	s.mu.Lock()
	part.readers--
	s.mu.Unlock()
}

func (s *cacheStore) serve(out http.ResponseWriter, in *http.Request) {
	switch in.URL.Path {
	case "/balsamyoke/kv-events":
		s.serveEvents(out, in)
	case "/balsamyoke/kv-list":
		s.serveList(out)
	case "/balsamyoke/kv-free":
		s.serveFree(out, in)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (s *cacheStore) serveEvents(out http.ResponseWriter, in *http.Request) {
	since, _ := strconv.ParseInt(in.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(in.Header.Get("Wait-Ms"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		if s.next > since || time.Now().After(end) {
			break
		}
		s.mu.Unlock()
	}
	defer s.mu.Unlock()
	events := []any{}
	for _, e := range s.events {
		if e.([]any)[0].(int64) > since {
			events = append(events, e)
		}
	}
	lost := since > s.next || s.next-since > eventsKept
	_ = json.NewEncoder(out).Encode(map[string]any{
		"epoch": s.epoch, "next_token": s.next, "lost": lost, "events": events, "clock_ms": time.Now().UnixMilli(),
	})
}

func (s *cacheStore) serveList(out http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := []any{}
	for key, part := range s.parts {
		if part.whole {
			held = append(held, []any{key[0], key[1], part.tokens, "m"})
		}
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"epoch": s.epoch, "next_token": s.next, "held": held})
}

func (s *cacheStore) serveFree(out http.ResponseWriter, in *http.Request) {
	var call struct {
		Parts []partKey `json:"parts"`
		Epoch int64     `json:"epoch"`
	}
	if json.NewDecoder(in.Body).Decode(&call) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Epoch != s.epoch {
		out.WriteHeader(http.StatusConflict)
		return
	}
	for _, key := range call.Parts {
		part := s.parts[key]
		if part == nil {
			continue
		}
		if part.readers > 0 {
			s.w.c.Errorf("part %v is freed while it is read", key)
		}
		s.used -= part.tokens
		delete(s.parts, key)
		s.tell("-", key, 0)
	}
}

// engine is a model engine that takes orders to change its weights.
type engine struct {
	*server
	w       *world
	mu      sync.Mutex
	weights int64
	busy    bool
	running int
	orders  int64
	fence   int64
	born    int64
}

func (w *world) startEngine(i int) *engine {
	e := &engine{w: w, weights: 1, born: time.Now().UnixMilli(), server: &server{id: fmt.Sprint("e", i)}}
	e.http, e.proxy = w.listen(e.serve)
	e.register()
	return e
}

func (e *engine) register() {
	e.mu.Lock()
	text := fmt.Sprintf(`{"service":"llm","address":%q,"zone":"d0","slots":16,"state":"ready","born":%d,"models":[{"name":"m","version":%d}]}`,
		e.proxy.address(), e.born, e.weights)
	e.mu.Unlock()
	e.w.put("servers/"+e.id, text)
}

// restart forgets the orders; the weights stay.
func (e *engine) restart() {
	e.mu.Lock()
	e.orders, e.fence, e.born = 0, 0, time.Now().UnixMilli()
	e.mu.Unlock()
	e.register()
}

func (e *engine) serve(out http.ResponseWriter, in *http.Request) {
	switch in.URL.Path {
	case "/balsamyoke/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(out).Encode(map[string]any{
			"models": []any{map[string]any{"name": "m", "version": e.weights}}, "busy": e.busy, "sequence": e.orders,
			"running": e.running, "kv_total": 20000, "born": e.born, "clock_ms": time.Now().UnixMilli(),
		})
	case "/balsamyoke/order":
		e.order(out, in)
	default:
		e.prompt(out, in)
	}
}

func (e *engine) order(out http.ResponseWriter, in *http.Request) {
	var o struct {
		Version  int64  `json:"version"`
		Fence    int64  `json:"fencing_token"`
		Holder   string `json:"holder"`
		Expected *int64 `json:"expected"`
	}
	if json.NewDecoder(in.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 || o.Version > e.w.weights.Load() {
		e.w.c.Errorf("engine %s gets an order that can't be carried out: %+v", e.id, o)
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case in.Header.Get("Balsamyoke-Expect-Instance") != e.id:
		out.WriteHeader(http.StatusMisdirectedRequest)
	case o.Fence < e.fence:
		out.WriteHeader(http.StatusPreconditionFailed)
	case e.busy || o.Expected != nil && *o.Expected != e.orders:
		out.WriteHeader(http.StatusConflict)
	case o.Version <= e.weights:
		e.fence = o.Fence
		out.WriteHeader(http.StatusOK)
	default:
		e.fence, e.busy = o.Fence, true
		e.orders++
		go e.load(o.Version)
		out.WriteHeader(http.StatusAccepted)
	}
}

// load ends the runs, then takes the weights.
func (e *engine) load(weights int64) {
	for {
		e.mu.Lock()
		empty := e.running == 0
		e.mu.Unlock()
		if empty {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
	e.mu.Lock()
	e.weights, e.busy = weights, false
	e.mu.Unlock()
	e.register()
}

// begin admits a prompt, or answers that it has not run.
func (e *engine) begin(out http.ResponseWriter, in *http.Request) (weights int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := in.Header.Get("Balsamyoke-Expect-Version")
	if in.Header.Get("Balsamyoke-Expect-Instance") != e.id || expected != "" && expected != fmt.Sprint(e.weights) {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return 0, false
	}
	if e.busy {
		out.Header().Set("Balsamyoke-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return 0, false
	}
	e.running++
	return e.weights, true
}

// prompt fetches and saves the parts of a prompt as it is told, and answers.
func (e *engine) prompt(out http.ResponseWriter, in *http.Request) {
	out.Header().Set("Balsamyoke-Request-Id", in.Header.Get("Balsamyoke-Request-Id"))
	weights, ok := e.begin(out, in)
	if !ok {
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	salt := in.Header.Get("Balsamyoke-Cache-Salt")
	until, _ := strconv.ParseInt(in.Header.Get("Balsamyoke-Kv-Until"), 10, 64)
	fetch, save := strings.Split(in.Header.Get("Balsamyoke-Kv-Fetch"), ","), strings.Split(in.Header.Get("Balsamyoke-Kv-Save"), ",")
	for i, part := range strings.Split(in.Header.Get("Balsamyoke-Prompt-Prefix"), ",") {
		id, size, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(size)
		if i < len(fetch) {
			if s := e.w.storeAt(fetch[i]); s != nil {
				s.fetch(partKey{salt, id}, weights, time.UnixMilli(until))
				e.w.fetched.Add(1)
				continue
			}
		}
		if i < len(save) {
			if s := e.w.storeAt(save[i]); s != nil {
				s.save(partKey{salt, id}, tokens, weights)
			}
		}
	}
	out.Header().Set("Balsamyoke-Weight-Versions", fmt.Sprint(weights))
	e.w.stream(out, in)
}

func (w *world) storeAt(address string) *cacheStore {
	i := slices.IndexFunc(w.caches, func(s *cacheStore) bool { return s.proxy.address() == address })
	if i < 0 {
		return nil
	}
	return w.caches[i]
}

// nameWeights names newer weights.
func (w *world) nameWeights() {
	configuring.Lock()
	defer configuring.Unlock()
	version := w.weights.Add(1)
	w.put("op/version/m", fmt.Sprintf(`{"model":"m","version":%d}`, version))
}

// awaitWeights waits until each engine has the newest weights.
func (w *world) awaitWeights() {
	deadline := time.Now().Add(weightsWithin)
	for _, e := range w.engines {
		for {
			e.mu.Lock()
			weights := e.weights
			e.mu.Unlock()
			if weights == w.weights.Load() {
				break
			}
			if time.Now().After(deadline) {
				w.c.Fatalf("engine %s has weights %d, not %d", e.id, weights, w.weights.Load())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// promptHeaders are those of a prompt that shares its first parts with others.
func promptHeaders(rng *rand.Rand, id string) string {
	return fmt.Sprintf("Balsamyoke-Model: m\r\nBalsamyoke-Token-Usage: 2400,20\r\nBalsamyoke-Prompt-Prefix: base:300,p%d:2000,%s:100\r\n", rng.IntN(8), id)
}
