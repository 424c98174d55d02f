package entry

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/claim"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/retry"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// maxUnansweredAsks is the maximum number of consecutive Asks about one attempt that bring no progress.
	maxUnansweredAsks = 4
	// askRetryDelay is the delay before the next Ask when an agent could not be reached.
	askRetryDelay = 200 * time.Millisecond
	// dispatchTransitTime is the age of an attempt below which its Dispatch may still be in transit. An Ask that
	// overtakes the Dispatch revokes the attempt before it starts.
	dispatchTransitTime = 200 * time.Millisecond
	// claimTimeout bounds a claim, including the retries that resolve a lost reply.
	claimTimeout = 2500 * time.Millisecond
	// unknownRetryAfter is the delay after which a caller may repeat a request with an unknown outcome, using
	// the same key.
	unknownRetryAfter = time.Second
)

// Claims binds idempotency keys to attempts. Package claim implements it.
type Claims interface {
	Claim(ctx context.Context, request claim.Request) (claim.Binding, error)
	Rebind(ctx context.Context, request claim.Request, proven claim.Binding) (claim.Binding, error)
	Exists(ctx context.Context, organisation string, key claim.Key) (bool, error)
	Stats() claim.Stats
}

// bindingState is the state of the attempt that a non-idempotent request is bound to.
type bindingState struct {
	binding claim.Binding
	bound   bool
	// provenNotRun reports that the bound attempt has not run and never will.
	provenNotRun bool
	// frameReceived reports that the bound attempt's agent sent a frame since the last Ask.
	frameReceived bool
}

func (r *run) executor(id attempt.ID, hello *wire.Hello, target *dispatchTarget) claim.Executor {
	return claim.Executor{
		Attempt:     id,
		Instance:    target.instance.ID,
		Address:     target.instance.Address,
		Incarnation: hello.GetIncarnation(),
	}
}

// runNonIdempotent runs one attempt of a non-idempotent request. It binds the request to the attempt before
// the dispatch. When the key is bound to another attempt, or contact is lost, it asks the agent of the bound
// attempt. The request may go to another replica only when the attempt is proven not to have run.
func (r *run) runNonIdempotent(ctx context.Context, conn *transport.Conn, executor claim.Executor, target *dispatchTarget) (*wire.Done, nextStep, *Failure) {
	binding, failure := r.bindKey(ctx, executor)
	if failure != nil {
		return nil, stepFail, failure
	}
	r.bindingState = bindingState{binding: binding, bound: true}
	var done *wire.Done
	next := stepAsk
	if binding.Mine {
		done, next, failure = r.dispatchAndFollow(ctx, conn, executor.Attempt, executor.Incarnation, target)
	} else if !sleep(ctx, min(dispatchTransitTime, dispatchTransitTime-time.Since(binding.Attempt.Time()))) {
		return nil, stepFail, r.callerDisconnected()
	}
	for unanswered := 0; next == stepAsk && unanswered < maxUnansweredAsks; unanswered++ {
		r.bindingState.frameReceived = false
		delivered := r.stream.Delivered()
		done, next, failure = r.askAgent(ctx, binding.Executor)
		progressed := r.stream.Delivered() > delivered
		if progressed || r.bindingState.frameReceived && time.Now().Before(r.latestStart()) {
			unanswered = 0
		}
	}
	if next == stepAsk {
		return nil, stepFail, r.outcomeUnknown(&dispatchTarget{instance: executorInstance(binding.Executor)})
	}
	return done, next, failure
}

// bindKey claims the request's key for an executor, or moves the existing claim there once its attempt is
// proven not to have run. A request without a key exists only in this run and needs no claim.
func (r *run) bindKey(ctx context.Context, executor claim.Executor) (claim.Binding, *Failure) {
	if !r.request.keyed() {
		return claim.Binding{Executor: executor, Mine: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claimRequest := r.request.claim(executor)
	var binding claim.Binding
	var err error
	if r.bindingState.bound {
		if !r.bindingState.provenNotRun {
			return claim.Binding{}, r.outcomeUnknown(&dispatchTarget{instance: executorInstance(r.bindingState.binding.Executor)})
		}
		binding, err = r.entry.claims.Rebind(ctx, claimRequest, r.bindingState.binding)
	} else {
		binding, err = r.entry.claims.Claim(ctx, claimRequest)
	}
	if err != nil {
		return claim.Binding{}, claimFailure(err)
	}
	r.entry.explainClaim(r.request, binding, r.bindingState.bound)
	return binding, nil
}

// claimFailure returns the Failure for a key that could not be claimed. Where an earlier request with the key
// may have run, the outcome is unknown although this request did not run.
func claimFailure(err error) *Failure {
	switch {
	case errorx.IsOfType(err, claim.ErrKeyReused):
		return refusal(CodeKeyReused, fasthttp.StatusUnprocessableEntity,
			"the idempotency key belongs to another request")
	case errorx.IsOfType(err, claim.ErrInvalidKey), errorx.IsOfType(err, claim.ErrFutureKey):
		return refusal(CodeBadKey, fasthttp.StatusBadRequest,
			"header "+idempotencyHeader+" must be a UUID of version 7 with the current time: "+err.Error())
	case errorx.IsOfType(err, claim.ErrExpiredKey):
		return unknown(CodeExpiredKey, fasthttp.StatusGone,
			"the idempotency key is too old; this request was not run, an earlier one with the key may have been")
	case errorx.IsOfType(err, claim.ErrUnavailable):
		failure := unknown(CodeKeyUnavailable, fasthttp.StatusServiceUnavailable,
			"the idempotency key could not be claimed; this request was not run, an earlier one with the key may have been")
		failure.RetryAfter = unknownRetryAfter
		return failure
	default:
		return unknown(CodeOutcomeUnknown, fasthttp.StatusBadGateway, err.Error())
	}
}

func executorInstance(executor claim.Executor) metastore.Instance {
	return metastore.Instance{ID: executor.Instance, Address: executor.Address}
}

// askAgent asks the agent of an attempt for its outcome and follows the replay of its response.
func (r *run) askAgent(ctx context.Context, executor claim.Executor) (*wire.Done, nextStep, *Failure) {
	target := &dispatchTarget{instance: executorInstance(executor)}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, hello, err := r.entry.links.connect(dialCtx, executor.Address)
	cancel()
	if err != nil {
		return r.delayAsk(ctx)
	}
	if hello.GetIncarnation() != executor.Incarnation {
		return nil, stepFail, unknown(CodeOutcomeUnknown, fasthttp.StatusBadGateway,
			"instance "+quote(executor.Instance)+" has restarted since the request may have run there")
	}
	if r.stream.Current() != executor.Attempt {
		r.stream.Supersede(executor.Attempt)
	}
	queue := r.entry.router.register(executor.Attempt, conn)
	defer r.entry.router.unregister(queue)
	queue.sentAsk = true
	err = conn.Send(&wire.Frame{Body: &wire.Frame_Ask{Ask: &wire.Ask{
		AttemptId:   executor.Attempt[:],
		Incarnation: executor.Incarnation,
		Replay:      true,
	}}})
	if err != nil {
		return r.delayAsk(ctx)
	}
	return r.follow(ctx, queue, target)
}

func (r *run) delayAsk(ctx context.Context) (*wire.Done, nextStep, *Failure) {
	if !sleep(ctx, askRetryDelay) {
		return nil, stepFail, r.callerDisconnected()
	}
	return nil, stepAsk, nil
}

// sleep waits for delay. It returns false when ctx ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// handleAnswer handles an agent's Answer to an Ask. ended is false when a replay of the response follows.
func (r *run) handleAnswer(queue *frameQueue, answer *wire.Answer, target *dispatchTarget) (next nextStep, failure *Failure, ended bool) {
	if !queue.sentAsk {
		return 0, nil, false
	}
	r.entry.explainAnswer(r.request, queue, answer, target.instance.ID)
	switch answer.GetOutcome() {
	case wire.Outcome_OUTCOME_NOT_RUN:
		// This replica may be tried again: the Ask overtook the Dispatch, or no Dispatch was sent.
		r.bindingState.provenNotRun = true
		r.lastAttempt = retry.Attempt{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
		return stepRetry, nil, true
	case wire.Outcome_OUTCOME_RUNNING, wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_FAILED:
		return 0, nil, false
	default:
		return stepFail, unknown(CodeOutcomeUnknown, fasthttp.StatusBadGateway,
			"instance "+quote(target.instance.ID)+" no longer has the outcome of the request"), true
	}
}
