package cut

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/loopback"
)

// partKey is the salt and the id of a part.
type partKey [2]string

// kept is a part of KV cache at an engine or a store. maker is the tenant whose request made it.
type kept struct {
	tokens   int
	maker    string
	complete bool
	freedAt  time.Time
	usedAt   time.Time
}

// cacheStore is a managed store of KV cache.
type cacheStore struct {
	w             *world
	address, zone string

	mu     sync.Mutex
	parts  map[partKey]*kept
	used   int
	events []any
	next   int64
	// fetches is the number of fetches in progress, which share the store's link.
	fetches int
}

// maxStoreEvents is the number of its latest events that a store keeps.
const maxStoreEvents = 3000

func (w *world) listen(handler http.HandlerFunc) (string, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return address, nil
}

func (w *world) startStore(zone string) (s *cacheStore, err error) {
	s = &cacheStore{w: w, zone: zone, parts: make(map[partKey]*kept)}
	s.address, err = w.listen(s.serve)
	return s, err
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

func reply(out http.ResponseWriter, status int, value any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(value)
}

const storeEpoch = 77120

func (s *cacheStore) serveEvents(out http.ResponseWriter, in *http.Request) {
	since, _ := strconv.ParseInt(in.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(in.Header.Get("Wait-Ms"))
	for end := time.Now().Add(time.Duration(min(wait, 1000)) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		if s.next > since || !time.Now().Before(end) {
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
	lost := since > s.next || s.next-since > int64(len(events))
	reply(out, http.StatusOK, map[string]any{"epoch": storeEpoch, "next_token": s.next, "lost": lost, "events": events, "clock_ms": time.Now().UnixMilli()})
}

func (s *cacheStore) serveList(out http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := []any{}
	for key, p := range s.parts {
		if p.complete {
			held = append(held, []any{key[0], key[1], p.tokens, model})
		}
	}
	reply(out, http.StatusOK, map[string]any{"epoch": storeEpoch, "next_token": s.next, "held": held})
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
	if call.Epoch != 0 && call.Epoch != storeEpoch {
		out.WriteHeader(http.StatusConflict)
		return
	}
	s.mu.Lock()
	freed := 0
	for _, key := range call.Parts {
		if p := s.parts[key]; p != nil {
			p.freedAt = time.Now()
			s.used -= p.tokens
			delete(s.parts, key)
			s.event("-", key, 0)
			freed++
		}
	}
	s.mu.Unlock()
	s.w.note("store %s freed %d parts", s.address, freed)
	reply(out, http.StatusOK, map[string]any{})
}

// event records a change. The caller holds the mutex.
func (s *cacheStore) event(sign string, key partKey, tokens int) {
	s.next++
	s.events = append(s.events, []any{s.next, sign, key[0], key[1], tokens, model})
	if len(s.events) > maxStoreEvents {
		s.events = s.events[1:]
	}
}

func transferTime(tokens int, crossZone bool) time.Duration {
	d := time.Duration(float64(tokens) * tokenBytes * 8 / (storeMbps * 1e6) * float64(time.Second))
	if crossZone {
		d *= 2
	}
	return storeFirst + d
}

// save reserves the space at once, or is lost. The part is complete after its transfer.
func (s *cacheStore) save(key partKey, tokens int, maker, zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[key] != nil || s.used+tokens > storeTokens {
		return
	}
	p := &kept{tokens: tokens, maker: maker}
	s.parts[key] = p
	s.used += tokens
	time.AfterFunc(transferTime(tokens, zone != s.zone), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.parts[key] == p {
			p.complete = true
			s.event("+", key, tokens)
		}
	})
}

// fetchResult is what an engine got from a store.
type fetchResult struct {
	part  *kept
	freed bool
}

// fetch reads a part. It returns no part for a miss and for a fetch that hasn't ended by until, which is discarded.
func (s *cacheStore) fetch(key partKey, zone string, until time.Time) (r fetchResult) {
	s.mu.Lock()
	p := s.parts[key]
	s.mu.Unlock()
	if p == nil {
		time.Sleep(time.Millisecond)
		return r
	}
	if !p.complete {
		s.w.violate("part %v is fetched from %s before it is complete", key, s.address)
	}
	s.mu.Lock()
	s.fetches++
	end := time.Now().Add(time.Duration(s.fetches) * transferTime(p.tokens, zone != s.zone))
	s.mu.Unlock()
	time.Sleep(min(time.Until(end), time.Until(until)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetches--
	if end.After(until) {
		return r
	}
	return fetchResult{part: p, freed: !p.freedAt.IsZero()}
}

// engine is a model engine with a cache of its own.
type engine struct {
	w                 *world
	id, zone, address string
	born              int64

	mu       sync.Mutex
	version  int64
	busy     bool
	running  int
	sequence int64
	fence    int64
	cache    map[partKey]*kept
	cached   int
	link     sync.Mutex
}

func (w *world) startEngine(id, zone string) (e *engine, err error) {
	e = &engine{w: w, id: id, zone: zone, version: 1, born: time.Now().UnixMilli(), cache: make(map[partKey]*kept)}
	if e.address, err = w.listen(e.serve); err != nil {
		return nil, err
	}
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			e.register()
		}
	}()
	return e, nil
}

func (e *engine) register() {
	e.mu.Lock()
	text, _ := json.Marshal(map[string]any{
		"service": "llm", "address": e.address, "zone": e.zone, "version": "a1", "slots": engineSlots, "state": "ready", "cold_remaining_ms": 0,
		"sequence": time.Now().UnixMilli(), "born": e.born, "stage": "both", "models": []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}},
	})
	e.mu.Unlock()
	e.w.put("servers/"+e.id, string(text))
}

func (e *engine) serve(out http.ResponseWriter, in *http.Request) {
	switch in.URL.Path {
	case "/balsamyoke/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		reply(out, http.StatusOK, map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": model, "version": e.version, "adapters": []any{}}}, "busy": e.busy, "sequence": e.sequence,
			"queued": 0, "running": e.running, "kv_used": 0, "kv_total": engineTokens, "handles": 0, "born": e.born, "clock_ms": time.Now().UnixMilli(),
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
	if json.NewDecoder(in.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	expected := in.Header.Get("Balsamyoke-Expect-Instance")
	switch {
	case expected != "" && expected != e.id:
		status = http.StatusMisdirectedRequest
	case o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		status = http.StatusConflict
	case o.Version <= e.version:
		e.fence, status = o.Fence, http.StatusOK
	default:
		e.fence, e.busy = o.Fence, true
		e.sequence++
		go e.load(o.Version)
	}
	e.w.note("engine %s: order of %s, fence %d, version %d: %d", e.id, o.Holder, o.Fence, o.Version, status)
	reply(out, status, map[string]any{})
}

// load waits until the runs have ended and loads the weights, which discards the cache.
func (e *engine) load(version int64) {
	for {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	e.version, e.busy = version, false
	e.cache, e.cached = make(map[partKey]*kept), 0
	e.mu.Unlock()
	e.register()
}

// keep adds a part to the engine's cache and evicts the least recently used ones. The caller holds the mutex.
func (e *engine) keep(key partKey, tokens int, maker string) {
	if p := e.cache[key]; p != nil {
		p.usedAt = time.Now()
		return
	}
	e.cache[key] = &kept{tokens: tokens, maker: maker, complete: true, usedAt: time.Now()}
	e.cached += tokens
	for e.cached > engineTokens {
		var oldest partKey
		for k, p := range e.cache {
			if e.cache[oldest] == nil || p.usedAt.Before(e.cache[oldest].usedAt) {
				oldest = k
			}
		}
		e.cached -= e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
}

// makerOf returns the tenant whose request made a part.
func (e *engine) makerOf(key partKey, tenant string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.cache[key]; p != nil {
		return p.maker
	}
	return tenant
}

func (e *engine) servePrompt(out http.ResponseWriter, in *http.Request) {
	id, tenant := in.Header.Get("Balsamyoke-Request-Id"), in.Header.Get("Balsamyoke-Tenant")
	out.Header().Set("Balsamyoke-Request-Id", id)
	expected := in.Header.Get("Balsamyoke-Expect-Version")
	e.mu.Lock()
	switch {
	case in.Header.Get("Balsamyoke-Expect-Instance") != e.id, expected != "" && expected != fmt.Sprint(e.version):
		e.mu.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.busy || e.running >= engineSlots:
		e.mu.Unlock()
		out.Header().Set("Balsamyoke-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	version := e.version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	salt := in.Header.Get("Balsamyoke-Cache-Salt")
	untilMS, _ := strconv.ParseInt(in.Header.Get("Balsamyoke-Kv-Until"), 10, 64)
	fetch, save := strings.Split(in.Header.Get("Balsamyoke-Kv-Fetch"), ","), strings.Split(in.Header.Get("Balsamyoke-Kv-Save"), ",")
	read, computed := true, 0
	for i, entry := range strings.Split(in.Header.Get("Balsamyoke-Prompt-Prefix"), ",") {
		name, size, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(size)
		key := partKey{salt, name}
		if read {
			read = e.obtain(id, tenant, key, at(fetch, i), time.UnixMilli(untilMS))
		}
		if !read {
			computed += tokens
			e.mu.Lock()
			e.keep(key, tokens, tenant)
			e.mu.Unlock()
		}
		if s := e.w.storeAt(at(save, i)); s != nil {
			time.AfterFunc(milliseconds(float64(computed)/prefillPerMS), func() { s.save(key, tokens, e.makerOf(key, tenant), e.zone) })
		}
	}
	time.Sleep(milliseconds(20 + float64(computed)/prefillPerMS))
	e.w.note("request %s of %s ran at %s, weights %d, salt %s, computed %d tokens", id, tenant, e.id, version, salt, computed)
	out.Header().Set("Balsamyoke-Response-Stamp", "3e1b."+id)
	out.Header().Set("Balsamyoke-Weight-Versions", fmt.Sprint(version))
	out.Header().Set("Content-Type", "text/event-stream")
	for i := range 4 {
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i+1, id)
		out.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// obtain takes a part from the engine's cache or from a store, and judges that. It reports whether the part need not be computed.
func (e *engine) obtain(id, tenant string, key partKey, from string, until time.Time) bool {
	e.mu.Lock()
	p := e.cache[key]
	if p != nil {
		p.usedAt = time.Now()
	}
	e.mu.Unlock()
	if p == nil {
		s := e.w.storeAt(from)
		if s == nil {
			return false
		}
		// A replica's transfers run one after another.
		e.link.Lock()
		result := s.fetch(key, e.zone, until)
		e.link.Unlock()
		if result.part == nil {
			return false
		}
		if result.freed {
			e.w.violate("request %s at %s took part %v from store %s, which was freed %v before the fetch ended", id, e.id, key, s.address, time.Since(result.part.freedAt).Round(time.Millisecond))
		}
		p = result.part
		e.mu.Lock()
		e.keep(key, p.tokens, p.maker)
		e.mu.Unlock()
	}
	e.w.judgeTenants(id, e.id, tenant, key, p.maker)
	return true
}

// isolationGrace is how long after the ack of a configuration a request may still use what only an older one allows: the time in which a
// configuration must be applied, and the time after which a gateway without contact shares no KV cache by its own design.
const isolationGrace = configApply + 6*time.Second

// judgeTenants checks that a request doesn't use what another tenant's request made if one of the two is isolated.
func (w *world) judgeTenants(id, engine, tenant string, key partKey, maker string) {
	if tenant == maker {
		return
	}
	w.mu.Lock()
	var late time.Duration
	for _, t := range []string{tenant, maker} {
		if at, ok := w.isolatedAt[t]; ok {
			late = max(late, time.Since(at))
		}
	}
	w.mu.Unlock()
	if late > isolationGrace {
		w.violate("request %s of %s at %s used part %v that a request of %s made, %v after the ack that one of them is isolated", id, tenant, engine, key, maker, late.Round(time.Millisecond))
	}
}

func (w *world) storeAt(address string) *cacheStore {
	for _, s := range w.stores {
		if s.address == address {
			return s
		}
	}
	return nil
}

func at(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
