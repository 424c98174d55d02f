package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/admission"
	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/runtable"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// catchUpTimeout bounds the wait for a configuration that an entry already has.
const catchUpTimeout = 2 * time.Second

// peer describes the entry at the other end of a connection.
type peer struct {
	hello *wire.Hello
}

// ConnOpened implements transport.FrameHandler.
func (a *Agent) ConnOpened(conn *transport.Conn) {
	conn.Tag = &peer{}
	a.sendHello(conn)
	a.loop.Post(func() { a.state.conns[conn] = struct{}{} })
}

func (a *Agent) sendHello(conn *transport.Conn) {
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: a.hello()}})
}

// FrameReceived implements transport.FrameHandler.
func (a *Agent) FrameReceived(conn *transport.Conn, frame *wire.Frame) {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Hello:
		conn.Tag.(*peer).hello = body.Hello
	case *wire.Frame_Dispatch:
		controlAddress := conn.Tag.(*peer).hello.GetControlAddress()
		a.loop.Post(func() { a.handleDispatch(conn, body.Dispatch, controlAddress) })
	case *wire.Frame_Cancel:
		a.loop.Post(func() { a.handleCancel(conn, body.Cancel) })
	case *wire.Frame_Ask:
		a.loop.Post(func() { a.handleAsk(conn, body.Ask) })
	default:
		_ = conn.Close()
	}
}

// ConnClosed implements transport.FrameHandler.
func (a *Agent) ConnClosed(conn *transport.Conn, _ error) {
	a.loop.Post(func() { a.handleConnLost(conn) })
}

// handleConnLost cancels queued attempts and stops idempotent runs that no other connection watches.
// Other runs continue, and their responses are kept for an entry that asks for the attempt.
func (a *Agent) handleConnLost(conn *transport.Conn) {
	now := time.Now()
	delete(a.state.conns, conn)
	for id, j := range a.state.jobs {
		if !j.unwatch(conn) || len(j.watchers) > 0 {
			continue
		}
		if j.cancel == nil {
			a.state.runTable.Cancel(now, id, a.incarnation)
			a.dropQueued(id)
			continue
		}
		if j.dispatch.GetIdempotent() {
			j.cancel()
		}
	}
	a.schedule(now)
}

func (a *Agent) dropQueued(id attempt.ID) {
	a.state.queue.Remove(admission.AttemptID(id))
	a.dropFetch(a.state.jobs[id])
	delete(a.state.jobs, id)
}

// handleDispatch admits or refuses one attempt on the control goroutine.
func (a *Agent) handleDispatch(conn *transport.Conn, d *wire.Dispatch, controlAddress string) {
	a.counters.dispatched.Inc(1)
	id, err := attempt.ParseID(d.GetAttemptId())
	if err != nil {
		_ = conn.Close()
		return
	}
	current := a.configVersion()
	if d.GetConfigVersion() > current {
		go a.catchUp(conn, d, controlAddress)
		return
	}
	a.checkAndAdmit(conn, id, d)
}

// checkAndAdmit refuses an attempt that must not run here and admits any other. An attempt that can't
// meet its deadline without the stores that hold its prompt is admitted after a lookup of these stores.
func (a *Agent) checkAndAdmit(conn *transport.Conn, id attempt.ID, d *wire.Dispatch) {
	if reason, message := a.mismatch(d, a.configVersion()); reason != wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		a.refuse(conn, id, d, refusal{reason: reason, message: message})
		return
	}
	if !a.locateFirst(d, time.Now(), func() { a.admitLocated(conn, id, d) }) {
		a.admit(conn, id, d)
	}
}

// admitLocated continues checkAndAdmit after the stores of a prompt were looked up. It ignores an
// attempt whose connection has closed; a later Ask for that attempt revokes it.
func (a *Agent) admitLocated(conn *transport.Conn, id attempt.ID, d *wire.Dispatch) {
	if _, open := a.state.conns[conn]; !open {
		return
	}
	if reason, message := a.mismatch(d, a.configVersion()); reason != wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		a.refuse(conn, id, d, refusal{reason: reason, message: message})
		return
	}
	a.admit(conn, id, d)
}

// catchUp reads the newer configuration that a dispatch refers to, then handles the dispatch. It
// refuses the dispatch when the configuration cannot be read.
func (a *Agent) catchUp(conn *transport.Conn, d *wire.Dispatch, controlAddress string) {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	err := a.configuration.CatchUp(ctx, d.GetConfigVersion(), controlAddress)
	a.loop.Post(func() {
		if err == nil && a.configVersion() >= d.GetConfigVersion() {
			a.handleDispatch(conn, d, controlAddress)
			return
		}
		id, idErr := attempt.ParseID(d.GetAttemptId())
		if idErr == nil {
			a.refuse(conn, id, d, refusal{
				reason:  wire.RefusalReason_REFUSAL_REASON_NOT_SERVED,
				message: "the agent could not read the configuration of the dispatch",
			})
		}
	})
}

// mismatch returns why a dispatch must not run here, independent of load. A continuation keeps the
// configuration that its request started with.
func (a *Agent) mismatch(d *wire.Dispatch, current uint64) (wire.RefusalReason, string) {
	switch {
	case a.leaving.Load():
		return wire.RefusalReason_REFUSAL_REASON_LEAVING, "the agent is leaving"
	case d.GetService() != a.settings.Service:
		return wire.RefusalReason_REFUSAL_REASON_NOT_SERVED, "the backend server serves " + a.settings.Service
	case d.GetConfigVersion() < current && d.GetResumeTokens() == 0:
		return wire.RefusalReason_REFUSAL_REASON_STALE_CONFIGURATION, "a newer configuration is in force"
	case a.state.engineLost(time.Now()):
		return wire.RefusalReason_REFUSAL_REASON_ENGINE, "the model engine does not answer"
	case !a.state.mayRun(d.GetWeightVersion(), d.GetResumeTokens() > 0):
		return wire.RefusalReason_REFUSAL_REASON_WRONG_VERSION, "weight version " + d.GetWeightVersion() + " is not served"
	case !a.state.hasAdapter(d.GetAdapter()):
		return wire.RefusalReason_REFUSAL_REASON_WRONG_VERSION, "adapter " + d.GetAdapter() + " is not loaded"
	default:
		return wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED, ""
	}
}

// admit registers an attempt in the run table and queues it.
func (a *Agent) admit(conn *transport.Conn, id attempt.ID, d *wire.Dispatch) {
	now := time.Now()
	admitted := a.state.runTable.Admit(now, runtable.Dispatch{
		Attempt:       id,
		Incarnation:   d.GetIncarnation(),
		FirstSequence: d.GetResumeTokens(),
		Record:        isRecorded(d),
	})
	switch admitted.Verdict {
	case runtable.VerdictNew:
		a.enqueue(conn, id, d, now)
	case runtable.VerdictDuplicate:
		// A second copy of a dispatch changes nothing.
	default:
		a.sendRefused(conn, id, d, admitted.Outcome, admissionRefusal(admitted.Verdict))
	}
}

func admissionRefusal(verdict runtable.Verdict) refusal {
	switch verdict {
	case runtable.VerdictFull:
		return refusal{reason: wire.RefusalReason_REFUSAL_REASON_QUEUE_FULL, message: "the run table is full", retryAfter: time.Second}
	case runtable.VerdictWrongIncarnation:
		return refusal{reason: wire.RefusalReason_REFUSAL_REASON_WRONG_INCARNATION, message: "the agent has restarted"}
	default:
		return refusal{reason: wire.RefusalReason_REFUSAL_REASON_POISONED, message: "the attempt was given up before"}
	}
}

func (a *Agent) enqueue(conn *transport.Conn, id attempt.ID, d *wire.Dispatch, now time.Time) {
	a.state.prefills.endReservation(reservationOf(d))
	verdict := a.state.queue.Offer(now, a.queueJob(id, d, now))
	if !verdict.Accepted {
		a.refuse(conn, id, d, refusal{
			reason:     verdict.Reason,
			message:    "the queue before the backend server is too long",
			retryAfter: verdict.RetryAfter,
		})
		return
	}
	a.counters.accepted.Inc(1)
	j := &job{id: id, dispatch: d, conn: conn, watchers: []*transport.Conn{conn}, admitted: now}
	a.state.jobs[id] = j
	a.prefetch(j, verdict.Wait+a.state.prefills.wait(d.GetUrgency(), now), now)
	a.recordDecision(id, d, "queue", queueDetail{PredictedStartMS: verdict.Wait.Milliseconds(), Queued: a.state.queue.Len(), Running: a.state.queue.Running()})
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_Accepted{Accepted: &wire.Accepted{
		AttemptId:        id[:],
		PredictedStartMs: uint32(verdict.Wait.Milliseconds()),
	}}})
	a.schedule(now)
}

// refusal is why an attempt does not run here.
type refusal struct {
	reason     wire.RefusalReason
	message    string
	retryAfter time.Duration
}

// refuse revokes an attempt in the run table and sends the refusal to its entry.
func (a *Agent) refuse(conn *transport.Conn, id attempt.ID, d *wire.Dispatch, r refusal) {
	outcome := a.state.runTable.Refuse(time.Now(), id, d.GetIncarnation())
	a.sendRefused(conn, id, d, outcome, r)
}

// refuseJob revokes a queued attempt in the run table and sends the refusal to its watchers.
func (a *Agent) refuseJob(j *job, r refusal) {
	outcome := a.state.runTable.Refuse(time.Now(), j.id, j.dispatch.GetIncarnation())
	for _, conn := range j.watchers {
		a.sendRefused(conn, j.id, j.dispatch, outcome, r)
	}
}

func (a *Agent) sendRefused(conn *transport.Conn, id attempt.ID, d *wire.Dispatch, outcome wire.Outcome, r refusal) {
	a.counters.refused.Inc(1)
	a.recordDecision(id, d, "refuse", refusalDetail{Reason: r.reason.String(), Message: r.message, RetryAfterMS: r.retryAfter.Milliseconds()})
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_Refused{Refused: &wire.Refused{
		AttemptId:     id[:],
		Outcome:       outcome,
		Reason:        r.reason,
		RetryAfterMs:  uint32(r.retryAfter.Milliseconds()),
		ConfigVersion: a.configVersion(),
		Message:       r.message,
	}}})
}

// handleCancel stops an attempt at the request of its entry.
func (a *Agent) handleCancel(conn *transport.Conn, c *wire.Cancel) {
	id, err := attempt.ParseID(c.GetAttemptId())
	if err != nil {
		return
	}
	now := time.Now()
	cancellation := a.state.runTable.Cancel(now, id, a.incarnation)
	j := a.state.jobs[id]
	if j == nil {
		return
	}
	a.counters.cancelled.Inc(1)
	if cancellation.Stop && j.cancel != nil {
		j.cancel()
		return
	}
	if j.cancel == nil {
		a.dropQueued(id)
		a.sendRefused(conn, id, j.dispatch, cancellation.Outcome, refusal{message: "cancelled"})
	}
	a.schedule(now)
}

// schedule refuses queued attempts that can't meet their deadline and starts others while slots are free.
func (a *Agent) schedule(now time.Time) {
	for _, expired := range a.state.queue.Expired(now) {
		a.expire(attempt.ID(expired.Attempt), a.state.queue.Predict(now, expired))
	}
	for {
		next, ok := a.state.queue.Next(now)
		if !ok {
			return
		}
		a.start(attempt.ID(next.Attempt), now)
	}
}

// minExpiredRetryAfter is the minimum retry-after time in the refusal of an expired attempt.
const minExpiredRetryAfter = 200 * time.Millisecond

// expire refuses an attempt that did not start in time; wait is the predicted wait of an attempt that
// arrives now.
func (a *Agent) expire(id attempt.ID, wait time.Duration) {
	j := a.state.jobs[id]
	if j == nil {
		return
	}
	delete(a.state.jobs, id)
	a.dropFetch(j)
	a.refuseJob(j, refusal{
		reason:     wire.RefusalReason_REFUSAL_REASON_DEADLINE,
		message:    "the deadline can no longer be met",
		retryAfter: max(wait, minExpiredRetryAfter),
	})
}

// start launches the run of a queued attempt.
func (a *Agent) start(id attempt.ID, now time.Time) {
	j := a.state.jobs[id]
	if j == nil || a.state.runTable.Start(now, id) != nil {
		a.state.queue.Done(admission.AttemptID(id), 0)
		delete(a.state.jobs, id)
		a.logger.Warn("the run table does not allow a queued attempt to start", zap.Stringer("attempt", id))
		return
	}
	j.started = now
	ctx, cancel := context.WithCancel(context.Background())
	j.cancel = cancel
	a.counters.started.Inc(1)
	a.counters.queueWait.RecordDuration(now.Sub(j.admitted))
	a.addPrefill(j, now)
	r := &run{agent: a, job: j, timeInQueue: now.Sub(j.admitted)}
	go r.execute(ctx)
}

// refuseQueued announces to every connected entry that the agent is leaving and refuses all queued
// attempts, so that their entries place them elsewhere.
func (a *Agent) refuseQueued() {
	for conn := range a.state.conns {
		a.sendHello(conn)
	}
	for id, j := range a.state.jobs {
		if j.cancel != nil {
			continue
		}
		a.dropQueued(id)
		a.refuseJob(j, refusal{
			reason:  wire.RefusalReason_REFUSAL_REASON_LEAVING,
			message: "the agent is leaving",
		})
	}
}
