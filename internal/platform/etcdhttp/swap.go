package etcdhttp

import (
	"context"

	"balsamyoke.example/balsamyoke/internal/platform"
	"balsamyoke.example/balsamyoke/internal/platform/etcdhttp/gateway"
)

// CompareAndSwap implements platform.KV.
func (c *Client) CompareAndSwap(ctx context.Context, swap platform.Swap) (platform.SwapResult, error) {
	var reply gateway.TxnResponse
	if err := c.write(ctx, gateway.PathTxn, txn(swap), &reply); err != nil {
		return platform.SwapResult{}, err
	}
	return result(swap, reply, reply.Header.Revision)
}

// CompareAndSwapEach implements platform.KV. Each swap is a nested transaction of its own, so
// that one which does not hold leaves the others alone.
func (c *Client) CompareAndSwapEach(ctx context.Context, swaps []platform.Swap) ([]platform.SwapResult, error) {
	var call gateway.TxnRequest
	for _, swap := range swaps {
		nested := txn(swap)
		call.Success = append(call.Success, gateway.Op{Txn: &nested})
	}
	var reply gateway.TxnResponse
	if err := c.write(ctx, gateway.PathTxn, call, &reply); err != nil {
		return nil, err
	}
	if len(reply.Responses) != len(swaps) {
		return nil, platform.ErrOutcomeUnknown.New("%d answers to %d swaps", len(reply.Responses), len(swaps))
	}
	results := make([]platform.SwapResult, len(swaps))
	for i, response := range reply.Responses {
		if response.Txn == nil {
			return nil, platform.ErrOutcomeUnknown.New("answer %d is not that of a transaction", i)
		}
		var err error
		if results[i], err = result(swaps[i], *response.Txn, reply.Header.Revision); err != nil {
			return nil, err
		}
	}
	return results, nil
}

func txn(swap platform.Swap) gateway.TxnRequest {
	key := []byte(swap.Key)
	write := gateway.Op{Put: &gateway.PutRequest{Key: key, Value: swap.Value, Lease: int64(swap.Lease)}}
	if swap.Delete {
		write = gateway.Op{DeleteRange: &gateway.DeleteRangeRequest{Key: key}}
	}
	return gateway.TxnRequest{
		Compare: []gateway.Compare{{
			Result:      gateway.ResultEqual,
			Target:      gateway.TargetMod,
			Key:         key,
			ModRevision: int64(swap.Expect),
		}},
		Success: []gateway.Op{write},
		Failure: []gateway.Op{{Range: &gateway.RangeRequest{Key: key}}},
	}
}

func result(swap platform.Swap, reply gateway.TxnResponse, revision int64) (platform.SwapResult, error) {
	if reply.Succeeded {
		return platform.SwapResult{Swapped: true, Revision: platform.Revision(revision)}, nil
	}
	if len(reply.Responses) != 1 || reply.Responses[0].Range == nil {
		return platform.SwapResult{}, platform.ErrOutcomeUnknown.New("a refused swap of %q without the record", swap.Key)
	}
	current := platform.Record{Key: swap.Key}
	if kvs := reply.Responses[0].Range.KVs; len(kvs) > 0 {
		current = record(kvs[0])
	}
	return platform.SwapResult{Current: current}, nil
}
