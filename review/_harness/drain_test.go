package harness

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

func init() { cases["drain"] = playDrain }

const (
	drainGateways = 2
	drainServers  = 3
	drainCycles   = 10
	// cutLength is how long the gateway is cut off from the store, leaveAfter how much later than that a server leaves.
	cutLength  = 5500 * time.Millisecond
	leaveAfter = 900 * time.Millisecond
	// contactTime is how long after a cut a gateway is in touch again, drainTime how long after its leaving a server may get
	// requests, lingerTime how much longer it serves.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	lingerTime  = 500 * time.Millisecond
)

// cutProxy stands between a gateway and the store. While it is cut nothing passes; what was opened meanwhile never answers.
type cutProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	conns    map[net.Conn]bool
}

func startCutProxy(address, target string) (*cutProxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &cutProxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *cutProxy) serve(conn net.Conn) {
	defer conn.Close()
	p.mu.Lock()
	lost := p.cut
	p.mu.Unlock()
	if lost {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	go p.copy(out, conn, done)
	go p.copy(conn, out, done)
	<-done
}

// copy forwards bytes. Those that arrive while the proxy is cut are lost, and with them the connection.
func (p *cutProxy) copy(to, from net.Conn, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		lost = lost || p.cut
		p.mu.Unlock()
		if err != nil {
			return
		}
		if lost {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *cutProxy) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// remove removes a key from the store as a server does that leaves.
func (d *deployment) remove(key string) {
	for {
		record, err := d.store.Store().Get(context.Background(), key)
		if err == nil {
			var result metastore.SwapResult
			result, err = d.store.Store().CompareAndSwap(context.Background(), metastore.Swap{Key: key, Delete: true, Expect: record.ModRevision})
			if err == nil && result.Swapped {
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// playDrain cuts a gateway off from the store again and again, and lets a server leave each time just after the cut has ended.
func playDrain(d *deployment, trouble bool) bool {
	d.put("op/config", fmt.Sprintf(`{"version":1,"routes":[
		{"name":"visit-book","host":%q,"prefix":"/visit/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"yard-desk","max_attempts":1,"public":true}],
		"services":[{"name":"yard-desk","max_connections":110}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`, host))
	var mu sync.Mutex
	// lateFrom is, by server, from when a request that a client sends must not reach it; ranAt is the server of each request.
	lateFrom := make(map[string]time.Time)
	ranAt := make(map[string]string)
	number := 0
	newServer := func() *engine {
		s := d.newEngine(fmt.Sprintf("s%d", number), "yard-desk", "zone-0", "v1")
		number++
		s.work = 300 * time.Millisecond
		s.onRun = func(request string) {
			mu.Lock()
			defer mu.Unlock()
			ranAt[request] = s.id
		}
		s.startRun("v1")
		return s
	}
	var servers []*engine
	for range drainServers {
		servers = append(servers, newServer())
	}
	proxyAddress := d.freeAddress()
	p, err := startCutProxy(proxyAddress, d.store.Address())
	must(err)
	d.storeAddress = func(i int) string {
		if i == 0 {
			return proxyAddress
		}
		return d.store.Address()
	}
	d.startGateways(drainGateways)
	var served, late, lost atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	book := func() {
		id, sentAt := d.newID(), time.Now()
		headers := fmt.Sprintf("Balsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: 1500\r\n", id)
		a := send(d.gateways[0].address, "POST", "/visit/x", headers, "booking", 3*time.Second, nil)
		mu.Lock()
		server := ranAt[id]
		from, left := lateFrom[server]
		mu.Unlock()
		ok := a.complete && a.status == http.StatusOK
		if ok {
			served.Add(1)
		}
		if left && sentAt.After(from) {
			late.Add(1)
			d.record("DRAIN %s was sent to gateway-0 %d ms after the bound of server %s, which runs it; status %d", id, sentAt.Sub(from).Milliseconds(), server, a.status)
			if !ok {
				lost.Add(1)
				d.record("LOST %s: server %s began it and exited; the client got status %d, error %v", id, server, a.status, a.err)
			}
		}
		if !ok {
			d.record("client got for %s: status %d, error %v, run by %q", id, a.status, a.err, server)
		}
	}
	clients.Go(func() {
		ticker := time.NewTicker(40 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				clients.Go(book)
			}
		}
	})
	time.Sleep(2 * time.Second)
	for cycle := range drainCycles {
		if trouble {
			p.set(true)
			d.record("gateway-0 is cut off from the store")
		}
		time.Sleep(cutLength)
		p.set(false)
		healed := time.Now()
		d.record("gateway-0 reaches the store")
		old := servers[cycle%drainServers]
		servers[cycle%drainServers] = newServer()
		time.Sleep(leaveAfter)
		old.leave()
		d.remove("servers/" + old.id)
		left := time.Now()
		d.record("server %s leaves: its entry is removed, acknowledged by the store", old.id)
		mu.Lock()
		lateFrom[old.id] = left.Add(drainTime)
		if inTouch := healed.Add(contactTime); inTouch.After(lateFrom[old.id]) {
			lateFrom[old.id] = inTouch
		}
		mu.Unlock()
		time.Sleep(time.Until(left.Add(drainTime + lingerTime)))
		old.exit()
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	for _, s := range servers {
		s.crash()
	}
	d.record("%d bookings served; %d reached a server after its bound, %d of them were lost", served.Load(), late.Load(), lost.Load())
	if served.Load() < 500 {
		panic(cannotRun{fmt.Errorf("only %d requests were served", served.Load())})
	}
	return late.Load() > 0
}
