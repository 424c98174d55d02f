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

// existsTimeout bounds the look for a claim before a refusal says that a request was not run.
const existsTimeout = 500 * time.Millisecond

// requestNamespace is the name space of the ids of requests with an idempotency key.
var requestNamespace = uuid.MustParse("6f0e6c0b-3f0c-4f7e-9d52-6b7d2f1f3c11")

// useKey reads the idempotency key of a non-idempotent request. Requests with the same key get the
// same id, so that a plain service sees them as one.
func (r *request) useKey(now time.Time) *Failure {
	if r.key == "" || r.kind.Idempotent {
		return nil
	}
	key, err := claim.ParseKey(r.key)
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

// keyed says whether the request is bound by a claim.
func (r *request) keyed() bool { return r.claimKey != nil }

func (r *request) claimTTL() time.Duration {
	seconds := r.snapshot.Index.Manifest().ClaimTTLSeconds
	if seconds == 0 {
		return claim.MaxTTL
	}
	return time.Duration(seconds) * time.Second
}

// claim asks for the request's key on behalf of an executor.
func (r *request) claim(executor claim.Executor) claim.Request {
	return claim.Request{
		Organisation: r.organisation.Name,
		Key:          *r.claimKey,
		Digest:       r.digest(),
		TTL:          r.claimTTL(),
		Executor:     executor,
	}
}

// digest covers all that makes up the request besides its key.
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

// truthful keeps a refusal from saying "not run" of a key under which an earlier request may have
// run. A caller takes the answer to its last request for what became of the key.
func (e *Entry) truthful(ctx *fasthttp.RequestCtx, failure *Failure, req *request) *Failure {
	hasKey := len(ctx.Request.Header.Peek(idempotencyHeader)) > 0
	if !hasKey || failure.settled || failure.Outcome != wire.Outcome_OUTCOME_NOT_RUN || failure.RetryAfter == 0 {
		return failure
	}
	if req != nil && req.kind != nil && !req.keyed() {
		return failure
	}
	if req != nil && req.keyed() && e.certainlyUnclaimed(req) {
		return failure
	}
	honest := *failure
	honest.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	honest.Message += "; an earlier request with the same idempotency key may have run"
	return &honest
}

func (e *Entry) certainlyUnclaimed(req *request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), existsTimeout)
	defer cancel()
	exists, err := e.claims.Exists(ctx, req.organisation.Name, *req.claimKey)
	return err == nil && !exists
}
