// Package gateway holds the messages of the etcd v3 JSON gateway that balsamyoke uses. The client
// in etcdhttp and the key-value stand-in share it. Keys and values travel as base64, 64-bit
// numbers as strings, and members with zero values are left out.
package gateway

// Paths of the calls; all use POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Codes of errors, those of gRPC.
const (
	CodeInvalidArgument    = 3
	CodeDeadlineExceeded   = 4
	CodeNotFound           = 5
	CodeResourceExhausted  = 8
	CodeFailedPrecondition = 9
	CodeOutOfRange         = 11
	CodeUnavailable        = 14
)

// Names in compares and events.
const (
	ResultEqual  = "EQUAL"
	TargetMod    = "MOD"
	TargetCreate = "CREATE"
	EventDelete  = "DELETE"
)

// Error is the body of a refused call.
type Error struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Header is part of each answer.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one record.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads a key, or the keys from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse has the records in key order.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// PutResponse answers PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// DeleteRangeRequest deletes a key.
type DeleteRangeRequest struct {
	Key []byte `json:"key,omitempty"`
}

// DeleteRangeResponse answers DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// Compare is one condition of a transaction.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
}

// Op is one operation of a transaction; exactly one member is set.
type Op struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
	Txn         *TxnRequest         `json:"request_txn,omitempty"`
}

// TxnRequest runs Success when every compare holds, else Failure.
type TxnRequest struct {
	Compare []Compare `json:"compare,omitempty"`
	Success []Op      `json:"success,omitempty"`
	Failure []Op      `json:"failure,omitempty"`
}

// OpResponse answers one Op.
type OpResponse struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
	Txn         *TxnResponse         `json:"response_txn,omitempty"`
}

// TxnResponse answers TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []OpResponse `json:"responses,omitempty"`
}

// GrantRequest creates a lease; TTL is in seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseRequest names a lease to renew or revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string,omitempty"`
}

// LeaseResponse answers a grant; TTL is zero for a renewal of a lapsed lease.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse answers a renewal.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest watches the keys from Key up to RangeEnd from StartRevision on.
type WatchCreateRequest struct {
	Key           []byte `json:"key,omitempty"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchMessage is one line of a watch.
type WatchMessage struct {
	Result WatchResponse `json:"result"`
}

// WatchResponse opens a watch, carries events or ends it.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Event is one change; Type is empty for a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// PrefixEnd returns the first key after all keys with the given prefix; {0} means that there is none.
func PrefixEnd(prefix []byte) []byte {
	end := append([]byte{}, prefix...)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
