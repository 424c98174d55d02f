package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// BackendState is the observed state of a backend server.
type BackendState struct {
	WeightVersion string
	// Loading is the version being loaded; empty when there is no load.
	Loading  string
	Adapters []string
	Role     string
}

// Backend calls the backend server beside an agent.
type Backend interface {
	// State queries the backend server's state.
	State(ctx context.Context) (BackendState, error)
	// Order sends an order to the backend server. It returns ErrRefused when the order was certainly
	// not carried out, and any other error when it may have been.
	Order(ctx context.Context, request *wire.OrderRequest) error
}

// ServerOptions configures a Server.
type ServerOptions struct {
	Instance    string
	Incarnation uint64
	Service     string
	KV          metastore.KV
	Backend     Backend
	// Leaving reports whether the agent is leaving.
	Leaving func() bool
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion func() uint64
}

// Server handles the orders and status calls of rollout holders for a backend server and checks the
// fence of each order.
type Server struct {
	wire.UnimplementedOrdersServer

	options ServerOptions

	// mu makes the check of an order and its delivery to the backend server atomic.
	mu          sync.Mutex
	fences      FenceChecker
	loading     string
	loadStarted time.Time
}

// NewServer returns a Server that has received no fencing token.
func NewServer(options ServerOptions) *Server { return &Server{options: options} }

// Order passes an order of the current holder to the backend server. An order without a kind only
// raises the highest fencing token. The error is Unavailable when the order may have been carried out.
func (s *Server) Order(ctx context.Context, request *wire.OrderRequest) (*wire.OrderReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.GetService() != s.options.Service {
		return s.refuse("this backend server serves " + s.options.Service), nil
	}
	if request.GetKind() == wire.OrderKind_ORDER_KIND_UNSPECIFIED {
		return &wire.OrderReply{Accepted: s.fences.Raise(request.GetFence()), HighestFence: s.fences.Highest()}, nil
	}
	if s.options.Leaving() {
		return s.refuse("the agent is leaving"), nil
	}
	if verdict := s.checkFence(ctx, request.GetFence()); verdict != Pass {
		return s.refuse(verdict.String()), nil
	}
	return s.deliver(ctx, request)
}

// checkFence checks a fencing token and reads the holder from the service when the check requires it.
func (s *Server) checkFence(ctx context.Context, fence uint64) Verdict {
	verdict := s.fences.Check(fence, time.Now())
	if verdict != MustRead {
		return verdict
	}
	started := time.Now()
	holder, err := ReadHolder(ctx, s.options.KV, s.options.Service)
	if err != nil {
		return MustRead
	}
	s.fences.SetHolder(holder, started)
	return s.fences.Check(fence, time.Now())
}

// deliver sends an order to the backend server unless the order is already fulfilled or another load is running.
func (s *Server) deliver(ctx context.Context, request *wire.OrderRequest) (*wire.OrderReply, error) {
	state, err := s.options.Backend.State(ctx)
	if err != nil {
		return s.refuse("the backend server does not answer"), nil
	}
	switch {
	case fulfilled(state, request):
		return s.accept(), nil
	case state.Loading != "":
		return s.refuse("the backend server is loading " + state.Loading), nil
	}
	err = s.options.Backend.Order(ctx, request)
	switch {
	case errorx.IsOfType(err, ErrRefused):
		return s.refuse(err.Error()), nil
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return s.accept(), nil
}

// fulfilled reports whether the backend server already has, or is loading, what an order requires.
func fulfilled(state BackendState, request *wire.OrderRequest) bool {
	switch request.GetKind() {
	case wire.OrderKind_ORDER_KIND_LOAD_VERSION:
		if state.Loading != "" {
			return state.Loading == request.GetWeightVersion()
		}
		return state.WeightVersion == request.GetWeightVersion()
	case wire.OrderKind_ORDER_KIND_LOAD_ADAPTER:
		return slices.Contains(state.Adapters, request.GetAdapter())
	case wire.OrderKind_ORDER_KIND_SET_ROLE:
		return state.Role == request.GetRole()
	}
	return false
}

func (s *Server) accept() *wire.OrderReply {
	return &wire.OrderReply{Accepted: true, HighestFence: s.fences.Highest()}
}

func (s *Server) refuse(message string) *wire.OrderReply {
	return &wire.OrderReply{HighestFence: s.fences.Highest(), Message: message}
}

// Status returns the backend server's state. The error is Unavailable when the server does not reply.
func (s *Server) Status(ctx context.Context, _ *wire.ReplicaStatusRequest) (*wire.ReplicaStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, err := s.options.Backend.State(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wire.ReplicaStatus{
		Instance:       s.options.Instance,
		Incarnation:    s.options.Incarnation,
		Service:        s.options.Service,
		WeightVersion:  state.WeightVersion,
		LoadingVersion: state.Loading,
		HighestFence:   s.fences.Highest(),
		Leaving:        s.options.Leaving(),
		ConfigVersion:  s.options.ConfigVersion(),
		Adapters:       state.Adapters,
		LoadAgeMs:      uint32(s.loadAge(state.Loading, time.Now()).Milliseconds()),
	}, nil
}

// loadAge returns the time since the current load was first observed.
func (s *Server) loadAge(loading string, now time.Time) time.Duration {
	if loading != s.loading {
		s.loading = loading
		s.loadStarted = now
	}
	if loading == "" {
		return 0
	}
	return now.Sub(s.loadStarted)
}

// HighestFence returns the highest fencing token received or read.
func (s *Server) HighestFence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fences.Highest()
}
