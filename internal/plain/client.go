// Package plain is the client by which an agent calls its plain service. It sends each call once, and its errors
// distinguish a failed call that has not run from one that may have run.
package plain

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httpclient"
)

const requestIDHeader = "X-Request-Id"

// Request is one call to a plain service.
type Request struct {
	// RequestID identifies the caller's request and is the same for all its attempts.
	RequestID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Response is the complete response to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	http *httpclient.Client
}

// New returns a Client for the service at address, given as ip:port.
func New(address string) *Client {
	return &Client{http: httpclient.New(address, httpclient.Options{CloseAfterErrors: true})}
}

// Close closes the unused connections.
func (c *Client) Close() { c.http.Close() }

// Call sends a request and returns the response, regardless of its status. Errors are ErrNotSent and
// ErrOutcomeUnknown; the end of ctx during a call gives ErrOutcomeUnknown.
func (c *Client) Call(ctx context.Context, call Request) (Response, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.Method)
	request.SetRequestURI("http://" + c.http.Address() + call.Path)
	request.Header.Set(requestIDHeader, call.RequestID)
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	request.SetBody(call.Body)
	if err := c.http.Do(ctx, request, response); err != nil {
		return Response{}, mapError(err, call)
	}
	return Response{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte{}, response.Body()...),
	}, nil
}

func mapError(err error, call Request) error {
	if errorx.IsOfType(err, httpclient.ErrNotSent) {
		return ErrNotSent.Wrap(err, "%s %s", call.Method, call.Path)
	}
	return ErrOutcomeUnknown.Wrap(err, "%s %s", call.Method, call.Path)
}
