package health

import (
	_ "embed"

	"balsamyoke.example/balsamyoke/internal/chart"
)

//go:embed replica.chart.json
var chartFile []byte

// Labels of the chart's states.
const (
	labelOpen    = "open"
	labelClosed  = "closed"
	labelLimited = "limited"
)

var (
	replicaChart = chart.MustLoad(chartFile)
	eventEject   = replicaChart.MustEvent("eject")
	eventElapse  = replicaChart.MustEvent("elapse")
	eventPass    = replicaChart.MustEvent("pass")
	eventFail    = replicaChart.MustEvent("fail")
)
