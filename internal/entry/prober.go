package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// probeTimeout is the maximum time that a placement waits for probe replies.
const probeTimeout = 30 * time.Millisecond

// prober asks agents for the predicted cost of a request and collects the replies.
type prober struct {
	mu      sync.Mutex
	pending map[uint64]chan *wire.ProbeReply
}

func newProber() *prober {
	return &prober{pending: make(map[uint64]chan *wire.ProbeReply)}
}

// handleDatagram routes a probe reply to the call of probe that waits for it. Late replies are dropped.
func (p *prober) handleDatagram(datagram *wire.Datagram) {
	reply := datagram.GetProbeReply()
	if reply == nil {
		return
	}
	p.mu.Lock()
	replies := p.pending[reply.GetNonce()]
	p.mu.Unlock()
	if replies == nil {
		return
	}
	select {
	case replies <- reply:
	default:
	}
}

// probe sends the probe to the targets and returns the replies that arrive within the timeout.
func (p *prober) probe(ctx context.Context, links *links, targets []metastore.Instance, probe *wire.Probe, timeout time.Duration) []*wire.ProbeReply {
	nonce, replies := p.addPending(len(targets))
	defer p.removePending(nonce)
	probe.Nonce = nonce
	sent := sendProbes(links, targets, probe)
	return gather(ctx, replies, sent, timeout)
}

func (p *prober) addPending(capacity int) (uint64, chan *wire.ProbeReply) {
	nonce := rand.Uint64()
	replies := make(chan *wire.ProbeReply, capacity)
	p.mu.Lock()
	p.pending[nonce] = replies
	p.mu.Unlock()
	return nonce, replies
}

func (p *prober) removePending(nonce uint64) {
	p.mu.Lock()
	delete(p.pending, nonce)
	p.mu.Unlock()
}

func sendProbes(links *links, targets []metastore.Instance, probe *wire.Probe) int {
	sent := 0
	datagram := &wire.Datagram{Body: &wire.Datagram_Probe{Probe: probe}}
	for _, target := range targets {
		socket, err := links.probeSocket(target.Address)
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
