package load

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 5 * vg.Inch
	minChartMS  = 0.1 // lowest value on the chart's logarithmic axis
)

// WriteChart draws the times to the first token of each kind by quantile. The extension of the file name,
// .svg or .png, selects the format.
func (r *Report) WriteChart(name string) error {
	p := plot.New()
	p.Title.Text = "Time to first token, " + r.Profile
	p.X.Label.Text = "requests (%)"
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Legend.Left = true
	for i, kind := range r.Kinds {
		if kind.ttft.TotalCount() == 0 {
			continue
		}
		line, err := plotter.NewLine(kind.quantiles())
		if err != nil {
			return ErrReport.Wrap(err, "chart line of %s", kind.Kind)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(kind.Kind, line)
	}
	if err := p.Save(chartWidth, chartHeight, name); err != nil {
		return ErrReport.Wrap(err, "chart %s", name)
	}
	return nil
}

func (k *KindReport) quantiles() plotter.XYs {
	points := make(plotter.XYs, chartQuantileSteps)
	for i := range points {
		q := 100 * float64(i+1) / chartQuantileSteps
		points[i] = plotter.XY{X: q, Y: math.Max(minChartMS, quantileMS(k.ttft, q))}
	}
	return points
}
