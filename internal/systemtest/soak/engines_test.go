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
	engineCount = 3
	storeCount  = 2
	// storeCapacityTokens holds the shared parts of little more than one weight version.
	storeCapacityTokens = 12_000
	// maxEvents is the number of its latest changes that a store keeps and reports.
	maxEvents = 40
	// weightsTimeout limits the time from the last fault until all engines have the target weights. It is the gateways'
	// default bound plus one load for each engine.
	weightsTimeout = 25 * time.Second
	// One prompt in queuedShare waits at its engine, for up to maxQueueTime.
	queuedShare  = 25
	maxQueueTime = 2500 * time.Millisecond
)

// partKey is the cache salt and the id of a part.
type partKey [2]string

// storedPart is a part in a store. weightVersion is the version with which it was computed, complete is set once
// it is saved completely.
type storedPart struct {
	tokens, readers int
	weightVersion   int64
	complete        bool
}

// cacheStore is a managed store of KV cache. It fails the test when a guarantee of the gateways is broken: a part must
// not be fetched before it is complete or for another weight version than its own, nor freed while it is read.
type cacheStore struct {
	w     *deployment
	proxy *proxy
	http  *http.Server

	mu         sync.Mutex
	epoch      int64
	parts      map[partKey]*storedPart
	usedTokens int
	events     []any
	nextToken  int64
}

func (w *deployment) startCacheStore() *cacheStore {
	s := &cacheStore{w: w, epoch: 1, parts: make(map[partKey]*storedPart)}
	s.http, s.proxy = w.serveBehindProxy(s.serve)
	return s
}

// serveBehindProxy starts an HTTP server with a handler and a proxy in front of it.
func (w *deployment) serveBehindProxy(handler http.HandlerFunc) (*http.Server, *proxy) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	w.c.Assert(err, qt.IsNil)
	p, err := startProxy(listener.Addr().String())
	w.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(&repeatingListener{Listener: listener}) }()
	w.c.Cleanup(func() {
		_ = server.Close()
		p.stop()
	})
	return server, p
}

func (s *cacheStore) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.parts, s.usedTokens, s.events = make(map[partKey]*storedPart), 0, nil
}

// save reserves capacity at once. The part is complete a little later unless the store has restarted by then.
func (s *cacheStore) save(key partKey, tokens int, weightVersion int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[key] != nil || s.usedTokens+tokens > storeCapacityTokens {
		return
	}
	part := &storedPart{tokens: tokens, weightVersion: weightVersion}
	s.parts[key], s.usedTokens = part, s.usedTokens+tokens
	time.AfterFunc(time.Duration(20+rand.IntN(150))*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.parts[key] == part {
			part.complete = true
			s.recordEvent("+", key, tokens)
		}
	})
}

// recordEvent records a change. It drops a few at random, to simulate lost events.
func (s *cacheStore) recordEvent(sign string, key partKey, tokens int) {
	s.nextToken++
	if rand.IntN(50) == 0 {
		return
	}
	s.events = append(s.events, []any{s.nextToken, sign, key[0], key[1], tokens, "m"})
	if len(s.events) > maxEvents {
		s.events = s.events[1:]
	}
}

// fetch simulates that an engine reads a part. The read lasts until deadline at most.
func (s *cacheStore) fetch(key partKey, weightVersion int64, deadline time.Time) {
	s.mu.Lock()
	part := s.parts[key]
	if part == nil || time.Now().After(deadline) {
		s.mu.Unlock()
		return
	}
	if !part.complete {
		s.w.c.Errorf("part %v is fetched before it is complete", key)
	}
	if part.weightVersion != weightVersion {
		s.w.c.Errorf("part %v of weight version %d is fetched for version %d", key, part.weightVersion, weightVersion)
	}
	part.readers++
	s.mu.Unlock()
	time.Sleep(min(time.Duration(5+rand.IntN(250))*time.Millisecond, time.Until(deadline)))
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
		if s.nextToken > since || time.Now().After(end) {
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
	lost := since > s.nextToken || s.nextToken-since > maxEvents
	_ = json.NewEncoder(out).Encode(map[string]any{
		"epoch": s.epoch, "next_token": s.nextToken, "lost": lost, "events": events, "clock_ms": time.Now().UnixMilli(),
	})
}

func (s *cacheStore) serveList(out http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := []any{}
	for key, part := range s.parts {
		if part.complete {
			held = append(held, []any{key[0], key[1], part.tokens, "m"})
		}
	}
	_ = json.NewEncoder(out).Encode(map[string]any{"epoch": s.epoch, "next_token": s.nextToken, "held": held})
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
		s.usedTokens -= part.tokens
		delete(s.parts, key)
		s.recordEvent("-", key, 0)
	}
}

// engine is a model engine that accepts orders to change its weights.
type engine struct {
	*server
	w             *deployment
	mu            sync.Mutex
	weightVersion int64
	busy          bool
	running       int
	orderCount    int64
	highestFence  int64
	// refusesOrders keeps the engine on its weights.
	refusesOrders bool
}

func (w *deployment) startEngine(software string, weightVersion int64) *engine {
	e := &engine{w: w, weightVersion: weightVersion, server: w.newServer("e", w.engineNumber.Add(1)-1, "llm")}
	e.registration = func(state string) string {
		e.mu.Lock()
		defer e.mu.Unlock()
		run := e.run.Load()
		return fmt.Sprintf(`{"service":"llm","address":%q,"zone":%q,"version":%q,"slots":16,"state":%q,"born":%d,"models":[{"name":"m","version":%d}]%s}`,
			e.proxy.address(), e.domain, run.software, state, run.startedMS, e.weightVersion, e.cold.registered())
	}
	e.reset = func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.orderCount, e.highestFence, e.busy = 0, 0, false
	}
	e.http, e.proxy = w.serveBehindProxy(e.serve)
	w.enter(e.server, software)
	return e
}

// restart resets the orders and the highest fencing token, and ends a load. The weights stay.
func (e *engine) restart() {
	if e.proxy.isRefusing() {
		return
	}
	e.w.startRun(e.server, e.run.Load().software)
	e.w.register(e.server, stateReady)
}

func (e *engine) serve(out http.ResponseWriter, in *http.Request) {
	switch in.URL.Path {
	case "/balsamyoke/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(out).Encode(map[string]any{
			"models": []any{map[string]any{"name": "m", "version": e.weightVersion}}, "busy": e.busy, "sequence": e.orderCount,
			"running": e.running, "kv_total": 20000, "born": e.run.Load().startedMS, "clock_ms": time.Now().UnixMilli(),
		})
	case "/balsamyoke/order":
		e.serveOrder(out, in)
	default:
		e.servePrompt(out, in)
	}
}

func (e *engine) serveOrder(out http.ResponseWriter, in *http.Request) {
	var o struct {
		Version  int64  `json:"version"`
		Fence    int64  `json:"fencing_token"`
		Holder   string `json:"holder"`
		Expected *int64 `json:"expected"`
	}
	if json.NewDecoder(in.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 || o.Version > e.w.targetWeights.Load() {
		e.w.c.Errorf("engine %s received an invalid order: %+v", e.id, o)
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case in.Header.Get("Balsamyoke-Expect-Instance") != e.id:
		out.WriteHeader(http.StatusMisdirectedRequest)
	case o.Fence < e.highestFence:
		out.WriteHeader(http.StatusPreconditionFailed)
	case e.busy || e.refusesOrders || o.Expected != nil && *o.Expected != e.orderCount:
		out.WriteHeader(http.StatusConflict)
	case o.Version <= e.weightVersion:
		e.highestFence = o.Fence
		out.WriteHeader(http.StatusOK)
	default:
		e.highestFence, e.busy = o.Fence, true
		e.orderCount++
		go e.load(o.Version, e.run.Load())
		out.WriteHeader(http.StatusAccepted)
	}
}

// load waits until all runs have ended, then loads the weight version, unless the engine has restarted by then.
func (e *engine) load(weightVersion int64, run *serverRun) {
	for {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
	e.mu.Lock()
	restarted := e.run.Load() != run
	if !restarted {
		e.weightVersion, e.busy = weightVersion, false
	}
	e.mu.Unlock()
	if !restarted {
		e.w.registerAgain(e.server)
	}
}

// admit counts a prompt as running, or refuses it with a reply that it has not run.
func (e *engine) admit(out http.ResponseWriter, in *http.Request) (weightVersion int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := in.Header.Get("Balsamyoke-Expect-Version")
	if in.Header.Get("Balsamyoke-Expect-Instance") != e.id || expected != "" && expected != fmt.Sprint(e.weightVersion) {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return 0, false
	}
	e.w.recordArrival(e.server, out, in)
	if e.busy {
		out.Header().Set("Balsamyoke-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return 0, false
	}
	e.running++
	e.w.weights.recordStart(in.Header.Get("Balsamyoke-Request-Id"), e.id, e.weightVersion)
	return e.weightVersion, true
}

// servePrompt fetches and saves the parts of a prompt as the request's headers specify, then streams the response.
func (e *engine) servePrompt(out http.ResponseWriter, in *http.Request) {
	out.Header().Set("Balsamyoke-Request-Id", in.Header.Get("Balsamyoke-Request-Id"))
	e.limit.record(out)
	e.cold.record(out)
	weightVersion, ok := e.admit(out, in)
	if !ok {
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if rand.IntN(queuedShare) == 0 {
		select {
		case <-in.Context().Done():
			return
		case <-time.After(rand.N(maxQueueTime)):
		}
	}
	salt := in.Header.Get("Balsamyoke-Cache-Salt")
	deadlineMS, _ := strconv.ParseInt(in.Header.Get("Balsamyoke-Kv-Until"), 10, 64)
	fetch, save := strings.Split(in.Header.Get("Balsamyoke-Kv-Fetch"), ","), strings.Split(in.Header.Get("Balsamyoke-Kv-Save"), ",")
	for i, part := range strings.Split(in.Header.Get("Balsamyoke-Prompt-Prefix"), ",") {
		id, size, _ := strings.Cut(part, ":")
		tokens, _ := strconv.Atoi(size)
		if i < len(fetch) {
			if s := e.w.storeAt(fetch[i]); s != nil {
				s.fetch(partKey{salt, id}, weightVersion, time.UnixMilli(deadlineMS))
				e.w.fetchedParts.Add(1)
				continue
			}
		}
		if i < len(save) {
			if s := e.w.storeAt(save[i]); s != nil {
				s.save(partKey{salt, id}, tokens, weightVersion)
			}
		}
	}
	out.Header().Set("Balsamyoke-Weight-Versions", fmt.Sprint(weightVersion))
	e.w.serveStream(e.server, out, in)
}

func (w *deployment) storeAt(address string) *cacheStore {
	i := slices.IndexFunc(w.cacheStores, func(s *cacheStore) bool { return s.proxy.address() == address })
	if i < 0 {
		return nil
	}
	return w.cacheStores[i]
}

// setTargetWeights sets the next weight version as the target version.
func (w *deployment) setTargetWeights() {
	configMutex.Lock()
	defer configMutex.Unlock()
	version := w.targetWeights.Add(1)
	w.putTargetWeights(version)
	w.weights.recordTarget(version)
}

func (w *deployment) putTargetWeights(version int64) {
	w.put("op/version/m", fmt.Sprintf(`{"model":"m","version":%d}`, version))
}

// awaitWeights waits until each engine has the target weight version.
func (w *deployment) awaitWeights() {
	deadline := time.Now().Add(weightsTimeout)
	for _, e := range w.currentEngines() {
		for {
			e.mu.Lock()
			weightVersion := e.weightVersion
			e.mu.Unlock()
			if weightVersion == w.targetWeights.Load() {
				break
			}
			if time.Now().After(deadline) {
				w.c.Fatalf("engine %s has weight version %d, not %d", e.id, weightVersion, w.targetWeights.Load())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// promptHeaders returns the headers of a prompt whose first parts are shared with other prompts.
func promptHeaders(rng *rand.Rand, id string) string {
	return fmt.Sprintf("Balsamyoke-Model: m\r\nBalsamyoke-Token-Usage: 2400,20\r\nBalsamyoke-Prompt-Prefix: base:300,p%d:2000,%s:100\r\n", rng.IntN(8), id)
}
