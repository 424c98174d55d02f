package harness

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// thawedConfiguration routes resumable streams to a plain service, with the figures of the sites' resumable routes.
const thawedConfiguration = `{"version":1,"routes":[
{"name":"follow","host":"diagrams.example","prefix":"/follow/","kind":"streaming","timeout_ms":3000,"target_latency_ms":400,"priority":0,"service":"archive","max_attempts":2,"public":false,"session_affinity":false,"resumable":true,"target_gap_ms":300}],
"services":[{"name":"archive","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"shop","api_keys":["key-of-the-tenant"],"priority":1}]}`

// Figures of caseThawed. The gateway stands still for 1.7 s, less than on the days of the sites. One replica is away at a time. A stream
// lasts 2 s.
const (
	thawedStreams   = 72
	thawedEvents    = 20
	thawedFreeze    = 1700 * time.Millisecond
	firstAway       = 100 * time.Millisecond
	betweenRestarts = 400 * time.Millisecond
	thawedAway      = 200 * time.Millisecond
	// thawedBudget is the time that a consumer has for all its attempts.
	thawedBudget = 3 * time.Second
	// thawedPause is the time from the break of a stream until its consumer takes it up.
	thawedPause = 100 * time.Millisecond
	// notReadTimeout is after which time a consumer abandons an attempt that isn't read, or after a third of the time that it has left if
	// that is less. A request that was read has its first event firstEventTime later.
	notReadTimeout = time.Second
	firstEventTime = 200 * time.Millisecond
	// storeAnswerTime is how long the store of the small deployments takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
)

// caseThawed freezes one of four gateways, which runs no stream, while the replicas of a plain service are started again in place with
// other software, one after the other; the store is up all the time. Streams run through the other gateways. They break off when no
// replica is left at their version, and their consumers take them up at another gateway, a third of them at the frozen one. The rule is broken
// if more than two streams hold events of two software versions. Without the disruption the gateway isn't frozen, and all else is the
// same.
func caseThawed(d *deployment) (int, error) {
	d.store.answerTime = storeAnswerTime
	d.store.put("op/config", []byte(thawedConfiguration))
	for i := range 4 {
		s := replicaSettings{ID: fmt.Sprint("archive-", i), Service: "archive", Zone: zoneOf(i), Software: "v1", Events: thawedEvents, GapMS: 100, Slots: 64}
		if err := d.startReplica(s); err != nil {
			return couldNotRun, err
		}
	}
	if err := d.startGateways("erie", "huron", "superior", "ontario"); err != nil {
		return couldNotRun, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return couldNotRun, err
	}
	time.Sleep(beforeFirstLoad)
	var consumers sync.WaitGroup
	streams := make([][]string, thawedStreams)
	for n := range streams {
		consumers.Go(func() { streams[n] = d.followThawed(n) })
		time.Sleep(5 * time.Millisecond)
	}
	frozen := d.gateways[0].command.Process
	start := time.Now()
	if d.trouble {
		_ = frozen.Signal(syscall.SIGSTOP)
		d.logf("gateway %s is frozen", d.gateways[0].name)
	}
	for i := range 4 {
		time.Sleep(time.Until(start.Add(firstAway + time.Duration(i)*betweenRestarts)))
		restarted := d.replicas[fmt.Sprint("archive-", i)].replicaSettings
		restarted.Software = "v2"
		d.killReplica(restarted.ID)
		time.Sleep(thawedAway)
		if err := d.startReplica(restarted); err != nil {
			return couldNotRun, err
		}
	}
	time.Sleep(time.Until(start.Add(thawedFreeze)))
	if d.trouble {
		_ = frozen.Signal(syscall.SIGCONT)
		d.logf("gateway %s wakes", d.gateways[0].name)
	}
	consumers.Wait()
	mixed, begun := 0, 0
	for _, events := range streams {
		if len(events) > 0 {
			begun++
		}
		if hasTwoVersions(events) {
			mixed++
			d.logf("a stream holds events of two software versions: %s", strings.Join(events, "; "))
		}
	}
	d.logf("streams that hold events of two software versions: %d", mixed)
	fmt.Printf("streams of two software versions: %d of %d\n", mixed, begun)
	if begun < thawedStreams {
		return couldNotRun, fmt.Errorf("%d of %d streams began", begun, thawedStreams)
	}
	if mixed > maxMixedStreams {
		return broken, nil
	}
	return held, nil
}

// followThawed reads a stream at one of the gateways after the first one. If its channel breaks, it takes the stream up once, at one of
// the other gateways. It returns the events of both attempts.
func (d *deployment) followThawed(n int) (events []string) {
	own := 1 + n%3
	begun := time.Now()
	c := newConsumer(d.gateways[own])
	first := c.send("GET", "/follow/sheet", nil, "", thawedBudget)
	d.logf("stream %s at %s: status %d, %d events, complete %v, error %v", first.id, c.gateway.name, first.status, len(first.events), first.complete, first.err)
	if first.complete || len(first.events) == 0 {
		return first.events
	}
	time.Sleep(thawedPause)
	c = newConsumer(d.gateways[(own+1+n/3%3)%4])
	left := thawedBudget - time.Since(begun)
	c.client.Transport.(*http.Transport).ResponseHeaderTimeout = min(notReadTimeout, left/3) + firstEventTime
	headers := map[string]string{"Resumes": first.id, "Last-Event-Id": first.lastID}
	a := c.send("GET", "/follow/sheet", headers, "", left)
	d.logf("stream %s is taken up after event %s by %s at %s: status %d, %d events, complete %v, error %v", first.id, first.lastID, a.id, c.gateway.name, a.status, len(a.events), a.complete, a.err)
	return append(first.events, a.events...)
}
