// Package kvserver stands in for the platform's key-value service: the subset of the etcd v3 JSON
// gateway that package gateway describes, over an in-memory store with switches for faults.
package kvserver

import (
	"bufio"
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/etcdhttp/gateway"
	"balsamyoke.example/balsamyoke/internal/metastore/memkv"
	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
)

// Settings of the service.
type Settings struct {
	Listen string `json:"listen" long:"listen"`
	// Admin is the ip:port of the fault switches, which stay up while the service is down.
	Admin string `json:"admin" long:"admin"`
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second" long:"writes-per-second"`
	ReadsPerSecond  float64 `json:"reads_per_second" long:"reads-per-second"`
}

// Calls is the answer to GET /admin/calls.
type Calls struct {
	memkv.Calls
	// Limited counts calls that the rate limits refused.
	Limited int64 `json:"limited"`
}

// Server is the service.
type Server struct {
	*httpserver.Server
	admin   *httpserver.Server
	store   *memkv.Store
	writes  *rate.Limiter
	reads   *rate.Limiter
	limited atomic.Int64
	ctx     context.Context
	cancel  context.CancelFunc
}

// Start starts a service with an empty store.
func Start(settings Settings) (*Server, error) {
	s := &Server{
		store:  memkv.New(),
		writes: limiter(settings.WritesPerSecond),
		reads:  limiter(settings.ReadsPerSecond),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	var err error
	if s.Server, err = httpserver.Start(settings.Listen, s.routes().Handle, false); err != nil {
		return nil, err
	}
	if s.admin, err = httpserver.Start(settings.Admin, s.adminRoutes().Handle, false); err != nil {
		s.Server.Stop()
		return nil, err
	}
	return s, nil
}

// AdminAddress returns the ip:port of the fault switches.
func (s *Server) AdminAddress() string { return s.admin.Address() }

// Store returns the store behind the service.
func (s *Server) Store() *memkv.Store { return s.store }

// Stop ends the service.
func (s *Server) Stop() {
	s.cancel()
	s.Server.Stop()
	s.admin.Stop()
	s.store.Close()
}

// SetFaults changes the fault switches.
func (s *Server) SetFaults(f memkv.Faults) error {
	s.store.SetFaults(f)
	if f.Down {
		s.Down()
		return nil
	}
	return s.Up()
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *Server) routes() httpserver.Router {
	return httpserver.Router{
		"POST " + gateway.PathRange:     s.limit(s.reads, s.serveRange),
		"POST " + gateway.PathTxn:       s.limit(s.writes, s.serveTxn),
		"POST " + gateway.PathGrant:     s.limit(s.writes, s.serveGrant),
		"POST " + gateway.PathKeepAlive: s.limit(s.writes, s.serveKeepAlive),
		"POST " + gateway.PathRevoke:    s.limit(s.writes, s.serveRevoke),
		"POST " + gateway.PathWatch:     s.limit(s.reads, s.serveWatch),
	}
}

func (s *Server) adminRoutes() httpserver.Router {
	return httpserver.Router{
		"GET /admin/calls": func(ctx *fasthttp.RequestCtx) {
			httpserver.Reply(ctx, fasthttp.StatusOK, Calls{Calls: s.store.Calls(), Limited: s.limited.Load()})
		},
		"POST /admin/faults": func(ctx *fasthttp.RequestCtx) {
			var faults memkv.Faults
			if !httpserver.Decode(ctx, &faults) {
				return
			}
			if err := s.SetFaults(faults); err != nil {
				httpserver.Refuse(ctx, fasthttp.StatusInternalServerError, err.Error())
			}
		},
	}
}

func (s *Server) limit(limiter *rate.Limiter, handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !limiter.Allow() {
			s.limited.Add(1)
			refuse(ctx, fasthttp.StatusTooManyRequests, gateway.CodeResourceExhausted, "too many requests")
			return
		}
		handler(ctx)
	}
}

func (s *Server) serveRange(ctx *fasthttp.RequestCtx) {
	var call gateway.RangeRequest
	if !decode(ctx, &call) {
		return
	}
	reply := gateway.RangeResponse{Header: s.header()}
	if len(call.RangeEnd) > 0 {
		prefix, ok := prefixOf(call.Key, call.RangeEnd)
		if !ok {
			refuse(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, "only ranges of a prefix are served")
			return
		}
		records, err := s.store.List(s.ctx, prefix)
		if failed(ctx, err) {
			return
		}
		for _, r := range records {
			reply.KVs = append(reply.KVs, keyValue(r))
		}
	} else {
		r, err := s.store.Get(s.ctx, string(call.Key))
		if err == nil {
			reply.KVs = append(reply.KVs, keyValue(r))
		} else if !errorx.IsOfType(err, metastore.ErrNotFound) {
			failed(ctx, err)
			return
		}
	}
	reply.Count = int64(len(reply.KVs))
	httpserver.Reply(ctx, fasthttp.StatusOK, reply)
}

func (s *Server) serveGrant(ctx *fasthttp.RequestCtx) {
	var call gateway.GrantRequest
	if !decode(ctx, &call) {
		return
	}
	id, err := s.store.Grant(s.ctx, time.Duration(call.TTL)*time.Second)
	if failed(ctx, err) {
		return
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, gateway.LeaseResponse{Header: s.header(), ID: int64(id), TTL: call.TTL})
}

func (s *Server) serveKeepAlive(ctx *fasthttp.RequestCtx) {
	var call gateway.LeaseRequest
	if !decode(ctx, &call) {
		return
	}
	err := s.store.KeepAlive(s.ctx, metastore.LeaseID(call.ID))
	reply := gateway.LeaseResponse{Header: s.header(), ID: call.ID, TTL: 1}
	if errorx.IsOfType(err, metastore.ErrLeaseNotFound) {
		reply.TTL = 0
	} else if failed(ctx, err) {
		return
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, gateway.KeepAliveResponse{Result: reply})
}

func (s *Server) serveRevoke(ctx *fasthttp.RequestCtx) {
	var call gateway.LeaseRequest
	if !decode(ctx, &call) {
		return
	}
	if failed(ctx, s.store.Revoke(s.ctx, metastore.LeaseID(call.ID))) {
		return
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, gateway.LeaseResponse{Header: s.header()})
}

func (s *Server) serveWatch(ctx *fasthttp.RequestCtx) {
	var call gateway.WatchRequest
	if !decode(ctx, &call) {
		return
	}
	prefix, ok := prefixOf(call.Create.Key, call.Create.RangeEnd)
	if !ok {
		refuse(ctx, fasthttp.StatusBadRequest, gateway.CodeInvalidArgument, "only watches of a prefix are served")
		return
	}
	watchCtx, cancel := httpserver.UntilHangUp(s.ctx, ctx.Conn())
	events, err := s.store.Watch(watchCtx, prefix, metastore.Revision(call.Create.StartRevision-1))
	if failed(ctx, err) {
		cancel()
		return
	}
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetContentType("application/json")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		lines := json.NewEncoder(w)
		_ = lines.Encode(gateway.WatchMessage{Result: gateway.WatchResponse{Header: s.header(), Created: true}})
		for w.Flush() == nil {
			event, open := <-events
			if !open {
				return
			}
			_ = lines.Encode(watchMessage(event))
		}
	})
}

func watchMessage(event metastore.Event) gateway.WatchMessage {
	e := gateway.Event{KV: keyValue(event.Record)}
	if event.Deleted {
		e.Type = gateway.EventDelete
	}
	header := gateway.Header{Revision: int64(event.Record.ModRevision)}
	return gateway.WatchMessage{Result: gateway.WatchResponse{Header: header, Events: []gateway.Event{e}}}
}

func (s *Server) header() gateway.Header {
	return gateway.Header{Revision: int64(s.store.Revision())}
}

func keyValue(r metastore.Record) gateway.KeyValue {
	return gateway.KeyValue{
		Key:            []byte(r.Key),
		CreateRevision: int64(r.CreateRevision),
		ModRevision:    int64(r.ModRevision),
		Value:          r.Value,
		Lease:          int64(r.Lease),
	}
}
