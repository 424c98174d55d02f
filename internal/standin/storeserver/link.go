package storeserver

import (
	"context"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/standin/turnstile"
)

const linkChunkBytes = 32 << 10 // sent for one transfer before another may go

// Classes of transfers, in the order in which they use the link.
const (
	classUrgent = iota
	classPatient
	classExport
)

// link is a rate shared by all transfers; a chunk of a more urgent class goes first.
type link struct {
	turnstile *turnstile.Turnstile

	mu             sync.Mutex
	bytesPerSecond float64 // 0 means unlimited
	slowFactor     float64
	free           time.Time // when the last chunk has passed
}

func newLink(bytesPerSecond float64) *link {
	return &link{turnstile: turnstile.New(1), bytesPerSecond: bytesPerSecond, slowFactor: 1}
}

// pass waits until n bytes, at most a chunk, have passed the link.
func (l *link) pass(ctx context.Context, class, n int) error {
	if err := l.turnstile.Enter(ctx, class); err != nil {
		return err
	}
	defer l.turnstile.Leave()
	wait := time.Until(l.book(n))
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// book returns the time at which n bytes more have passed.
func (l *link) book(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.bytesPerSecond <= 0 {
		return now
	}
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * l.slowFactor * float64(time.Second)))
	return l.free
}

func (l *link) setSlowFactor(factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowFactor = max(1, factor)
}
