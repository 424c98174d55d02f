package harness

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["jump"] = playJump }

const (
	jumpGateways = 3
	jumpEngines  = 6
	// namedVersion is the weight version that the operator names after version 1, a date; nextVersion the one without the
	// disruption.
	namedVersion = 20261205
	nextVersion  = 2
	// bookingTimeout is the timeout_ms of the route of the bookings, answerWithin how much later the rule wants an answer.
	bookingTimeout = 1500 * time.Millisecond
	answerWithin   = 500 * time.Millisecond
	// judgedFrom is how long after the naming the first judged booking is sent, judgedFor how long bookings are judged.
	judgedFrom = time.Second
	judgedFor  = 12 * time.Second
	// unansweredMin and unansweredShare are the bounds of the rule.
	unansweredMin   = 8
	unansweredShare = 0.25
)

// playJump lets the operator name new weights while prompts and bookings come, and judges the answers to the bookings, whose
// service has no weights.
func playJump(d *deployment, trouble bool) bool {
	d.put("op/config", fmt.Sprintf(`{"version":1,"routes":[{"name":"flue-fit","host":%q,"prefix":"/fit/","kind":"streaming","timeout_ms":3000,"target_latency_ms":400,"target_gap_ms":300,"priority":0,"service":"drafters","max_attempts":2,"public":true,"resumable":true,"session_affinity":true},
		{"name":"visit-book","host":%q,"prefix":"/visit/","kind":"non_idempotent","timeout_ms":%d,"target_latency_ms":200,"priority":2,"service":"yard-desk","max_attempts":1,"public":true}],
		"services":[{"name":"drafters","max_connections":370,"engine":{"slots":64,"kv_capacity":80011,"kv_token_bytes":18432,"models":[{"name":%q}]}},{"name":"yard-desk","max_connections":110}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":10000},"tenants":[]}`, host, host, bookingTimeout.Milliseconds(), model))
	d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var servers []*engine
	for i := range jumpEngines {
		e := d.newEngine(fmt.Sprintf("e%02d", i), "drafters", "zone-0", "v1")
		e.events, e.pause = 4, 30*time.Millisecond
		servers = append(servers, e)
	}
	var ran sync.Map
	servers = append(servers, d.newBookingServers(&ran)...)
	for _, s := range servers {
		s.startRun("v1")
	}
	d.startGateways(jumpGateways)

	stop := make(chan struct{})
	var clients sync.WaitGroup
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
	var judging atomic.Bool
	var prompts, served, slow, unanswered atomic.Int64
	for _, g := range d.gateways {
		every(40*time.Millisecond, func(id string) {
			headers := fmt.Sprintf("Balsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: 3000\r\nBalsamyoke-Model: %s\r\nBalsamyoke-Token-Usage: 2368,4\r\nBalsamyoke-Prompt-Prefix: 5c1e07a2:1861,%s:507\r\n", id, model, id)
			a := send(g.address, http.MethodPost, "/fit/x", headers, "prompt", 4*time.Second, nil)
			if a.complete && a.status == http.StatusOK {
				prompts.Add(1)
			}
		})
		every(60*time.Millisecond, func(id string) {
			judged, sentAt := judging.Load(), time.Now()
			headers := fmt.Sprintf("Balsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: %d\r\n", id, bookingTimeout.Milliseconds())
			a := send(g.address, http.MethodPost, "/visit/x", headers, "booking", bookingTimeout+answerWithin, nil)
			_, begun := ran.Load(id)
			took := time.Since(sentAt)
			d.record("client got for booking %s of %s after %d ms: status %d, error %v, has run %v", id, g.name, took.Milliseconds(), a.status, a.err, begun)
			if a.complete && a.status == http.StatusOK {
				served.Add(1)
			}
			if judged && took > bookingTimeout {
				slow.Add(1)
				if !a.complete {
					unanswered.Add(1)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	before := served.Load()
	version := nextVersion
	if trouble {
		version = namedVersion
		if text := os.Getenv("NAMED"); text != "" {
			version, _ = strconv.Atoi(text)
		}
	}
	d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":%d}`, model, version))
	d.record("operator names weights %d", version)
	time.Sleep(judgedFrom)
	judging.Store(true)
	time.Sleep(judgedFor)
	judging.Store(false)
	for _, g := range d.gateways {
		response, err := (&http.Client{Timeout: time.Second}).Get("http://" + g.ready + "/balsamyoke/ready")
		if err != nil {
			d.record("%s: readiness: %v", g.name, err)
			continue
		}
		_ = response.Body.Close()
		d.record("%s: readiness: %d", g.name, response.StatusCode)
	}
	close(stop)
	clients.Wait()
	for _, s := range servers {
		s.crash()
	}
	d.record("%d prompts and %d bookings served, %d of these before the naming; of the bookings sent from %s after it, %d lasted longer than the timeout of their route, and %d of these had no answer %s later",
		prompts.Load(), served.Load(), before, judgedFrom, slow.Load(), unanswered.Load(), answerWithin)
	if before < 50 {
		panic(cannotRun{fmt.Errorf("only %d bookings were served before the naming", before)})
	}
	return unanswered.Load() >= unansweredMin && float64(unanswered.Load()) > unansweredShare*float64(slow.Load())
}
