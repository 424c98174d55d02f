// Package transfer moves pieces of KV cache between an agent's engine and the stores. It decides
// which missing pieces are fetched and which are recomputed, and which computed pieces are worth
// exporting. It divides the agent's link budget among them: urgent fetches first, patient ones next,
// exports last.
//
// Link, Choose, Returns, Exports and Locations do no I/O and belong to the control goroutine. Mover
// connects them with the engine and the store clients.
package transfer

import (
	"container/list"
	"time"
)

// Class is the priority class of a transfer on the link.
type Class uint8

// The classes, the most urgent first.
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
	// burstTime is the time for which an idle link accumulates budget.
	burstTime = 50 * time.Millisecond
	// maxActive limits the number of concurrent transfers.
	maxActive = 8
	// smoothing is the weight of the newest sample in the mean duration of a transfer.
	smoothing = 0.2
	// initialDuration is the assumed mean duration of a transfer before the first sample.
	initialDuration = 2 * time.Millisecond
)

// Transfer is one piece that waits for the link or is being moved over it.
type Transfer struct {
	Class Class
	Bytes int64
	// Start begins the transfer. It is called on the control goroutine and must not block.
	Start func()

	element *list.Element
	started bool
}

// Link is a token bucket of bytes with a queue for each class. A transfer may start while tokens
// are left, and then takes tokens for all its bytes. So the rate is kept on average and exceeded by
// at most one transfer.
type Link struct {
	rate         float64 // bytes per second
	tokens       float64 // bytes; negative after a transfer took more than were left
	refilledAt   time.Time
	queues       [classCount]*list.List
	queued       [classCount]int64 // bytes
	active       int
	moved        [classCount]uint64 // bytes
	meanDuration time.Duration      // of one transfer, moving average
}

// NewLink returns an idle Link with a rate in bytes per second.
func NewLink(bytesPerSecond float64, now time.Time) *Link {
	l := &Link{rate: bytesPerSecond, refilledAt: now, meanDuration: initialDuration}
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

// Cancel removes a queued transfer. It returns false when the transfer has started or is not queued.
func (l *Link) Cancel(t *Transfer) bool {
	if t.started || t.element == nil {
		return false
	}
	l.dequeue(t)
	return true
}

// Promote moves a waiting transfer to a more urgent class.
func (l *Link) Promote(t *Transfer, class Class) {
	if class >= t.Class || !l.Cancel(t) {
		return
	}
	t.Class = class
	l.Enqueue(t)
}

// StartTransfers starts the transfers that may start at now, and returns how long to wait before the
// next call. Zero means that the next call is due only after Enqueue or Finish.
func (l *Link) StartTransfers(now time.Time) time.Duration {
	l.refill(now)
	for l.active < maxActive {
		t := l.next()
		if t == nil {
			return 0
		}
		if l.tokens <= 0 {
			return l.refillTime()
		}
		l.dequeue(t)
		l.tokens -= float64(t.Bytes)
		l.active++
		l.moved[t.Class] += uint64(t.Bytes)
		t.started = true
		t.Start()
	}
	return 0
}

// Finish records the end of a started transfer and its duration.
func (l *Link) Finish(took time.Duration) {
	l.active--
	l.meanDuration += time.Duration(smoothing * float64(took-l.meanDuration))
}

// Predict returns the predicted time of count new transfers of a class with the given total of bytes.
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
	transmitTime := time.Duration(max(0, need) / l.rate * float64(time.Second))
	return max(transmitTime, time.Duration(rounds)*l.meanDuration)
}

// next returns the first waiting transfer of the most urgent class, or nil.
func (l *Link) next() *Transfer {
	for _, queue := range l.queues {
		if front := queue.Front(); front != nil {
			return front.Value.(*Transfer)
		}
	}
	return nil
}

func (l *Link) dequeue(t *Transfer) {
	l.queues[t.Class].Remove(t.element)
	t.element = nil
	l.queued[t.Class] -= t.Bytes
}

func (l *Link) burst() float64 { return l.rate * burstTime.Seconds() }

func (l *Link) refill(now time.Time) {
	l.tokens = min(l.burst(), l.tokens+l.rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

// refillTime returns the time until tokens are left again.
func (l *Link) refillTime() time.Duration {
	return time.Duration(-l.tokens/l.rate*float64(time.Second)) + time.Microsecond
}

// LinkState is the part of a dump about a Link.
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
		DurationUS:     l.meanDuration.Microseconds(),
	}
	for c := range classCount {
		state.QueuedBytes[c.String()] = l.queued[c]
		state.MovedBytes[c.String()] = l.moved[c]
	}
	return state
}
