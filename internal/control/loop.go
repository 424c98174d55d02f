// Package control runs the control goroutine, the only one that uses a process's control state. Request
// goroutines post functions to it and read the snapshots that these functions publish.
package control

import "context"

// queueLength bounds the functions that wait for the control goroutine.
const queueLength = 8192

// Loop runs posted functions one at a time on one goroutine.
type Loop struct {
	events chan func()
	done   chan struct{}
}

// NewLoop returns a Loop that does nothing until Run is called.
func NewLoop() *Loop {
	return &Loop{
		events: make(chan func(), queueLength),
		done:   make(chan struct{}),
	}
}

// Run runs posted functions until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event()
		}
	}
}

// Post queues f, and blocks while the queue is full. It returns false when the loop has ended.
func (l *Loop) Post(f func()) bool {
	select {
	case <-l.done:
		return false
	case l.events <- f:
		return true
	}
}

// TryPost queues f unless the queue is full or the loop has ended, and reports whether it did.
func (l *Loop) TryPost(f func()) bool {
	select {
	case <-l.done:
		return false
	case l.events <- f:
		return true
	default:
		return false
	}
}

// Call runs f on the control goroutine and waits until f returns. It returns false when the loop ended before
// f ran. It must not be called from the control goroutine, where it would deadlock.
func (l *Loop) Call(f func()) bool {
	ran := make(chan struct{})
	if !l.Post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}
