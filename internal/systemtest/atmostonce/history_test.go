package atmostonce

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// The specification of one key: its request runs at most once, and once it has run every answer
// says so. A submission that is done found the request run or ran it; one that says not run found it
// not run and left it so; an unknown one may have run it, even after its answer.

// keyState says whether the request of a key has run.
type keyState = bool

// event is the input of an operation: a submission, or the count of runs after all submissions.
type event struct {
	key   string
	count bool
}

// seen is the output of an operation.
type seen struct {
	outcome outcome
	runs    int
}

var keyRegister = porcupine.NondeterministicModel{
	Partition: byKey,
	Init:      func() []any { return []any{keyState(false)} },
	Step:      step,
}

func step(state, input, output any) []any {
	ran, asked, got := state.(keyState), input.(event), output.(seen)
	switch {
	case asked.count:
		if ran && got.runs == 1 || !ran && got.runs == 0 {
			return []any{ran}
		}
	case got.outcome == outcomeDone:
		return []any{keyState(true)}
	case got.outcome == outcomeNotRun:
		if !ran {
			return []any{ran}
		}
	case got.outcome == outcomeUnknown:
		if ran {
			return []any{ran}
		}
		return []any{keyState(false), keyState(true)}
	}
	return nil
}

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[string][]porcupine.Operation)
	for _, operation := range history {
		key := operation.Input.(event).key
		parts[key] = append(parts[key], operation)
	}
	var list [][]porcupine.Operation
	for _, part := range parts {
		list = append(list, part)
	}
	return list
}

// operations turns submissions and the final counts of runs by key into a history.
func operations(history []submission, runs map[string]int) []porcupine.Operation {
	var list []porcupine.Operation
	var last time.Time
	keys := make(map[string]bool)
	for _, s := range history {
		returned := s.end.UnixNano()
		if s.outcome == outcomeUnknown {
			returned = math.MaxInt64
		}
		list = append(list, porcupine.Operation{
			ClientId: s.caller,
			Input:    event{key: s.key},
			Call:     s.call.UnixNano(),
			Output:   seen{outcome: s.outcome},
			Return:   returned,
		})
		keys[s.key] = true
		if s.end.After(last) {
			last = s.end
		}
	}
	for key := range keys {
		list = append(list, porcupine.Operation{
			Input:  event{key: key, count: true},
			Call:   last.UnixNano() + 1,
			Output: seen{runs: runs[key]},
			Return: last.UnixNano() + 2,
		})
	}
	return list
}

func linearizable(history []submission, runs map[string]int) bool {
	return porcupine.CheckOperations(keyRegister.ToModel(), operations(history, runs))
}
