package gateway

import (
	"context"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/quarantine"
	"balsamyoke.example/balsamyoke/internal/routing"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// maxExplainedParts bounds the parts of a prompt that is explained. Prompts have up to a dozen.
	maxExplainedParts = 256
	// maxExplainedTokens bounds its tokens, and so those of its parts. Contexts of models have up to a few million.
	maxExplainedTokens = 1 << 24
	// maxExplainedPriority is the lowest priority.
	maxExplainedPriority = 9
)

// explainPlace returns where the request would be placed now. It returns a gRPC status: InvalidArgument when a real request would be
// denied or can't be as stated, Unavailable when this gateway can't tell. The statuses and logs never contain an API key.
func (g *Gateway) explainPlace(ctx context.Context, in *wire.ExplainPlaceRequest) (any, error) {
	table := g.fleet.Table()
	if table == nil {
		return nil, status.Error(codes.Unavailable, "the gateway has no configuration yet")
	}
	call, err := explainedCall(in)
	if err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(in.GetPath(), "?")
	route := table.Match(in.GetHost(), path)
	if route == nil {
		return nil, g.invalid("no route for host %q and path %q", clip(in.GetHost()), clip(path))
	}
	organisation, err := g.explainedOrganisation(table, route, in)
	if err != nil {
		return nil, err
	}
	if err := g.checkModel(table, route, in.GetModel()); err != nil {
		return nil, err
	}
	timeLeft := waitLimit(call, route)
	e := explain.Place{
		Instance: g.settings.Instance, Configuration: table.Version, ConfigurationAgeMS: inMS(g.fleet.ConfigurationAge()), Route: route.Name,
		Kind: route.Kind.String(), Priority: route.Priority, PrioritySource: "route", PriorityUnused: call.Model == "",
		TargetMS: inMS(route.TargetLatency), TimeLeftMS: inMS(timeLeft), PromptTokens: call.PromptTokens, OutputTokens: call.OutputTokens,
	}
	if organisation != nil {
		e.Organisation = organisation.Name
		if organisation.HasPriority {
			e.Priority, e.PrioritySource = organisation.Priority, "organisation"
		}
	}
	if in.Priority != nil {
		e.Priority, e.PrioritySource = int(in.GetPriority()), "request"
	}
	e.KeyUnchecked = call.Model == "" && e.Organisation != "" && call.APIKey == ""
	e.Stream = g.explainStream(ctx, route, in)
	continues := e.Stream != nil && !e.Stream.Ignored
	split := route.Split
	if continues {
		split = []routing.Share{{Service: e.Stream.Service, Weight: 1}}
		if e.Stream.Refusal != nil {
			split = nil
		}
	}
	e.Services = make([]explain.Service, 0, len(split))
	for _, share := range shares(split) {
		r := newPlaceRequest(call, route, share.Service, e.Priority)
		r.Bytes, r.TimeLeft, r.CacheBoundary = int(in.GetBytes()), timeLeft, g.fleet.CacheBoundary(e.Organisation)
		if continues {
			r.Continues, r.SoftwareVersion = true, e.Stream.SoftwareVersion
		}
		service, ok := g.fleet.Explain(&r, explainedParts(in, call, share.Service, e.Organisation, e.KeyUnchecked))
		if !ok {
			return nil, status.Error(codes.Unavailable, "the gateway is stopping")
		}
		service.Share = share.Weight
		e.PriorityUnused = e.PriorityUnused && !service.Sheds
		e.Services = append(e.Services, service)
	}
	return &e, nil
}

// explainStream returns where the stream began whose rest is requested; nil if the whole stream is.
func (g *Gateway) explainStream(ctx context.Context, route *routing.Route, in *wire.ExplainPlaceRequest) *explain.Stream {
	if in.GetLastEventId() == "" {
		return nil
	}
	s := &explain.Stream{LastEventID: in.GetLastEventId(), Resumes: in.GetResumes(), Ignored: !isResumable(route)}
	if s.Ignored {
		return s
	}
	began := g.fleet.ExplainOrigin(ctx, in.GetResumes())
	s.Service, s.SoftwareVersion = began.Service, began.SoftwareVersion
	if reason := resumeRefusal(route, began); reason != "" {
		s.Refusal = &explain.Refusal{Reason: reason, RetryAfterMS: inMS(deniedRetryAfter)}
	}
	return s
}

// explainedParts returns what the request may have in common with those that crashed servers of the service.
func explainedParts(in *wire.ExplainPlaceRequest, call *Call, service, organisation string, keyUnknown bool) (parts []quarantine.Part) {
	if call.Model == "" {
		w := wholeRequest{
			service: service, organisation: organisation, apiKey: call.APIKey, method: []byte(in.GetMethod()), host: []byte(in.GetHost()),
			uri: []byte(in.GetPath()), bodyBytes: int(in.GetBodyBytes()), bodyDigest: sha256.Sum256(nil), keyUnknown: keyUnknown,
		}
		if in.GetBodyBytes() > 0 {
			copy(w.bodyDigest[:], in.GetBodyDigest())
		}
		if len(w.method) == 0 {
			w.method = []byte(fasthttp.MethodGet)
		}
		return w.digests()
	}
	for _, part := range call.Parts {
		parts = append(parts, quarantine.Part{Scope: call.Model, ID: part.ID})
	}
	return parts
}

// invalid returns a status for what isn't in the configuration, with its version and the age of the gateway's view.
func (g *Gateway) invalid(format string, args ...any) error {
	args = append(args, g.configVersion(), g.fleet.ConfigurationAge().Round(time.Millisecond))
	return status.Errorf(codes.InvalidArgument, format+" (configuration %d, confirmed %s ago)", args...)
}

// explainedCall returns the call that a request states.
func explainedCall(in *wire.ExplainPlaceRequest) (*Call, error) {
	call := &Call{
		APIKey: in.GetApiKey(), MaxWait: time.Duration(in.GetTimeLeftMs()) * time.Millisecond, Model: in.GetModel(),
		PromptTokens: int(in.GetPromptTokens()), OutputTokens: int(in.GetOutputTokens()),
	}
	if len(in.GetParts()) > maxExplainedParts {
		return nil, status.Errorf(codes.InvalidArgument, "%d parts, at most %d are allowed", len(in.GetParts()), maxExplainedParts)
	}
	tokens := 0
	for _, part := range in.GetParts() {
		if part.GetId() == "" || part.GetTokens() > maxExplainedTokens {
			return nil, status.Errorf(codes.InvalidArgument, "part %q has no id or more than %d tokens", clip(part.GetId()), maxExplainedTokens)
		}
		tokens += int(part.GetTokens())
		call.Parts = append(call.Parts, kvcache.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	if call.PromptTokens == 0 {
		call.PromptTokens = tokens
	}
	switch {
	case call.PromptTokens > maxExplainedTokens || call.OutputTokens > maxExplainedTokens:
		return nil, status.Errorf(codes.InvalidArgument, "more than %d tokens", maxExplainedTokens)
	case call.PromptTokens < tokens:
		return nil, status.Errorf(codes.InvalidArgument, "the parts have %d tokens, the prompt %d", tokens, call.PromptTokens)
	case call.Model == "" && call.PromptTokens+call.OutputTokens > 0:
		return nil, status.Error(codes.InvalidArgument, "a prompt without a model")
	case in.GetResumes() != "" && in.GetLastEventId() == "":
		return nil, status.Error(codes.InvalidArgument, "a stream to resume without the id of its last event")
	case in.GetBodyBytes() > 0 && len(in.GetBodyDigest()) != sha256.Size:
		return nil, status.Error(codes.InvalidArgument, "a body without its digest")
	case in.GetPriority() > maxExplainedPriority:
		return nil, status.Errorf(codes.InvalidArgument, "priority %d, the lowest is %d", in.GetPriority(), maxExplainedPriority)
	}
	return call, nil
}

// explainedOrganisation returns the organisation that the request belongs to; nil on routes without API keys.
func (g *Gateway) explainedOrganisation(table *routing.Table, route *routing.Route, in *wire.ExplainPlaceRequest) (*routing.Organisation, error) {
	named := in.GetOrganisation()
	if named != "" && in.GetApiKey() != "" {
		return nil, status.Error(codes.InvalidArgument, "both an organisation and an API key")
	}
	i := slices.IndexFunc(table.Organisations, func(o routing.Organisation) bool { return o.Name == named })
	if named != "" && i < 0 {
		return nil, g.invalid("no organisation %q", clip(named))
	}
	if !table.KeysRequired() || route.Public {
		return nil, nil
	}
	if named != "" {
		return &table.Organisations[i], nil
	}
	if in.GetApiKey() == "" {
		return nil, status.Errorf(codes.InvalidArgument, "route %q requires an organisation or an API key", route.Name)
	}
	organisation := table.Organisation(in.GetApiKey())
	if organisation == nil {
		return nil, g.invalid("the API key belongs to no organisation")
	}
	return organisation, nil
}

// checkModel returns an error if no service of the route has the model, or if one of them needs a model and there is none.
func (g *Gateway) checkModel(table *routing.Table, route *routing.Route, model string) error {
	known := model == ""
	for _, share := range route.Split {
		s := table.Service(share.Service)
		if s == nil || s.Engine == nil {
			continue
		}
		if model == "" {
			return g.invalid("route %q requires a model", route.Name)
		}
		known = known || slices.Contains(s.Engine.Models, model)
	}
	if !known {
		return g.invalid("no service of route %q has the model %q", route.Name, clip(model))
	}
	return nil
}

// shares returns the services of a split with weights that add up to 1, as ChooseService divides the requests.
func shares(split []routing.Share) []routing.Share {
	total := 0.0
	for _, s := range split {
		total += s.Weight
	}
	list := slices.Clone(split)
	for i := range list {
		switch {
		case total > 0:
			list[i].Weight /= total
		case i == len(list)-1:
			list[i].Weight = 1
		}
	}
	return list
}

// inMS returns a time in milliseconds, rounded to microseconds.
func inMS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
