package measure

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"balsamyoke.example/balsamyoke/internal/load"
)

const (
	maxLineBytes = 4 << 20
	chartWidth   = 11 * vg.Inch
	chartHeight  = 5 * vg.Inch
	barWidth     = 7 * vg.Millimeter / 2
)

// Read returns the outcomes in a file, in order.
func Read(name string) ([]Outcome, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, load.ErrReport.Wrap(err, "results cannot be read")
	}
	defer func() { _ = file.Close() }()
	var outcomes []Outcome
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var o Outcome
		if err := json.Unmarshal(lines.Bytes(), &o); err != nil {
			return nil, load.ErrReport.Wrap(err, "results in %q", name)
		}
		outcomes = append(outcomes, o)
	}
	return outcomes, lines.Err()
}

// modelKind returns the results of the kind with the longest prompts, which is the first one of a profile.
func (o Outcome) modelKind() *load.KindReport { return o.Report.Kinds[0] }

func (o Outcome) total() *load.KindReport { return o.Report.Kinds[len(o.Report.Kinds)-1] }

// Tables returns the results as a Markdown table with one line for each run.
func Tables(outcomes []Outcome) string {
	var b strings.Builder
	b.WriteString("| row | policy | seed | machine | sent | right | wrong | refused | unknown | broken | lost | doubled | " +
		"first token p50 / p95 / p99 (ms) | computed | computed of returns | link KB per request |\n")
	b.WriteString("|---|---|--:|---|--:|--:|--:|--:|--:|--:|--:|--:|---|--:|--:|--:|\n")
	for _, o := range outcomes {
		model, total := o.modelKind(), o.total()
		all, returning := model.Recomputed()
		v := total.Verdicts
		fmt.Fprintf(&b, "| %s | %s | %d | %s, %s | %d | %d | %d | %d | %d | %d | %d | %d | %.0f / %.0f / %.0f | %.3f | %.3f | %.1f |\n",
			o.Row, o.Policy, o.Report.Seed, o.LoadAverage[0], o.LoadAverage[1], total.Requests, v[load.VerdictRight], v[load.VerdictWrong],
			v[load.VerdictRefused], v[load.VerdictUnknown], v[load.VerdictBroken], v[load.VerdictLost], o.Doubled,
			model.FirstTokenP50MS, model.FirstTokenP95MS, model.FirstTokenP99MS, all, returning, o.linkKB())
	}
	return b.String()
}

// linkKB returns the KB that the stores transferred per request.
func (o Outcome) linkKB() float64 {
	bytes := int64(0)
	for _, s := range o.Stores {
		bytes += s.BytesIn + s.BytesOut
	}
	return float64(bytes) / 1000 / float64(max(1, o.total().Requests))
}

// WriteChart draws the 95th percentile of the time to the first token by row and policy.
func WriteChart(name string, outcomes []Outcome) error {
	p := plot.New()
	p.Title.Text = "Time to first token, 95th percentile"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.Legend.Top = true
	rows, policies := labels(outcomes)
	for i, policy := range policies {
		bars, err := plotter.NewBarChart(heights(outcomes, rows, policy), barWidth)
		if err != nil {
			return load.ErrReport.Wrap(err, "chart %s", name)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * (vg.Length(i) - vg.Length(len(policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(rows...)
	if err := p.Save(chartWidth, chartHeight, name); err != nil {
		return load.ErrReport.Wrap(err, "chart %s", name)
	}
	return nil
}

// labels returns the rows and policies in order of appearance.
func labels(outcomes []Outcome) (rows, policies []string) {
	seen := map[string]bool{}
	for _, o := range outcomes {
		if !seen["row "+o.Row] {
			seen["row "+o.Row] = true
			rows = append(rows, o.Row)
		}
		if !seen["policy "+o.Policy] {
			seen["policy "+o.Policy] = true
			policies = append(policies, o.Policy)
		}
	}
	return rows, policies
}

// heights returns the height of each row's bar in ms: the policy's 95th percentile, as a mean over the seeds.
func heights(outcomes []Outcome, rows []string, policy string) plotter.Values {
	values := make(plotter.Values, len(rows))
	for i, row := range rows {
		sum, count := 0.0, 0
		for _, o := range outcomes {
			if o.Row == row && o.Policy == policy {
				sum += o.modelKind().FirstTokenP95MS
				count++
			}
		}
		values[i] = sum / float64(max(1, count))
	}
	return values
}
