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
	// Connections are cut every cutInterval during cutDuration.
	cutInterval = 60 * time.Millisecond
	cutDuration = 900 * time.Millisecond
	// maxDatagramBytes is larger than any probe.
	maxDatagramBytes = 64 << 10
)

// relay forwards frames and probes between the entries and one agent, and can cut the connections for frames.
type relay struct {
	target     string
	listener   net.Listener
	packetConn net.PacketConn

	mu           sync.Mutex
	conns        map[net.Conn]bool
	agentSockets map[string]net.Conn
	accepted     int
}

func startRelay(c *qt.C, target string) *relay {
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	r := &relay{target: target, conns: make(map[net.Conn]bool), agentSockets: make(map[string]net.Conn)}
	r.listener, err = net.Listen("tcp4", address)
	c.Assert(err, qt.IsNil)
	r.packetConn, err = net.ListenPacket("udp4", address)
	c.Assert(err, qt.IsNil)
	go r.accept()
	go r.forwardDatagrams()
	c.Cleanup(r.stop)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		callerConn, err := r.listener.Accept()
		if err != nil {
			return
		}
		agentConn, err := net.Dial("tcp4", r.target)
		if err != nil {
			_ = callerConn.Close()
			continue
		}
		r.mu.Lock()
		r.conns[callerConn], r.conns[agentConn] = true, true
		r.accepted++
		r.mu.Unlock()
		go r.copy(callerConn, agentConn)
		go r.copy(agentConn, callerConn)
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

// forwardDatagrams forwards datagrams to the agent, with one socket for each sender.
func (r *relay) forwardDatagrams() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := r.packetConn.ReadFrom(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		socket := r.agentSockets[sender.String()]
		if socket == nil {
			if socket, err = net.Dial("udp4", r.target); err == nil {
				r.agentSockets[sender.String()] = socket
				go r.forwardReplies(socket, sender)
			}
		}
		r.mu.Unlock()
		if socket != nil {
			_, _ = socket.Write(buf[:n])
		}
	}
}

func (r *relay) forwardReplies(socket net.Conn, sender net.Addr) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := socket.Read(buf)
		if err != nil {
			return
		}
		_, _ = r.packetConn.WriteTo(buf[:n], sender)
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
	_ = r.packetConn.Close()
	r.cut()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, socket := range r.agentSockets {
		_ = socket.Close()
	}
}

// relayAgents puts a relay in front of every agent and waits until the entries use the relays of a service. sendThrough
// sends requests for that service through an entry.
func (b *testFleet) relayAgents(c *qt.C, service string, sendThrough func(entry string)) map[string]*relay {
	relays := make(map[string]*relay)
	var document listhttp.Document
	for _, instance := range b.fleet.Instances {
		listed := instance.Instance
		if instance.Role == metastore.RoleAgent {
			relays[instance.ID] = startRelay(c, instance.Address)
			listed.Address = relays[instance.ID].address()
		}
		document.Instances = append(document.Instances, listed)
	}
	err := testbed.Call(b.ctx, http.MethodPut, b.fleet.ListAddress, "/admin/instances", document, nil)
	c.Assert(err, qt.IsNil)
	for deadline := time.Now().Add(submitTimeout); time.Now().Before(deadline); time.Sleep(retryPause) {
		used := true
		for _, entry := range b.entries() {
			sendThrough(entry)
		}
		for _, agent := range b.fleet.Agents(service) {
			used = used && relays[agent.ID].used()
		}
		if used {
			return relays
		}
	}
	c.Fatal("the entries do not use the relays")
	return nil
}
