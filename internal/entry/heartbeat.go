package entry

import (
	"context"
	"sync/atomic"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// heartbeatInterval is how often a waiting attempt looks whether its agent is alive.
	heartbeatInterval = 250 * time.Millisecond
	// silenceLimit is the silence after which an agent is taken as lost.
	silenceLimit = time.Second
)

// heartbeat watches the agent of one attempt. Frames count as heartbeats; only a quiet agent is
// probed, so a stream that flows costs nothing.
type heartbeat struct {
	entry    *Entry
	instance metastore.Instance
	ticker   *time.Ticker
	// lastHeard is the time of the last frame or probe reply in Unix nanoseconds.
	lastHeard atomic.Int64
}

func newHeartbeat(e *Entry, instance metastore.Instance) *heartbeat {
	h := &heartbeat{entry: e, instance: instance, ticker: time.NewTicker(heartbeatInterval)}
	h.heard()
	return h
}

func (h *heartbeat) ticks() <-chan time.Time { return h.ticker.C }

func (h *heartbeat) heard() { h.lastHeard.Store(time.Now().UnixNano()) }

func (h *heartbeat) stop() { h.ticker.Stop() }

// silent says whether the agent is lost. It probes an agent that has been quiet for an interval.
func (h *heartbeat) silent(now time.Time) bool {
	quiet := now.Sub(time.Unix(0, h.lastHeard.Load()))
	if quiet > silenceLimit {
		return true
	}
	if quiet >= heartbeatInterval {
		go h.probe()
	}
	return false
}

func (h *heartbeat) probe() {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatInterval)
	defer cancel()
	targets := []metastore.Instance{h.instance}
	replies := h.entry.prober.ask(ctx, h.entry.links, targets, &wire.Probe{}, heartbeatInterval)
	if len(replies) > 0 {
		h.heard()
	}
}
