package entry

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/claim"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// claimDetail is what an explain entry shows about the claim of an idempotency key.
type claimDetail struct {
	Replica     string `json:"replica"`
	Incarnation uint64 `json:"incarnation"`
	// Mine reports that this request made the claim and dispatches its attempt.
	Mine bool `json:"mine"`
	// Moved reports that the claim replaced one whose attempt was proven not to have run.
	Moved bool `json:"moved"`
}

func (e *Entry) explainClaim(req *request, binding claim.Binding, moved bool) {
	e.decisions.Add(explain.Decision{
		Time:    time.Now(),
		Request: req.id.String(),
		Attempt: binding.Attempt.String(),
		Step:    "claim",
		Detail: claimDetail{
			Replica:     binding.Instance,
			Incarnation: binding.Incarnation,
			Mine:        binding.Mine,
			Moved:       moved && binding.Mine,
		},
	})
}

// answerDetail is what an explain entry shows about an agent's Answer to an Ask.
type answerDetail struct {
	Replica string `json:"replica"`
	Outcome string `json:"outcome"`
	Chunks  uint32 `json:"chunks"`
}

func (e *Entry) explainAnswer(req *request, queue *frameQueue, answer *wire.Answer, replica string) {
	e.decisions.Add(explain.Decision{
		Time:    time.Now(),
		Request: req.id.String(),
		Attempt: queue.id.String(),
		Step:    "ask",
		Detail:  answerDetail{Replica: replica, Outcome: answer.GetOutcome().String(), Chunks: answer.GetChunks()},
	})
}
