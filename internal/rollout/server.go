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

// BackendState is what a backend server runs, as observed now.
type BackendState struct {
	WeightVersion string
	// Loading is the version that loads; empty when nothing loads.
	Loading  string
	Adapters []string
	Role     string
}

// Backend is the backend server beside an agent.
type Backend interface {
	// State asks the backend server what it runs.
	State(ctx context.Context) (BackendState, error)
	// Order gives the backend server an order. It returns ErrRefused when the order was certainly
	// not carried out, and any other error when it may have been.
	Order(ctx context.Context, request *wire.OrderRequest) error
}

// ServerOptions are what a Server works with.
type ServerOptions struct {
	Instance    string
	Incarnation uint64
	Service     string
	KV          metastore.KV
	Backend     Backend
	// Leaving tells whether the agent is leaving.
	Leaving func() bool
	// ConfigVersion returns the version of the configuration in force.
	ConfigVersion func() uint64
}

// Server is the gate before a backend server: it answers the orders and status calls of rollout
// holders.
type Server struct {
	wire.UnimplementedOrdersServer

	options ServerOptions

	// mu makes the check of an order and its delivery to the backend server one step.
	mu        sync.Mutex
	gate      Gate
	loading   string
	loadBegan time.Time
}

// NewServer returns a Server whose gate has seen nothing.
func NewServer(options ServerOptions) *Server { return &Server{options: options} }

// Order passes an order of the current holder to the backend server. An order without a kind only
// raises the gate. The error is Unavailable when the order may have been carried out.
func (s *Server) Order(ctx context.Context, request *wire.OrderRequest) (*wire.OrderReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.GetService() != s.options.Service {
		return s.refuse("this backend server serves " + s.options.Service), nil
	}
	if request.GetKind() == wire.OrderKind_ORDER_KIND_UNSPECIFIED {
		return &wire.OrderReply{Accepted: s.gate.Raise(request.GetFence()), HighestFence: s.gate.Highest()}, nil
	}
	if s.options.Leaving() {
		return s.refuse("the agent is leaving"), nil
	}
	if verdict := s.check(ctx, request.GetFence()); verdict != Pass {
		return s.refuse(verdict.String()), nil
	}
	return s.deliver(ctx, request)
}

// check asks the gate and reads the holder from the service when the gate wants it.
func (s *Server) check(ctx context.Context, fence uint64) Verdict {
	verdict := s.gate.Check(fence, time.Now())
	if verdict != MustRead {
		return verdict
	}
	began := time.Now()
	holder, err := ReadHolder(ctx, s.options.KV, s.options.Service)
	if err != nil {
		return MustRead
	}
	s.gate.Read(holder, began)
	return s.gate.Check(fence, time.Now())
}

// deliver gives an order to the backend server unless what it asks for is done or under way.
func (s *Server) deliver(ctx context.Context, request *wire.OrderRequest) (*wire.OrderReply, error) {
	state, err := s.options.Backend.State(ctx)
	if err != nil {
		return s.refuse("the backend server does not answer"), nil
	}
	switch {
	case done(state, request):
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

// done tells whether the backend server has, or is loading, what an order asks for.
func done(state BackendState, request *wire.OrderRequest) bool {
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
	return &wire.OrderReply{Accepted: true, HighestFence: s.gate.Highest()}
}

func (s *Server) refuse(message string) *wire.OrderReply {
	return &wire.OrderReply{HighestFence: s.gate.Highest(), Message: message}
}

// Status reports what the backend server runs now. The error is Unavailable when it does not answer.
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
		HighestFence:   s.gate.Highest(),
		Leaving:        s.options.Leaving(),
		ConfigVersion:  s.options.ConfigVersion(),
		Adapters:       state.Adapters,
		LoadAgeMs:      uint32(s.loadAge(state.Loading, time.Now()).Milliseconds()),
	}, nil
}

// loadAge returns how long the present load has been seen.
func (s *Server) loadAge(loading string, now time.Time) time.Duration {
	if loading != s.loading {
		s.loading = loading
		s.loadBegan = now
	}
	if loading == "" {
		return 0
	}
	return now.Sub(s.loadBegan)
}

// HighestFence returns the highest fencing number seen.
func (s *Server) HighestFence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Highest()
}
