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
	// dialTimeout bounds connecting to an agent, its greeting included.
	dialTimeout = 500 * time.Millisecond
	// stallTimeout is the silence within a stream after which its replica is taken as lost.
	stallTimeout = 4 * time.Second
	// lateAllowance is how long after its deadline a run that was accepted may still begin.
	lateAllowance = 5 * time.Second
	// busyRetryAfter is what a caller is told when no replica could say when to come back.
	busyRetryAfter = time.Second
)

// sink receives the answer of a run in order, each token exactly once.
type sink interface {
	// token is called with consecutive sequence numbers from 0; an error ends the run.
	token(sequence uint32, data []byte) error
}

// run carries one request through its attempts. It belongs to the request's goroutine.
type run struct {
	entry    *Entry
	request  *request
	sink     sink
	stream   *stream.Assembler
	attempts int
	// tried holds replicas that are not asked again.
	tried      map[string]bool
	lastReason *wire.Refused
	// end is the end of the latest attempt and ends those of all before that may be followed by
	// another.
	end  retry.Attempt
	ends []retry.Attempt
	// began is the start of the latest attempt.
	began      time.Time
	firstToken time.Duration
	once       once
}

// verdict tells what follows after one attempt.
type verdict int

const (
	verdictDone verdict = iota
	verdictRetry
	verdictFailed
	// verdictLost is an attempt of a non-idempotent request that its agent must be asked about.
	verdictLost
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

// execute runs the request to its end. A nil Failure means that result holds the whole answer.
func (r *run) execute(ctx context.Context) (*result, *Failure) {
	result, failure := r.tryAll(ctx)
	r.entry.limiting.settle(r.request, result, failure)
	if failure != nil && r.once.bound && r.once.proven {
		failure.settled = true
	}
	return result, failure
}

func (r *run) tryAll(ctx context.Context) (*result, *Failure) {
	for {
		if ctx.Err() != nil {
			return nil, r.hungUp()
		}
		target, failure := r.place(ctx)
		if failure != nil {
			return nil, failure
		}
		r.attempts++
		began := time.Now()
		r.began = began
		r.end = retry.Attempt{}
		r.entry.learn(func(known *replicas) { known.sending(target.instance.ID, began) })
		done, next, failure := r.attempt(ctx, target)
		switch next {
		case verdictDone:
			r.succeeded(done, target)
			return r.finish(done, target.instance), nil
		case verdictFailed:
			return nil, failure
		case verdictRetry:
		}
		if failure := r.again(ctx); failure != nil {
			return nil, failure
		}
	}
}

func (r *run) finish(done *wire.Done, instance metastore.Instance) *result {
	return &result{
		done:       done,
		replica:    instance.ID,
		attempts:   r.attempts,
		delivered:  r.stream.Delivered(),
		firstToken: r.firstToken,
	}
}

// hungUp is the failure of a request whose caller is gone; nobody reads it but the counters.
func (r *run) hungUp() *Failure {
	return unknown(CodeInterrupted, fasthttp.StatusRequestTimeout, "the caller hung up")
}

// attempt dispatches to one replica and follows it to its end.
func (r *run) attempt(ctx context.Context, target *placed) (*wire.Done, verdict, *Failure) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, hello, err := r.entry.links.connect(dialCtx, target.instance.Address)
	cancel()
	if err != nil {
		r.tried[target.instance.ID] = true
		r.entry.unreachable(target.instance)
		r.end = retry.Attempt{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
		return nil, verdictRetry, nil
	}
	id, err := attempt.NewID()
	if err != nil {
		return nil, verdictFailed, retryable(CodeBusy, fasthttp.StatusServiceUnavailable, err.Error(), busyRetryAfter)
	}
	if !r.request.kind.Idempotent {
		return r.attemptOnce(ctx, conn, r.executor(id, hello, target), target)
	}
	return r.send(ctx, conn, id, hello.GetIncarnation(), target)
}

// send dispatches one attempt and follows it.
func (r *run) send(ctx context.Context, conn *transport.Conn, id attempt.ID, incarnation uint64, target *placed) (*wire.Done, verdict, *Failure) {
	resumeAt := r.stream.Supersede(id)
	registered := r.entry.flights.register(id, conn)
	defer r.entry.flights.forget(registered)
	defer target.count()()
	dispatch := r.dispatch(id, incarnation, resumeAt, target)
	if err := conn.Send(&wire.Frame{Body: &wire.Frame_Dispatch{Dispatch: dispatch}}); err != nil {
		return r.lost(target)
	}
	r.entry.explainDispatch(r.request, id, target)
	return r.follow(ctx, registered, target)
}

func (r *run) dispatch(id attempt.ID, incarnation uint64, resumeAt uint32, target *placed) *wire.Dispatch {
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

// follow reads an attempt's frames until it ends, its agent goes silent or the caller hangs up.
func (r *run) follow(ctx context.Context, f *flight, target *placed) (*wire.Done, verdict, *Failure) {
	heartbeat := newHeartbeat(r.entry, target.instance)
	defer heartbeat.stop()
	progress := time.NewTimer(r.patience())
	defer progress.Stop()
	for {
		select {
		case <-ctx.Done():
			r.leave(f)
			return nil, verdictFailed, r.hungUp()
		case <-progress.C:
			r.once.heard = false
			r.abandon(f)
			return r.faulty(target, wire.Outcome_OUTCOME_UNKNOWN)
		case <-heartbeat.ticks():
			if heartbeat.silent(time.Now()) {
				r.abandon(f)
				return r.lost(target)
			}
			continue
		case <-f.signal:
			heartbeat.heard()
		}
		frames, lost := f.take()
		for _, frame := range frames {
			done, next, failure, ended := r.handle(f, frame, target)
			if ended {
				return done, next, failure
			}
		}
		if lost {
			return r.lost(target)
		}
		progress.Reset(r.patience())
	}
}

// patience is how long the run waits for the next frame of an agent that is alive.
func (r *run) patience() time.Duration {
	if r.stream.Delivered() > 0 {
		return stallTimeout
	}
	return max(time.Until(r.latest()), askPause)
}

// latest is the time until which a run that was accepted may still begin.
func (r *run) latest() time.Time { return r.request.deadline.Add(lateAllowance) }

// handle takes one frame. ended is true when the attempt is over.
func (r *run) handle(f *flight, frame *wire.Frame, target *placed) (done *wire.Done, next verdict, failure *Failure, ended bool) {
	r.once.heard = true
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Chunk:
		if err := r.chunk(f.id, body.Chunk); err != nil {
			r.leave(f)
			return nil, verdictFailed, r.hungUp(), true
		}
		return nil, 0, nil, false
	case *wire.Frame_Done:
		done, next, failure = r.done(body.Done, target)
		return done, next, failure, true
	case *wire.Frame_Refused:
		next, failure = r.refused(body.Refused, target)
		return nil, next, failure, true
	case *wire.Frame_Answer:
		next, failure, ended = r.answered(f, body.Answer, target)
		return nil, next, failure, ended
	default:
		return nil, 0, nil, false
	}
}

// chunk passes on the chunks that are next. An error means that the caller is gone.
func (r *run) chunk(id attempt.ID, chunk *wire.Chunk) error {
	first := r.stream.Delivered()
	ready, err := r.stream.Chunk(id, chunk.GetSequence(), chunk.GetData())
	if err != nil {
		// The end of the attempt will not match what was delivered: the attempt counts as lost then.
		return nil
	}
	for i, data := range ready {
		if first == 0 && i == 0 {
			r.firstToken = time.Since(r.request.arrived)
		}
		if err := r.sink.token(first+uint32(i), data); err != nil {
			return err
		}
	}
	return nil
}

// done takes the end of an attempt. An end that does not match the delivered chunks is a loss.
func (r *run) done(done *wire.Done, target *placed) (*wire.Done, verdict, *Failure) {
	if done.GetOutcome() == wire.Outcome_OUTCOME_DONE {
		err := r.stream.Done(r.stream.Current(), done.GetChunks())
		if err == nil && r.stream.Whole() {
			return done, verdictDone, nil
		}
		return r.lost(target)
	}
	if r.request.kind.Idempotent {
		return r.faulty(target, wire.Outcome_OUTCOME_FAILED)
	}
	r.entry.runEnded(target.instance.ID, health.Sample{Failed: true})
	return nil, verdictFailed, unknown(CodeRunFailed, fasthttp.StatusBadGateway, done.GetMessage())
}

// refused takes a refusal. Only a proven not run lets a non-idempotent request go elsewhere.
func (r *run) refused(refused *wire.Refused, target *placed) (verdict, *Failure) {
	r.lastReason = refused
	r.end = attemptOf(refused)
	r.entry.refusedBy(target.instance, refused)
	proven := refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN
	r.once.proven = proven
	if !proven && !r.request.kind.Idempotent {
		return verdictFailed, r.outcomeUnknown(target)
	}
	if refused.GetReason() == wire.RefusalReason_REFUSAL_REASON_STALE_CONFIGURATION {
		return r.refresh(refused.GetConfigVersion(), target)
	}
	if refused.GetReason() != wire.RefusalReason_REFUSAL_REASON_POISONED {
		r.tried[target.instance.ID] = true
	}
	return verdictRetry, nil
}

// lost takes an attempt whose end can't be known from its connection.
func (r *run) lost(target *placed) (*wire.Done, verdict, *Failure) {
	r.tried[target.instance.ID] = true
	r.end = retry.Attempt{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	r.entry.unreachable(target.instance)
	if r.request.kind.Idempotent {
		return nil, verdictRetry, nil
	}
	return nil, verdictLost, nil
}

func (r *run) outcomeUnknown(target *placed) *Failure {
	failure := unknown(CodeOutcomeUnknown, fasthttp.StatusBadGateway,
		"contact with instance "+quote(target.instance.ID)+" was lost while the request may have run")
	if r.request.keyed() {
		failure.RetryAfter = unknownRetryAfter
	}
	return failure
}

// refresh catches up with the configuration that an agent already has, then lets the request go on.
func (r *run) refresh(version uint64, target *placed) (verdict, *Failure) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := r.entry.configuration.CatchUp(ctx, version, target.instance.ControlAddress); err != nil {
		return verdictFailed, retryable(CodeStarting, fasthttp.StatusServiceUnavailable,
			"a newer configuration is in force and could not be read", busyRetryAfter)
	}
	if r.stream.Delivered() > 0 {
		return verdictRetry, nil
	}
	if failure := r.request.rebind(r.entry.configuration.Current()); failure != nil {
		return verdictFailed, failure
	}
	return verdictRetry, nil
}

// abandon cancels an attempt that is replaced by another. A non-idempotent one is asked about.
func (r *run) abandon(f *flight) {
	if r.request.kind.Idempotent {
		r.cancel(f)
	}
}

// leave cancels an attempt whose caller is gone, unless the caller may ask for its answer again.
func (r *run) leave(f *flight) {
	if !r.request.keyed() {
		r.cancel(f)
	}
}

func (r *run) cancel(f *flight) {
	_ = f.conn.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{AttemptId: f.id[:]}}})
}

// unreachable notes that an agent could not be reached or went silent.
func (e *Entry) unreachable(instance metastore.Instance) {
	e.counters.lostAttempts.Inc(1)
	e.runEnded(instance.ID, health.Sample{Failed: true})
	e.learn(func(r *replicas) { r.failed(instance.ID, time.Now()) })
}

// runEnded takes the end of an attempt as evidence about its replica.
func (e *Entry) runEnded(instance string, sample health.Sample) {
	e.learn(func(r *replicas) { r.ended(instance, sample, time.Now()) })
}
