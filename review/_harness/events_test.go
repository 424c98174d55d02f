package harness

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["events"] = playEvents }

const (
	eventsGateways = 3
	eventsTrouble  = 15 * time.Second
)

// serveFast answers with bytes that are no answer, as fast as the link of one edge machine takes them, until the caller closes.
func (s *cacheStore) serveFast(out http.ResponseWriter, in *http.Request) {
	s.d.record("store begins to answer %s of %s without end", in.URL.Path, in.RemoteAddr)
	chunk := []byte(strings.Repeat("x", 64<<10))
	started, sent := time.Now(), 0
	var l link
	for {
		l.wait(len(chunk))
		n, err := out.Write(chunk)
		if sent += n; err != nil || in.Context().Err() != nil {
			break
		}
	}
	s.d.record("store sent %d bytes in %d ms to %s until it closed", sent, time.Since(started).Milliseconds(), in.RemoteAddr)
}

// playEvents lets a store of KV cache answer without end, while bookings, which no store has to do with, come on kept connections.
func playEvents(d *deployment, trouble bool) bool {
	store := d.startCacheStore()
	store.fast = true
	defer store.server.Close()
	d.put("op/config", fmt.Sprintf(`{"version":1,"routes":[{"name":"flue-fit","host":%q,"prefix":"/fit/","kind":"streaming","timeout_ms":3000,"target_latency_ms":400,"target_gap_ms":300,"priority":0,"service":"drafters","max_attempts":2,"public":true,"resumable":true,"session_affinity":true},
		{"name":"visit-book","host":%q,"prefix":"/visit/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"yard-desk","max_attempts":1,"public":true}],
		"services":[{"name":"drafters","max_connections":370,"engine":{"slots":64,"kv_capacity":80011,"kv_token_bytes":18432,"models":[{"name":%q}]}},{"name":"yard-desk","max_connections":110},
		{"name":"prompt-keep-a","max_connections":100,"max_in_flight":12,"kv_store_addr":%q,"zone":"zone-0","kv_capacity":214532,"link_mbps":81000,"managed":true,"first_ms":0.5}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":10000},"tenants":[]}`, host, host, model, store.address))
	d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var servers []*engine
	for i := range freeEngines {
		e := d.newEngine(fmt.Sprintf("e%02d", i), "drafters", "zone-0", "v1")
		e.events, e.pause, e.store = 4, 30*time.Millisecond, store
		servers = append(servers, e)
	}
	var ran sync.Map
	servers = append(servers, d.newBookingServers(&ran)...)
	for _, s := range servers {
		s.startRun("v1")
	}
	d.startGateways(eventsGateways)
	b := d.startBookings(&ran)
	time.Sleep(4 * time.Second)
	store.endless.Store(trouble)
	d.record("store answers without end: %v", trouble)
	d.runPlatform(eventsTrouble)
	b.end()
	for _, s := range servers {
		s.crash()
	}
	return b.judge()
}
