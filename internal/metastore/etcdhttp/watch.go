package etcdhttp

import (
	"context"
	"encoding/json"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httpclient"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/etcdhttp/gateway"
)

const watchBuffer = 64 // events that wait in a watch's channel

// Watch implements metastore.KV.
func (c *Client) Watch(ctx context.Context, prefix string, from metastore.Revision) (<-chan metastore.Event, error) {
	key, end := prefixRange(prefix)
	call := gateway.WatchRequest{Create: gateway.WatchCreateRequest{
		Key:           key,
		RangeEnd:      end,
		StartRevision: int64(from) + 1,
	}}
	stream, err := c.openWatch(ctx, call)
	if err != nil {
		return nil, err
	}
	lines := json.NewDecoder(stream)
	var first gateway.WatchMessage
	if err := lines.Decode(&first); err != nil || !first.Result.Created {
		stream.Close()
		return nil, metastore.ErrUnavailable.New("watch %q was not created: %v", prefix, err)
	}
	events := make(chan metastore.Event, watchBuffer)
	go func() {
		defer close(events)
		defer stream.Close()
		follow(ctx, lines, first.Result, events)
	}()
	return events, nil
}

func (c *Client) openWatch(ctx context.Context, call gateway.WatchRequest) (*httpclient.Stream, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, metastore.ErrInvalid.Wrap(err, "watch")
	}
	var stream *httpclient.Stream
	for range c.gateways {
		at := c.preferred.Load()
		to := c.gateway(at)
		request := newRequest(to, gateway.PathWatch, body)
		stream, err = to.Stream(ctx, request)
		fasthttp.ReleaseRequest(request)
		if !errorx.IsOfType(err, httpclient.ErrNotSent) {
			break
		}
		c.preferred.CompareAndSwap(at, at+1)
	}
	if err != nil {
		return nil, metastore.ErrUnavailable.Wrap(err, "watch")
	}
	if status := stream.Response.StatusCode(); status != fasthttp.StatusOK {
		stream.Close()
		return nil, metastore.ErrUnavailable.New("watch: status %d", status)
	}
	return stream, nil
}

// follow passes events on until the watch ends, starting with those of its first message.
func follow(ctx context.Context, lines *json.Decoder, message gateway.WatchResponse, events chan<- metastore.Event) {
	for {
		for _, e := range message.Events {
			event := metastore.Event{Record: record(e.KV), Deleted: e.Type == gateway.EventDelete}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
		}
		if message.Canceled {
			return
		}
		var next gateway.WatchMessage
		if lines.Decode(&next) != nil {
			return
		}
		message = next.Result
	}
}
