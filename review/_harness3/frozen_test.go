package harness

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// plainStreamConfiguration routes resumable streams to a plain service.
const plainStreamConfiguration = `{"version":1,"routes":[
{"name":"follow","host":"diagrams.example","prefix":"/follow/","kind":"streaming","timeout_ms":15000,"target_latency_ms":400,"priority":0,"service":"archive","max_attempts":2,"public":false,"session_affinity":false,"resumable":true,"target_gap_ms":300}],
"services":[{"name":"archive","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-the-tenant"],"priority":1}]}`

// Figures of caseFrozen. The gateway stands still for 2.1 s, less than on the days of the sites.
const (
	frozenStreams = 48
	awayTime      = 300 * time.Millisecond
	betweenTime   = 400 * time.Millisecond
)

// caseFrozen freezes one of two gateways while three of four replicas of a plain service are started again in place with other
// software, one after the other; the store is up all the time. Streams run through the frozen gateway; the replica with most of them
// is the last one. The rule is broken if more than two streams hold events of two software versions. Without the disruption the
// gateway isn't frozen, and all else is the same.
func caseFrozen(d *deployment) (int, error) {
	d.store.put("op/config", []byte(plainStreamConfiguration))
	for i := range 4 {
		s := replicaSettings{ID: fmt.Sprint("archive-", i), Service: "archive", Zone: zoneOf(i), Software: "v1", Events: 60, GapMS: 100, Slots: 64}
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
	time.Sleep(beforeFirstLoad)
	var senders sync.WaitGroup
	answers := make([]answer, frozenStreams)
	for n := range answers {
		c := newConsumer(d.gateways[0])
		senders.Go(func() {
			answers[n] = c.send("GET", "/follow/sheet", nil, "", 15*time.Second)
			a := &answers[n]
			d.logf("stream %s: status %d, %d events, complete %v, error %v", a.id, a.status, len(a.events), a.complete, a.err)
		})
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	gateway := d.gateways[0].command.Process
	if d.trouble {
		_ = gateway.Signal(syscall.SIGSTOP)
		d.logf("gateway %s is frozen", d.gateways[0].name)
	}
	// All but the second of them, by the streams that they run; the first one last.
	ids := d.replicasByRuns()
	for _, id := range []string{ids[3], ids[2], ids[0]} {
		restarted := d.replicas[id].replicaSettings
		restarted.Software = "v2"
		d.killReplica(id)
		time.Sleep(awayTime)
		if err := d.startReplica(restarted); err != nil {
			return couldNotRun, err
		}
		time.Sleep(betweenTime)
	}
	if d.trouble {
		_ = gateway.Signal(syscall.SIGCONT)
		d.logf("gateway %s wakes", d.gateways[0].name)
	}
	senders.Wait()
	mixed, begun := 0, 0
	for _, a := range answers {
		if len(a.events) > 0 {
			begun++
		}
		if hasTwoVersions(a.events) {
			mixed++
			d.logf("stream %s holds events of two software versions: %s", a.id, strings.Join(a.events, "; "))
		}
	}
	d.logf("streams that hold events of two software versions: %d", mixed)
	fmt.Printf("streams of two software versions: %d of %d, complete: %d\n", mixed, begun, countComplete(answers))
	if begun < frozenStreams {
		return couldNotRun, fmt.Errorf("%d of %d streams began", begun, frozenStreams)
	}
	if mixed > maxMixedStreams {
		return broken, nil
	}
	return held, nil
}

// replicasByRuns returns the ids of the replicas, those that have run most requests first.
func (d *deployment) replicasByRuns() (ids []string) {
	runs := make(map[string]int)
	for _, line := range d.runs() {
		if fields := strings.Fields(line); len(fields) > 4 && fields[4] == "runs" {
			runs[fields[2]]++
		}
	}
	for id := range d.replicas {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		if runs[ids[i]] != runs[ids[j]] {
			return runs[ids[i]] > runs[ids[j]]
		}
		return ids[i] < ids[j]
	})
	d.logf("streams at the replicas: %v", runs)
	return ids
}
