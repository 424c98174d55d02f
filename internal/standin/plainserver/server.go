// Package plainserver is a stand-in for a plain service. It counts how often each request ran, by request id and
// by body, so that tests can check that non-idempotent work ran at most once.
package plainserver

import (
	"encoding/hex"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
)

const requestIDHeader = "X-Request-Id"

// Settings configures the service.
type Settings struct {
	Listen string `json:"listen" long:"listen"`
	// WorkMS is the duration of one call, in milliseconds.
	WorkMS int `json:"work_ms" long:"work-ms"`
}

// Faults are the switches of POST /admin/faults.
type Faults struct {
	// Down refuses new connections and closes the open ones.
	Down bool `json:"down"`
	// SlowMS is added to each call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// CutAfterWork closes the connection of each call after its work, without a response.
	CutAfterWork bool `json:"cut_after_work"`
}

// Reply is the response to a call.
type Reply struct {
	ID   string `json:"id"`
	Kind string `json:"kind"`
	// Digest is the BodyDigest of the request's body.
	Digest string `json:"digest"`
	// Execution is the number of runs of this request id, including this one.
	Execution int `json:"execution"`
}

// BodyDigest returns the digest of a request's body in hexadecimal.
func BodyDigest(body []byte) string {
	digest := xxhash.New()
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// Server is the service.
type Server struct {
	*httpserver.Server
	settings Settings

	mu         sync.Mutex
	faults     Faults
	executions map[string]int
	bodies     map[string]int
}

// Start starts a plain service.
func Start(settings Settings) (*Server, error) {
	s := &Server{settings: settings, executions: map[string]int{}, bodies: map[string]int{}}
	var err error
	s.Server, err = httpserver.Start(settings.Listen, s.handle, false)
	return s, err
}

// SetFaults sets the fault switches. It returns an error when the service can't listen again.
func (s *Server) SetFaults(f Faults) error {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if f.Down {
		s.Down()
		return nil
	}
	return s.Up()
}

// Executions returns how often each request ran, by request id.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

// Bodies returns how often each kind of call ran with each body, by "kind/digest".
func (s *Server) Bodies() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.bodies)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/admin/executions":
		httpserver.Reply(ctx, fasthttp.StatusOK, s.Executions())
	case "/admin/bodies":
		httpserver.Reply(ctx, fasthttp.StatusOK, s.Bodies())
	case "/admin/faults":
		var faults Faults
		if !httpserver.Decode(ctx, &faults) {
			return
		}
		if err := s.SetFaults(faults); err != nil {
			httpserver.ReplyError(ctx, fasthttp.StatusInternalServerError, err.Error())
		}
	default:
		s.work(ctx)
	}
}

func (s *Server) work(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(requestIDHeader))
	kind := strings.TrimPrefix(string(ctx.Path()), "/")
	digest := BodyDigest(ctx.Request.Body())
	s.mu.Lock()
	s.executions[id]++
	s.bodies[kind+"/"+digest]++
	execution := s.executions[id]
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(s.settings.WorkMS+faults.SlowMS) * time.Millisecond)
	if faults.CutAfterWork {
		httpserver.Cut(ctx)
		return
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, Reply{
		ID:        id,
		Kind:      kind,
		Digest:    digest,
		Execution: execution,
	})
}
