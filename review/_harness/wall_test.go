package harness

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["wall"] = playWall }

const (
	wallGateways = 2
	wallEngines  = 3
	wallRequests = 30
	// applyTime is the time within which a configuration is in force everywhere.
	applyTime = 2 * time.Second
)

// prefixCache is the KV cache that engines keep of the prompts they have read: by salt and part, the tenant whose request made it.
type prefixCache struct {
	mu    sync.Mutex
	made  map[string]string
	reuse func(engine, request, tenant, maker, salt, part string)
}

// read lets a request use the leading parts that are cached under its salt, and caches the others.
func (c *prefixCache) read(e *engine, in *http.Request) {
	tenant, salt, id := in.Header.Get("Balsamyoke-Tenant"), in.Header.Get("Balsamyoke-Cache-Salt"), in.Header.Get("Balsamyoke-Request-Id")
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := true
	for entry := range strings.SplitSeq(in.Header.Get("Balsamyoke-Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(entry, ":")
		key := e.id + " " + salt + " " + part
		maker, cached := c.made[key]
		if hit = hit && cached; hit {
			c.reuse(e.id, id, tenant, maker, salt, part)
			continue
		}
		if !cached {
			c.made[key] = tenant
			e.d.record("server %s caches part %s under salt %q for request %s of tenant %s", e.id, part, salt, id, tenant)
		}
	}
}

func wallConfiguration(version int, isolated bool) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"flue-fit","host":%q,"prefix":"/fit/","kind":"streaming","timeout_ms":3000,"target_latency_ms":400,"target_gap_ms":300,"priority":0,"service":"drafters","max_attempts":2,"public":false,"resumable":true,"session_affinity":true}],
		"services":[{"name":"drafters","max_connections":370,"engine":{"slots":64,"kv_capacity":80011,"kv_token_bytes":18432,"models":[{"name":%q}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":10000},
		"tenants":[{"name":"tenant-a","api_keys":["key-a"],"isolated":%v},{"name":"tenant-b","api_keys":["key-b"],"isolated":false}]}`, version, host, model, isolated)
}

// playWall lets one tenant send prompts, then isolates it, and then lets another tenant send prompts with the same first part.
func playWall(d *deployment, trouble bool) bool {
	d.put("op/config", wallConfiguration(1, false))
	d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var mu sync.Mutex
	isolated, broken := false, 0
	cache := &prefixCache{made: make(map[string]string), reuse: func(engine, request, tenant, maker, salt, part string) {
		mu.Lock()
		defer mu.Unlock()
		d.record("server %s: request %s of tenant %s uses part %s under salt %q, made by a request of tenant %s", engine, request, tenant, part, salt, maker)
		if isolated && tenant != maker {
			broken++
			d.record("WALL %s of tenant %s uses what a request of the isolated tenant-a made", request, tenant)
		}
	}}
	var engines []*engine
	for i := range wallEngines {
		e := d.newEngine(fmt.Sprintf("e%d", i), "drafters", "zone-0", "v1")
		e.events, e.pause, e.cache = 3, 20*time.Millisecond, cache
		e.startRun("v1")
		engines = append(engines, e)
	}
	d.startGateways(wallGateways)
	served := 0
	call := func(tenant, key string) {
		for i := range wallRequests {
			id := d.newID()
			headers := fmt.Sprintf("Balsamyoke-Request-Id: %s\r\nBalsamyoke-Credential: %s\r\nBalsamyoke-Deadline-Ms: 3000\r\nBalsamyoke-Model: %s\r\nBalsamyoke-Token-Usage: 912,3\r\nBalsamyoke-Prompt-Prefix: 5c1e07a2:512,%s:400\r\n", id, key, model, id)
			a := send(d.gateways[i%wallGateways].address, "POST", "/fit/x", headers, "prompt", 4*time.Second, nil)
			d.record("client of %s got for %s: status %d, complete %v", tenant, id, a.status, a.complete)
			if a.status == http.StatusOK && a.complete {
				served++
			}
		}
	}
	call("tenant-a", "key-a")
	if trouble {
		d.put("op/config", wallConfiguration(2, true))
		d.record("operator changes the configuration: tenant-a is isolated")
		time.Sleep(applyTime + time.Second)
		mu.Lock()
		isolated = true
		mu.Unlock()
	} else {
		time.Sleep(applyTime + time.Second)
	}
	call("tenant-a", "key-a")
	call("tenant-b", "key-b")
	for _, e := range engines {
		e.crash()
	}
	d.record("%d requests served, %d used cache of the isolated tenant", served, broken)
	if served < 2*wallRequests {
		panic(cannotRun{fmt.Errorf("only %d requests were served", served)})
	}
	return broken > 0
}
