// Package membudget bounds the memory that a process holds for messages from other processes while it reads and decodes
// them. The clients of the platform and the gateway's request path share one Budget a purpose.
package membudget

import (
	"context"

	"github.com/joomcode/errorx"
	"golang.org/x/sync/semaphore"
)

var namespace = errorx.NewNamespace("membudget")

// ErrExhausted means that a Budget has too little memory left.
var ErrExhausted = namespace.NewType("exhausted", errorx.Temporary())

// Budget is an amount of memory in bytes. It is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	bytes int64
	free  *semaphore.Weighted
}

// New returns a Budget of the given number of bytes.
func New(bytes int64) *Budget {
	return &Budget{bytes: bytes, free: semaphore.NewWeighted(bytes)}
}

// Bytes returns the size of the budget.
func (b *Budget) Bytes() int64 {
	if b == nil {
		return 0
	}
	return b.bytes
}

// Reservation is the part of a Budget that one message holds. It must be released, and isn't safe for concurrent use. A nil
// Reservation is empty.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve returns an empty Reservation.
func (b *Budget) Reserve() *Reservation { return &Reservation{budget: b} }

// Grow adds bytes to the reservation. It waits until the budget has them, or until ctx ends. It returns ErrExhausted.
func (r *Reservation) Grow(ctx context.Context, bytes int64) error {
	if r.budget == nil || bytes <= 0 {
		return nil
	}
	if r.bytes+bytes > r.budget.bytes {
		return ErrExhausted.New("message of more than %d bytes, the whole budget", r.budget.bytes)
	}
	if err := r.budget.free.Acquire(ctx, bytes); err != nil {
		return ErrExhausted.Wrap(err, "%d bytes beside the %d already held", bytes, r.bytes)
	}
	r.bytes += bytes
	return nil
}

// TryGrow is Grow without waiting. It reports whether the bytes were added.
func (r *Reservation) TryGrow(bytes int64) bool {
	if r.budget == nil || bytes <= 0 {
		return true
	}
	if !r.budget.free.TryAcquire(bytes) {
		return false
	}
	r.bytes += bytes
	return true
}

// Bytes returns the size of the reservation.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Shrink returns what exceeds the given number of bytes to the budget.
func (r *Reservation) Shrink(bytes int64) {
	if r != nil && r.budget != nil && r.bytes > bytes {
		r.budget.free.Release(r.bytes - bytes)
		r.bytes = bytes
	}
}

// Release returns all bytes to the budget.
func (r *Reservation) Release() { r.Shrink(0) }
