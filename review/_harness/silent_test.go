package harness

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamyoke.example/balsamyoke/internal/wire"
)

func init() { cases["silent"] = playSilent }

const (
	silentGateways = 12
	silentEngines  = 6
	// takenUpAfter is the number of events after which a client's connection breaks.
	takenUpAfter = 3
	silentEvents = 10
	warmUp       = 20 * time.Second
	// silentContact is longer than contact_ms of nyiraflue-quotes-grown, 4,000: by then the gateways are in touch again after the
	// channels have become silent. silentFor is how long the streams are judged from then on.
	silentContact = 5 * time.Second
	silentFor     = 25 * time.Second
	// takenUpMin and goOnShare are the bounds of the rule.
	takenUpMin = 12
	goOnShare  = 0.5
)

// switchboard stands between the gateways: all that they send each other passes through it. It gives each gateway an address
// for heartbeats and one for calls, and tells the others those in place of the gateway's own.
type switchboard struct {
	mu       sync.Mutex
	channels map[*channel]bool
	// addresses are those of the switchboard by those of the gateways.
	addresses map[string]string
	opened    int
}

// channel is one connection between two gateways. A silent one stays open, and nothing passes any more.
type channel struct {
	mu     sync.Mutex
	silent bool
}

func newSwitchboard() *switchboard {
	return &switchboard{channels: make(map[*channel]bool), addresses: make(map[string]string)}
}

// add opens the addresses for a gateway.
func (b *switchboard) add(d *deployment, beats, control string) {
	calls, err := net.Listen("tcp4", d.freeAddress())
	must(err)
	datagrams, err := net.ListenPacket("udp4", d.freeAddress())
	must(err)
	b.mu.Lock()
	b.addresses[control], b.addresses[beats] = calls.Addr().String(), datagrams.LocalAddr().String()
	b.mu.Unlock()
	go func() {
		for {
			conn, err := calls.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, control)
		}
	}()
	to, err := net.ResolveUDPAddr("udp4", beats)
	must(err)
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := datagrams.ReadFrom(buffer)
			if err != nil {
				return
			}
			beat := &wire.Beat{}
			if proto.Unmarshal(buffer[:n], beat) != nil {
				continue
			}
			b.translate(beat.GetFrom())
			for _, p := range beat.GetPeers() {
				b.translate(p)
			}
			if datagram, err := proto.Marshal(beat); err == nil {
				_, _ = datagrams.WriteTo(datagram, to)
			}
		}
	}()
}

// translate replaces a gateway's own addresses by those of the switchboard.
func (b *switchboard) translate(p *wire.Peer) {
	if p == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, ok := b.addresses[p.GetBeatAddress()]; ok {
		p.BeatAddress = a
	}
	if a, ok := b.addresses[p.GetControlAddress()]; ok {
		p.ControlAddress = a
	}
}

func (b *switchboard) serve(conn net.Conn, target string) {
	defer conn.Close()
	out, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer out.Close()
	c := &channel{}
	b.mu.Lock()
	b.channels[c] = true
	b.opened++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.channels, c)
		b.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if err != nil {
				return
			}
			c.mu.Lock()
			silent := c.silent
			c.mu.Unlock()
			if silent {
				continue
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
	}
	go pass(out, conn)
	go pass(conn, out)
	<-done
}

// silence makes all open channels silent for good. It returns their number.
func (b *switchboard) silence() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.channels {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(b.channels)
}

// startStoreFront starts an address at which the gateways reach the store. In the announcements of gateways that are read there
// the addresses are those of the switchboard.
func (b *switchboard) startStoreFront(d *deployment) string {
	target, err := url.Parse("http://" + d.store.Address())
	must(err)
	proxy := httputil.NewSingleHostReverseProxy(target)
	// A call that its gateway ends is no error here.
	proxy.ErrorHandler = func(out http.ResponseWriter, _ *http.Request, _ error) { out.WriteHeader(http.StatusBadGateway) }
	proxy.ModifyResponse = func(r *http.Response) error {
		if r.Request.URL.Path != "/balsamyoke/kv-range" || !strings.HasPrefix(r.Request.URL.Query().Get("prefix"), "balsamyoke/") {
			return nil
		}
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return err
		}
		var page map[string]any
		if err := json.Unmarshal(text, &page); err != nil {
			return err
		}
		items, _ := page["items"].([]any)
		for _, i := range items {
			item, _ := i.(map[string]any)
			if key, _ := item["key"].(string); !strings.HasPrefix(key, "balsamyoke/gateways/") {
				continue
			}
			encoded, _ := item["value"].(string)
			value, _ := base64.StdEncoding.DecodeString(encoded)
			peer := &wire.Peer{}
			if json.Unmarshal(value, peer) == nil {
				b.translate(peer)
				value, _ = json.Marshal(peer)
				item["value"] = base64.StdEncoding.EncodeToString(value)
			}
		}
		if text, err = json.Marshal(page); err != nil {
			return err
		}
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(text)), int64(len(text))
		r.Header.Set("Content-Length", strconv.Itoa(len(text)))
		return nil
	}
	listener, err := net.Listen("tcp4", d.freeAddress())
	must(err)
	server := &http.Server{Handler: proxy}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// playSilent lets the connections of clients break in the middle of their streams, which they take up again at other gateways,
// and makes the channels between the gateways silent.
func playSilent(d *deployment, trouble bool) bool {
	d.put("op/config", fmt.Sprintf(`{"version":1,"routes":[{"name":"flue-fit","host":%q,"prefix":"/fit/","kind":"streaming","timeout_ms":5000,"target_latency_ms":400,"target_gap_ms":300,"priority":0,"service":"drafters","max_attempts":2,"public":true,"resumable":true,"session_affinity":true}],
		"services":[{"name":"drafters","max_connections":370,"engine":{"slots":64,"kv_capacity":80011,"kv_token_bytes":18432,"models":[{"name":%q}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":10000},"tenants":[]}`, host, model))
	d.put("op/version/"+model, fmt.Sprintf(`{"model":%q,"version":1}`, model))
	var engines []*engine
	for i := range silentEngines {
		e := d.newEngine(fmt.Sprintf("e%d", i), "drafters", "zone-0", "v1")
		e.events, e.pause = silentEvents, 80*time.Millisecond
		e.startRun("v1")
		engines = append(engines, e)
	}
	board := newSwitchboard()
	front := board.startStoreFront(d)
	d.storeAddress = func(int) string { return front }
	d.onSettings = func(beats, control string) { board.add(d, beats, control) }
	d.startGateways(silentGateways)
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var judging bool
	var begun, notBegun, goneOn, notGoneOn int
	stop := make(chan struct{})
	var clients sync.WaitGroup
	stream := func() {
		mu.Lock()
		judged := judging
		mu.Unlock()
		first := rand.IntN(silentGateways)
		g, next := d.gateways[first], d.gateways[(first+1+rand.IntN(silentGateways-1))%silentGateways]
		id := d.newID()
		body := fmt.Sprintf("Balsamyoke-Deadline-Ms: 5000\r\nBalsamyoke-Model: %s\r\nBalsamyoke-Token-Usage: 2368,%d\r\nBalsamyoke-Prompt-Prefix: 5a%s:1861,%s:507\r\n", model, silentEvents, id, id)
		last := eventsUntil(g.address, "Balsamyoke-Request-Id: "+id+"\r\n"+body, takenUpAfter)
		if last < takenUpAfter {
			d.record("stream %s did not begin at %s", id, g.name)
			mu.Lock()
			defer mu.Unlock()
			if judged {
				notBegun++
			}
			return
		}
		again := d.newID()
		a := send(next.address, http.MethodPost, "/fit/x", fmt.Sprintf("Balsamyoke-Request-Id: %s\r\nResumes: %s\r\nLast-Event-Id: %d\r\n%s", again, id, last, body), "prompt", 6*time.Second, nil)
		on := a.status == http.StatusOK && a.complete && strings.HasPrefix(a.body, fmt.Sprintf("id: %d\n", last+1))
		d.record("stream %s begun at %s, event %d, taken up as %s at %s: status %d, goes on %v", id, g.name, last, again, next.name, a.status, on)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case !judged:
		case on:
			begun, goneOn = begun+1, goneOn+1
		default:
			begun, notGoneOn = begun+1, notGoneOn+1
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
				clients.Go(stream)
			}
		}
	})
	time.Sleep(warmUp)
	if trouble {
		d.record("the %d open channels between the gateways become silent, new ones work", board.silence())
	}
	time.Sleep(silentContact)
	mu.Lock()
	judging = true
	mu.Unlock()
	d.record("the gateways are in touch; streams are judged from here on")
	time.Sleep(silentFor)
	close(stop)
	clients.Wait()
	for _, e := range engines {
		e.crash()
	}
	taken := goneOn + notGoneOn
	d.record("of %d new streams %d began; of %d streams that were taken up again %d went on", begun+notBegun, begun, taken, goneOn)
	if taken < takenUpMin {
		panic(cannotRun{fmt.Errorf("only %d streams were taken up", taken)})
	}
	return float64(goneOn)/float64(taken) < goOnShare*float64(begun)/float64(begun+notBegun)
}

// eventsUntil sends a request for a stream and reads its first events. Then the connection breaks. It returns the id of the last
// event.
func eventsUntil(address, headers string, events int) (last int) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST /fit/x HTTP/1.1\r\nHost: %s\r\n%sContent-Length: 6\r\n\r\nprompt", host, headers)
	text, buffer := "", make([]byte, 4<<10)
	for last < events {
		n, err := conn.Read(buffer)
		text += string(buffer[:n])
		for last < events && strings.Contains(text, fmt.Sprintf("id: %d\n", last+1)) {
			last++
		}
		if err != nil {
			break
		}
	}
	return last
}
