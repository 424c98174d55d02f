package entry

import (
	"time"

	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/wire"
)

var namespace = errorx.NewNamespace("entry")

// ErrStart means that the entry could not start with its settings.
var ErrStart = namespace.NewType("start")

// Code identifies a failure in the callers' API; its values are stable.
type Code string

// Codes of the callers' API.
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

// Failure is the error response to a request that did not complete.
type Failure struct {
	Code    Code
	Status  int
	Message string
	// Outcome reports whether the request may have run.
	Outcome wire.Outcome
	// RetryAfter is the delay after which the caller may retry; zero when a retry makes no sense.
	RetryAfter time.Duration
	// appliesToKey reports that Outcome holds for the request's idempotency key, not only for this request.
	appliesToKey bool
}

// refusal returns a Failure for a request that has not run.
func refusal(code Code, status int, message string) *Failure {
	return &Failure{Code: code, Status: status, Message: message, Outcome: wire.Outcome_OUTCOME_NOT_RUN}
}

// retryable returns a refusal with the delay after which the caller may retry.
func retryable(code Code, status int, message string, after time.Duration) *Failure {
	failure := refusal(code, status, message)
	failure.RetryAfter = after
	return failure
}

// unknown returns a Failure for a request that may have run.
func unknown(code Code, status int, message string) *Failure {
	return &Failure{Code: code, Status: status, Message: message, Outcome: wire.Outcome_OUTCOME_UNKNOWN}
}
