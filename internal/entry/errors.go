package entry

import (
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/wire"
)

var namespace = errorx.NewNamespace("entry")

// ErrStart means that the entry could not start with its settings.
var ErrStart = namespace.NewType("start")

// Code is the stable name of a failure in the callers' interface.
type Code string

// The codes of the callers' interface.
const (
	CodeMalformed      Code = "malformed_request"
	CodeBodyTooLarge   Code = "body_too_large"
	CodeUnknownKey     Code = "unknown_key"
	CodeNotAllowed     Code = "not_allowed"
	CodeUnknownService Code = "unknown_service"
	CodeUnknownKind    Code = "unknown_kind"
	CodeUnknownRoute   Code = "unknown_route"
	CodeStarting       Code = "starting"
	CodeLeaving        Code = "leaving"
	CodeNoReplica      Code = "no_replica"
	CodeBusy           Code = "busy"
	CodeDeadline       Code = "deadline"
	CodeLimit          Code = "organisation_limit"
	CodeRunFailed      Code = "run_failed"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeInterrupted    Code = "interrupted"
	CodeBadKey         Code = "bad_idempotency_key"
	CodeExpiredKey     Code = "expired_idempotency_key"
	CodeKeyReused      Code = "idempotency_key_reused"
	CodeKeyUnavailable Code = "idempotency_unavailable"
)

// Failure is the answer to a request that the system has given up on.
type Failure struct {
	Code    Code
	Status  int
	Message string
	// Outcome says whether the request may have run.
	Outcome wire.Outcome
	// RetryAfter tells the caller when to come back; zero when coming back makes no sense.
	RetryAfter time.Duration
	// settled says that Outcome holds for the request's idempotency key, not just for this request.
	settled bool
}

// refusal returns a Failure for a request that has not run.
func refusal(code Code, status int, message string) *Failure {
	return &Failure{Code: code, Status: status, Message: message, Outcome: wire.Outcome_OUTCOME_NOT_RUN}
}

// retryable returns a refusal with a time to come back.
func retryable(code Code, status int, message string, after time.Duration) *Failure {
	failure := refusal(code, status, message)
	failure.RetryAfter = after
	return failure
}

// unknown returns a Failure for a request that may have run.
func unknown(code Code, status int, message string) *Failure {
	return &Failure{Code: code, Status: status, Message: message, Outcome: wire.Outcome_OUTCOME_UNKNOWN}
}
