package storeserver

import (
	"context"
	"sync"
	"time"

	"balsamyoke.example/balsamyoke/internal/standin/turnstile"
)

const linkChunkBytes = 32 << 10 // sent by one transfer before another may use the link

// Classes of transfers, from the most to the least urgent.
const (
	classUrgent = iota
	classPatient
	classExport
)

// link is a network link with a bandwidth that all transfers share. Chunks of a more urgent class go first.
type link struct {
	semaphore *turnstile.Semaphore

	mu             sync.Mutex
	bytesPerSecond float64 // 0 means unlimited
	slowFactor     float64
	busyUntil      time.Time // end of the last reserved transmission
}

func newLink(bytesPerSecond float64) *link {
	return &link{semaphore: turnstile.New(1), bytesPerSecond: bytesPerSecond, slowFactor: 1}
}

// transmit waits until n bytes, at most linkChunkBytes, have passed the link. It returns an error when ctx ends first.
func (l *link) transmit(ctx context.Context, class, n int) error {
	if err := l.semaphore.Acquire(ctx, class); err != nil {
		return err
	}
	defer l.semaphore.Release()
	wait := time.Until(l.reserve(n))
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

// reserve reserves the link for n more bytes and returns the time at which they have passed.
func (l *link) reserve(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.bytesPerSecond <= 0 {
		return now
	}
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(n) / l.bytesPerSecond * l.slowFactor * float64(time.Second)))
	return l.busyUntil
}

func (l *link) setSlowFactor(factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowFactor = max(1, factor)
}
