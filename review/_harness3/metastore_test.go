package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metastore is a stand-in for the platform's metadata store. It serves the calls of PROTOCOL.md from memory. Replicas write their
// registrations at /standin/registration, which is not part of the protocol.
type metastore struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]storedItem
	history  []storedItem
	leases   map[int64]*storedLease
	leaseID  int64
	// changed is closed and replaced with each change.
	changed chan struct{}
	// cut is closed and replaced to cut the watches that are waiting.
	cut chan struct{}
	// down makes every call return 503.
	down bool
	cuts int
	// answerTime is how long each call takes.
	answerTime time.Duration
}

type storedItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storedLease struct {
	ttl     time.Duration
	expires time.Time
}

func startMetastore() (*metastore, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &metastore{
		address: listener.Addr().String(), revision: 1, items: make(map[string]storedItem), leases: make(map[int64]*storedLease),
		changed: make(chan struct{}), cut: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	go s.expireLeases()
	return s, nil
}

// put writes a key for the operator or a replica and returns the time of the acknowledgement.
func (s *metastore) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value, 0)
	return time.Now()
}

// value returns the value of a key.
func (s *metastore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// remove removes a key and returns the time of the acknowledgement.
func (s *metastore) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
	return time.Now()
}

// cutWatches closes the connections of the watches that are waiting.
func (s *metastore) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// setDown starts or ends an outage, in which every call gets 503. Leases pause meanwhile.
func (s *metastore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		close(s.cut)
		s.cut = make(chan struct{})
		return
	}
	for _, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
	}
}

// write changes a key. The caller holds mu.
func (s *metastore) write(key string, value []byte, lease int64) {
	s.revision++
	item := storedItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if known, ok := s.items[key]; ok {
		item.Created = known.Created
	}
	s.items[key] = item
	s.record(item)
}

// delete removes a key. The caller holds mu.
func (s *metastore) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storedItem{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *metastore) record(item storedItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *metastore) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.down && time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *metastore) endLease(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.delete(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *metastore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	down, answerTime := s.down, s.answerTime
	s.mu.Unlock()
	time.Sleep(answerTime)
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch path := r.URL.Path; {
	case path == "/balsamyoke/kv-key":
		s.serveKey(w, r)
	case path == "/balsamyoke/kv-range":
		s.serveRange(w, r)
	case path == "/balsamyoke/kv-watch":
		s.serveWatch(w, r)
	case path == "/balsamyoke/kv-txn":
		s.serveTransaction(w, r)
	case path == "/balsamyoke/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/balsamyoke/kv-keep/"):
		s.serveLeaseCall(w, strings.TrimPrefix(path, "/balsamyoke/kv-keep/"), false)
	case strings.HasPrefix(path, "/balsamyoke/kv-lease-end/"):
		s.serveLeaseCall(w, strings.TrimPrefix(path, "/balsamyoke/kv-lease-end/"), true)
	case path == "/standin/registration":
		s.serveRegistration(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *metastore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"as_of": asOf})
		return
	}
	reply(w, http.StatusOK, struct {
		storedItem
		AsOf int64 `json:"as_of"`
	}{item, asOf})
}

func (s *metastore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storedItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *metastore) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storedItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		asOf, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

func (s *metastore) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []storedItem `json:"expected"`
		Puts     []storedItem `json:"puts"`
		Remove   []string     `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []storedItem{}, true
	for _, expected := range call.Expected {
		item := s.items[expected.Key]
		item.Key = expected.Key
		current = append(current, item)
		holds = holds && item.Revision == expected.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, put := range call.Puts {
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, put := range call.Puts {
		s.write(put.Key, put.Value, put.Lease)
	}
	for _, key := range call.Remove {
		s.delete(key)
	}
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *metastore) serveLease(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID++
	ttl := time.Duration(call.TTLMS) * time.Millisecond
	s.leases[s.leaseID] = &storedLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]int64{"lease": s.leaseID, "ttl_ms": call.TTLMS})
}

func (s *metastore) serveLeaseCall(w http.ResponseWriter, text string, end bool) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if end {
		s.endLease(id)
	} else {
		l.expires = time.Now().Add(l.ttl)
	}
	reply(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

// serveRegistration writes the registration of a replica.
func (s *metastore) serveRegistration(w http.ResponseWriter, r *http.Request) {
	var registration json.RawMessage
	if json.NewDecoder(r.Body).Decode(&registration) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.put("servers/"+r.URL.Query().Get("id"), registration)
	w.WriteHeader(http.StatusOK)
}
