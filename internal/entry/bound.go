package entry

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/claim"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// claimDetail is what explain shows about the binding of a key.
type claimDetail struct {
	Replica     string `json:"replica"`
	Incarnation uint64 `json:"incarnation"`
	// Mine says that this request made the binding and dispatches its attempt.
	Mine bool `json:"mine"`
	// Moved says that the binding replaced one whose attempt was proven not to have run.
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

// answerDetail is what explain shows about an agent's answer to a question.
type answerDetail struct {
	Replica string `json:"replica"`
	Outcome string `json:"outcome"`
	Chunks  uint32 `json:"chunks"`
}

func (e *Entry) explainAnswer(req *request, f *flight, answer *wire.Answer, replica string) {
	e.decisions.Add(explain.Decision{
		Time:    time.Now(),
		Request: req.id.String(),
		Attempt: f.id.String(),
		Step:    "ask",
		Detail:  answerDetail{Replica: replica, Outcome: answer.GetOutcome().String(), Chunks: answer.GetChunks()},
	})
}
