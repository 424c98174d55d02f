package harness

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["bodies"] = playBodies }

const (
	bodiesGateways = 2
	// bodyBytes is the size of a large body, the limit of the configuration.
	bodyBytes = 4194304
	// burstClients is the number of clients that send a large body each at the same time.
	burstClients = 30
	burstLength  = 6 * time.Second
)

// playBodies lets clients send large bodies, within the limit of the configuration, at the same time.
func playBodies(d *deployment, trouble bool) bool {
	d.put("op/config", fmt.Sprintf(`{"version":1,"routes":[
		{"name":"visit-book","host":%q,"prefix":"/visit/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"yard-desk","max_attempts":1,"public":true},
		{"name":"survey","host":%q,"prefix":"/survey/","kind":"idempotent","timeout_ms":15000,"target_latency_ms":1000,"priority":2,"service":"yard-desk","max_attempts":1,"public":true}],
		"services":[{"name":"yard-desk","max_connections":110}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`, host, host, bodyBytes))
	var ran sync.Map
	servers := d.newBookingServers(&ran)
	for _, s := range servers {
		s.startRun("v1")
	}
	d.startGateways(bodiesGateways)
	b := d.startBookings(&ran)
	time.Sleep(3 * time.Second)
	var uploads sync.WaitGroup
	if trouble {
		var l link
		for range burstClients {
			id := d.newID()
			uploads.Go(func() { d.upload(&l, id) })
		}
	}
	d.runPlatform(burstLength)
	uploads.Wait()
	b.end()
	for _, s := range servers {
		s.crash()
	}
	return b.judge()
}

// upload sends one request with a large body over a link, and reads its answer.
func (d *deployment) upload(l *link, id string) {
	d.record("client sends %s with a body of %d bytes", id, bodyBytes)
	conn, err := net.DialTimeout("tcp4", d.gateways[0].address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /survey/x HTTP/1.1\r\nHost: %s\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Deadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n", host, id, bodyBytes)
	piece := []byte(strings.Repeat("s", 64<<10))
	for sent := 0; sent < bodyBytes; sent += len(piece) {
		l.wait(len(piece))
		if _, err := conn.Write(piece); err != nil {
			d.record("client of %s: %v", id, err)
			return
		}
	}
	first := make([]byte, 64)
	n, err := conn.Read(first)
	d.record("client got for %s: %.40q, error %v", id, first[:n], err)
}
