package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/health"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/retry"
	"balsamyoke.example/balsamyoke/internal/stream"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// dialTimeout bounds connecting to an agent, including the exchange of Hello frames.
	dialTimeout = 500 * time.Millisecond
	// stallTimeout is the time without a frame within a stream after which its replica is considered stalled.
	stallTimeout = 4 * time.Second
	// lateAllowance is how long after its deadline an accepted run may still start.
	lateAllowance = 5 * time.Second
	// busyRetryAfter is the retry delay returned to a caller when no replica gave one.
	busyRetryAfter = time.Second
)

// sink receives the response of a run in order, each token exactly once.
type sink interface {
	// token is called with consecutive sequence numbers from 0; an error ends the run.
	token(sequence uint32, data []byte) error
}

// run takes one request through its attempts. Only the request's goroutine uses it.
type run struct {
	entry        *Entry
	request      *request
	sink         sink
	stream       *stream.Assembler
	attemptCount int
	// tried holds the IDs of replicas that must not be selected again.
	tried       map[string]bool
	lastRefusal *wire.Refused
	// lastAttempt is the result of the latest attempt. pastAttempts holds the results of all attempts after
	// which the retry policy was consulted.
	lastAttempt  retry.Attempt
	pastAttempts []retry.Attempt
	// attemptStart is the start time of the latest attempt.
	attemptStart time.Time
	ttft         time.Duration
	bindingState bindingState
}

// nextStep defines what follows after an attempt.
type nextStep int

const (
	stepDone nextStep = iota
	stepRetry
	stepFail
	// stepAsk means that the agent must be asked for the outcome of a non-idempotent request's attempt.
	stepAsk
)

func (e *Entry) newRun(r *request, s sink) *run {
	return &run{
		entry:   e,
		request: r,
		sink:    s,
		stream:  stream.NewAssembler(attempt.ID{}),
		tried:   make(map[string]bool),
	}
}

// execute runs the request to its end. When the Failure is nil, the sink has received the complete response.
func (r *run) execute(ctx context.Context) (*result, *Failure) {
	result, failure := r.runAttempts(ctx)
	r.entry.limits.refund(r.request, result, failure)
	if failure != nil && r.bindingState.bound && r.bindingState.provenNotRun {
		failure.appliesToKey = true
	}
	return result, failure
}

func (r *run) runAttempts(ctx context.Context) (*result, *Failure) {
	for {
		if ctx.Err() != nil {
			return nil, r.callerDisconnected()
		}
		target, failure := r.place(ctx)
		if failure != nil {
			return nil, failure
		}
		r.attemptCount++
		start := time.Now()
		r.attemptStart = start
		r.lastAttempt = retry.Attempt{}
		r.entry.updateReplicas(func(agents *replicas) { agents.recordDispatch(target.instance.ID, start) })
		done, next, failure := r.runAttempt(ctx, target)
		switch next {
		case stepDone:
			r.recordSuccess(done, target)
			return r.newResult(done, target.instance), nil
		case stepFail:
			return nil, failure
		case stepRetry:
		}
		if failure := r.awaitRetry(ctx); failure != nil {
			return nil, failure
		}
	}
}

func (r *run) newResult(done *wire.Done, instance metastore.Instance) *result {
	return &result{
		done:            done,
		replica:         instance.ID,
		attempts:        r.attemptCount,
		deliveredTokens: r.stream.Delivered(),
		ttft:            r.ttft,
	}
}

// callerDisconnected returns the Failure of a request whose caller has closed the connection. Only the
// counters use it.
func (r *run) callerDisconnected() *Failure {
	return unknown(CodeInterrupted, fasthttp.StatusRequestTimeout, "the caller closed the connection")
}

// runAttempt dispatches the request to one replica and follows the attempt to its end.
func (r *run) runAttempt(ctx context.Context, target *dispatchTarget) (*wire.Done, nextStep, *Failure) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, hello, err := r.entry.links.connect(dialCtx, target.instance.Address)
	cancel()
	if err != nil {
		r.tried[target.instance.ID] = true
		r.entry.recordContactLoss(target.instance)
		r.lastAttempt = retry.Attempt{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
		return nil, stepRetry, nil
	}
	id, err := attempt.NewID()
	if err != nil {
		return nil, stepFail, retryable(CodeBusy, fasthttp.StatusServiceUnavailable, err.Error(), busyRetryAfter)
	}
	if !r.request.kind.Idempotent {
		return r.runNonIdempotent(ctx, conn, r.executor(id, hello, target), target)
	}
	return r.dispatchAndFollow(ctx, conn, id, hello.GetIncarnation(), target)
}

// dispatchAndFollow dispatches one attempt and follows it to its end.
func (r *run) dispatchAndFollow(ctx context.Context, conn *transport.Conn, id attempt.ID, incarnation uint64, target *dispatchTarget) (*wire.Done, nextStep, *Failure) {
	resumeAt := r.stream.Supersede(id)
	queue := r.entry.router.register(id, conn)
	defer r.entry.router.unregister(queue)
	defer target.trackInFlight()()
	dispatch := r.newDispatch(id, incarnation, resumeAt, target)
	if err := conn.Send(&wire.Frame{Body: &wire.Frame_Dispatch{Dispatch: dispatch}}); err != nil {
		return r.contactLost(target)
	}
	r.entry.explainDispatch(r.request, id, target)
	return r.follow(ctx, queue, target)
}

func (r *run) newDispatch(id attempt.ID, incarnation uint64, resumeAt uint32, target *dispatchTarget) *wire.Dispatch {
	req := r.request
	left := max(time.Until(req.deadline), time.Millisecond)
	return &wire.Dispatch{
		RequestId:     req.id[:],
		AttemptId:     id[:],
		Incarnation:   incarnation,
		ConfigVersion: req.snapshot.Version,
		Organisation:  req.organisation.Name,
		Service:       req.service.Name,
		WeightVersion: req.binding.weightVersion,
		Adapter:       req.adapter,
		Kind:          req.kind.Name,
		Urgency:       req.urgency(),
		Idempotent:    req.kind.Idempotent,
		DeadlineMs:    uint32(left.Milliseconds()),
		Pieces:        req.binding.pieceBytes(),
		PromptTokens:  req.promptTokens,
		MaxTokens:     req.maxTokens,
		ResumeTokens:  resumeAt,
		Payload:       req.payload,
		Method:        req.method,
		Path:          req.path,
		ContentType:   req.contentType,
		Reservation:   target.reservation,
	}
}

// follow handles an attempt's frames until it ends, its agent is lost, frames stop or the caller disconnects.
func (r *run) follow(ctx context.Context, queue *frameQueue, target *dispatchTarget) (*wire.Done, nextStep, *Failure) {
	watch := newAgentWatch(r.entry, target.instance)
	defer watch.stop()
	frameTimer := time.NewTimer(r.frameTimeout())
	defer frameTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.cancelUnlessKeyed(queue)
			return nil, stepFail, r.callerDisconnected()
		case <-frameTimer.C:
			r.bindingState.frameReceived = false
			r.cancelIfIdempotent(queue)
			return r.attemptFailed(target, wire.Outcome_OUTCOME_UNKNOWN)
		case <-watch.ticks():
			if watch.timedOut(time.Now()) {
				r.cancelIfIdempotent(queue)
				return r.contactLost(target)
			}
			continue
		case <-queue.signal:
			watch.received()
		}
		frames, lost := queue.take()
		for _, frame := range frames {
			done, next, failure, ended := r.handleFrame(queue, frame, target)
			if ended {
				return done, next, failure
			}
		}
		if lost {
			return r.contactLost(target)
		}
		frameTimer.Reset(r.frameTimeout())
	}
}

// frameTimeout returns how long the run waits for the next frame of an agent that is alive.
func (r *run) frameTimeout() time.Duration {
	if r.stream.Delivered() > 0 {
		return stallTimeout
	}
	return max(time.Until(r.latestStart()), askRetryDelay)
}

// latestStart returns the latest time at which an accepted run may still start.
func (r *run) latestStart() time.Time { return r.request.deadline.Add(lateAllowance) }

// handleFrame handles one frame. ended is true when the attempt is over.
func (r *run) handleFrame(queue *frameQueue, frame *wire.Frame, target *dispatchTarget) (done *wire.Done, next nextStep, failure *Failure, ended bool) {
	r.bindingState.frameReceived = true
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Chunk:
		if err := r.handleChunk(queue.id, body.Chunk); err != nil {
			r.cancelUnlessKeyed(queue)
			return nil, stepFail, r.callerDisconnected(), true
		}
		return nil, 0, nil, false
	case *wire.Frame_Done:
		done, next, failure = r.handleDone(body.Done, target)
		return done, next, failure, true
	case *wire.Frame_Refused:
		next, failure = r.handleRefusal(body.Refused, target)
		return nil, next, failure, true
	case *wire.Frame_Answer:
		next, failure, ended = r.handleAnswer(queue, body.Answer, target)
		return nil, next, failure, ended
	default:
		return nil, 0, nil, false
	}
}

// handleChunk passes the chunks that are next in order to the sink. An error means that the caller has
// disconnected.
func (r *run) handleChunk(id attempt.ID, chunk *wire.Chunk) error {
	first := r.stream.Delivered()
	ready, err := r.stream.Chunk(id, chunk.GetSequence(), chunk.GetData())
	if err != nil {
		// The attempt's end will not match the delivered chunks, so handleDone will treat it as lost.
		return nil
	}
	for i, data := range ready {
		if first == 0 && i == 0 {
			r.ttft = time.Since(r.request.arrivedAt)
		}
		if err := r.sink.token(first+uint32(i), data); err != nil {
			return err
		}
	}
	return nil
}

// handleDone handles the end of an attempt. An end that does not match the delivered chunks counts as lost
// contact.
func (r *run) handleDone(done *wire.Done, target *dispatchTarget) (*wire.Done, nextStep, *Failure) {
	if done.GetOutcome() == wire.Outcome_OUTCOME_DONE {
		err := r.stream.Done(r.stream.Current(), done.GetChunks())
		if err == nil && r.stream.Complete() {
			return done, stepDone, nil
		}
		return r.contactLost(target)
	}
	if r.request.kind.Idempotent {
		return r.attemptFailed(target, wire.Outcome_OUTCOME_FAILED)
	}
	r.entry.recordRunEnd(target.instance.ID, health.Sample{Failed: true})
	return nil, stepFail, unknown(CodeRunFailed, fasthttp.StatusBadGateway, done.GetMessage())
}

// handleRefusal handles a refusal. A non-idempotent request may go to another replica only when it is proven
// not to have run.
func (r *run) handleRefusal(refused *wire.Refused, target *dispatchTarget) (nextStep, *Failure) {
	r.lastRefusal = refused
	r.lastAttempt = attemptFromRefusal(refused)
	r.entry.recordRefusal(target.instance, refused)
	provenNotRun := refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN
	r.bindingState.provenNotRun = provenNotRun
	if !provenNotRun && !r.request.kind.Idempotent {
		return stepFail, r.outcomeUnknown(target)
	}
	if refused.GetReason() == wire.RefusalReason_REFUSAL_REASON_STALE_CONFIGURATION {
		return r.catchUp(refused.GetConfigVersion(), target)
	}
	if refused.GetReason() != wire.RefusalReason_REFUSAL_REASON_POISONED {
		r.tried[target.instance.ID] = true
	}
	return stepRetry, nil
}

// contactLost handles an attempt whose outcome can no longer be received over its connection.
func (r *run) contactLost(target *dispatchTarget) (*wire.Done, nextStep, *Failure) {
	r.tried[target.instance.ID] = true
	r.lastAttempt = retry.Attempt{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	r.entry.recordContactLoss(target.instance)
	if r.request.kind.Idempotent {
		return nil, stepRetry, nil
	}
	return nil, stepAsk, nil
}

func (r *run) outcomeUnknown(target *dispatchTarget) *Failure {
	failure := unknown(CodeOutcomeUnknown, fasthttp.StatusBadGateway,
		"contact with instance "+quote(target.instance.ID)+" was lost while the request may have run")
	if r.request.keyed() {
		failure.RetryAfter = unknownRetryAfter
	}
	return failure
}

// catchUp fetches the newer configuration that an agent already has, then lets the request be retried.
func (r *run) catchUp(version uint64, target *dispatchTarget) (nextStep, *Failure) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := r.entry.configuration.CatchUp(ctx, version, target.instance.ControlAddress); err != nil {
		return stepFail, retryable(CodeStarting, fasthttp.StatusServiceUnavailable,
			"a newer configuration is in force and could not be read", busyRetryAfter)
	}
	if r.stream.Delivered() > 0 {
		return stepRetry, nil
	}
	if failure := r.request.updateConfiguration(r.entry.configuration.Current()); failure != nil {
		return stepFail, failure
	}
	return stepRetry, nil
}

// cancelIfIdempotent cancels an attempt that another one replaces. The agent of a non-idempotent attempt is
// asked for its outcome instead.
func (r *run) cancelIfIdempotent(queue *frameQueue) {
	if r.request.kind.Idempotent {
		r.cancel(queue)
	}
}

// cancelUnlessKeyed cancels an attempt whose caller has disconnected. With an idempotency key the attempt
// continues, because the caller may ask for the response again.
func (r *run) cancelUnlessKeyed(queue *frameQueue) {
	if !r.request.keyed() {
		r.cancel(queue)
	}
}

func (r *run) cancel(queue *frameQueue) {
	_ = queue.conn.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{AttemptId: queue.id[:]}}})
}

// recordContactLoss records that an agent could not be reached or no longer responds.
func (e *Entry) recordContactLoss(instance metastore.Instance) {
	e.counters.lostAttempts.Inc(1)
	e.recordRunEnd(instance.ID, health.Sample{Failed: true})
	e.updateReplicas(func(r *replicas) { r.recordContactLoss(instance.ID, time.Now()) })
}

// recordRunEnd records the result of an attempt for the health of its replica.
func (e *Entry) recordRunEnd(instance string, sample health.Sample) {
	e.updateReplicas(func(r *replicas) { r.recordRunEnd(instance, sample, time.Now()) })
}
