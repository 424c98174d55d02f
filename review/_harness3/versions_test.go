package harness

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// streamConfiguration routes resumable streams to model replicas.
const streamConfiguration = `{"version":1,"routes":[
{"name":"lookup","host":"diagrams.example","prefix":"/lookup/","kind":"streaming","timeout_ms":15000,"target_latency_ms":400,"priority":0,"service":"tracer","max_attempts":2,"public":false,"session_affinity":true,"resumable":true,"target_gap_ms":300}],
"services":[{"name":"tracer","health_path":"/health","max_connections":610,"protocol":"h1","tls":false,"engine":{"slots":128,"kv_capacity":129892,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,"backups":true,"managed":true,"stride":5,"max_in_flight":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m0"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-the-tenant"],"priority":1}]}`

// maxMixedStreams is how many streams the rule tolerates that hold events of two software versions.
const maxMixedStreams = 2

// Times of caseVersions from the beginning of the store's outage, which lasts no longer than the site's longest one, 4.5 s.
const (
	replicaBackAt   = 1000 * time.Millisecond
	streamsBeginAt  = 1600 * time.Millisecond
	secondCrashAt   = 3100 * time.Millisecond
	outageEndsAt    = 4200 * time.Millisecond
	streamsSent     = 24
	proofStreams    = 8
	beforeFirstLoad = 5 * time.Second
)

// caseVersions crashes one of four model replicas while the store is down. The replica comes back under its id with other software,
// streams begin there, and it crashes once more. The rule is broken if more than two streams hold events of two software versions.
// Without the disruption the store stays up, and all else is the same.
func caseVersions(d *deployment) (int, error) {
	d.store.put("op/config", []byte(streamConfiguration))
	for i := range 4 {
		s := replicaSettings{ID: fmt.Sprint("tracer-", i), Service: "tracer", Zone: zoneOf(i), Software: "v1", Model: "m0", Events: 40, GapMS: 80, Slots: 128}
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
	// These prove the path, and end before the disruption.
	before := d.sendStreams(proofStreams)
	start := time.Now()
	if d.trouble {
		d.logf("store is down")
		d.store.setDown(true)
	}
	restarted := d.replicas["tracer-0"].replicaSettings
	d.killReplica("tracer-0")
	time.Sleep(time.Until(start.Add(replicaBackAt)))
	restarted.Software = "v2"
	if err := d.startReplica(restarted); err != nil {
		return couldNotRun, err
	}
	time.AfterFunc(time.Until(start.Add(secondCrashAt)), func() { d.killReplica("tracer-0") })
	time.AfterFunc(time.Until(start.Add(outageEndsAt)), func() {
		d.store.setDown(false)
		d.logf("store is up")
	})
	time.Sleep(time.Until(start.Add(streamsBeginAt)))
	during := d.sendStreams(streamsSent)
	mixed := 0
	for _, a := range append(before, during...) {
		if hasTwoVersions(a.events) {
			mixed++
			d.logf("stream %s holds events of two software versions: %s", a.id, strings.Join(a.events, "; "))
		}
	}
	d.logf("streams that hold events of two software versions: %d", mixed)
	fmt.Printf("streams of two software versions: %d of %d\n", mixed, len(during))
	if countComplete(before) < len(before) {
		return couldNotRun, fmt.Errorf("%d of %d streams before the disruption were complete", countComplete(before), len(before))
	}
	if mixed > maxMixedStreams {
		return broken, nil
	}
	return held, nil
}

// sendStreams sends that many streams, half of them to each gateway, and waits for their ends.
func (d *deployment) sendStreams(count int) []answer {
	answers := make([]answer, count)
	var senders sync.WaitGroup
	for n := range count {
		c := newConsumer(d.gateways[n%len(d.gateways)])
		senders.Go(func() {
			headers := map[string]string{
				"Balsamyoke-Model": "m0", "Balsamyoke-Token-Usage": "2400,40",
				"Balsamyoke-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:1600", time.Now().UnixNano()&0xffffffff),
			}
			a := c.send("POST", "/lookup/sheet", headers, "sheet=14", 15*time.Second)
			d.logf("stream %s at %s: status %d, %d events, complete %v, error %v", a.id, c.gateway.name, a.status, len(a.events), a.complete, a.err)
			answers[n] = a
		})
		time.Sleep(10 * time.Millisecond)
	}
	senders.Wait()
	return answers
}

func hasTwoVersions(events []string) bool {
	versions := make(map[string]bool)
	for _, event := range events {
		if _, rest, ok := strings.Cut(event, "software "); ok {
			version, _, _ := strings.Cut(rest, " ")
			versions[version] = true
		}
	}
	return len(versions) > 1
}

func countComplete(answers []answer) (n int) {
	for i := range answers {
		if answers[i].complete && answers[i].status == 200 {
			n++
		}
	}
	return n
}
