// Package engine is the client of a model engine: streamed runs, cancel, load reports, cache
// events, KV cache export and import, and orders. Agents own one Client for their engine.
package engine

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httpclient"
)

const (
	requestIDHeader = "X-Request-Id"
	maxErrorBytes   = 200 // of a response body, quoted in errors
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	http *httpclient.Client
}

// New returns a Client for the engine at address, given as ip:port.
func New(address string) *Client {
	return &Client{http: httpclient.New(address, httpclient.Options{CloseAfterErrors: true})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// Run runs a chat request and calls onToken for each token, in order, with its number in the complete
// response. It stops early and closes the connection when ctx ends, or when onToken returns an error,
// which Run then returns. ErrUnreachable, ErrVersionNotLoaded and ErrRefused mean that the run has not
// started. Other errors are ErrInterrupted and ErrCancelled.
func (c *Client) Run(ctx context.Context, run RunRequest, onToken func(sequence uint32, text []byte) error) (Usage, error) {
	body, err := run.body()
	if err != nil {
		return Usage{}, err
	}
	request := c.request(fasthttp.MethodPost, "/v1/chat/completions", body)
	defer fasthttp.ReleaseRequest(request)
	request.Header.Set(requestIDHeader, run.RequestID)
	stream, err := c.http.Stream(ctx, request)
	if err != nil {
		return Usage{}, translateError(err)
	}
	defer stream.Close()
	if status := stream.Response.StatusCode(); status != fasthttp.StatusOK {
		return Usage{}, runRefusal(status)
	}
	usage, err := readStream(stream, run.ResumeTokens, onToken)
	if err != nil && ctx.Err() != nil {
		return usage, ErrInterrupted.Wrap(context.Cause(ctx), "run %s was interrupted", run.RequestID)
	}
	return usage, err
}

// Cancel ends the runs of a request and returns their number.
func (c *Client) Cancel(ctx context.Context, requestID string) (int, error) {
	type call struct {
		RequestID string `json:"request_id"`
	}
	var reply struct {
		Cancelled int `json:"cancelled"`
	}
	err := c.callJSON(ctx, fasthttp.MethodPost, "/v1/cancel", call{RequestID: requestID}, &reply)
	return reply.Cancelled, err
}

// Load returns the engine's load report.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.callJSON(ctx, fasthttp.MethodGet, "/v1/load", nil, &report)
	return report, err
}

// CacheEvents returns the events after sequence number since that the engine still has, and the last
// sequence number that it has assigned.
func (c *Client) CacheEvents(ctx context.Context, since uint64) (events []CacheEvent, latest uint64, err error) {
	var reply struct {
		Events []struct {
			Sequence uint64         `json:"sequence"`
			Piece    string         `json:"piece"`
			Kind     CacheEventKind `json:"kind"`
		} `json:"events"`
		Latest uint64 `json:"latest"`
	}
	path := "/v1/cache_events?since=" + strconv.FormatUint(since, 10)
	if err := c.callJSON(ctx, fasthttp.MethodGet, path, nil, &reply); err != nil {
		return nil, 0, err
	}
	for _, e := range reply.Events {
		name, err := hex.DecodeString(e.Piece)
		if err != nil {
			return nil, 0, ErrInterrupted.Wrap(err, "malformed piece name %q", e.Piece)
		}
		events = append(events, CacheEvent{Sequence: e.Sequence, Piece: name, Kind: e.Kind})
	}
	return events, reply.Latest, nil
}

// CacheState returns the exact content of the cache.
func (c *Client) CacheState(ctx context.Context) (CacheState, error) {
	var reply struct {
		Pieces   []string `json:"pieces"`
		Sequence uint64   `json:"sequence"`
	}
	if err := c.callJSON(ctx, fasthttp.MethodGet, "/v1/cache", nil, &reply); err != nil {
		return CacheState{}, err
	}
	state := CacheState{Sequence: reply.Sequence}
	for _, piece := range reply.Pieces {
		name, err := hex.DecodeString(piece)
		if err != nil {
			return CacheState{}, ErrInterrupted.Wrap(err, "malformed piece name %q", piece)
		}
		state.Pieces = append(state.Pieces, name)
	}
	return state, nil
}

// Export returns the KV cache bytes of a piece. It returns ErrNotCached when the engine does not have it.
func (c *Client) Export(ctx context.Context, piece []byte) ([]byte, error) {
	type call struct {
		Piece string `json:"piece"`
	}
	body, err := json.Marshal(call{Piece: hex.EncodeToString(piece)})
	if err != nil {
		return nil, ErrRefused.Wrap(err, "cannot encode the export call")
	}
	status, content, err := c.send(ctx, fasthttp.MethodPost, "/v1/kv/export", body, c.http.DoFramed)
	if err != nil {
		return nil, err
	}
	if status == fasthttp.StatusNotFound {
		return nil, ErrNotCached.New("piece %x", piece)
	}
	return content, refusal(status, content)
}

// Import writes the KV cache bytes of a piece to the engine's cache.
func (c *Client) Import(ctx context.Context, piece, content []byte) error {
	path := "/v1/kv/import?piece=" + hex.EncodeToString(piece)
	status, body, err := c.call(ctx, fasthttp.MethodPost, path, content)
	if err != nil {
		return err
	}
	return refusal(status, body)
}

// Order sends an order to the engine and returns the engine's state. It returns ErrFenced when the
// engine checks fencing tokens and has received a newer one.
func (c *Client) Order(ctx context.Context, order Order) (State, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return State{}, ErrRefused.Wrap(err, "cannot encode the order")
	}
	status, reply, err := c.send(ctx, fasthttp.MethodPost, "/v1/orders", body, c.doAndClose)
	if err != nil {
		return State{}, err
	}
	if status == fasthttp.StatusConflict {
		return State{}, ErrFenced.New("order %s with fence %d: %s", order.Kind, order.Fence, quote(reply))
	}
	if err := refusal(status, reply); err != nil {
		return State{}, err
	}
	var state State
	return state, decode(reply, &state)
}

// State returns the engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.callJSON(ctx, fasthttp.MethodGet, "/v1/state", nil, &state)
	return state, err
}

func (c *Client) callJSON(ctx context.Context, method, path string, call, reply any) error {
	var body []byte
	if call != nil {
		var err error
		if body, err = json.Marshal(call); err != nil {
			return ErrRefused.Wrap(err, "cannot encode the call to %s", path)
		}
	}
	status, content, err := c.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := refusal(status, content); err != nil {
		return err
	}
	return decode(content, reply)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) (status int, content []byte, err error) {
	return c.send(ctx, method, path, body, c.http.Do)
}

// httpCall is Do or DoFramed of httpclient.Client, or doAndClose.
type httpCall func(context.Context, *fasthttp.Request, *fasthttp.Response) error

func (c *Client) send(ctx context.Context, method, path string, body []byte, do httpCall) (status int, content []byte, err error) {
	request := c.request(method, path, body)
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if err := do(ctx, request, response); err != nil {
		return 0, nil, translateError(err)
	}
	return response.StatusCode(), append([]byte{}, response.Body()...), nil
}

// doAndClose is Do and closes the connection, so that a repeated response can't be taken for another call's.
func (c *Client) doAndClose(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) error {
	request.SetConnectionClose()
	return c.http.Do(ctx, request, response)
}

func (c *Client) request(method, path string, body []byte) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.http.Address() + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	return request
}

func translateError(err error) error {
	if errorx.IsOfType(err, httpclient.ErrNotSent) {
		return ErrUnreachable.Wrap(err, "cannot reach the engine")
	}
	return ErrInterrupted.Wrap(err, "the call to the engine was interrupted")
}

func runRefusal(status int) error {
	if status == fasthttp.StatusConflict {
		return ErrVersionNotLoaded.New("engine answered %d", status)
	}
	return ErrRefused.New("engine answered %d", status)
}

func refusal(status int, body []byte) error {
	if status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices {
		return nil
	}
	return ErrRefused.New("engine answered %d: %s", status, quote(body))
}

func decode(body []byte, reply any) error {
	if err := json.Unmarshal(body, reply); err != nil {
		return ErrInterrupted.Wrap(err, "malformed response %q", quote(body))
	}
	return nil
}

func quote(body []byte) string { return string(body[:min(len(body), maxErrorBytes)]) }

func hexNames(pieces [][]byte) []string {
	names := make([]string, len(pieces))
	for i, piece := range pieces {
		names[i] = hex.EncodeToString(piece)
	}
	return names
}
