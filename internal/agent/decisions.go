package agent

import (
	"encoding/hex"
	"time"

	"github.com/google/uuid"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// queueDetail is what explain shows about an attempt that was queued.
type queueDetail struct {
	PredictedStartMS int64 `json:"predicted_start_ms"`
	Queued           int   `json:"queued"`
	Running          int   `json:"running"`
}

// refusalDetail is what explain shows about a refusal.
type refusalDetail struct {
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// endDetail is what explain shows about the end of a run.
type endDetail struct {
	Outcome        string `json:"outcome"`
	QueueMS        uint32 `json:"queue_ms"`
	RunMS          int64  `json:"run_ms"`
	CachedTokens   uint32 `json:"cached_tokens"`
	ComputedTokens uint32 `json:"computed_tokens"`
	LinkBytes      uint64 `json:"link_bytes"`
	Message        string `json:"message,omitempty"`
}

// recordDecision records a decision about an attempt for explain.
func (a *Agent) recordDecision(id attempt.ID, d *wire.Dispatch, step string, detail any) {
	a.decisions.Add(explain.Decision{
		Time:    time.Now(),
		Request: requestIDOf(d),
		Attempt: id.String(),
		Step:    step,
		Detail:  detail,
	})
}

// requestIDOf returns the id of a caller's request as text. All attempts of the request share it.
func requestIDOf(d *wire.Dispatch) string {
	id, err := uuid.FromBytes(d.GetRequestId())
	if err != nil {
		return hex.EncodeToString(d.GetRequestId())
	}
	return id.String()
}
