// Package transfer moves pieces of KV cache between an agent's engine and the stores. It decides
// which missing pieces to fetch and which to recompute, which computed pieces are worth exporting,
// and shares the agent's link budget among them: urgent fetches first, patient ones next, exports
// last.
//
// Link, Choose, Returns, Exports and Locations are pure and belong to the control goroutine. Mover
// joins them with the engine and the store clients.
package transfer

import (
	"container/list"
	"time"
)

// Class orders the uses of the link.
type Class uint8

// The classes, the most pressing first.
const (
	UrgentFetch Class = iota
	PatientFetch
	Export
	classCount
)

// String returns the name of the class in metrics and dumps.
func (c Class) String() string {
	return [classCount]string{"urgent_fetch", "patient_fetch", "export"}[c]
}

// Limits of the link.
const (
	// burstTime is how much of an idle link's budget is kept.
	burstTime = 50 * time.Millisecond
	// maxActive bounds the transfers under way at once.
	maxActive = 8
	// smoothing is the weight of the newest sample in the mean duration of a transfer.
	smoothing = 0.2
	// initialDuration of a transfer is assumed before the first sample.
	initialDuration = 2 * time.Millisecond
)

// Transfer is one piece that waits for the link or moves over it.
type Transfer struct {
	Class Class
	Bytes int64
	// Start begins the transfer. It is called on the control goroutine and must not block.
	Start func()

	element *list.Element
	started bool
}

// Link is a token bucket of bytes with a queue for each class. A transfer may start while tokens
// are left and then takes all its bytes, so the rate is kept on average and exceeded by at most
// one transfer.
type Link struct {
	rate     float64 // bytes per second
	tokens   float64 // bytes, negative while a transfer is being paid off
	refilled time.Time
	queues   [classCount]*list.List
	queued   [classCount]int64 // bytes
	active   int
	moved    [classCount]uint64 // bytes
	duration time.Duration      // mean of one transfer
}

// NewLink returns an idle Link of bytesPerSecond.
func NewLink(bytesPerSecond float64, now time.Time) *Link {
	l := &Link{rate: bytesPerSecond, refilled: now, duration: initialDuration}
	l.tokens = l.burst()
	for class := range l.queues {
		l.queues[class] = list.New()
	}
	return l
}

// Enqueue adds a transfer to the queue of its class.
func (l *Link) Enqueue(t *Transfer) {
	t.element = l.queues[t.Class].PushBack(t)
	l.queued[t.Class] += t.Bytes
}

// Cancel removes a transfer that has not started. It returns false when it has.
func (l *Link) Cancel(t *Transfer) bool {
	if t.started || t.element == nil {
		return false
	}
	l.unqueue(t)
	return true
}

// Promote moves a waiting transfer to a more pressing class.
func (l *Link) Promote(t *Transfer, class Class) {
	if class >= t.Class || !l.Cancel(t) {
		return
	}
	t.Class = class
	l.Enqueue(t)
}

// Pump starts the transfers that may start at now, and returns how long to wait before the next
// Pump; zero means that there is nothing to wait for but Done.
func (l *Link) Pump(now time.Time) time.Duration {
	l.refill(now)
	for l.active < maxActive {
		t := l.first()
		if t == nil {
			return 0
		}
		if l.tokens <= 0 {
			return l.payOff()
		}
		l.unqueue(t)
		l.tokens -= float64(t.Bytes)
		l.active++
		l.moved[t.Class] += uint64(t.Bytes)
		t.started = true
		t.Start()
	}
	return 0
}

// Done ends a started transfer that took the given time.
func (l *Link) Done(took time.Duration) {
	l.active--
	l.duration += time.Duration(smoothing * float64(took-l.duration))
}

// Predict returns the time that count new transfers of a class, of bytes in all, will take.
func (l *Link) Predict(class Class, count int, bytes int64, now time.Time) time.Duration {
	if count == 0 {
		return 0
	}
	l.refill(now)
	ahead := 0
	need := float64(bytes) - l.tokens
	for c := UrgentFetch; c <= class; c++ {
		need += float64(l.queued[c])
		ahead += l.queues[c].Len()
	}
	rounds := (ahead + l.active + count + maxActive - 1) / maxActive
	paced := time.Duration(max(0, need) / l.rate * float64(time.Second))
	return max(paced, time.Duration(rounds)*l.duration)
}

// first returns the waiting transfer of the most pressing class, or nil.
func (l *Link) first() *Transfer {
	for _, queue := range l.queues {
		if front := queue.Front(); front != nil {
			return front.Value.(*Transfer)
		}
	}
	return nil
}

func (l *Link) unqueue(t *Transfer) {
	l.queues[t.Class].Remove(t.element)
	t.element = nil
	l.queued[t.Class] -= t.Bytes
}

func (l *Link) burst() float64 { return l.rate * burstTime.Seconds() }

func (l *Link) refill(now time.Time) {
	l.tokens = min(l.burst(), l.tokens+l.rate*now.Sub(l.refilled).Seconds())
	l.refilled = now
}

// payOff returns the time until tokens are left again.
func (l *Link) payOff() time.Duration {
	return time.Duration(-l.tokens/l.rate*float64(time.Second)) + time.Microsecond
}

// LinkState is the part of a Link that dumps show.
type LinkState struct {
	BytesPerSecond float64           `json:"bytes_per_second"`
	Active         int               `json:"active"`
	QueuedBytes    map[string]int64  `json:"queued_bytes"`
	MovedBytes     map[string]uint64 `json:"moved_bytes"`
	DurationUS     int64             `json:"mean_duration_us"`
}

// State returns the link's counts.
func (l *Link) State() LinkState {
	state := LinkState{
		BytesPerSecond: l.rate,
		Active:         l.active,
		QueuedBytes:    map[string]int64{},
		MovedBytes:     map[string]uint64{},
		DurationUS:     l.duration.Microseconds(),
	}
	for c := range classCount {
		state.QueuedBytes[c.String()] = l.queued[c]
		state.MovedBytes[c.String()] = l.moved[c]
	}
	return state
}
