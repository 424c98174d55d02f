package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/fleet"
)

// deliver waits until the caller has been sent what is held for it, after the response has been read from the server or has
// broken off. ctx is that of the connection, which has no deadline: a caller that goes on reading gets all. It reports whether the
// connection can be used on.
func (g *Gateway) deliver(ctx context.Context, c *callerConn, in *incoming) bool {
	before := c.out.lag(time.Now())
	err := c.out.deliver(ctx)
	if err == nil {
		return true
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// The grace time ends. What remains of it is for what was already begun.
		last, cancel := context.WithTimeout(context.Background(), scale(time.Duration(g.grace.Load()), answerShare-graceShare))
		defer cancel()
		if err = c.out.deliver(last); err == nil {
			return true
		}
	}
	if before.held > 0 && !errors.Is(err, errCutOff) {
		g.counters.cancelled.Inc(1)
		g.recordDecision(info, EventCancelled, c.out.requestID(), zap.Bool("delivering", true), zap.Int64("held", before.held),
			zap.Duration("after", time.Since(in.receivedAt)), eventlog.Error(err))
	}
	c.out.abort()
	return false
}

// reportCutOff logs a caller that was cut off because it was behind.
func (g *Gateway) reportCutOff(o *callerOutput, reason cutOffReason, lag callerLag) {
	g.recordDecision(warn, EventCallerCutOff, o.requestID(), zap.String("reason", string(reason)),
		zap.Stringer("caller", o.conn.RemoteAddr()), zap.Int64("held", lag.held), zap.Duration("stalled", lag.stalled))
}

// State is a dump of a gateway.
type State struct {
	fleet.State
	SlowCallers SlowCallersState `json:"slow_callers"`
}

// state returns the state of the gateway as a value that marshals to JSON.
func (g *Gateway) state() any { return State{State: g.fleet.State(), SlowCallers: g.ahead.state()} }
