package gateway

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamyoke.example/balsamyoke/internal/membudget"
)

const (
	// readPause is how long a server's response is left unread while its caller is far behind or memory is used up. It
	// paces a server that is faster than its caller's link. It is a quarter of the 2 s after which callers leave a
	// stream, and servers cut off only what stays unread for some seconds.
	readPause = 500 * time.Millisecond
	// roomPollInterval is the time between two checks whether memory is free again. It is short beside readPause.
	roomPollInterval = 10 * time.Millisecond
	// While more than scarceShare of the budget is used, responses whose callers hold pauseShare of it are read with pauses. Below,
	// pauses would only bring responses closer to their deadlines.
	scarceShare = 1.0 / 2
	pauseShare  = 1.0 / 8
	// stalledAfter is how long a caller may take no byte before it is the first to be cut off when memory is used up.
	// Callers leave a stream after a gap of 2 s, four times the target (at most 2 s) or eight times the allowed pause, that is
	// 8 s; one that has taken nothing for longer has most likely gone.
	stalledAfter = 10 * time.Second
	// maxStall is how long a caller may take no byte at all, also while there is memory. It bounds the connections that
	// callers hold without reading, and equals the longest time that a request without a limit of its own may take.
	maxStall = defaultTimeout
)

// cutOffReason is why a caller was cut off; it appears in the log.
type cutOffReason string

const (
	cutOffMemory  cutOffReason = "memory"
	cutOffStalled cutOffReason = "stalled"
)

// callerLag is how far a caller is behind.
type callerLag struct {
	// held is the memory that the caller's unread response takes, in bytes.
	held int64
	// stalled is the time since the caller last took a byte.
	stalled time.Duration
}

// furthestBehind returns the index of the caller that is cut off first when memory is used up, -1 if there is none: of those
// that have taken nothing for stalledAfter, and else of all, the one that holds most.
func furthestBehind(lags []callerLag) int {
	first := -1
	for i, lag := range lags {
		if first < 0 || lag.isBehind(lags[first]) {
			first = i
		}
	}
	return first
}

func (l callerLag) isStalled() bool { return l.stalled >= stalledAfter }

// isBehind reports whether the caller is further behind than another one.
func (l callerLag) isBehind(other callerLag) bool {
	switch {
	case l.isStalled() != other.isStalled():
		return l.isStalled()
	case l.held != other.held:
		return l.held > other.held
	default:
		return l.stalled > other.stalled
	}
}

// readAhead is the memory for responses whose callers are behind. It is safe for concurrent use.
type readAhead struct {
	budget *membudget.Budget
	// pauseBytes is what one caller may hold before its response is read with pauses, scarceBytes what all hold by then.
	pauseBytes, scarceBytes int64
	// held is what all callers hold now, highest the maximum so far, in bytes.
	held, highest atomic.Int64
	// responses counts the responses that were read ahead, cutOffs the callers that were cut off.
	responses, cutOffs atomic.Int64
	metrics            readAheadMetrics
	// report is called once for each caller that is cut off.
	report func(o *callerOutput, reason cutOffReason, lag callerLag)

	mu     sync.Mutex
	behind map[*callerOutput]struct{}
}

// readAheadMetrics are the metrics of a readAhead.
type readAheadMetrics struct {
	held, highest tally.Gauge
	responses     tally.Counter
	scope         tally.Scope
}

// newReadAhead returns a readAhead that uses the budget and reports to scope.
func newReadAhead(budget *membudget.Budget, scope tally.Scope, report func(*callerOutput, cutOffReason, callerLag)) *readAhead {
	return &readAhead{
		budget: budget, report: report,
		pauseBytes: int64(pauseShare * float64(budget.Bytes())), scarceBytes: int64(scarceShare * float64(budget.Bytes())),
		behind: make(map[*callerOutput]struct{}),
		metrics: readAheadMetrics{
			held: scope.Gauge("slow_caller_bytes"), highest: scope.Gauge("slow_caller_bytes_max"),
			responses: scope.Counter("responses_read_ahead"), scope: scope,
		},
	}
}

// add records that callers hold that many bytes more, or fewer.
func (a *readAhead) add(bytes int64) {
	held := a.held.Add(bytes)
	for highest := a.highest.Load(); held > highest; highest = a.highest.Load() {
		if a.highest.CompareAndSwap(highest, held) {
			a.metrics.highest.Update(float64(held))
			break
		}
	}
	a.metrics.held.Update(float64(held))
}

// setBehind records that a caller has fallen behind or has caught up.
func (a *readAhead) setBehind(o *callerOutput, behind bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if behind {
		a.behind[o] = struct{}{}
	} else {
		delete(a.behind, o)
	}
}

// recordReadAhead counts a response that is read ahead of its caller.
func (a *readAhead) recordReadAhead() {
	a.responses.Add(1)
	a.metrics.responses.Inc(1)
}

// recordCutOff counts and reports a caller that was cut off.
func (a *readAhead) recordCutOff(o *callerOutput, reason cutOffReason, lag callerLag) {
	a.cutOffs.Add(1)
	a.metrics.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("callers_cut_off").Inc(1)
	a.report(o, reason, lag)
}

// callersBehind returns the callers that are behind now.
func (a *readAhead) callersBehind() []*callerOutput {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.behind))
}

// furthest returns the caller that is cut off first and how far it is behind; nil if none is behind.
func (a *readAhead) furthest(now time.Time) (*callerOutput, callerLag) {
	callers := a.callersBehind()
	lags := make([]callerLag, len(callers))
	for i, o := range callers {
		lags[i] = o.lag(now)
	}
	first := furthestBehind(lags)
	if first < 0 {
		return nil, callerLag{}
	}
	return callers[first], lags[first]
}

// makeRoom is called repeatedly, with the time since the first call, while there is no memory for what o must hold. It cuts off a
// stalled caller at once. If none is stalled, it waits up to readPause for callers that read to release memory, and then cuts off the
// one furthest behind.
func (a *readAhead) makeRoom(o *callerOutput, waited time.Duration) {
	victim, lag := a.furthest(time.Now())
	if victim == nil {
		// Less than one block of memory is left, and what was held has just been given back.
		victim, lag = o, o.lag(time.Now())
	}
	if lag.isStalled() || waited >= readPause {
		victim.cutOff(cutOffMemory, victim == o)
		return
	}
	time.Sleep(roomPollInterval)
}

// SlowCallersState is what a gateway holds for slow callers, in a dump.
type SlowCallersState struct {
	Bytes        int64             `json:"bytes"`
	HighestBytes int64             `json:"highest_bytes"`
	BudgetBytes  int64             `json:"budget_bytes"`
	ReadAhead    int64             `json:"responses_read_ahead"`
	CutOff       int64             `json:"cut_off"`
	Callers      []SlowCallerState `json:"callers"`
}

// SlowCallerState is one caller that is behind, in a dump.
type SlowCallerState struct {
	Request   string `json:"request"`
	Address   string `json:"address"`
	Bytes     int64  `json:"bytes"`
	StalledMS int64  `json:"stalled_for_ms"`
}

// state returns what is held for slow callers.
func (a *readAhead) state() SlowCallersState {
	s := SlowCallersState{
		Bytes: a.held.Load(), HighestBytes: a.highest.Load(), BudgetBytes: a.budget.Bytes(),
		ReadAhead: a.responses.Load(), CutOff: a.cutOffs.Load(), Callers: []SlowCallerState{},
	}
	callers := a.callersBehind()
	now := time.Now()
	for _, o := range callers {
		lag := o.lag(now)
		s.Callers = append(s.Callers, SlowCallerState{
			Request: o.requestID(), Address: o.conn.RemoteAddr().String(), Bytes: lag.held, StalledMS: lag.stalled.Milliseconds(),
		})
	}
	return s
}
