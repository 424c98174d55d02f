package harness

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	memoryGateways = 3
	memoryEngines  = 18
	memoryServers  = 3
	memoryClients  = 24
	// bookingTime is how long a plain server works on a request.
	bookingTime = 100 * time.Millisecond
	// inTrouble is the number of engines that answer a request for their report with bytes without end.
	inTrouble = 3
	// memoryLimitMB is the memory of an edge machine; the platform kills a process that exceeds it.
	memoryLimitMB = 134
	// linkBytesPerSecond is the bandwidth of an edge machine's link, which all such answers share.
	linkBytesPerSecond = 1000 * 1000 * 1000 / 8
	troubleLength      = 15 * time.Second
	// lostAllowed is the number of lost requests that the rule allows.
	lostAllowed = 3
)

// link shares its bandwidth among all who send over it.
type link struct {
	mu   sync.Mutex
	free time.Time
}

func (l *link) wait(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second)))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}

// serveEndless answers with bytes that are no report, until the caller closes.
func (l *link) serveEndless(e *engine) http.HandlerFunc {
	chunk := []byte(strings.Repeat("x", 64<<10))
	return func(out http.ResponseWriter, in *http.Request) {
		e.d.record("server %s begins to answer %s without end", e.id, in.URL.Path)
		out.Header().Set("Content-Type", "application/json")
		out.Header().Set("Transfer-Encoding", "identity")
		sent := 0
		for {
			l.wait(len(chunk))
			n, err := out.Write(chunk)
			if sent += n; err != nil {
				break
			}
		}
		e.d.record("server %s sent %d bytes until its caller closed", e.id, sent)
	}
}

// playMemory lets the operator name new weights while some engines answer requests for their report without end.
func playMemory(d *deployment, trouble bool) bool {
	d.put("op/config", fmt.Sprintf(`{"version":1,"routes":[{"name":"flue-fit","host":%q,"prefix":"/fit/","kind":"streaming","timeout_ms":3000,"target_latency_ms":400,"target_gap_ms":300,"priority":0,"service":"drafters","max_attempts":2,"public":true,"resumable":true,"session_affinity":true},
		{"name":"visit-book","host":%q,"prefix":"/visit/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"yard-desk","max_attempts":1,"public":true}],
		"services":[{"name":"drafters","max_connections":370,"engine":{"slots":64,"kv_capacity":80011,"kv_token_bytes":18432,"models":[{"name":%q}]}},{"name":"yard-desk","max_connections":110}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":10000},"tenants":[]}`, host, host, model))
	d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var servers []*engine
	var l link
	for i := range memoryEngines {
		e := d.newEngine(fmt.Sprintf("e%02d", i), "drafters", "zone-0", "v1")
		e.events, e.pause = 4, 50*time.Millisecond
		if trouble && i < inTrouble {
			e.report = l.serveEndless(e)
		}
		servers = append(servers, e)
	}
	var ran sync.Map
	servers = append(servers, d.newBookingServers(&ran)...)
	for _, s := range servers {
		s.startRun("v1")
	}
	d.startGateways(memoryGateways)
	b := d.startBookings(&ran)
	time.Sleep(4 * time.Second)
	d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":2}`, model))
	d.record("operator names weights 2")
	d.runPlatform(troubleLength)
	b.end()
	for _, s := range servers {
		s.crash()
	}
	return b.judge()
}

// newBookingServers returns the servers of the plain service, which record the requests that they run.
func (d *deployment) newBookingServers(ran *sync.Map) (servers []*engine) {
	for i := range memoryServers {
		s := d.newEngine(fmt.Sprintf("s%d", i), "yard-desk", "zone-0", "v1")
		s.work = bookingTime
		s.onRun = func(request string) { ran.Store(request, true) }
		servers = append(servers, s)
	}
	return servers
}

// bookings are clients that send requests which may not be repeated, each on a connection that it keeps.
type bookings struct {
	d            *deployment
	lost, served atomic.Int64
	stop         chan struct{}
	clients      sync.WaitGroup
}

func (d *deployment) startBookings(ran *sync.Map) *bookings {
	b := &bookings{d: d, stop: make(chan struct{})}
	for i := range memoryClients {
		g := d.gateways[i%len(d.gateways)]
		b.clients.Go(func() {
			var k keptConnection
			defer k.close()
			for {
				select {
				case <-b.stop:
					return
				case <-time.After(rand.N(20 * time.Millisecond)):
				}
				id := d.newID()
				request := fmt.Sprintf("POST /visit/x HTTP/1.1\r\nHost: %s\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: 1500\r\nContent-Length: 7\r\n\r\nbooking", host, id)
				status, _, kept, err := k.call(g.address, request, 3*time.Second)
				_, begun := ran.Load(id)
				if err == nil && status == http.StatusOK {
					b.served.Add(1)
					continue
				}
				d.record("client got for %s of %s: status %d, error %v, kept connection %v, has run %v", id, g.name, status, err, kept, begun)
				if err != nil && kept && begun {
					b.lost.Add(1)
					d.record("LOST %s: passed on to a sound server, and its kept connection closed without an answer", id)
				}
			}
		})
	}
	return b
}

func (b *bookings) end() {
	close(b.stop)
	b.clients.Wait()
}

// judge reports whether more requests were lost than the rule allows.
func (b *bookings) judge() bool {
	b.d.record("%d bookings served, %d lost", b.served.Load(), b.lost.Load())
	if b.served.Load() < 100 {
		panic(cannotRun{fmt.Errorf("only %d requests were served", b.served.Load())})
	}
	return b.lost.Load() > lostAllowed
}

// runPlatform does for a time what the platform does: it kills a process that exceeds its memory, and starts it again.
func (d *deployment) runPlatform(length time.Duration) {
	peak := make([]int, len(d.gateways))
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for i, g := range d.gateways {
			rss := residentMB(g)
			peak[i] = max(peak[i], rss)
			if rss > memoryLimitMB {
				d.record("the platform kills %s, which uses %d MB, and starts it again", g.name, rss)
				g.kill()
				g.start()
			}
		}
	}
	d.record("peaks of the gateways: %v MB", peak)
}

// residentMB returns the memory that a gateway's process uses.
func residentMB(g *gatewayProcess) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/statm", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	text, _ := io.ReadAll(file)
	var size, resident int
	_, _ = fmt.Sscan(string(text), &size, &resident)
	return resident * os.Getpagesize() >> 20
}
