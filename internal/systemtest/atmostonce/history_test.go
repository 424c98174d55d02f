package atmostonce

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// The specification of one key: its request runs at most once, and every response after the run must agree with it.
// If a submission ends as done, the request had run before or ran by it. If it ends as not run, the request had not run
// before and did not run by it. If its outcome is unknown, it may have run the request, even after its response.

// keyState is true when the request of a key has run.
type keyState = bool

// keyInput is the input of an operation: a submission, or the reading of the run count after all submissions.
type keyInput struct {
	key        string
	isRunCount bool
}

// keyOutput is the output of an operation: the outcome of a submission, or the run count.
type keyOutput struct {
	outcome outcome
	runs    int
}

var keyModel = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{keyState(false)} },
	Step:      step,
}

func step(state, input, output any) []any {
	ran, in, out := state.(keyState), input.(keyInput), output.(keyOutput)
	switch {
	case in.isRunCount:
		if ran && out.runs == 1 || !ran && out.runs == 0 {
			return []any{ran}
		}
	case out.outcome == outcomeDone:
		return []any{keyState(true)}
	case out.outcome == outcomeNotRun:
		if !ran {
			return []any{ran}
		}
	case out.outcome == outcomeUnknown:
		if ran {
			return []any{ran}
		}
		return []any{keyState(false), keyState(true)}
	}
	return nil
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[string][]porcupine.Operation)
	for _, operation := range history {
		key := operation.Input.(keyInput).key
		parts[key] = append(parts[key], operation)
	}
	var list [][]porcupine.Operation
	for _, part := range parts {
		list = append(list, part)
	}
	return list
}

// operations converts submissions and the final run counts by key to a history. A submission with an unknown outcome
// never returns, because its request may run at any later time.
func operations(submissions []submission, runs map[string]int) []porcupine.Operation {
	var list []porcupine.Operation
	var lastEnd time.Time
	keys := make(map[string]bool)
	for _, s := range submissions {
		returnTime := s.end.UnixNano()
		if s.outcome == outcomeUnknown {
			returnTime = math.MaxInt64
		}
		list = append(list, porcupine.Operation{
			ClientId: s.caller,
			Input:    keyInput{key: s.key},
			Call:     s.start.UnixNano(),
			Output:   keyOutput{outcome: s.outcome},
			Return:   returnTime,
		})
		keys[s.key] = true
		if s.end.After(lastEnd) {
			lastEnd = s.end
		}
	}
	for key := range keys {
		list = append(list, porcupine.Operation{
			Input:  keyInput{key: key, isRunCount: true},
			Call:   lastEnd.UnixNano() + 1,
			Output: keyOutput{runs: runs[key]},
			Return: lastEnd.UnixNano() + 2,
		})
	}
	return list
}

func linearizable(submissions []submission, runs map[string]int) bool {
	return porcupine.CheckOperations(keyModel.ToModel(), operations(submissions, runs))
}
