// Package weightserver stands in for the platform's weight store: it counts the loads that run at
// once and limits its rate. The engine stand-in asks it how long a load takes.
package weightserver

import (
	"sync"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
)

// Settings of the weight store.
type Settings struct {
	Listen string `json:"listen" long:"listen"`
	// MaxParallel is how many loads run at full speed at once.
	MaxParallel int `json:"max_parallel" long:"max-parallel"`
	// CallsPerSecond limits the calls; 0 means no limit.
	CallsPerSecond float64 `json:"calls_per_second" long:"calls-per-second"`
}

// Loads tells how many loads run at once.
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

	mu    sync.Mutex
	loads Loads
}

// Start starts a weight store.
func Start(settings Settings) (*Server, error) {
	s := &Server{loads: Loads{MaxParallel: max(1, settings.MaxParallel)}}
	s.limiter = rate.NewLimiter(rate.Inf, 1)
	if settings.CallsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(settings.CallsPerSecond), max(1, int(settings.CallsPerSecond)))
	}
	routes := httpserver.Router{
		"POST /loads/begin": func(ctx *fasthttp.RequestCtx) { s.change(ctx, 1) },
		"POST /loads/end":   func(ctx *fasthttp.RequestCtx) { s.change(ctx, -1) },
		"GET /loads":        func(ctx *fasthttp.RequestCtx) { httpserver.Reply(ctx, fasthttp.StatusOK, s.Loads()) },
	}
	var err error
	s.Server, err = httpserver.Start(settings.Listen, routes.Handle, false)
	return s, err
}

// Loads returns the present count.
func (s *Server) Loads() Loads {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

func (s *Server) change(ctx *fasthttp.RequestCtx, by int) {
	if !s.limiter.Allow() {
		httpserver.Refuse(ctx, fasthttp.StatusTooManyRequests, "the weight store limits its rate")
		return
	}
	s.mu.Lock()
	s.loads.Running = max(0, s.loads.Running+by)
	s.loads.MostAtOnce = max(s.loads.MostAtOnce, s.loads.Running)
	loads := s.loads
	s.mu.Unlock()
	httpserver.Reply(ctx, fasthttp.StatusOK, loads)
}
