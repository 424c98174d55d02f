package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// probeTimeout bounds how long a placement waits for probe replies.
const probeTimeout = 30 * time.Millisecond

// prober asks agents what a request would cost and gathers the replies.
type prober struct {
	mu      sync.Mutex
	waiting map[uint64]chan *wire.ProbeReply
}

func newProber() *prober {
	return &prober{waiting: make(map[uint64]chan *wire.ProbeReply)}
}

// received routes one datagram to the placement that waits for it; late replies are dropped.
func (p *prober) received(datagram *wire.Datagram) {
	reply := datagram.GetProbeReply()
	if reply == nil {
		return
	}
	p.mu.Lock()
	replies := p.waiting[reply.GetNonce()]
	p.mu.Unlock()
	if replies == nil {
		return
	}
	select {
	case replies <- reply:
	default:
	}
}

// ask probes the targets and returns the replies that came within the timeout.
func (p *prober) ask(ctx context.Context, links *links, targets []metastore.Instance, probe *wire.Probe, timeout time.Duration) []*wire.ProbeReply {
	nonce, replies := p.open(len(targets))
	defer p.close(nonce)
	probe.Nonce = nonce
	sent := sendProbes(links, targets, probe)
	return gather(ctx, replies, sent, timeout)
}

func (p *prober) open(targets int) (uint64, chan *wire.ProbeReply) {
	nonce := rand.Uint64()
	replies := make(chan *wire.ProbeReply, targets)
	p.mu.Lock()
	p.waiting[nonce] = replies
	p.mu.Unlock()
	return nonce, replies
}

func (p *prober) close(nonce uint64) {
	p.mu.Lock()
	delete(p.waiting, nonce)
	p.mu.Unlock()
}

func sendProbes(links *links, targets []metastore.Instance, probe *wire.Probe) int {
	sent := 0
	datagram := &wire.Datagram{Body: &wire.Datagram_Probe{Probe: probe}}
	for _, target := range targets {
		socket, err := links.datagram(target.Address)
		if err != nil {
			continue
		}
		if socket.Send(datagram) == nil {
			sent++
		}
	}
	return sent
}

func gather(ctx context.Context, replies <-chan *wire.ProbeReply, expected int, timeout time.Duration) []*wire.ProbeReply {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	gathered := make([]*wire.ProbeReply, 0, expected)
	for len(gathered) < expected {
		select {
		case reply := <-replies:
			gathered = append(gathered, reply)
		case <-timer.C:
			return gathered
		case <-ctx.Done():
			return gathered
		}
	}
	return gathered
}
