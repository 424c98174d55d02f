// Package store is the client of the platform's KV cache stores. Agents use it to export pieces
// and to read them back. A store may lose, truncate or damage pieces: Get verifies each piece
// completely before it returns any of it. A store that fails is not called for a while.
package store

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httpclient"
	"balsamyoke.example/balsamyoke/internal/piece"
)

const (
	piecesPath     = "/pieces/"
	priorityHeader = "X-Priority"
	dialTimeout    = 200 * time.Millisecond
)

// Priority is the priority of a call in the store.
type Priority string

// The priorities, the highest first.
const (
	Urgent  Priority = "urgent"
	Patient Priority = "patient"
	Export  Priority = "export"
)

// Client calls one store instance. It is safe for concurrent use.
type Client struct {
	instance string
	http     *httpclient.Client

	mu      sync.Mutex
	breaker Breaker
}

// New returns a Client for the store instance at address, given as ip:port.
func New(instance, address string) *Client {
	return &Client{
		instance: instance,
		http:     httpclient.New(address, httpclient.Options{DialTimeout: dialTimeout}),
	}
}

// Instance returns the name of the store instance.
func (c *Client) Instance() string { return c.instance }

// Address returns the ip:port of the store.
func (c *Client) Address() string { return c.http.Address() }

// Close closes the unused connections.
func (c *Client) Close() { c.http.Close() }

// Suspended reports whether the store failed recently and is not called for now.
func (c *Client) Suspended(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Suspended(now)
}

// Get returns the verified data and the generation of a piece. Errors are ErrMiss, ErrDamaged,
// ErrUnavailable and ErrSuspended.
func (c *Client) Get(ctx context.Context, name piece.Name, priority Priority) ([]byte, uint64, error) {
	status, body, err := c.call(ctx, fasthttp.MethodGet, name, nil, priority)
	if err != nil {
		return nil, 0, err
	}
	if status != fasthttp.StatusOK {
		return nil, 0, c.statusError(status, name)
	}
	data, generation, err := piece.Open(name, body)
	if err != nil {
		return nil, 0, ErrDamaged.Wrap(err, "store %s", c.instance)
	}
	return data, generation, nil
}

// Put seals a piece and stores it. Errors are ErrFull, ErrUnavailable and ErrSuspended. After
// ErrUnavailable the store may hold all, part or nothing of the piece.
func (c *Client) Put(ctx context.Context, name piece.Name, generation uint64, data []byte, priority Priority) error {
	status, _, err := c.call(ctx, fasthttp.MethodPut, name, piece.Seal(name, generation, data), priority)
	if err != nil {
		return err
	}
	return c.statusError(status, name)
}

// Has reports whether the store lists a piece. Only Get verifies that the piece is complete.
func (c *Client) Has(ctx context.Context, name piece.Name, priority Priority) (bool, error) {
	status, _, err := c.call(ctx, fasthttp.MethodHead, name, nil, priority)
	if err != nil {
		return false, err
	}
	err = c.statusError(status, name)
	if errorx.IsOfType(err, ErrMiss) {
		return false, nil
	}
	return err == nil, err
}

// Delete removes a piece. A missing piece is not an error.
func (c *Client) Delete(ctx context.Context, name piece.Name, priority Priority) error {
	status, _, err := c.call(ctx, fasthttp.MethodDelete, name, nil, priority)
	if err != nil {
		return err
	}
	if err := c.statusError(status, name); !errorx.IsOfType(err, ErrMiss) {
		return err
	}
	return nil
}

// call makes one HTTP call if the breaker allows it. It returns the status and a copy of the body.
func (c *Client) call(ctx context.Context, method string, name piece.Name, body []byte, priority Priority) (int, []byte, error) {
	if !c.allow() {
		return 0, nil, ErrSuspended.New("store %s is suspended after a recent failure", c.instance)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + c.http.Address() + piecesPath + name.String())
	request.Header.Set(priorityHeader, string(priority))
	if body != nil {
		request.SetBodyRaw(body)
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	err := c.http.Do(ctx, request, response)
	c.report(ctx, err, response.StatusCode())
	if err != nil {
		return 0, nil, ErrUnavailable.Wrap(err, "store %s", c.instance)
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

func (c *Client) allow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Allow(time.Now())
}

// report records the outcome of a call in the breaker. A call that the caller cancelled is neither a
// success nor a failure; one that exceeded its deadline counts as a failure.
func (c *Client) report(ctx context.Context, err error, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil && context.Cause(ctx) == context.Canceled:
		c.breaker.Abandon()
	case err != nil || isServerFailure(status):
		c.breaker.Failure(time.Now())
	default:
		c.breaker.Success()
	}
}

// isServerFailure reports whether a status means that the store itself has failed. A full store has not.
func isServerFailure(status int) bool {
	return status >= fasthttp.StatusInternalServerError && status != fasthttp.StatusInsufficientStorage
}

// statusError returns the error for an HTTP status, or nil for success.
func (c *Client) statusError(status int, name piece.Name) error {
	switch {
	case status >= fasthttp.StatusOK && status < fasthttp.StatusMultipleChoices:
		return nil
	case status == fasthttp.StatusNotFound:
		return ErrMiss.New("store %s does not have piece %s", c.instance, name)
	case status == fasthttp.StatusInsufficientStorage:
		return ErrFull.New("store %s is full", c.instance)
	}
	return ErrUnavailable.New("store %s returned status %d", c.instance, status)
}
