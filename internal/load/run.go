package load

import (
	"context"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/httpclient"
)

// Options configures a run.
type Options struct {
	Plan Plan
	// Entries are the ip:port addresses of the entries, which receive the requests in round-robin order.
	Entries []string
	// WarmUp is the length of the first part of the run, which is left out of the report.
	WarmUp time.Duration
	// Processes are the ids, by name, of processes whose usage is sampled over the measured part of the run.
	Processes map[string]int
}

// runner executes one run.
type runner struct {
	options Options
	callers []*caller

	mu     sync.Mutex
	report *Report
}

// Run executes a run and returns its report. It waits for every response. When ctx ends, it ends early and
// also returns the error of ctx. It returns ErrSettings for invalid options.
func Run(ctx context.Context, options Options) (*Report, error) {
	if len(options.Entries) == 0 || options.Plan.Rate <= 0 || options.Plan.Duration <= options.WarmUp {
		return nil, ErrSettings.New("entries, a rate and a duration longer than the warm-up are required")
	}
	r := &runner{options: options, report: newReport(options)}
	for _, entry := range options.Entries {
		client := httpclient.New(entry, httpclient.Options{})
		defer client.Close()
		r.callers = append(r.callers, &caller{http: client})
	}
	arrivals := Schedule(options.Plan)
	start := time.Now()
	sampled := r.sampleProcesses(ctx, start)
	r.offer(ctx, arrivals, start)
	<-sampled
	return r.report, ctx.Err()
}

// offer sends every request at its scheduled time and waits for the responses.
func (r *runner) offer(ctx context.Context, arrivals []Arrival, start time.Time) {
	var running sync.WaitGroup
	defer running.Wait()
	for i, a := range arrivals {
		scheduledAt := start.Add(a.At)
		if !sleepUntil(ctx, scheduledAt) {
			return
		}
		to := r.callers[i%len(r.callers)]
		running.Go(func() {
			result := to.send(ctx, a, scheduledAt)
			r.record(a, result)
		})
	}
}

func (r *runner) record(a Arrival, result Result) {
	if a.At < r.options.WarmUp {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(a, result)
}

// sampleProcesses records the usage of the processes from the end of the warm-up to the end of the
// offered load. The returned channel is closed afterwards.
func (r *runner) sampleProcesses(ctx context.Context, start time.Time) <-chan struct{} {
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		if !sleepUntil(ctx, start.Add(r.options.WarmUp)) {
			return
		}
		before := sampleAll(r.options.Processes)
		if !sleepUntil(ctx, start.Add(r.options.Plan.Duration)) {
			return
		}
		usage := usageBetween(before, sampleAll(r.options.Processes))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.Processes = usage
	}()
	return sampled
}

// sleepUntil waits until t. It returns false when ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
