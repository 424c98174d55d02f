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

// maxLimitConnections bounds the number of connections to owners of limits.
const maxLimitConnections = 256

// organisationLimits enforces the request and token limits of organisations.
type organisationLimits struct {
	limiter *limits.Limiter
	pool    *grpcpool.Pool
	entries atomic.Pointer[[]limits.Entry]
}

func newOrganisationLimits(self string, configuration config.Source) *organisationLimits {
	l := &organisationLimits{pool: grpcpool.New(maxLimitConnections)}
	l.entries.Store(&[]limits.Entry{})
	l.limiter = limits.NewLimiter(limits.Options{
		Self:        self,
		Entries:     func() []limits.Entry { return *l.entries.Load() },
		LimitOf:     func(organisation string) limits.Limit { return limitOf(configuration, organisation) },
		Connections: l.pool,
	})
	return l
}

// limitOf returns the limit of an organisation in the configuration in force; zero when there is none.
func limitOf(configuration config.Source, organisation string) limits.Limit {
	snapshot := configuration.Current()
	if snapshot == nil {
		return limits.Limit{}
	}
	configured, ok := snapshot.Index.Organisation(organisation)
	if !ok {
		return limits.Limit{}
	}
	return limits.Limit{Requests: configured.RequestsPerSecond, Tokens: configured.TokensPerSecond}
}

// updateEntries stores the live entries of the instance list for the limiter.
func (l *organisationLimits) updateEntries(instances []metastore.Instance) {
	var entries []limits.Entry
	for _, instance := range instances {
		if instance.Role == metastore.RoleEntry && instance.State == metastore.InstanceLive {
			entries = append(entries, limits.Entry{Instance: instance.ID, ControlAddress: instance.ControlAddress})
		}
	}
	l.entries.Store(&entries)
}

// run draws from the limits until ctx ends, then closes the connections.
func (l *organisationLimits) run(ctx context.Context) {
	defer l.pool.Close()
	l.limiter.Run(ctx)
}

func (l *organisationLimits) register(server *grpc.Server) {
	wire.RegisterQuotaServer(server, l.limiter)
}

// admit charges the request to its organisation's limit. It returns a Failure when the limit is reached.
func (l *organisationLimits) admit(req *request) *Failure {
	allowed, after := l.limiter.Allow(req.organisation.Name, req.maxTotalTokens())
	if allowed {
		return nil
	}
	return retryable(CodeLimit, fasthttp.StatusTooManyRequests,
		"organisation "+quote(req.organisation.Name)+" has reached its limit", after)
}

// refund returns the unused tokens of an ended request to its organisation's limit.
func (l *organisationLimits) refund(req *request, result *result, failure *Failure) {
	unused := 0.0
	switch {
	case result != nil:
		unused = float64(req.maxTokens) - float64(result.deliveredTokens)
	case failure.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
		unused = req.maxTotalTokens()
	}
	l.limiter.Refund(req.organisation.Name, unused)
}

// maxTotalTokens returns the maximum number of tokens that the request may use, prompt included.
func (r *request) maxTotalTokens() float64 { return float64(r.promptTokens) + float64(r.maxTokens) }
