package cut

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/wire"
)

var testContext = context.Background()

// startLinks starts the links over which the gateways of each group reach a gateway. Those from the other group drop everything during
// the cut. The links translate addresses, so that each gateway knows the others by the addresses of its own links.
func (w *world) startLinks(g *gatewayProcess) error {
	for group := range 2 {
		beats, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		packets, err := net.ListenPacket("udp4", beats)
		if err != nil {
			return err
		}
		g.beatsFor[group] = beats
		go w.relayBeats(packets, g, group)
		control, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		listener, err := net.Listen("tcp4", control)
		if err != nil {
			return err
		}
		g.controlFor[group] = control
		go w.relayControl(listener, g, group)
	}
	return nil
}

func (w *world) relayBeats(packets net.PacketConn, to *gatewayProcess, group int) {
	out, err := net.Dial("udp4", to.beats)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if group != to.group && w.isCut() {
			continue
		}
		beat := &wire.Beat{}
		if proto.Unmarshal(buffer[:n], beat) != nil {
			continue
		}
		w.translate(beat.GetFrom(), to.group)
		for _, p := range beat.GetPeers() {
			w.translate(p, to.group)
		}
		if text, err := proto.Marshal(beat); err == nil {
			_, _ = out.Write(text)
		}
	}
}

// translate replaces the addresses of a gateway by those at which a group reaches it.
func (w *world) translate(p *wire.Peer, group int) {
	for _, g := range w.gateways {
		if p != nil && p.GetInstance() == g.name {
			p.BeatAddress, p.ControlAddress = g.beatsFor[group], g.controlFor[group]
		}
	}
}

func (w *world) relayControl(listener net.Listener, to *gatewayProcess, group int) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			blocked := func() bool { return group != to.group && w.isCut() }
			out, err := net.Dial("tcp4", to.control)
			if err != nil {
				_ = in.Close()
				return
			}
			var both sync.WaitGroup
			pass := func(a, b net.Conn) {
				defer a.Close()
				defer b.Close()
				buffer := make([]byte, 32<<10)
				for {
					n, err := b.Read(buffer)
					for blocked() {
						time.Sleep(20 * time.Millisecond)
					}
					if n > 0 {
						if _, err := a.Write(buffer[:n]); err != nil {
							return
						}
					}
					if err != nil {
						return
					}
				}
			}
			both.Go(func() { pass(out, in) })
			both.Go(func() { pass(in, out) })
			both.Wait()
		}()
	}
}

// startStoreLink starts the link between a gateway and the metadata store. That of a gateway that is cut off is silent during the cut.
func (w *world) startStoreLink(g *gatewayProcess) (string, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	handler := func(out http.ResponseWriter, in *http.Request) {
		cut := func() {
			for g.group == 0 && w.isCut() || w.isSilent() {
				time.Sleep(20 * time.Millisecond)
			}
		}
		body, _ := io.ReadAll(in.Body)
		cut()
		request, _ := http.NewRequestWithContext(in.Context(), in.Method, "http://"+w.meta.Address()+in.URL.RequestURI(), bytes.NewReader(body))
		request.Header = in.Header.Clone()
		reply, err := client.Do(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer reply.Body.Close()
		text, _ := io.ReadAll(reply.Body)
		cut()
		if strings.HasSuffix(in.URL.Path, "/kv-range") && strings.HasPrefix(in.URL.Query().Get("prefix"), "balsamyoke/") {
			text = w.translateItems(text, g.group)
		}
		for name, values := range reply.Header {
			if name != "Content-Length" && name != "Connection" {
				out.Header()[name] = values
			}
		}
		out.WriteHeader(reply.StatusCode)
		_, _ = out.Write(text)
	}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(handler)}).Serve(listener) }()
	return address, nil
}

// translateItems translates the addresses in the gateways' announcements.
func (w *world) translateItems(text []byte, group int) []byte {
	var page map[string]any
	if json.Unmarshal(text, &page) != nil {
		return text
	}
	items, _ := page["items"].([]any)
	for _, i := range items {
		item, _ := i.(map[string]any)
		key, _ := item["key"].(string)
		if !strings.HasPrefix(key, "balsamyoke/gateways/") {
			continue
		}
		for _, g := range w.gateways {
			if strings.HasSuffix(key, "/"+g.name) {
				value, _ := json.Marshal(item["value"])
				var raw []byte
				_ = json.Unmarshal(value, &raw)
				peer := &wire.Peer{}
				_ = json.Unmarshal(raw, peer)
				w.translate(peer, group)
				item["value"], _ = json.Marshal(peer)
			}
		}
	}
	translated, err := json.Marshal(page)
	if err != nil {
		return text
	}
	return translated
}

func (w *world) awaitReady(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for _, g := range w.gateways {
		for {
			reply, err := http.Get("http://" + g.ready + "/balsamyoke/ready")
			if err == nil {
				_ = reply.Body.Close()
				if reply.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// requestInterval is the time between two requests to one gateway.
const requestInterval = 30 * time.Millisecond

var requestNumber atomic.Int64

// call sends requests to one gateway until stop is closed.
func (w *world) call(g *gatewayProcess, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(g.group)))
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(requestInterval):
		}
		number := int(requestNumber.Add(1))
		parts, tenant := prompt(rng, number), tenants[rng.IntN(len(tenants))]
		running.Go(func() {
			w.note("request r%08x of %s sent to %s", number, tenant, g.name)
			status := w.send(g, number, parts, tenant)
			w.note("request r%08x answered by %s: %s", number, g.name, status)
			w.mu.Lock()
			w.answers[g.name+" "+status]++
			w.mu.Unlock()
		})
	}
}

// send sends one request as a consumer does and returns what became of it.
func (w *world) send(g *gatewayProcess, number int, parts []part, tenant string) string {
	conn, err := net.DialTimeout("tcp4", g.listen, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	entries, tokens := make([]string, len(parts)), 0
	for i, p := range parts {
		entries[i] = fmt.Sprintf("%s:%d", p.id, p.tokens)
		tokens += p.tokens
	}
	body := "trace"
	fmt.Fprintf(conn, "POST /trace/2f HTTP/1.1\r\nHost: h.example\r\nBalsamyoke-Request-Id: r%08x\r\nBalsamyoke-Model: %s\r\nBalsamyoke-Token-Usage: %d,80\r\n"+
		"Balsamyoke-Prompt-Prefix: %s\r\nBalsamyoke-Deadline-Ms: 15000\r\nBalsamyoke-Credential: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		number, model, tokens, strings.Join(entries, ","), keyOf(tenant), len(body), body)
	reply, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	defer reply.Body.Close()
	if _, err := io.Copy(io.Discard, reply.Body); err != nil {
		return strconv.Itoa(reply.StatusCode) + " cut"
	}
	return strconv.Itoa(reply.StatusCode)
}
