package harness

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// drainTime is the bound drain_ms.
const drainTime = 2000 * time.Millisecond

// servesOn is how much longer than drainTime a replica that leaves serves.
const servesOn = 400 * time.Millisecond

// plainConfiguration routes checkouts, which must not run twice, to a plain service.
const plainConfiguration = `{"version":1,"routes":[
{"name":"checkout","host":"diagrams.example","prefix":"/checkout/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"archive","max_attempts":1,"public":false}],
"services":[{"name":"archive","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-the-tenant"],"priority":1}]}`

// caseDrain lets three replicas leave, one after the other, that never report "draining": their registrations are removed, and they
// serve on for a little longer than drain_ms. Just before each removal the store cuts the watches that are waiting, once. The rule is
// broken if a request reaches such a replica later than drain_ms after the store's acknowledgement.
func caseDrain(d *deployment) (int, error) {
	d.store.put("op/config", []byte(plainConfiguration))
	for i := range 4 {
		s := replicaSettings{ID: fmt.Sprint("archive-", i), Service: "archive", Zone: zoneOf(i), Software: "v1", WorkMS: 60, Slots: 6}
		if err := d.startReplica(s); err != nil {
			return couldNotRun, err
		}
	}
	if err := d.startGateways("erie", "huron"); err != nil {
		return couldNotRun, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return couldNotRun, err
	}
	load := d.startCheckouts(16 * time.Millisecond)
	time.Sleep(6 * time.Second)
	removedAt := make(map[string]time.Time)
	for round := range 3 {
		id := fmt.Sprint("archive-", 3-round)
		d.silenceReplica(id)
		if d.trouble {
			d.logf("store cuts the watches that are waiting")
			d.store.cutWatches()
		}
		removedAt[id] = d.removeRegistration(id)
		time.Sleep(time.Until(removedAt[id].Add(drainTime + servesOn)))
		d.killReplica(id)
		s := replicaSettings{ID: fmt.Sprint("archive-", 4+round), Service: "archive", Zone: zoneOf(3 - round), Software: "v1", WorkMS: 60, Slots: 6}
		if err := d.startReplica(s); err != nil {
			return couldNotRun, err
		}
		time.Sleep(5 * time.Second)
	}
	load.stop()
	return d.judgeDrain(load, removedAt, drainTime)
}

// judgeDrain checks the rule DRAIN for replicas whose removal was acknowledged, and records what was seen. Requests count that reach
// them later than lateAfter.
func (d *deployment) judgeDrain(load *checkouts, removedAt map[string]time.Time, lateAfter time.Duration) (int, error) {
	late := d.lateArrivals(removedAt, lateAfter)
	d.logf("watches cut: %d; checkouts: %d answered with 200, %d with 502, %d with 503 or nothing", d.store.cuts, load.count(200), load.count(502), load.all()-load.count(200)-load.count(502))
	d.logf("requests that reached a replica later than %v after its removal was acknowledged: %d", lateAfter, len(late))
	for _, line := range late {
		d.logf("late: %s", line)
	}
	fmt.Printf("late requests: %d, answered 502: %d\n", len(late), load.count(502))
	if load.count(200) < 100 {
		return couldNotRun, fmt.Errorf("only %d checkouts were served", load.count(200))
	}
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}

func zoneOf(i int) string { return []string{"erie", "huron"}[i%2] }

// lateArrivals returns the requests that reached a replica later than lateAfter after its removal was acknowledged.
func (d *deployment) lateArrivals(removedAt map[string]time.Time, lateAfter time.Duration) (late []string) {
	for _, line := range d.runs() {
		for id, at := range removedAt {
			_, text, found := strings.Cut(line, " at ")
			arrivedMS, err := strconv.ParseInt(text, 10, 64)
			if found && err == nil && strings.Contains(line, "replica "+id+" ") {
				if after := time.UnixMilli(arrivedMS).Sub(at); after > lateAfter {
					late = append(late, fmt.Sprintf("%s (%v after the acknowledgement)", line, after.Round(time.Millisecond)))
				}
			}
		}
	}
	return late
}

// checkouts is a steady load of checkouts, each once, at all gateways in turn.
type checkouts struct {
	end     chan struct{}
	senders sync.WaitGroup
	mu      sync.Mutex
	status  map[int]int
}

func (d *deployment) startCheckouts(interval time.Duration) *checkouts {
	load := &checkouts{end: make(chan struct{}), status: make(map[int]int)}
	var consumers []*consumer
	for _, g := range d.gateways {
		consumers = append(consumers, newConsumer(g))
	}
	load.senders.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-load.end:
				return
			case <-time.After(interval):
			}
			c := consumers[n%len(consumers)]
			load.senders.Go(func() {
				a := c.send("POST", "/checkout/sheet", nil, "sheet=14", 4*time.Second)
				d.logf("checkout %s at %s: status %d, error %v", a.id, c.gateway.name, a.status, a.err)
				load.mu.Lock()
				defer load.mu.Unlock()
				load.status[a.status]++
			})
		}
	})
	return load
}

func (c *checkouts) stop() {
	close(c.end)
	c.senders.Wait()
}

func (c *checkouts) count(status int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status[status]
}

func (c *checkouts) all() (sum int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.status {
		sum += n
	}
	return sum
}
