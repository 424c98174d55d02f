package rollout

import (
	_ "embed"

	"balsamyoke.example/balsamyoke/internal/chart"
)

//go:generate go run ../chart/genpromela --chart replica.chart.json --out ../../spec/replica.pml

//go:embed replica.chart.json
var replicaChartFile []byte

var (
	replicaChart = chart.MustLoad(replicaChartFile)

	stateSettled = replicaChart.MustState("settled")
	stateOrdered = replicaChart.MustState("ordered")
	stateLoading = replicaChart.MustState("loading")
	stateLost    = replicaChart.MustState("lost")

	eventObserveSettled    = replicaChart.MustEvent("observe_settled")
	eventObserveLoading    = replicaChart.MustEvent("observe_loading")
	eventOrder             = replicaChart.MustEvent("order")
	eventAccept            = replicaChart.MustEvent("accept")
	eventRefuse            = replicaChart.MustEvent("refuse")
	eventMiss              = replicaChart.MustEvent("miss")
	eventLoadMustHaveEnded = replicaChart.MustEvent("load_must_have_ended")
)

// labelLoading marks the states that count against the bound on concurrent loads.
const labelLoading = "loading"

func countsAsLoading(state chart.State) bool { return replicaChart.Label(state) == labelLoading }
