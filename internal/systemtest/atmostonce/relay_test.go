package atmostonce

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/listhttp"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

const (
	// cutEvery and cutFor say how often and how long connections are cut.
	cutEvery = 60 * time.Millisecond
	cutFor   = 900 * time.Millisecond
	// maxDatagram is larger than any probe.
	maxDatagram = 64 << 10
)

// relay stands between the entries and one agent, for frames and for probes, and cuts connections.
type relay struct {
	target   string
	listener net.Listener
	packets  net.PacketConn

	mu       sync.Mutex
	conns    map[net.Conn]bool
	upstream map[string]net.Conn
	accepted int
}

func startRelay(c *qt.C, target string) *relay {
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	r := &relay{target: target, conns: make(map[net.Conn]bool), upstream: make(map[string]net.Conn)}
	r.listener, err = net.Listen("tcp4", address)
	c.Assert(err, qt.IsNil)
	r.packets, err = net.ListenPacket("udp4", address)
	c.Assert(err, qt.IsNil)
	go r.accept()
	go r.probes()
	c.Cleanup(r.stop)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp4", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.conns[near], r.conns[far] = true, true
		r.accepted++
		r.mu.Unlock()
		go r.copy(near, far)
		go r.copy(far, near)
	}
}

func (r *relay) copy(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, to)
	delete(r.conns, from)
}

// probes passes datagrams on, with one socket towards the agent for each sender.
func (r *relay) probes() {
	buf := make([]byte, maxDatagram)
	for {
		n, sender, err := r.packets.ReadFrom(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		far := r.upstream[sender.String()]
		if far == nil {
			if far, err = net.Dial("udp4", r.target); err == nil {
				r.upstream[sender.String()] = far
				go r.replies(far, sender)
			}
		}
		r.mu.Unlock()
		if far != nil {
			_, _ = far.Write(buf[:n])
		}
	}
}

func (r *relay) replies(far net.Conn, sender net.Addr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := far.Read(buf)
		if err != nil {
			return
		}
		_, _ = r.packets.WriteTo(buf[:n], sender)
	}
}

// cut closes all connections for frames.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

func (r *relay) used() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted > 0
}

func (r *relay) stop() {
	_ = r.listener.Close()
	_ = r.packets.Close()
	r.cut()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, far := range r.upstream {
		_ = far.Close()
	}
}

// relayAgents puts a relay before every agent and waits until the entries use those of a service.
func (b *bed) relayAgents(c *qt.C, service string, use func(entry string)) map[string]*relay {
	relays := make(map[string]*relay)
	var document listhttp.Document
	for _, instance := range b.fleet.Instances {
		shown := instance.Instance
		if instance.Role == metastore.RoleAgent {
			relays[instance.ID] = startRelay(c, instance.Address)
			shown.Address = relays[instance.ID].address()
		}
		document.Instances = append(document.Instances, shown)
	}
	err := testbed.Call(b.ctx, http.MethodPut, b.fleet.ListAddress, "/admin/instances", document, nil)
	c.Assert(err, qt.IsNil)
	for deadline := time.Now().Add(submitTimeout); time.Now().Before(deadline); time.Sleep(retryPause) {
		used := true
		for _, entry := range b.entries() {
			use(entry)
		}
		for _, agent := range b.fleet.Service(service) {
			used = used && relays[agent.ID].used()
		}
		if used {
			return relays
		}
	}
	c.Fatal("the entries do not use the relays")
	return nil
}
