package kvserver

import (
	"bytes"
	"encoding/json"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/etcdhttp/gateway"
	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
)

// serveTxn runs a conditional write of one key, or a list of them as nested transactions.
func (s *Server) serveTxn(ctx *fasthttp.RequestCtx) {
	var call gateway.TxnRequest
	if !decode(ctx, &call) {
		return
	}
	txns, nested := []gateway.TxnRequest{call}, len(call.Compare) == 0
	if nested {
		txns = txns[:0]
		for _, op := range call.Success {
			if op.Txn == nil {
				refuse(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, "a write without a compare is not served")
				return
			}
			txns = append(txns, *op.Txn)
		}
	}
	swaps := make([]metastore.Swap, len(txns))
	for i, txn := range txns {
		var ok bool
		if swaps[i], ok = swapOf(txn); !ok {
			refuse(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, "only conditional writes of one key are served")
			return
		}
	}
	results, err := s.store.CompareAndSwapEach(s.ctx, swaps)
	if failed(ctx, err) {
		return
	}
	s.replyTxn(ctx, swaps, results, nested)
}

func (s *Server) replyTxn(ctx *fasthttp.RequestCtx, swaps []metastore.Swap, results []metastore.SwapResult, nested bool) {
	revision := int64(s.store.Revision())
	for _, r := range results {
		if r.Swapped {
			revision = int64(r.Revision)
		}
	}
	header := gateway.Header{Revision: revision}
	if !nested {
		httpserver.Reply(ctx, fasthttp.StatusOK, txnResponse(header, swaps[0], results[0]))
		return
	}
	reply := gateway.TxnResponse{Header: header, Succeeded: true}
	for i := range results {
		response := txnResponse(header, swaps[i], results[i])
		reply.Responses = append(reply.Responses, gateway.OpResponse{Txn: &response})
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, reply)
}

// swapOf turns a transaction into a swap. It returns false for any other shape.
func swapOf(txn gateway.TxnRequest) (metastore.Swap, bool) {
	if len(txn.Compare) != 1 || len(txn.Success) != 1 {
		return metastore.Swap{}, false
	}
	compare, write := txn.Compare[0], txn.Success[0]
	swap := metastore.Swap{Key: string(compare.Key), Expect: metastore.Revision(compare.ModRevision)}
	absent := compare.Target == gateway.TargetCreate && compare.CreateRevision == 0
	if compare.Target != gateway.TargetMod && !absent {
		return swap, false
	}
	switch {
	case write.Put != nil && bytes.Equal(write.Put.Key, compare.Key):
		swap.Value, swap.Lease = write.Put.Value, metastore.LeaseID(write.Put.Lease)
		return swap, true
	case write.DeleteRange != nil && bytes.Equal(write.DeleteRange.Key, compare.Key):
		swap.Delete = true
		return swap, true
	default:
		return swap, false
	}
}

func txnResponse(header gateway.Header, swap metastore.Swap, result metastore.SwapResult) gateway.TxnResponse {
	if !result.Swapped {
		found := gateway.RangeResponse{Header: header}
		if result.Current.ModRevision != 0 {
			found.KVs = []gateway.KeyValue{keyValue(result.Current)}
			found.Count = 1
		}
		return gateway.TxnResponse{Header: header, Responses: []gateway.OpResponse{{Range: &found}}}
	}
	response := gateway.OpResponse{Put: &gateway.PutResponse{Header: header}}
	if swap.Delete {
		response = gateway.OpResponse{DeleteRange: &gateway.DeleteRangeResponse{Header: header, Deleted: 1}}
	}
	return gateway.TxnResponse{Header: header, Succeeded: true, Responses: []gateway.OpResponse{response}}
}

// prefixOf returns the prefix that a range covers. It returns false for any other range.
func prefixOf(key, end []byte) (string, bool) {
	if bytes.Equal(key, []byte{0}) && bytes.Equal(end, []byte{0}) {
		return "", true
	}
	return string(key), bytes.Equal(end, gateway.PrefixEnd(key))
}

// failed answers a call that the store refused. It returns false when err is nil.
func failed(ctx *fasthttp.RequestCtx, err error) bool {
	switch {
	case err == nil:
		return false
	case errorx.IsOfType(err, metastore.ErrOutcomeUnknown):
		httpserver.Cut(ctx)
	case errorx.IsOfType(err, metastore.ErrLeaseNotFound):
		refuse(ctx, fasthttp.StatusNotFound, gateway.CodeNotFound, "requested lease not found")
	case errorx.IsOfType(err, metastore.ErrInvalid):
		refuse(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, err.Error())
	default:
		refuse(ctx, fasthttp.StatusServiceUnavailable, gateway.CodeUnavailable, err.Error())
	}
	return true
}

func refuse(ctx *fasthttp.RequestCtx, status, code int, message string) {
	httpserver.Reply(ctx, status, gateway.Error{Error: message, Code: code, Message: message})
}

func decode(ctx *fasthttp.RequestCtx, call any) bool {
	if err := json.Unmarshal(ctx.Request.Body(), call); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}
