package entry

import (
	"context"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// heartbeatInterval is how often a waiting attempt checks whether its agent is alive.
	heartbeatInterval = 250 * time.Millisecond
	// silenceTimeout is the time without frames or probe replies after which an agent is considered lost.
	silenceTimeout = time.Second
)

// agentWatch detects the loss of one attempt's agent. Frames count as heartbeats, and an agent is probed
// only when no frame arrived for an interval, so a flowing stream causes no probes.
type agentWatch struct {
	entry    *Entry
	instance metastore.Instance
	ticker   *time.Ticker
	// lastReceived is the time of the last frame or probe reply in Unix nanoseconds.
	lastReceived atomic.Int64
}

func newAgentWatch(e *Entry, instance metastore.Instance) *agentWatch {
	w := &agentWatch{entry: e, instance: instance, ticker: time.NewTicker(heartbeatInterval)}
	w.received()
	return w
}

func (w *agentWatch) ticks() <-chan time.Time { return w.ticker.C }

func (w *agentWatch) received() { w.lastReceived.Store(time.Now().UnixNano()) }

func (w *agentWatch) stop() { w.ticker.Stop() }

// timedOut reports whether the agent is considered lost. It probes an agent that sent nothing for
// heartbeatInterval.
func (w *agentWatch) timedOut(now time.Time) bool {
	silence := now.Sub(time.Unix(0, w.lastReceived.Load()))
	if silence > silenceTimeout {
		return true
	}
	if silence >= heartbeatInterval {
		go w.probe()
	}
	return false
}

func (w *agentWatch) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatInterval)
	defer cancel()
	targets := []metastore.Instance{w.instance}
	replies := w.entry.prober.probe(ctx, w.entry.links, targets, &wire.Probe{}, heartbeatInterval)
	if len(replies) > 0 {
		w.received()
	}
}
