package cut

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/loopback"
)

// The streams of a plain service, and what happens to its replicas.
const (
	appReplicas   = 4
	appSlots      = 6
	streamEvents  = 9
	eventPause    = 140 * time.Millisecond
	streamPause   = 330 * time.Millisecond
	outageRounds  = 3
	outageLength  = 4500 * time.Millisecond
	calmLength    = 9 * time.Second
	crashGap      = 900 * time.Millisecond
	replicaDown   = 300 * time.Millisecond
	allowedMixed  = 2
	streamTimeout = 3 * time.Second
)

// app is a replica of a plain service. It may start again under its id with other software.
type app struct {
	w                 *world
	id, zone, address string

	mu       sync.Mutex
	software string
	born     int64
	server   *http.Server
	running  int
}

func (w *world) startApps() error {
	for i := range appReplicas {
		address, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		a := &app{w: w, id: fmt.Sprintf("i-%04x", 0xb000+i), zone: fmt.Sprintf("zone-%d", i%2), address: address}
		if err := a.startRun("v1"); err != nil {
			return err
		}
		a.register()
		go func() {
			for range time.Tick(heartbeat) {
				a.register()
			}
		}()
		w.apps = append(w.apps, a)
	}
	return nil
}

func (a *app) startRun(software string) error {
	listener, err := net.Listen("tcp4", a.address)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.software, a.born, a.running = software, time.Now().UnixMilli(), 0
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go func(s *http.Server) { _ = s.Serve(listener) }(a.server)
	return nil
}

// restart crashes the replica and starts it again with other software. It registers at once, if the store can be reached.
func (a *app) restart(software string) {
	a.mu.Lock()
	server := a.server
	a.mu.Unlock()
	_ = server.Close()
	a.w.note("replica %s crashes", a.id)
	time.Sleep(replicaDown)
	if err := a.startRun(software); err != nil {
		a.w.note("replica %s could not start again: %v", a.id, err)
		return
	}
	a.w.note("replica %s runs again under its id with software %s", a.id, software)
	a.register()
}

func (a *app) register() {
	if a.w.isSilent() {
		return
	}
	a.mu.Lock()
	text, _ := json.Marshal(map[string]any{
		"service": "app", "address": a.address, "zone": a.zone, "version": a.software, "slots": appSlots, "state": "ready", "cold_remaining_ms": 0,
		"sequence": time.Now().UnixMilli(), "born": a.born,
	})
	a.mu.Unlock()
	a.w.put("servers/"+a.id, string(text))
}

func (a *app) serve(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("Balsamyoke-Request-Id")
	out.Header().Set("Balsamyoke-Request-Id", id)
	if in.Header.Get("Balsamyoke-Expect-Instance") != a.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.mu.Lock()
	software, full := a.software, a.running >= appSlots
	if !full {
		a.running++
	}
	a.mu.Unlock()
	if full {
		out.Header().Set("Balsamyoke-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		a.mu.Lock()
		a.running--
		a.mu.Unlock()
	}()
	first := 0
	fmt.Sscan(in.Header.Get("Last-Event-Id"), &first)
	a.w.note("request %s runs at %s, software %s, from event %d", id, a.id, software, first+1)
	out.Header().Set("Balsamyoke-Response-Stamp", "3e1b."+id)
	out.Header().Set("Content-Type", "text/event-stream")
	for i := first + 1; i <= streamEvents; i++ {
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i, software)
		out.(http.Flusher).Flush()
		select {
		case <-in.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

func (w *world) isSilent() bool {
	w.cutMu.Lock()
	defer w.cutMu.Unlock()
	return w.silent
}

func (w *world) setSilent(silent bool) {
	if !*troubleFlag {
		return
	}
	w.cutMu.Lock()
	w.silent = silent
	w.cutMu.Unlock()
	w.note("the metadata store is silent: %v", silent)
}

// playOrder lets the replicas of a plain service crash one after the other and start again under their ids with other software, while the
// metadata store is silent. It returns the exit code.
func (w *world) playOrder() int {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mixed, streams, resumed atomic.Int64
	for i := range w.gateways {
		callers.Go(func() {
			var running sync.WaitGroup
			defer running.Wait()
			for {
				select {
				case <-stop:
					return
				case <-time.After(streamPause):
				}
				running.Go(func() {
					versions, tries := w.follow(i)
					streams.Add(1)
					if tries > 1 {
						resumed.Add(1)
					}
					if len(versions) > 1 {
						mixed.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	for round := range outageRounds {
		w.setSilent(true)
		ends := time.Now().Add(outageLength)
		time.Sleep(200 * time.Millisecond)
		for _, a := range w.apps {
			go a.restart(fmt.Sprint("v", round+2))
			time.Sleep(crashGap)
		}
		time.Sleep(time.Until(ends))
		w.setSilent(false)
		for _, a := range w.apps {
			a.register()
		}
		time.Sleep(calmLength)
	}
	close(stop)
	callers.Wait()
	w.keepLogs()
	w.note("streams: %d, taken up by their consumers: %d, with events of two software versions: %d, allowed: %d", streams.Load(), resumed.Load(), mixed.Load(), allowedMixed)
	fmt.Printf("streams: %d, taken up: %d, mixed: %d\n", streams.Load(), resumed.Load(), mixed.Load())
	if mixed.Load() > allowedMixed {
		return exitBroken
	}
	return exitHeld
}

// follow reads one stream as a consumer does, and takes it up once at another gateway if it is broken off. It returns the software versions
// of its events and the number of tries.
func (w *world) follow(gateway int) (versions []string, tries int) {
	deadline := time.Now().Add(streamTimeout)
	first, last := "", 0
	for tries = 1; tries <= 2; tries++ {
		id := fmt.Sprintf("s%08x", requestNumber.Add(1))
		g := w.gateways[(gateway+tries-1)%len(w.gateways)]
		status, events, complete := w.readStream(g, id, first, last, deadline)
		for _, software := range events {
			last++
			if !slices.Contains(versions, software) {
				versions = append(versions, software)
			}
		}
		if first == "" && len(events) > 0 {
			first = id
		}
		w.note("stream %s of %s, taken up of %q: status %d, events of %v, complete %v", id, g.name, first, status, events, complete)
		if complete || time.Until(deadline) < 0 {
			break
		}
	}
	if len(versions) > 1 {
		w.note("BROKEN: stream %s holds events of software %v", first, versions)
	}
	return versions, min(tries, 2)
}

func (w *world) readStream(g *gatewayProcess, id, first string, last int, deadline time.Time) (status int, events []string, complete bool) {
	conn, err := net.DialTimeout("tcp4", g.listen, time.Second)
	if err != nil {
		return 0, nil, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(deadline)
	resume := ""
	if last > 0 {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first)
	}
	fmt.Fprintf(conn, "GET /watch/2f HTTP/1.1\r\nHost: h.example\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: %d\r\n%sConnection: close\r\n\r\n",
		id, time.Until(deadline).Milliseconds(), resume)
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, false
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return reply.StatusCode, nil, false
	}
	lines := bufio.NewScanner(reply.Body)
	for lines.Scan() {
		if software, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			events = append(events, software)
		}
	}
	return reply.StatusCode, events, lines.Err() == nil && last+len(events) == streamEvents
}
