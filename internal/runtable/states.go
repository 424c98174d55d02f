package runtable

import (
	_ "embed"

	"balsamyoke.example/balsamyoke/internal/chart"
	"balsamyoke.example/balsamyoke/internal/wire"
)

//go:generate go run ../chart/genpromela --chart attempt.json --out ../../spec/attempt.pml

//go:embed attempt.json
var chartFile []byte

var attempts = chart.MustLoad(chartFile)

var (
	eventDispatch = attempts.MustEvent("dispatch")
	eventRefuse   = attempts.MustEvent("refuse")
	eventStart    = attempts.MustEvent("start")
	eventUnsent   = attempts.MustEvent("unsent")
	eventFinish   = attempts.MustEvent("finish")
	eventFail     = attempts.MustEvent("fail")
	eventCancel   = attempts.MustEvent("cancel")
	eventAsk      = attempts.MustEvent("ask")

	stateRunning  = attempts.MustState("running")
	stateStopping = attempts.MustState("stopping")
)

// outcomes maps each state to the outcome that its label denotes.
var outcomes = outcomesOf(attempts)

func outcomesOf(c *chart.Chart) []wire.Outcome {
	byLabel := map[string]wire.Outcome{
		"":        wire.Outcome_OUTCOME_UNSPECIFIED,
		"running": wire.Outcome_OUTCOME_RUNNING,
		"done":    wire.Outcome_OUTCOME_DONE,
		"failed":  wire.Outcome_OUTCOME_FAILED,
		"not_run": wire.Outcome_OUTCOME_NOT_RUN,
	}
	list := make([]wire.Outcome, c.States())
	for state := range list {
		outcome, known := byLabel[c.Label(chart.State(state))]
		if !known {
			panic("label without an outcome: " + c.Label(chart.State(state)))
		}
		list[state] = outcome
	}
	return list
}
