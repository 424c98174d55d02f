package harness

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cacheConfiguration routes prompts to model replicas with a store of kept KV cache, whose address is the first argument.
const cacheConfiguration = `{"version":1,"routes":[
{"name":"trace","host":"diagrams.example","prefix":"/trace/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":0,"service":"tracer","max_attempts":1,"public":false,"session_affinity":true,"resumable":false,"target_gap_ms":300}],
"services":[{"name":"tracer","health_path":"/health","max_connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":80011,"kv_token_bytes":18432,"link_mbps":550000.0,"moves":true,"backups":true,"managed":true,"stride":5,"max_in_flight":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m0"}]}},
{"name":"keep","kv_store_addr":%q,"zone":"erie","kv_capacity":1072660,"link_mbps":32000.0,"max_in_flight":12,"managed":true,"first_ms":6.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-the-tenant"],"priority":1}]}`

const (
	// tokensPerMS is how fast a model replica reads a prompt, tokenBytes the memory of a token.
	tokensPerMS = 55
	tokenBytes  = 18432
	// storeLinkMbps and storeFirst are the link of the store and what each transfer waits in addition.
	storeLinkMbps = 32000
	storeFirst    = 6 * time.Millisecond
	// maxStoreEvents bounds the events that the store keeps.
	maxStoreEvents = 1000
	// storeDownFor is how long the store is down.
	storeDownFor = 60 * time.Millisecond
)

type cachePart struct{ salt, id string }

// cacheStore is a stand-in for a store of kept KV cache. It answers as PROTOCOL.md says. Model replicas of the same program save and
// fetch by calls.
type cacheStore struct {
	d       *deployment
	address string

	mu     sync.Mutex
	down   bool
	epoch  int64
	next   int64
	events []any
	// parts are the sizes of the parts that it has, negative while one is being written.
	parts map[cachePart]int
	// torn counts the fetches of parts that weren't whole.
	torn, fetched int
	// saved is closed when the gateway with the name awaited orders a save.
	awaited string
	saved   chan struct{}
}

func startCacheStore(d *deployment) (*cacheStore, error) {
	listener, err := net.Listen("tcp4", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &cacheStore{d: d, address: listener.Addr().String(), epoch: time.Now().UnixMilli(), parts: make(map[cachePart]int)}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// restart takes the store down for a moment. It comes back empty, in another epoch.
func (s *cacheStore) restart() {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	s.d.logf("the store of kept cache is down")
	time.Sleep(storeDownFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.epoch, s.next, s.events, s.parts = false, time.Now().UnixMilli(), 0, nil, make(map[cachePart]int)
	s.d.logf("the store of kept cache is back, empty, in epoch %d", s.epoch)
}

func transferTime(tokens int) time.Duration {
	return storeFirst + time.Duration(float64(tokens)*tokenBytes*8/storeLinkMbps)*time.Microsecond
}

// save writes a part unless the store has it. It is reported when it is complete.
func (s *cacheStore) save(part cachePart, tokens int, request, by string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.parts[part] != 0 {
		return
	}
	epoch := s.epoch
	s.parts[part] = -tokens
	s.d.logf("part %s is being written for %s, sent by %s", part.id, request, by)
	time.AfterFunc(transferTime(tokens), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down || s.epoch != epoch {
			return
		}
		s.parts[part] = tokens
		s.next++
		s.events = append(s.events, []any{s.next, "+", part.salt, part.id, tokens, "m0"})
		s.d.logf("part %s is whole", part.id)
	})
}

// fetch reads a part, and reports whether it got it.
func (s *cacheStore) fetch(part cachePart, request, by string) bool {
	s.mu.Lock()
	tokens := s.parts[part]
	if s.down {
		tokens = 0
	}
	if tokens < 0 {
		s.torn++
		s.d.logf("request %s, sent by %s, takes part %s, which is being written", request, by, part.id)
	}
	if tokens != 0 {
		s.fetched++
	}
	s.mu.Unlock()
	if tokens == 0 {
		time.Sleep(time.Millisecond)
		return false
	}
	time.Sleep(transferTime(max(tokens, -tokens)))
	return true
}

// ServeHTTP implements http.Handler.
func (s *cacheStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/balsamyoke/kv-events":
		since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
			s.mu.Lock()
			if s.down || s.next > since || time.Now().After(end) {
				break
			}
			s.mu.Unlock()
		}
		defer s.mu.Unlock()
		s.abortIfDown()
		events := []any{}
		for _, e := range s.events {
			if e.([]any)[0].(int64) > since {
				events = append(events, e)
			}
		}
		reply(w, http.StatusOK, map[string]any{"epoch": s.epoch, "next_token": s.next, "lost": since > s.next, "events": events, "clock_ms": time.Now().UnixMilli()})
	case "/balsamyoke/kv-list":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.abortIfDown()
		whole := []any{}
		for part, tokens := range s.parts {
			if tokens > 0 {
				whole = append(whole, []any{part.salt, part.id, tokens, "m0"})
			}
		}
		reply(w, http.StatusOK, map[string]any{"epoch": s.epoch, "next_token": s.next, "held": whole, "partial": []any{}})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *cacheStore) abortIfDown() {
	if s.down {
		panic(http.ErrAbortHandler)
	}
}

// modelReplica is a stand-in for a model replica that reads prompts with a store of kept cache.
type modelReplica struct {
	d           *deployment
	id, address string
	born        int64
	store       *cacheStore
}

func startModelReplica(d *deployment, id, zone string, store *cacheStore) error {
	listener, err := net.Listen("tcp4", freeAddress())
	if err != nil {
		return err
	}
	r := &modelReplica{d: d, id: id, address: listener.Addr().String(), born: time.Now().UnixMilli(), store: store}
	go func() { _ = http.Serve(listener, r) }()
	go func() {
		for sequence := 1; ; sequence++ {
			text, _ := json.Marshal(map[string]any{
				"service": "tracer", "address": r.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
				"sequence": sequence, "born": r.born, "stage": "both", "models": r.models(),
			})
			d.store.put("servers/"+id, text)
			time.Sleep(heartbeatInterval)
		}
	}()
	return nil
}

func (r *modelReplica) models() []map[string]any {
	return []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (r *modelReplica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/balsamyoke/report" {
		reply(w, http.StatusOK, map[string]any{
			"stage": "both", "models": r.models(), "busy": false, "sequence": 0, "queued": 0, "running": 0,
			"kv_used": 0, "kv_total": 80011, "handles": 0, "state": "ready", "born": r.born, "clock_ms": time.Now().UnixMilli(),
		})
		return
	}
	id := request.Header.Get("Balsamyoke-Request-Id")
	w.Header()["Balsamyoke-Request-Id"] = []string{id}
	w.Header().Set("Balsamyoke-Instance-Id", r.id)
	w.Header().Set("Balsamyoke-Server-Load", "1,0,64")
	w.Header().Set("Balsamyoke-Response-Stamp", "stamp."+r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Balsamyoke-Weight-Versions", "1")
	by := request.Header.Get("X-Sent-To")
	salt := request.Header.Get("Balsamyoke-Cache-Salt")
	fetch, save := strings.Split(request.Header.Get("Balsamyoke-Kv-Fetch"), ","), strings.Split(request.Header.Get("Balsamyoke-Kv-Save"), ",")
	at := func(list []string, i int) bool {
		if i >= len(list) {
			return false
		}
		address, _, _ := strings.Cut(strings.TrimSpace(list[i]), "/")
		return address == r.store.address
	}
	type toSave struct {
		part   cachePart
		tokens int
	}
	var saves []toSave
	read := 0
	for i, entry := range strings.Split(request.Header.Get("Balsamyoke-Prompt-Prefix"), ",") {
		name, size, _ := strings.Cut(entry, ":")
		tokens, _ := strconv.Atoi(size)
		part := cachePart{salt, name}
		if read == 0 && at(fetch, i) && r.store.fetch(part, id, by) {
			continue
		}
		read += tokens
		if at(save, i) {
			saves = append(saves, toSave{part, tokens})
		}
	}
	r.d.logf("request %s, sent by %s: fetch %v, save %v, reads %d tokens", id, by, fetch, save, read)
	if len(saves) > 0 {
		r.store.recordOrder(by)
	}
	time.Sleep(time.Duration(read/tokensPerMS) * time.Millisecond)
	for _, s := range saves {
		r.store.save(s.part, s.tokens, id, by)
	}
	fmt.Fprintf(w, "id: 1\ndata: done\n\n")
}

// Figures of caseCache. The leader is dark for 3.5 s, as on the site's days; another gateway starts again at once.
const (
	cacheRounds     = 5
	cacheParts      = 40
	cachePartTokens = 20000
	leaderDarkFor   = 3500 * time.Millisecond
	roundTime       = 14 * time.Second
	// afterFirstSave is how long after the first save by the started gateway the store of kept cache restarts.
	afterFirstSave = 300 * time.Millisecond
)

// caseCache kills the leader and another gateway of four. The other one starts again while nobody leads, and so has no lease to fetch.
// Meanwhile the store of kept cache restarts. The rule is broken if a request takes a part that is being written. Without the
// disruption the store doesn't restart.
func caseCache(d *deployment) (int, error) {
	store, err := startCacheStore(d)
	if err != nil {
		return couldNotRun, err
	}
	d.store.put("op/config", fmt.Appendf(nil, cacheConfiguration, store.address))
	for i := range 4 {
		if err := startModelReplica(d, fmt.Sprint("tracer-", i), zoneOf(i), store); err != nil {
			return couldNotRun, err
		}
	}
	if err := d.startGateways("erie", "huron", "superior", "ontario"); err != nil {
		return couldNotRun, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return couldNotRun, err
	}
	root, err := repositoryRoot()
	if err != nil {
		return couldNotRun, err
	}
	end := make(chan struct{})
	defer close(end)
	for _, g := range d.gateways {
		go d.sendPrompts(newConsumer(g), end)
	}
	time.Sleep(8 * time.Second)
	for range cacheRounds {
		start := time.Now()
		leader, other := d.leaderAndOther()
		if leader == nil {
			return couldNotRun, fmt.Errorf("no gateway leads")
		}
		for _, g := range []*gatewayProcess{leader, other} {
			d.logf("%s is killed", g.name)
			_ = g.command.Process.Signal(syscall.SIGKILL)
			_ = g.command.Wait()
		}
		saved := store.awaitSave(other.name)
		time.Sleep(restartDelay)
		if err := other.start(root); err != nil {
			return couldNotRun, err
		}
		d.logf("%s is started", other.name)
		time.AfterFunc(time.Until(start.Add(leaderDarkFor)), func() {
			if leader.start(root) == nil {
				d.logf("%s, which led, is started", leader.name)
			}
		})
		select {
		case <-saved:
			time.Sleep(afterFirstSave)
			if d.trouble {
				store.restart()
			}
		case <-time.After(5 * time.Second):
			d.logf("%s saved nothing", other.name)
		}
		time.Sleep(time.Until(start.Add(roundTime)))
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	fmt.Printf("parts taken: %d, not whole: %d\n", store.fetched, store.torn)
	if store.torn > 0 {
		return broken, nil
	}
	return held, nil
}

// leaderAndOther returns the gateway that leads and another one.
func (d *deployment) leaderAndOther() (leader, other *gatewayProcess) {
	value := string(d.store.value("balsamyoke/leader"))
	for _, g := range d.gateways {
		if strings.Contains(value, g.name) {
			leader = g
		} else if other == nil {
			other = g
		}
	}
	return leader, other
}

// awaitSave returns a channel that is closed when a request that a gateway sent is to save a part.
func (s *cacheStore) awaitSave(gateway string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaited, s.saved = gateway, make(chan struct{})
	return s.saved
}

// recordOrder closes the channel of awaitSave.
func (s *cacheStore) recordOrder(gateway string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if gateway != "" && gateway == s.awaited {
		s.awaited = ""
		close(s.saved)
	}
}

// sendPrompts sends prompts, each with one of the shared parts, to a gateway until end is closed.
func (d *deployment) sendPrompts(c *consumer, end chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(15 * time.Millisecond):
		}
		go c.send("POST", "/trace/x", map[string]string{
			"Balsamyoke-Model": "m0", "Balsamyoke-Token-Usage": fmt.Sprint(cachePartTokens+200, ",1"), "X-Sent-To": c.gateway.name,
			"Balsamyoke-Prompt-Prefix": fmt.Sprintf("5c1e07%02x:%d,%08x:200", rand.IntN(cacheParts), cachePartTokens, rand.Uint32()),
		}, "x", 15*time.Second)
	}
}
