package entry

import (
	"context"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/limits"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// limitConnections bounds the connections to homes of limits.
const limitConnections = 256

// limiting holds organisations to their limits.
type limiting struct {
	limiter *limits.Limiter
	pool    *grpcpool.Pool
	entries atomic.Pointer[[]limits.Entry]
}

func newLimiting(self string, configuration config.Source) *limiting {
	l := &limiting{pool: grpcpool.New(limitConnections)}
	l.entries.Store(&[]limits.Entry{})
	l.limiter = limits.NewLimiter(limits.Options{
		Self:        self,
		Entries:     func() []limits.Entry { return *l.entries.Load() },
		LimitOf:     func(organisation string) limits.Limit { return limitOf(configuration, organisation) },
		Connections: l.pool,
	})
	return l
}

// limitOf returns the limit of an organisation in the configuration in force.
func limitOf(configuration config.Source, organisation string) limits.Limit {
	snapshot := configuration.Current()
	if snapshot == nil {
		return limits.Limit{}
	}
	found, known := snapshot.Index.Organisation(organisation)
	if !known {
		return limits.Limit{}
	}
	return limits.Limit{Requests: found.RequestsPerSecond, Tokens: found.TokensPerSecond}
}

// useEntries takes the live entries from the instance list.
func (l *limiting) useEntries(instances []metastore.Instance) {
	var entries []limits.Entry
	for _, instance := range instances {
		if instance.Role == metastore.RoleEntry && instance.State == metastore.InstanceLive {
			entries = append(entries, limits.Entry{Instance: instance.ID, ControlAddress: instance.ControlAddress})
		}
	}
	l.entries.Store(&entries)
}

// run draws grants until ctx ends.
func (l *limiting) run(ctx context.Context) {
	defer l.pool.Close()
	l.limiter.Run(ctx)
}

func (l *limiting) register(server *grpc.Server) { wire.RegisterQuotaServer(server, l.limiter) }

// admit takes the request from its organisation's limit.
func (l *limiting) admit(req *request) *Failure {
	allowed, after := l.limiter.Allow(req.organisation.Name, req.tokens())
	if allowed {
		return nil
	}
	return retryable(CodeLimit, fasthttp.StatusTooManyRequests,
		"organisation "+quote(req.organisation.Name)+" has reached its limit", after)
}

// settle gives back the tokens of a request that were not used.
func (l *limiting) settle(req *request, result *result, failure *Failure) {
	unused := 0.0
	switch {
	case result != nil:
		unused = float64(req.maxTokens) - float64(result.delivered)
	case failure.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
		unused = req.tokens()
	}
	l.limiter.Refund(req.organisation.Name, unused)
}

// tokens is what the request may use at most.
func (r *request) tokens() float64 { return float64(r.promptTokens) + float64(r.maxTokens) }
