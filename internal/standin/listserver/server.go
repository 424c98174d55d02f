// Package listserver is a stand-in for the platform's instance list, in which changes become visible late.
package listserver

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/listhttp"
	"balsamyoke.example/balsamyoke/internal/metastore/memlist"
	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
)

// Settings configures the list.
type Settings struct {
	Listen string `json:"listen" long:"listen"`
	// LagMS is the delay until a change becomes visible, in milliseconds.
	LagMS int `json:"lag_ms" long:"lag-ms"`
	// Instances are listed from the start.
	Instances []metastore.Instance `json:"instances"`
}

// StateChange is the body of POST /admin/state.
type StateChange struct {
	ID    string                  `json:"id"`
	State metastore.InstanceState `json:"state"`
}

// Server serves the list over HTTP.
type Server struct {
	*httpserver.Server
	list *memlist.List
}

// Start starts a list.
func Start(settings Settings) (*Server, error) {
	s := &Server{list: memlist.New(time.Duration(settings.LagMS) * time.Millisecond)}
	if len(settings.Instances) > 0 {
		s.list.Replace(settings.Instances)
	}
	routes := httpserver.Router{
		"GET " + listhttp.Path: s.serveList,
		"PUT /admin/instances": s.serveReplace,
		"POST /admin/state":    s.serveState,
	}
	var err error
	s.Server, err = httpserver.Start(settings.Listen, routes.Handle, false)
	return s, err
}

// List returns the list that the server serves.
func (s *Server) List() *memlist.List { return s.list }

func (s *Server) serveList(ctx *fasthttp.RequestCtx) {
	instances, err := s.list.Instances(context.Background())
	if err != nil {
		httpserver.ReplyError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, listhttp.Document{Instances: instances})
}

func (s *Server) serveReplace(ctx *fasthttp.RequestCtx) {
	var document listhttp.Document
	if httpserver.Decode(ctx, &document) {
		s.list.Replace(document.Instances)
	}
}

func (s *Server) serveState(ctx *fasthttp.RequestCtx) {
	var change StateChange
	if !httpserver.Decode(ctx, &change) {
		return
	}
	if !s.list.SetState(change.ID, change.State) {
		httpserver.ReplyError(ctx, fasthttp.StatusNotFound, "no such instance")
	}
}
