// Package listhttp reads the platform's instance list over HTTP.
package listhttp

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httpclient"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/traffic"
)

// Path is the URL path of the list.
const Path = "/instances"

const callTimeout = 3 * time.Second // of a call whose context has no earlier deadline

// Document is the response body of the list.
type Document struct {
	Instances []metastore.Instance `json:"instances"`
}

// Client reads the instance list. It is safe for concurrent use.
type Client struct {
	http *httpclient.Client
}

var _ metastore.InstanceList = (*Client)(nil)

// New returns a Client for the list at address, given as ip:port.
func New(address string) *Client {
	return &Client{http: httpclient.New(address, httpclient.Options{Traffic: &traffic.Control})}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.Close() }

// Instances implements metastore.InstanceList. All its errors are metastore.ErrUnavailable.
func (c *Client) Instances(ctx context.Context) ([]metastore.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.http.Address() + Path)
	if err := c.http.Do(ctx, request, response); err != nil {
		return nil, metastore.ErrUnavailable.Wrap(err, "instance list")
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, metastore.ErrUnavailable.New("instance list: status %d", status)
	}
	var document Document
	if err := json.Unmarshal(response.Body(), &document); err != nil {
		return nil, metastore.ErrUnavailable.Wrap(err, "instance list: malformed answer")
	}
	sort.Slice(document.Instances, func(i, j int) bool { return document.Instances[i].ID < document.Instances[j].ID })
	return document.Instances, nil
}
