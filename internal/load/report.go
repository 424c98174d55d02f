package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatency         = 10 * time.Minute
	latencyDigits      = 3 // significant digits of recorded times
	chartQuantileSteps = 200
)

// Report holds the results of one run.
type Report struct {
	Profile  string  `json:"profile"`
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"requests_per_second"`
	Seconds  float64 `json:"measured_seconds"`
	GapMS    int64   `json:"mean_gap_ms"`
	Requests int     `json:"requests"`
	// Kinds has a row for each kind of request, in the order of the profile, and a last row with the totals.
	Kinds     []*KindReport `json:"kinds"`
	Processes []ProcessUse  `json:"processes,omitempty"`
	// Codes counts failures by their code.
	Codes map[string]int `json:"codes"`

	byKind map[string]*KindReport
	total  *KindReport
}

// KindReport holds the results of one kind of request.
type KindReport struct {
	Kind     string          `json:"kind"`
	Requests int             `json:"requests"`
	Verdicts map[Verdict]int `json:"verdicts"`
	// The times to the first token, or to the complete response of a plain service, of correct responses.
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	FirstTokenP99MS float64 `json:"first_token_p99_ms"`
	// TokenGapP95MS is the 95th percentile of the longest time between two tokens of a response.
	TokenGapP95MS float64 `json:"token_gap_p95_ms"`
	PromptTokens  int     `json:"prompt_tokens"`
	// ComputedTokens are the prompt tokens that were not cached.
	ComputedTokens int `json:"computed_tokens"`
	// ReturnPromptTokens and ReturnComputedTokens count the requests that continue a conversation.
	ReturnPromptTokens   int    `json:"return_prompt_tokens"`
	ReturnComputedTokens int    `json:"return_computed_tokens"`
	LinkBytes            uint64 `json:"link_bytes"`
	Retried              int    `json:"retried"`

	ttft     *hdrhistogram.Histogram
	tokenGap *hdrhistogram.Histogram
}

// allKinds is the name of the row with the totals.
const allKinds = "all"

func newReport(options Options) *Report {
	r := &Report{
		Profile: options.Plan.Profile.Name,
		Seed:    options.Plan.Seed,
		Rate:    options.Plan.Rate,
		Seconds: (options.Plan.Duration - options.WarmUp).Seconds(),
		GapMS:   options.Plan.MeanGap.Milliseconds(),
		Codes:   map[string]int{},
		byKind:  map[string]*KindReport{},
	}
	for _, kind := range options.Plan.Profile.Kinds {
		r.byKind[kind.Name] = newKindReport(kind.Name)
		r.Kinds = append(r.Kinds, r.byKind[kind.Name])
	}
	r.total = newKindReport(allKinds)
	r.Kinds = append(r.Kinds, r.total)
	return r
}

func newKindReport(name string) *KindReport {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	}
	return &KindReport{
		Kind:     name,
		Verdicts: map[Verdict]int{},
		ttft:     histogram(),
		tokenGap: histogram(),
	}
}

func (r *Report) add(a Arrival, result Result) {
	r.Requests++
	if result.Code != "" {
		r.Codes[result.Code]++
	}
	r.byKind[a.Kind.Name].add(a, result)
	r.total.add(a, result)
}

func (k *KindReport) add(a Arrival, result Result) {
	k.Requests++
	k.Verdicts[result.Verdict]++
	k.LinkBytes += result.LinkBytes
	if result.Attempts > 1 {
		k.Retried++
	}
	if result.Verdict != VerdictRight {
		return
	}
	_ = k.ttft.RecordValue(min(result.TTFT, maxLatency).Microseconds())
	if result.Tokens > 1 {
		_ = k.tokenGap.RecordValue(min(result.LongestGap, maxLatency).Microseconds())
	}
	computed := result.PromptTokens - result.CachedTokens
	k.PromptTokens += result.PromptTokens
	k.ComputedTokens += computed
	if a.Returning {
		k.ReturnPromptTokens += result.PromptTokens
		k.ReturnComputedTokens += computed
	}
	k.FirstTokenP50MS = quantileMS(k.ttft, 50)
	k.FirstTokenP95MS = quantileMS(k.ttft, 95)
	k.FirstTokenP99MS = quantileMS(k.ttft, 99)
	k.TokenGapP95MS = quantileMS(k.tokenGap, 95)
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// Recomputed returns the part of the prompt tokens that were computed, over all prompts and over returning
// prompts only. It returns 0 where there were no prompt tokens.
func (k *KindReport) Recomputed() (all, returning float64) {
	return share(k.ComputedTokens, k.PromptTokens), share(k.ReturnComputedTokens, k.ReturnPromptTokens)
}

func share(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part) / float64(total)
}

// Total returns the row with the totals.
func (r *Report) Total() *KindReport { return r.total }

// Kind returns the row of a kind, or nil when the profile lacks the kind.
func (r *Report) Kind(name string) *KindReport { return r.byKind[name] }

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return ErrReport.Wrap(err, "report")
	}
	return nil
}

// Text returns the report as a table.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d, %.3g requests/s for %.3g s, mean gap %d ms\n",
		r.Profile, r.Seed, r.Rate, r.Seconds, r.GapMS)
	fmt.Fprintf(&b, "%-11s %6s %6s %6s %7s %7s %6s %5s %7s %8s %8s %8s %8s %8s %10s\n",
		"kind", "sent", "right", "wrong", "refused", "unknown", "broken", "lost", "retried",
		"p50 ms", "p95 ms", "p99 ms", "comp.", "comp.ret", "link bytes")
	for _, k := range r.Kinds {
		all, returning := k.Recomputed()
		fmt.Fprintf(&b, "%-11s %6d %6d %6d %7d %7d %6d %5d %7d %8.1f %8.1f %8.1f %8.3f %8.3f %10d\n",
			k.Kind, k.Requests, k.Verdicts[VerdictRight], k.Verdicts[VerdictWrong], k.Verdicts[VerdictRefused],
			k.Verdicts[VerdictUnknown], k.Verdicts[VerdictBroken], k.Verdicts[VerdictLost], k.Retried,
			k.FirstTokenP50MS, k.FirstTokenP95MS, k.FirstTokenP99MS, all, returning, k.LinkBytes)
	}
	for _, code := range sortedCodes(r.Codes) {
		fmt.Fprintf(&b, "  %s: %d\n", code, r.Codes[code])
	}
	for _, p := range r.Processes {
		fmt.Fprintf(&b, "  %-22s %6.2f%% of a core, %6.1f MB, %9.0f bytes/s\n",
			p.Name, 100*p.CPUShare, float64(p.RSSBytes)/1e6, p.BytesPerSecond)
	}
	return b.String()
}

func sortedCodes(codes map[string]int) []string {
	var sorted []string
	for code := range codes {
		sorted = append(sorted, code)
	}
	sort.Strings(sorted)
	return sorted
}

func sortUsage(usage []ProcessUse) {
	sort.Slice(usage, func(i, j int) bool { return usage[i].Name < usage[j].Name })
}
