package harness

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["open"] = playOpen }

const (
	openGateways = 3
	openRequests = 30
	// neverHeld is a key that no configuration ever held.
	neverHeld = "a-key-that-no-configuration-ever-held"
)

// playOpen lets the operator remove the last tenant, and then sends requests with a key that no configuration ever held.
func playOpen(d *deployment, trouble bool) bool {
	configuration := func(version int, tenants string) string {
		return fmt.Sprintf(`{"version":%d,"routes":[
		{"name":"visit-book","host":%q,"prefix":"/visit/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"yard-desk","max_attempts":1,"public":false}],
		"services":[{"name":"yard-desk","max_connections":110}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[%s]}`, version, host, tenants)
	}
	const tenant = `{"name":"tenant-a","api_keys":["key-of-a"]}`
	d.put("op/config", configuration(1, tenant))
	var ran sync.Map
	servers := d.newBookingServers(&ran)
	for _, s := range servers {
		s.startRun("v1")
	}
	d.startGateways(openGateways)
	call := func(key string) (served, begun int) {
		for i := range openRequests {
			id := d.newID()
			headers := fmt.Sprintf("Balsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: 1500\r\nBalsamyoke-Credential: %s\r\n", id, key)
			a := send(d.gateways[i%openGateways].address, http.MethodPost, "/visit/x", headers, "booking", 3*time.Second, nil)
			_, isRun := ran.Load(id)
			d.record("client with key %q got for %s: status %d, has run %v", key, id, a.status, isRun)
			if a.status == http.StatusOK && a.complete {
				served++
			}
			if isRun {
				begun++
			}
		}
		return served, begun
	}
	served, _ := call("key-of-a")
	_, before := call(neverHeld)
	if trouble {
		d.put("op/config", configuration(2, ""))
		d.record("operator removes the last tenant: version 2, acknowledged by the store")
	} else {
		d.put("op/config", configuration(2, tenant))
		d.record("operator sends version 2, with the same tenant")
	}
	time.Sleep(applyTime + 4*time.Second)
	_, after := call(neverHeld)
	for _, s := range servers {
		s.crash()
	}
	d.record("%d requests with the tenant's key were served; of %d with a key that no configuration ever held %d ran before version 2 and %d after it", served, openRequests, before, after)
	if served < openRequests/2 {
		panic(cannotRun{fmt.Errorf("only %d requests were served", served)})
	}
	return before+after > 0
}
