// Package weightserver is a stand-in for the platform's weight store. It counts concurrent loads and limits the
// rate of calls. The engine stand-in calls it at the start and end of each load and derives the duration from the
// count.
package weightserver

import (
	"sync"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
)

// Settings configures the weight store.
type Settings struct {
	Listen string `json:"listen" long:"listen"`
	// MaxParallel is the number of concurrent loads up to which each runs at full speed.
	MaxParallel int `json:"max_parallel" long:"max-parallel"`
	// CallsPerSecond limits the rate of calls; 0 means no limit.
	CallsPerSecond float64 `json:"calls_per_second" long:"calls-per-second"`
}

// Loads reports the number of concurrent loads.
type Loads struct {
	Running     int `json:"running"`
	MaxParallel int `json:"max_parallel"`
	// MostAtOnce is the highest Running so far.
	MostAtOnce int `json:"most_at_once"`
}

// Server is the weight store.
type Server struct {
	*httpserver.Server
	limiter *rate.Limiter

	mu      sync.Mutex
	loading map[string]bool // engines that are loading, by address
	loads   Loads
}

// Start starts a weight store.
func Start(settings Settings) (*Server, error) {
	s := &Server{loading: make(map[string]bool), loads: Loads{MaxParallel: max(1, settings.MaxParallel)}}
	s.limiter = rate.NewLimiter(rate.Inf, 1)
	if settings.CallsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(settings.CallsPerSecond), max(1, int(settings.CallsPerSecond)))
	}
	routes := httpserver.Router{
		"POST /loads/begin": func(ctx *fasthttp.RequestCtx) { s.change(ctx, true) },
		"POST /loads/end":   func(ctx *fasthttp.RequestCtx) { s.change(ctx, false) },
		"GET /loads":        func(ctx *fasthttp.RequestCtx) { httpserver.Reply(ctx, fasthttp.StatusOK, s.Loads()) },
	}
	var err error
	s.Server, err = httpserver.Start(settings.Listen, routes.Handle, false)
	return s, err
}

// Loads returns the current counts.
func (s *Server) Loads() Loads {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// change records the start or end of a load by the engine that the query names. An engine that is killed does not
// report the end of its load; the test that kills it has to.
func (s *Server) change(ctx *fasthttp.RequestCtx, starting bool) {
	if !s.limiter.Allow() {
		httpserver.ReplyError(ctx, fasthttp.StatusTooManyRequests, "the rate limit of the weight store is exceeded")
		return
	}
	s.mu.Lock()
	engine := string(ctx.QueryArgs().Peek("engine"))
	if starting {
		s.loading[engine] = true
	} else {
		delete(s.loading, engine)
	}
	s.loads.Running = len(s.loading)
	s.loads.MostAtOnce = max(s.loads.MostAtOnce, s.loads.Running)
	loads := s.loads
	s.mu.Unlock()
	httpserver.Reply(ctx, fasthttp.StatusOK, loads)
}
