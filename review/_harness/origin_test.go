package harness

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["origin"] = playOrigin }

const (
	originGateways = 3
	originEngines  = 7
	// crashing is the number of engines that crash, and come back with other software.
	crashing = 2
	// outage is how long the store is down, and away how long a crashed server is.
	outage = 8 * time.Second
	away   = time.Second
	// fitPause and draftPause are the times between two requests of a kind to one gateway.
	fitPause   = 45 * time.Millisecond
	draftPause = 170 * time.Millisecond
	// tokensPerMS is the speed at which an engine reads prompts.
	tokensPerMS = 55
	// mixedAllowed is the number of mixed streams that the rule allows.
	mixedAllowed = 2
)

// playOrigin takes the store down, lets servers crash that come back with other software meanwhile, and lets them crash once more
// while streams that they began are under way.
func playOrigin(d *deployment, trouble bool) bool {
	d.put("op/config", fmt.Sprintf(`{"version":1,"routes":[{"name":"flue-fit","host":%q,"prefix":"/fit/","kind":"streaming","timeout_ms":3000,"target_latency_ms":400,"target_gap_ms":300,"priority":0,"service":"drafters","max_attempts":2,"public":true,"resumable":true,"session_affinity":true},
		{"name":"liner-draft","host":%q,"prefix":"/draft/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1000,"target_gap_ms":300,"priority":1,"service":"drafters","max_attempts":1,"public":true,"resumable":false,"session_affinity":true}],
		"services":[{"name":"drafters","max_connections":370,"engine":{"slots":64,"kv_capacity":80011,"kv_token_bytes":18432,"models":[{"name":%q}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":10000},"tenants":[]}`, host, host, model))
	d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var engines []*engine
	for i := range originEngines {
		e := d.newEngine(fmt.Sprintf("e%d", i), "drafters", "zone-0", "v1")
		e.events, e.pause, e.tokensPerMS = 15, 140*time.Millisecond, tokensPerMS
		e.startRun("v1")
		engines = append(engines, e)
	}
	d.startGateways(originGateways)
	var mu sync.Mutex
	complete, mixed := 0, 0
	stop := make(chan struct{})
	var clients sync.WaitGroup
	call := func(g *gatewayProcess, path, usage, prefix string, id string, deadlineMS int) {
		headers := fmt.Sprintf("Balsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: %d\r\nBalsamyoke-Model: %s\r\nBalsamyoke-Token-Usage: %s\r\nBalsamyoke-Prompt-Prefix: %s\r\n", id, deadlineMS, model, usage, prefix)
		d.record("client sends %s %s to %s", path, id, g.name)
		a := send(g.address, "POST", path, headers, "prompt", 2*time.Duration(deadlineMS)*time.Millisecond, nil)
		versions := softwareOf(a.body)
		d.record("client got for %s: status %d, complete %v, software %v, error %v", id, a.status, a.complete, versions, a.err)
		mu.Lock()
		defer mu.Unlock()
		if a.complete && a.status == 200 {
			complete++
		}
		if len(versions) > 1 {
			mixed++
			d.record("MIXED %s has events of software %v: %q", id, versions, a.body)
		}
	}
	every := func(pause time.Duration, f func(id string)) {
		clients.Go(func() {
			ticker := time.NewTicker(pause)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				id := d.newID()
				clients.Go(func() { f(id) })
			}
		})
	}
	for _, g := range d.gateways {
		every(fitPause, func(id string) { call(g, "/fit/x", "2368,15", fmt.Sprintf("5a%s:1861,%s:507", id, id), id, 3000) })
		every(draftPause, func(id string) {
			call(g, "/draft/x", "11992,15", fmt.Sprintf("5b%s:9122,%s:2870", id, id), id, 15000)
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		d.storeDown(true)
		up := time.Now().Add(outage)
		time.Sleep(300 * time.Millisecond)
		each(engines[:crashing], (*engine).crash)
		time.Sleep(away)
		each(engines[:crashing], func(e *engine) { e.startRun("v2") })
		time.Sleep(time.Until(up.Add(-400 * time.Millisecond)))
		each(engines[:crashing], (*engine).crash)
		time.Sleep(time.Until(up))
		d.storeDown(false)
		time.Sleep(away)
		each(engines[:crashing], func(e *engine) { e.startRun("v2") })
	} else {
		time.Sleep(outage + away)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	for _, e := range engines {
		e.crash()
	}
	d.record("%d streams complete, %d with events of two software versions", complete, mixed)
	if complete < 100 {
		panic(cannotRun{fmt.Errorf("only %d streams were complete", complete)})
	}
	return mixed > mixedAllowed
}

func each(engines []*engine, f func(e *engine)) {
	for _, e := range engines {
		f(e)
	}
}

// softwareOf returns the software versions that wrote the events of a stream, in their order.
func softwareOf(body string) (versions []string) {
	for line := range strings.SplitSeq(body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			v, _, _ := strings.Cut(data, " ")
			if len(versions) == 0 || versions[len(versions)-1] != v {
				versions = append(versions, v)
			}
		}
	}
	return versions
}
