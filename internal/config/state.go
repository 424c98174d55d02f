package config

import (
	_ "embed"

	"balsamyoke.example/balsamyoke/internal/chart"
)

//go:generate go run ../chart/genpromela --chart configuration.chart.json --out ../../spec/configuration_chart.pml

//go:embed configuration.chart.json
var chartFile []byte

var (
	stateChart   = chart.MustLoad(chartFile)
	eventAdopt   = stateChart.MustEvent("adopt")
	eventConfirm = stateChart.MustEvent("confirm")
)

// labelServing marks the states in which a process may serve.
const labelServing = "serving"

func serving(state chart.State) bool { return stateChart.Label(state) == labelServing }
