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
	lowestMS    = 0.1 // of the chart's logarithmic axis
)

// WriteChart draws the times to the first token of each kind by quantile. The name's extension,
// .svg or .png, gives the format.
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
		if kind.firstToken.TotalCount() == 0 {
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
		points[i] = plotter.XY{X: q, Y: math.Max(lowestMS, quantileMS(k.firstToken, q))}
	}
	return points
}
