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
	// maxUnanswered bounds the questions about one attempt that bring no news.
	maxUnanswered = 4
	// askPause is the pause before an agent that could not be reached is asked again.
	askPause = 200 * time.Millisecond
	// dispatchTime is the age of an attempt below which its dispatch may still be on its way; a question
	// that overtakes the dispatch poisons the attempt.
	dispatchTime = 200 * time.Millisecond
	// claimTimeout bounds a claim with the repeats that resolve a lost answer.
	claimTimeout = 2500 * time.Millisecond
	// unknownRetryAfter is when a caller may ask again, with the same key, what became of its request.
	unknownRetryAfter = time.Second
)

// Claims binds idempotency keys to attempts.
type Claims interface {
	Claim(ctx context.Context, request claim.Request) (claim.Binding, error)
	Rebind(ctx context.Context, request claim.Request, proven claim.Binding) (claim.Binding, error)
	Exists(ctx context.Context, organisation string, key claim.Key) (bool, error)
	Stats() claim.Stats
}

// once is what a run of a non-idempotent request knows about the attempt that it is bound to.
type once struct {
	binding claim.Binding
	bound   bool
	// proven says that the bound attempt has not run and never will.
	proven bool
	// heard says that the agent of the bound attempt sent something since it was last asked.
	heard bool
}

func (r *run) executor(id attempt.ID, hello *wire.Hello, target *placed) claim.Executor {
	return claim.Executor{
		Attempt:     id,
		Instance:    target.instance.ID,
		Address:     target.instance.Address,
		Incarnation: hello.GetIncarnation(),
	}
}

// attemptOnce runs one attempt of a non-idempotent request. It binds the request to the attempt
// before the dispatch. When the key is bound to another attempt, or contact is lost, it asks the
// agent of the bound attempt; only a proven not run lets the request go elsewhere.
func (r *run) attemptOnce(ctx context.Context, conn *transport.Conn, executor claim.Executor, target *placed) (*wire.Done, verdict, *Failure) {
	binding, failure := r.bind(ctx, executor)
	if failure != nil {
		return nil, verdictFailed, failure
	}
	r.once = once{binding: binding, bound: true}
	var done *wire.Done
	next := verdictLost
	if binding.Mine {
		done, next, failure = r.send(ctx, conn, executor.Attempt, executor.Incarnation, target)
	} else if !wait(ctx, min(dispatchTime, dispatchTime-time.Since(binding.Attempt.Time()))) {
		return nil, verdictFailed, r.hungUp()
	}
	for unanswered := 0; next == verdictLost && unanswered < maxUnanswered; unanswered++ {
		r.once.heard = false
		delivered := r.stream.Delivered()
		done, next, failure = r.ask(ctx, binding.Executor)
		progressed := r.stream.Delivered() > delivered
		if progressed || r.once.heard && time.Now().Before(r.latest()) {
			unanswered = 0
		}
	}
	if next == verdictLost {
		return nil, verdictFailed, r.outcomeUnknown(&placed{instance: executorInstance(binding.Executor)})
	}
	return done, next, failure
}

// bind claims the key of the request for an executor, or moves its claim there after a proven not
// run. A request without a key has only this run, which needs no claim.
func (r *run) bind(ctx context.Context, executor claim.Executor) (claim.Binding, *Failure) {
	if !r.request.keyed() {
		return claim.Binding{Executor: executor, Mine: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	wanted := r.request.claim(executor)
	var binding claim.Binding
	var err error
	if r.once.bound {
		if !r.once.proven {
			return claim.Binding{}, r.outcomeUnknown(&placed{instance: executorInstance(r.once.binding.Executor)})
		}
		binding, err = r.entry.claims.Rebind(ctx, wanted, r.once.binding)
	} else {
		binding, err = r.entry.claims.Claim(ctx, wanted)
	}
	if err != nil {
		return claim.Binding{}, claimFailure(err)
	}
	r.entry.explainClaim(r.request, binding, r.once.bound)
	return binding, nil
}

// claimFailure answers a request whose key could not be claimed. Where an earlier request with the
// key may have run, the outcome is unknown although this one did not run.
func claimFailure(err error) *Failure {
	switch {
	case errorx.IsOfType(err, claim.ErrKeyReused):
		return refusal(CodeKeyReused, fasthttp.StatusUnprocessableEntity,
			"the idempotency key belongs to another request")
	case errorx.IsOfType(err, claim.ErrInvalidKey), errorx.IsOfType(err, claim.ErrFutureKey):
		return refusal(CodeBadKey, fasthttp.StatusBadRequest,
			"header "+idempotencyHeader+" must be a UUID of version 7 with the present time: "+err.Error())
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

// ask asks the agent of an attempt what became of it and follows the replay of its answer.
func (r *run) ask(ctx context.Context, executor claim.Executor) (*wire.Done, verdict, *Failure) {
	target := &placed{instance: executorInstance(executor)}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, hello, err := r.entry.links.connect(dialCtx, executor.Address)
	cancel()
	if err != nil {
		return r.askLater(ctx)
	}
	if hello.GetIncarnation() != executor.Incarnation {
		return nil, verdictFailed, unknown(CodeOutcomeUnknown, fasthttp.StatusBadGateway,
			"instance "+quote(executor.Instance)+" has restarted since the request may have run there")
	}
	if r.stream.Current() != executor.Attempt {
		r.stream.Supersede(executor.Attempt)
	}
	registered := r.entry.flights.register(executor.Attempt, conn)
	defer r.entry.flights.forget(registered)
	registered.asked = true
	err = conn.Send(&wire.Frame{Body: &wire.Frame_Ask{Ask: &wire.Ask{
		AttemptId:   executor.Attempt[:],
		Incarnation: executor.Incarnation,
		Replay:      true,
	}}})
	if err != nil {
		return r.askLater(ctx)
	}
	return r.follow(ctx, registered, target)
}

func (r *run) askLater(ctx context.Context) (*wire.Done, verdict, *Failure) {
	if !wait(ctx, askPause) {
		return nil, verdictFailed, r.hungUp()
	}
	return nil, verdictLost, nil
}

// wait pauses and returns false when ctx ended first.
func wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// answered takes the answer to a question. ended is false when the replay of the answer follows.
func (r *run) answered(f *flight, answer *wire.Answer, target *placed) (next verdict, failure *Failure, ended bool) {
	if !f.asked {
		return 0, nil, false
	}
	r.entry.explainAnswer(r.request, f, answer, target.instance.ID)
	switch answer.GetOutcome() {
	case wire.Outcome_OUTCOME_NOT_RUN:
		// The replica may be tried again: the question overtook the dispatch, or nobody sent one.
		r.once.proven = true
		r.end = retry.Attempt{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
		return verdictRetry, nil, true
	case wire.Outcome_OUTCOME_RUNNING, wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_FAILED:
		return 0, nil, false
	default:
		return verdictFailed, unknown(CodeOutcomeUnknown, fasthttp.StatusBadGateway,
			"instance "+quote(target.instance.ID)+" can't tell any more what became of the request"), true
	}
}
