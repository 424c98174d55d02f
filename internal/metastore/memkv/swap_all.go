package memkv

import (
	"context"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// CompareAndSwapAll applies conditional writes to distinct keys if all conditions hold, and none otherwise.
func (s *Store) CompareAndSwapAll(ctx context.Context, swaps []metastore.Swap) ([]metastore.SwapResult, error) {
	if err := validate(swaps); err != nil {
		return nil, err
	}
	if err := s.startCall(ctx, func(c *Calls) { c.Swap++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := make([]metastore.SwapResult, len(swaps))
	for i, swap := range swaps {
		if !swap.Lease.IsZero() && s.lease(swap.Lease) == nil {
			return nil, metastore.ErrLeaseNotFound.New("lease %d", swap.Lease.Number)
		}
		record, ok := s.records[swap.Key]
		if !ok {
			record.Key = swap.Key
		}
		current[i].Current = record
		holds = holds && record.ModRevision == swap.Expect
	}
	if holds {
		current = s.apply(swaps)
	}
	return current, s.loseResponse("compare and swap")
}
