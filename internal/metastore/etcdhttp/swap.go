package etcdhttp

import (
	"context"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/etcdhttp/gateway"
)

// CompareAndSwap implements metastore.KV.
func (c *Client) CompareAndSwap(ctx context.Context, swap metastore.Swap) (metastore.SwapResult, error) {
	var reply gateway.TxnResponse
	if err := c.write(ctx, gateway.PathTxn, txn(swap), &reply); err != nil {
		return metastore.SwapResult{}, err
	}
	return result(swap, reply, reply.Header.Revision)
}

// CompareAndSwapEach implements metastore.KV. Each swap is a nested transaction of its own, so
// that one which does not hold leaves the others alone.
func (c *Client) CompareAndSwapEach(ctx context.Context, swaps []metastore.Swap) ([]metastore.SwapResult, error) {
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
		return nil, metastore.ErrOutcomeUnknown.New("%d answers to %d swaps", len(reply.Responses), len(swaps))
	}
	results := make([]metastore.SwapResult, len(swaps))
	for i, response := range reply.Responses {
		if response.Txn == nil {
			return nil, metastore.ErrOutcomeUnknown.New("answer %d is not that of a transaction", i)
		}
		var err error
		if results[i], err = result(swaps[i], *response.Txn, reply.Header.Revision); err != nil {
			return nil, err
		}
	}
	return results, nil
}

func txn(swap metastore.Swap) gateway.TxnRequest {
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

func result(swap metastore.Swap, reply gateway.TxnResponse, revision int64) (metastore.SwapResult, error) {
	if reply.Succeeded {
		return metastore.SwapResult{Swapped: true, Revision: metastore.Revision(revision)}, nil
	}
	if len(reply.Responses) != 1 || reply.Responses[0].Range == nil {
		return metastore.SwapResult{}, metastore.ErrOutcomeUnknown.New("a refused swap of %q without the record", swap.Key)
	}
	current := metastore.Record{Key: swap.Key}
	if kvs := reply.Responses[0].Range.KVs; len(kvs) > 0 {
		current = record(kvs[0])
	}
	return metastore.SwapResult{Current: current}, nil
}
