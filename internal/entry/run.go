package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/platform"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 6
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
	entry     *Entry
	request   *request
	sink      sink
	delivered uint32
	attempts  int
	// tried holds replicas that are not asked again.
	tried      map[string]bool
	lastReason *wire.Refused
	firstToken time.Duration
}

// verdict tells what follows after one attempt.
type verdict int

const (
	verdictDone verdict = iota
	verdictRetry
	verdictFailed
)

func (e *Entry) newRun(r *request, s sink) *run {
	return &run{entry: e, request: r, sink: s, tried: make(map[string]bool)}
}

// execute runs the request to its end. A nil Failure means that result holds the whole answer.
func (r *run) execute(ctx context.Context) (*result, *Failure) {
	for r.attempts < maxAttempts {
		if ctx.Err() != nil {
			return nil, r.hungUp()
		}
		target, failure := r.place(ctx)
		if failure != nil {
			return nil, failure
		}
		r.attempts++
		done, next, failure := r.attempt(ctx, target)
		switch next {
		case verdictDone:
			return r.finish(done, target.instance), nil
		case verdictFailed:
			return nil, failure
		case verdictRetry:
		}
	}
	return nil, r.exhausted()
}

func (r *run) finish(done *wire.Done, instance platform.Instance) *result {
	return &result{
		done:       done,
		replica:    instance.ID,
		attempts:   r.attempts,
		delivered:  r.delivered,
		firstToken: r.firstToken,
	}
}

// hungUp is the failure of a request whose caller is gone; nobody reads it but the counters.
func (r *run) hungUp() *Failure {
	return unknown(CodeInterrupted, fasthttp.StatusRequestTimeout, "the caller hung up")
}

// exhausted is the failure of a request that no replica took.
func (r *run) exhausted() *Failure {
	after := busyRetryAfter
	message := "no replica of service " + quote(r.request.service.Name) + " took the request"
	if r.lastReason != nil {
		if ms := r.lastReason.GetRetryAfterMs(); ms > 0 {
			after = time.Duration(ms) * time.Millisecond
		}
		message += ": " + r.lastReason.GetMessage()
	}
	if r.delivered > 0 {
		return unknown(CodeInterrupted, fasthttp.StatusBadGateway, message)
	}
	return retryable(CodeBusy, fasthttp.StatusServiceUnavailable, message, after)
}

// attempt dispatches to one replica and follows it to its end.
func (r *run) attempt(ctx context.Context, target *placed) (*wire.Done, verdict, *Failure) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, hello, err := r.entry.links.connect(dialCtx, target.instance.Address)
	cancel()
	if err != nil {
		r.tried[target.instance.ID] = true
		r.entry.unreachable(target.instance)
		return nil, verdictRetry, nil
	}
	id, err := attempt.NewID()
	if err != nil {
		return nil, verdictFailed, retryable(CodeBusy, fasthttp.StatusServiceUnavailable, err.Error(), busyRetryAfter)
	}
	registered := r.entry.flights.register(id, conn)
	defer r.entry.flights.forget(id)
	dispatch := r.dispatch(id, hello, target)
	if err := conn.Send(&wire.Frame{Body: &wire.Frame_Dispatch{Dispatch: dispatch}}); err != nil {
		return r.lost(target)
	}
	r.entry.explainDispatch(r.request, id, target)
	return r.follow(ctx, registered, target)
}

func (r *run) dispatch(id attempt.ID, hello *wire.Hello, target *placed) *wire.Dispatch {
	req := r.request
	left := max(time.Until(req.deadline), time.Millisecond)
	return &wire.Dispatch{
		RequestId:     req.id[:],
		AttemptId:     id[:],
		Incarnation:   hello.GetIncarnation(),
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
		ResumeTokens:  r.delivered,
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
			r.cancel(f)
			return nil, verdictFailed, r.hungUp()
		case <-progress.C:
			r.cancel(f)
			return r.lost(target)
		case <-heartbeat.ticks():
			if heartbeat.silent(time.Now()) {
				r.cancel(f)
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
	if r.delivered > 0 {
		return stallTimeout
	}
	return time.Until(r.request.deadline) + lateAllowance
}

// handle takes one frame. ended is true when the attempt is over.
func (r *run) handle(f *flight, frame *wire.Frame, target *placed) (done *wire.Done, next verdict, failure *Failure, ended bool) {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Chunk:
		if err := r.chunk(body.Chunk); err != nil {
			r.cancel(f)
			return nil, verdictFailed, r.hungUp(), true
		}
		return nil, 0, nil, false
	case *wire.Frame_Done:
		done, next, failure = r.done(body.Done, target)
		return done, next, failure, true
	case *wire.Frame_Refused:
		next, failure = r.refused(body.Refused, target)
		return nil, next, failure, true
	default:
		return nil, 0, nil, false
	}
}

// chunk passes a chunk on when it is the next one. Duplicates are dropped.
func (r *run) chunk(chunk *wire.Chunk) error {
	if chunk.GetSequence() != r.delivered {
		return nil
	}
	if r.delivered == 0 {
		r.firstToken = time.Since(r.request.arrived)
	}
	if err := r.sink.token(chunk.GetSequence(), chunk.GetData()); err != nil {
		return err
	}
	r.delivered++
	return nil
}

// done takes the end of an attempt. An end that does not match the delivered chunks is a loss.
func (r *run) done(done *wire.Done, target *placed) (*wire.Done, verdict, *Failure) {
	if done.GetOutcome() == wire.Outcome_OUTCOME_DONE && done.GetChunks() == r.delivered {
		return done, verdictDone, nil
	}
	if done.GetOutcome() == wire.Outcome_OUTCOME_DONE {
		return r.lost(target)
	}
	if r.request.kind.Idempotent {
		return r.lost(target)
	}
	return nil, verdictFailed, unknown(CodeRunFailed, fasthttp.StatusBadGateway, done.GetMessage())
}

// refused takes a refusal. Only a proven not run lets a non-idempotent request go elsewhere.
func (r *run) refused(refused *wire.Refused, target *placed) (verdict, *Failure) {
	r.lastReason = refused
	r.entry.refusedBy(target.instance, refused)
	proven := refused.GetOutcome() == wire.Outcome_OUTCOME_NOT_RUN
	if !proven && !r.request.kind.Idempotent {
		return verdictFailed, r.outcomeUnknown(target)
	}
	if refused.GetReason() == wire.RefusalReason_REFUSAL_REASON_STALE_CONFIGURATION {
		return r.refresh(refused.GetConfigVersion(), target)
	}
	r.tried[target.instance.ID] = true
	return verdictRetry, nil
}

// lost takes an attempt whose end can't be known from its connection.
func (r *run) lost(target *placed) (*wire.Done, verdict, *Failure) {
	r.tried[target.instance.ID] = true
	r.entry.unreachable(target.instance)
	if r.request.kind.Idempotent {
		return nil, verdictRetry, nil
	}
	return nil, verdictFailed, r.outcomeUnknown(target)
}

func (r *run) outcomeUnknown(target *placed) *Failure {
	return unknown(CodeOutcomeUnknown, fasthttp.StatusBadGateway,
		"contact with instance "+quote(target.instance.ID)+" was lost while the request may have run")
}

// refresh catches up with the configuration that an agent already has, then lets the request go on.
func (r *run) refresh(version uint64, target *placed) (verdict, *Failure) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if err := r.entry.configuration.CatchUp(ctx, version, target.instance.ControlAddress); err != nil {
		return verdictFailed, retryable(CodeStarting, fasthttp.StatusServiceUnavailable,
			"a newer configuration is in force and could not be read", busyRetryAfter)
	}
	if r.delivered > 0 {
		return verdictRetry, nil
	}
	if failure := r.request.rebind(r.entry.configuration.Current()); failure != nil {
		return verdictFailed, failure
	}
	return verdictRetry, nil
}

func (r *run) cancel(f *flight) {
	_ = f.conn.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{AttemptId: f.id[:]}}})
}

// unreachable notes that an agent could not be reached or went silent.
func (e *Entry) unreachable(instance platform.Instance) {
	e.counters.lostAttempts.Inc(1)
	e.replicas.failed(instance, time.Now())
}
