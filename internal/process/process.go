// Package process holds what all long-running programs of the system share: identity, logger,
// control server, metrics server and graceful stop. The main packages in cmd and the roles use it.
package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/metrics"
	"balsamyoke.example/balsamyoke/internal/traffic"
	"balsamyoke.example/balsamyoke/internal/wire"
)

var namespace = errorx.NewNamespace("process")

// ErrListen means that a server can't listen on its address.
var ErrListen = namespace.NewType("listen")

// Exit codes of the programs.
const (
	exitFailed = 1
	exitUsage  = 2
)

// NewIncarnation returns a random number, never 0, that distinguishes this run of a process from all others.
// It panics when the system has no randomness.
func NewIncarnation() uint64 {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic(fmt.Sprintf("system randomness is not available: %v", err))
	}
	return binary.BigEndian.Uint64(raw[:]) | 1
}

// NewLogger returns a logger whose lines contain the program and the instance.
func NewLogger(program, instance string) *zap.Logger {
	logger, err := zap.NewProduction(zap.Fields(zap.String("program", program), zap.String("instance", instance)))
	if err != nil {
		return zap.NewNop()
	}
	return logger
}

// StopContext returns a context that ends at SIGTERM or SIGINT.
func StopContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Exit ends a program. The exit code is 0 for a nil error, and for a request for help after the help text is printed.
// Any other error is printed in one line; the exit code is 1 for a temporary error and 2 otherwise.
func Exit(program string, err error) {
	if err == nil || flags.WroteHelp(err) {
		if err != nil {
			fmt.Println(err)
		}
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
	if errorx.HasTrait(err, errorx.Temporary()) {
		os.Exit(exitFailed)
	}
	os.Exit(exitUsage)
}

// Admin implements wire.AdminServer: it serves the dump, explain and drain calls of balsamctl.
type Admin struct {
	wire.UnimplementedAdminServer

	// State returns the complete state of the process as a value that marshals to JSON.
	State func() any
	// Decisions holds the recent decisions of the process.
	Decisions *explain.Ring
	// Leave starts a graceful stop.
	Leave func()
	// Placement returns where a request would be placed, as a value that marshals to JSON, or a gRPC status; nil in processes that
	// place none.
	Placement func(context.Context, *wire.ExplainPlaceRequest) (any, error)
}

// Dump implements wire.AdminServer.
func (a *Admin) Dump(context.Context, *wire.DumpRequest) (*wire.DumpReply, error) {
	text, err := json.Marshal(a.State())
	if err != nil {
		return nil, err
	}
	return &wire.DumpReply{Json: text}, nil
}

// Explain implements wire.AdminServer.
func (a *Admin) Explain(_ context.Context, request *wire.ExplainRequest) (*wire.ExplainReply, error) {
	text, err := a.Decisions.JSON(request.GetRequestId())
	if err != nil {
		return nil, err
	}
	return &wire.ExplainReply{Json: text}, nil
}

// ExplainPlace implements wire.AdminServer.
func (a *Admin) ExplainPlace(ctx context.Context, request *wire.ExplainPlaceRequest) (*wire.ExplainPlaceReply, error) {
	if a.Placement == nil {
		return a.UnimplementedAdminServer.ExplainPlace(ctx, request)
	}
	placement, err := a.Placement(ctx, request)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(placement)
	if err != nil {
		return nil, err
	}
	return &wire.ExplainPlaceReply{Json: text}, nil
}

// Drain implements wire.AdminServer.
func (a *Admin) Drain(context.Context, *wire.DrainRequest) (*wire.DrainReply, error) {
	a.Leave()
	return &wire.DrainReply{}, nil
}

// ServeControl starts a gRPC server on address with the services that register adds. It returns ErrListen
// when the address can't be listened on.
func ServeControl(address string, register func(*grpc.Server), options ...grpc.ServerOption) (*grpc.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "control address %s", address)
	}
	server := grpc.NewServer(options...)
	register(server)
	go func() { _ = server.Serve(traffic.Control.Listener(listener)) }()
	return server, nil
}

// ServeMetrics starts an HTTP server on address that serves GET /metrics and GET /dump. It returns ErrListen
// when the address can't be listened on.
func ServeMetrics(address string, registry *metrics.Registry, state func() any) (*fasthttp.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "metrics address %s", address)
	}
	server := NewQueryServer(func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			registry.Handler(ctx)
		case "/dump":
			writeJSON(ctx, state())
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	})
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

const (
	// maxQueries bounds the connections of a server for queries.
	maxQueries = 256
	// queryTimeout bounds the time to receive a query, to send its response, and between two queries on a connection.
	queryTimeout = 10 * time.Second
	// maxQueryBody bounds the body of a query, which needs none, in bytes.
	maxQueryBody = 1 << 10
)

// NewQueryServer returns an HTTP server for GET requests of the platform and of operators.
func NewQueryServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, GetOnly: true, MaxRequestBodySize: maxQueryBody, Concurrency: maxQueries,
		ReadTimeout: queryTimeout, WriteTimeout: queryTimeout, IdleTimeout: queryTimeout,
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
