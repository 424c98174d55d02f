// Package etcdhttp is the key-value service spoken to over the etcd v3 JSON gateway. Entries,
// agents and balsamctl use it in production.
package etcdhttp

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httpclient"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/etcdhttp/gateway"
	"balsamyoke.example/balsamyoke/internal/traffic"
)

const (
	callTimeout   = 3 * time.Second // of a call whose context has no deadline
	maxErrorBytes = 200             // of an answer's body, quoted in errors
)

// Client is one or more gateways of the same service. It is safe for concurrent use.
type Client struct {
	gateways  []*httpclient.Client
	preferred atomic.Uint32
}

var _ metastore.KV = (*Client)(nil)

// New returns a Client for gateways at addresses, given as ip:port. It uses one of them and moves
// to the next when that can't be reached.
func New(addresses ...string) *Client {
	c := &Client{}
	for _, address := range addresses {
		c.gateways = append(c.gateways, httpclient.New(address, httpclient.Options{Traffic: &traffic.Control}))
	}
	return c
}

// Close closes the unused connections.
func (c *Client) Close() {
	for _, g := range c.gateways {
		g.Close()
	}
}

// Get implements metastore.KV.
func (c *Client) Get(ctx context.Context, key string) (metastore.Record, error) {
	var reply gateway.RangeResponse
	if err := c.read(ctx, gateway.RangeRequest{Key: []byte(key)}, &reply); err != nil {
		return metastore.Record{}, err
	}
	if len(reply.KVs) == 0 {
		return metastore.Record{}, metastore.ErrNotFound.New("key %q", key)
	}
	return record(reply.KVs[0]), nil
}

// List implements metastore.KV.
func (c *Client) List(ctx context.Context, prefix string) ([]metastore.Record, error) {
	key, end := prefixRange(prefix)
	var reply gateway.RangeResponse
	if err := c.read(ctx, gateway.RangeRequest{Key: key, RangeEnd: end}, &reply); err != nil {
		return nil, err
	}
	var records []metastore.Record
	for _, kv := range reply.KVs {
		records = append(records, record(kv))
	}
	return records, nil
}

// Grant implements metastore.KV. A ttl is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (metastore.LeaseID, error) {
	if ttl <= 0 {
		return 0, metastore.ErrInvalid.New("lease time %s", ttl)
	}
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var reply gateway.LeaseResponse
	err := c.write(ctx, gateway.PathGrant, gateway.GrantRequest{TTL: seconds}, &reply)
	return metastore.LeaseID(reply.ID), err
}

// KeepAlive implements metastore.KV.
func (c *Client) KeepAlive(ctx context.Context, lease metastore.LeaseID) error {
	var reply gateway.KeepAliveResponse
	if err := c.write(ctx, gateway.PathKeepAlive, gateway.LeaseRequest{ID: int64(lease)}, &reply); err != nil {
		return err
	}
	if reply.Result.TTL <= 0 {
		return metastore.ErrLeaseNotFound.New("lease %d", lease)
	}
	return nil
}

// Revoke implements metastore.KV.
func (c *Client) Revoke(ctx context.Context, lease metastore.LeaseID) error {
	var reply gateway.LeaseResponse
	return c.write(ctx, gateway.PathRevoke, gateway.LeaseRequest{ID: int64(lease)}, &reply)
}

// read calls the range path; every failure to reach the service is ErrUnavailable.
func (c *Client) read(ctx context.Context, call gateway.RangeRequest, reply *gateway.RangeResponse) error {
	err := c.write(ctx, gateway.PathRange, call, reply)
	if errorx.IsOfType(err, metastore.ErrOutcomeUnknown) {
		return metastore.ErrUnavailable.Wrap(err, "read")
	}
	return err
}

// write makes one call. It tries the next gateway only after a call that certainly was not sent.
func (c *Client) write(ctx context.Context, path string, call, reply any) error {
	body, err := json.Marshal(call)
	if err != nil {
		return metastore.ErrInvalid.Wrap(err, "%s", path)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	for range c.gateways {
		at := c.preferred.Load()
		err = c.callOne(ctx, c.gateway(at), path, body, reply)
		if !errorx.IsOfType(err, httpclient.ErrNotSent) {
			return err
		}
		c.preferred.CompareAndSwap(at, at+1)
	}
	return metastore.ErrUnavailable.Wrap(err, "%s", path)
}

func (c *Client) gateway(at uint32) *httpclient.Client {
	return c.gateways[int(at)%len(c.gateways)]
}

func (c *Client) callOne(ctx context.Context, to *httpclient.Client, path string, body []byte, reply any) error {
	request, response := newRequest(to, path, body), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := to.Do(ctx, request, response); err != nil {
		if errorx.IsOfType(err, httpclient.ErrNotSent) {
			return err
		}
		return metastore.ErrOutcomeUnknown.Wrap(err, "%s", path)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return refusal(response.StatusCode(), response.Body(), path)
	}
	if err := json.Unmarshal(response.Body(), reply); err != nil {
		return metastore.ErrOutcomeUnknown.Wrap(err, "%s: malformed answer %q", path, quote(response.Body()))
	}
	return nil
}

func newRequest(to *httpclient.Client, path string, body []byte) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + to.Address() + path)
	request.Header.SetContentType("application/json")
	request.SetBody(body)
	return request
}

// refusal turns the gateway's error into one of the platform's. A code that the service also
// gives after it took a write, such as unavailable, leaves the outcome unknown.
func refusal(status int, body []byte, path string) error {
	var e gateway.Error
	_ = json.Unmarshal(body, &e)
	switch e.Code {
	case gateway.CodeNotFound:
		return metastore.ErrLeaseNotFound.New("%s: %s", path, e.Error)
	case gateway.CodeInvalidArgument, gateway.CodeFailedPrecondition, gateway.CodeOutOfRange:
		return invalid(path, e.Error)
	case gateway.CodeResourceExhausted:
		return metastore.ErrUnavailable.New("%s: %s", path, e.Error)
	default:
		return metastore.ErrOutcomeUnknown.New("%s: status %d: %s", path, status, quote(body))
	}
}

func invalid(path, message string) error {
	if strings.Contains(message, "lease not found") {
		return metastore.ErrLeaseNotFound.New("%s: %s", path, message)
	}
	return metastore.ErrInvalid.New("%s: %s", path, message)
}

func quote(body []byte) string { return string(body[:min(len(body), maxErrorBytes)]) }

func record(kv gateway.KeyValue) metastore.Record {
	return metastore.Record{
		Key:            string(kv.Key),
		Value:          kv.Value,
		CreateRevision: metastore.Revision(kv.CreateRevision),
		ModRevision:    metastore.Revision(kv.ModRevision),
		Lease:          metastore.LeaseID(kv.Lease),
	}
}

// prefixRange returns the range of all keys with a prefix; the empty prefix means all keys.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	return []byte(prefix), gateway.PrefixEnd([]byte(prefix))
}
