package entry

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/claim"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// existsTimeout bounds the check for an existing claim that precedes a response "not run".
const existsTimeout = 500 * time.Millisecond

// requestNamespace is the UUID namespace for the ids of requests with an idempotency key.
var requestNamespace = uuid.MustParse("6f0e6c0b-3f0c-4f7e-9d52-6b7d2f1f3c11")

// parseKey parses and checks the idempotency key of a non-idempotent request. It derives the request id
// from the key, so that a plain service sees requests with the same key as one.
func (r *request) parseKey(now time.Time) *Failure {
	if r.idempotencyKey == "" || r.kind.Idempotent {
		return nil
	}
	key, err := claim.ParseKey(r.idempotencyKey)
	if err != nil {
		return claimFailure(err)
	}
	if err := key.Check(now, r.claimTTL()); err != nil {
		return claimFailure(err)
	}
	r.claimKey = &key
	r.id = uuid.NewSHA1(requestNamespace, []byte(r.organisation.Name+"/"+key.String()))
	return nil
}

// keyed reports whether the request has an idempotency key, which must be claimed.
func (r *request) keyed() bool { return r.claimKey != nil }

func (r *request) claimTTL() time.Duration {
	seconds := r.snapshot.Index.Manifest().ClaimTTLSeconds
	if seconds == 0 {
		return claim.MaxTTL
	}
	return time.Duration(seconds) * time.Second
}

// claim returns the claim request that binds the request's key to an executor.
func (r *request) claim(executor claim.Executor) claim.Request {
	return claim.Request{
		Organisation: r.organisation.Name,
		Key:          *r.claimKey,
		Digest:       r.digest(),
		TTL:          r.claimTTL(),
		Executor:     executor,
	}
}

// digest returns a hash of the request's content, its key excluded.
func (r *request) digest() claim.Digest {
	hash := sha256.New()
	parts := [][]byte{
		[]byte(r.service.Name), []byte(r.kind.Name), []byte(r.adapter),
		[]byte(r.method), []byte(r.path), []byte(r.contentType), r.payload,
	}
	for _, part := range parts {
		hash.Write(binary.AppendUvarint(nil, uint64(len(part))))
		hash.Write(part)
	}
	return claim.Digest(hash.Sum(nil))
}

// correctOutcome changes the outcome of a retryable refusal from not run to unknown when an earlier request
// with the same key may have run. A caller takes the response to its last request as the outcome of the key.
func (e *Entry) correctOutcome(ctx *fasthttp.RequestCtx, failure *Failure, req *request) *Failure {
	hasKey := len(ctx.Request.Header.Peek(idempotencyHeader)) > 0
	if !hasKey || failure.appliesToKey || failure.Outcome != wire.Outcome_OUTCOME_NOT_RUN || failure.RetryAfter == 0 {
		return failure
	}
	if req != nil && req.kind != nil && !req.keyed() {
		return failure
	}
	if req != nil && req.keyed() && e.confirmedUnclaimed(req) {
		return failure
	}
	corrected := *failure
	corrected.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	corrected.Message += "; an earlier request with the same idempotency key may have run"
	return &corrected
}

func (e *Entry) confirmedUnclaimed(req *request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), existsTimeout)
	defer cancel()
	exists, err := e.claims.Exists(ctx, req.organisation.Name, *req.claimKey)
	return err == nil && !exists
}
