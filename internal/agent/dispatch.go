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

// catchUpTimeout bounds waiting for a configuration that an entry already has.
const catchUpTimeout = 2 * time.Second

// peer is what an agent knows about the entry at the other end of a connection.
type peer struct {
	hello *wire.Hello
}

// ConnOpened implements transport.FrameHandler.
func (a *Agent) ConnOpened(conn *transport.Conn) {
	conn.Tag = &peer{}
	a.greet(conn)
	a.loop.Post(func() { a.state.conns[conn] = struct{}{} })
}

func (a *Agent) greet(conn *transport.Conn) {
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_Hello{Hello: a.hello()}})
}

// FrameReceived implements transport.FrameHandler.
func (a *Agent) FrameReceived(conn *transport.Conn, frame *wire.Frame) {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Hello:
		conn.Tag.(*peer).hello = body.Hello
	case *wire.Frame_Dispatch:
		from := conn.Tag.(*peer).hello.GetControlAddress()
		a.loop.Post(func() { a.dispatched(conn, body.Dispatch, from) })
	case *wire.Frame_Cancel:
		a.loop.Post(func() { a.cancelled(conn, body.Cancel) })
	case *wire.Frame_Ask:
		a.loop.Post(func() { a.asked(conn, body.Ask) })
	default:
		_ = conn.Close()
	}
}

// ConnClosed implements transport.FrameHandler.
func (a *Agent) ConnClosed(conn *transport.Conn, _ error) {
	a.loop.Post(func() { a.connLost(conn) })
}

// connLost gives up what waits for lost entries only and stops their idempotent runs. Other runs go
// on, and their answers are kept for the question that follows.
func (a *Agent) connLost(conn *transport.Conn) {
	now := time.Now()
	delete(a.state.conns, conn)
	for id, j := range a.state.jobs {
		if !j.unwatch(conn) || len(j.watchers) > 0 {
			continue
		}
		if j.cancel == nil {
			a.state.table.Cancel(now, id, a.incarnation)
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

// dispatched admits or refuses one attempt on the control goroutine.
func (a *Agent) dispatched(conn *transport.Conn, d *wire.Dispatch, from string) {
	a.counters.dispatched.Inc(1)
	id, err := attempt.ParseID(d.GetAttemptId())
	if err != nil {
		_ = conn.Close()
		return
	}
	current := a.configVersion()
	if d.GetConfigVersion() > current {
		go a.catchUp(conn, d, from)
		return
	}
	a.consider(conn, id, d)
}

// consider refuses an attempt that must not run here and admits any other. One that could not meet
// its deadline by computing its prompt is admitted after the stores that hold it are known.
func (a *Agent) consider(conn *transport.Conn, id attempt.ID, d *wire.Dispatch) {
	if reason, message := a.mismatch(d, a.configVersion()); reason != wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		a.refuse(conn, id, d, refusal{reason: reason, message: message})
		return
	}
	if !a.locateFirst(d, time.Now(), func() { a.considerLocated(conn, id, d) }) {
		a.admit(conn, id, d)
	}
}

// considerLocated goes on after the stores of a prompt were looked up. An attempt whose entry is
// gone is left out; a question about it then poisons it.
func (a *Agent) considerLocated(conn *transport.Conn, id attempt.ID, d *wire.Dispatch) {
	if _, open := a.state.conns[conn]; !open {
		return
	}
	if reason, message := a.mismatch(d, a.configVersion()); reason != wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED {
		a.refuse(conn, id, d, refusal{reason: reason, message: message})
		return
	}
	a.admit(conn, id, d)
}

// catchUp brings the configuration of a newer dispatch in force before the dispatch is looked at.
func (a *Agent) catchUp(conn *transport.Conn, d *wire.Dispatch, from string) {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	err := a.configuration.CatchUp(ctx, d.GetConfigVersion(), from)
	a.loop.Post(func() {
		if err == nil && a.configVersion() >= d.GetConfigVersion() {
			a.dispatched(conn, d, from)
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

// mismatch returns why a dispatch must not run here whatever the load. A continuation keeps the
// configuration that its request began with.
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
	admitted := a.state.table.Admit(now, runtable.Dispatch{
		Attempt:       id,
		Incarnation:   d.GetIncarnation(),
		FirstSequence: d.GetResumeTokens(),
		Record:        recorded(d),
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
	a.state.prompts.use(reservationOf(d))
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
	a.prefetch(j, verdict.Wait+a.state.prompts.wait(d.GetUrgency(), now), now)
	a.decide(id, d, "queue", queueDetail{PredictedStartMS: verdict.Wait.Milliseconds(), Queued: a.state.queue.Len(), Running: a.state.queue.Running()})
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

// refuse poisons an attempt and tells its entry.
func (a *Agent) refuse(conn *transport.Conn, id attempt.ID, d *wire.Dispatch, r refusal) {
	outcome := a.state.table.Refuse(time.Now(), id, d.GetIncarnation())
	a.sendRefused(conn, id, d, outcome, r)
}

// refuseJob poisons a queued attempt and tells its watchers.
func (a *Agent) refuseJob(j *job, r refusal) {
	outcome := a.state.table.Refuse(time.Now(), j.id, j.dispatch.GetIncarnation())
	for _, conn := range j.watchers {
		a.sendRefused(conn, j.id, j.dispatch, outcome, r)
	}
}

func (a *Agent) sendRefused(conn *transport.Conn, id attempt.ID, d *wire.Dispatch, outcome wire.Outcome, r refusal) {
	a.counters.refused.Inc(1)
	a.decide(id, d, "refuse", refusalDetail{Reason: r.reason.String(), Message: r.message, RetryAfterMS: r.retryAfter.Milliseconds()})
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_Refused{Refused: &wire.Refused{
		AttemptId:     id[:],
		Outcome:       outcome,
		Reason:        r.reason,
		RetryAfterMs:  uint32(r.retryAfter.Milliseconds()),
		ConfigVersion: a.configVersion(),
		Message:       r.message,
	}}})
}

// cancelled stops an attempt for its entry.
func (a *Agent) cancelled(conn *transport.Conn, c *wire.Cancel) {
	id, err := attempt.ParseID(c.GetAttemptId())
	if err != nil {
		return
	}
	now := time.Now()
	cancellation := a.state.table.Cancel(now, id, a.incarnation)
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

// schedule refuses what is too late and starts what has a free slot.
func (a *Agent) schedule(now time.Time) {
	for _, late := range a.state.queue.Expired(now) {
		a.expire(attempt.ID(late.Attempt), a.state.queue.Predict(now, late))
	}
	for {
		next, ok := a.state.queue.Next(now)
		if !ok {
			return
		}
		a.start(attempt.ID(next.Attempt), now)
	}
}

// minExpiredRetryAfter is the least that the caller of an expired attempt is told to wait.
const minExpiredRetryAfter = 200 * time.Millisecond

// expire refuses an attempt that did not start in time; wait is how long one that came now would
// wait.
func (a *Agent) expire(id attempt.ID, wait time.Duration) {
	j := a.state.jobs[id]
	if j == nil {
		return
	}
	delete(a.state.jobs, id)
	a.dropFetch(j)
	a.refuseJob(j, refusal{
		reason:     wire.RefusalReason_REFUSAL_REASON_DEADLINE,
		message:    "the deadline can't be met any more",
		retryAfter: max(wait, minExpiredRetryAfter),
	})
}

// start launches the run of a queued attempt.
func (a *Agent) start(id attempt.ID, now time.Time) {
	j := a.state.jobs[id]
	if j == nil || a.state.table.Start(now, id) != nil {
		a.state.queue.Done(admission.AttemptID(id), 0)
		delete(a.state.jobs, id)
		a.logger.Warn("queued attempt may not start", zap.Stringer("attempt", id))
		return
	}
	j.started = now
	ctx, cancel := context.WithCancel(context.Background())
	j.cancel = cancel
	a.counters.started.Inc(1)
	a.counters.queueWait.RecordDuration(now.Sub(j.admitted))
	a.beginPrompt(j, now)
	r := &run{agent: a, job: j, queued: now.Sub(j.admitted)}
	go r.execute(ctx)
}

// handBack tells every connected entry that the agent is leaving and refuses everything that
// waits, so that its entries place it elsewhere.
func (a *Agent) handBack() {
	for conn := range a.state.conns {
		a.greet(conn)
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
