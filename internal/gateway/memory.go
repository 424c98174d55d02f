package gateway

import (
	"context"
	"time"

	"balsamyoke.example/balsamyoke/internal/membudget"
)

const (
	// Shares of the process's memory for bodies of callers, by their size, and for what servers send.
	smallBodyShare = 1.0 / 20
	largeBodyShare = 1.0 / 5
	responseShare  = 1.0 / 20
	// slowCallerShare is the share for responses whose callers read slowly. With the others, less than half of the memory is
	// given away; the rest is for the control state and for garbage.
	slowCallerShare = 1.0 / 8
	// smallBody is the size, in bytes, up to which a body counts as small. Large bodies don't delay requests with small ones.
	smallBody = 64 << 10
	// memoryWait is how long a request waits for memory for its body. Callers give up a request that isn't read for a second.
	memoryWait = 500 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After of requests that are refused because there is no memory for their body.
	noMemoryRetryAfter = time.Second
	// unbudgetedResponse is how much of a response is read without a reservation, in bytes. Most responses are smaller.
	unbudgetedResponse = 16 << 10
)

// memory holds the budgets of the request path. The bodies of all requests that are being served fit in smallBodies and
// largeBodies, those of the responses that are buffered in responses.
type memory struct {
	smallBodies *membudget.Budget
	largeBodies *membudget.Budget
	responses   *membudget.Budget
	// slowCallers is for what was read from servers and not yet by callers.
	slowCallers *membudget.Budget
}

// newMemory returns the budgets of a process with the given memory in bytes.
func newMemory(bytes int64) memory {
	share := func(s float64) *membudget.Budget { return membudget.New(int64(s * float64(bytes))) }
	return memory{smallBodies: share(smallBodyShare), largeBodies: share(largeBodyShare), responses: share(responseShare), slowCallers: share(slowCallerShare)}
}

// reserveBody reserves memory for the body of a request. It waits up to memoryWait and returns errNoMemory.
func (m *memory) reserveBody(bytes int64) (*membudget.Reservation, error) {
	budget := m.smallBodies
	if bytes > smallBody {
		budget = m.largeBodies
	}
	ctx, cancel := context.WithTimeout(context.Background(), memoryWait)
	defer cancel()
	reservation := budget.Reserve()
	if err := reservation.Grow(ctx, bytes); err != nil {
		return nil, ErrNoMemory.Wrap(err, "body of %d bytes", bytes)
	}
	return reservation, nil
}
