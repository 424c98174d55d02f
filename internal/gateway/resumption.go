package gateway

import (
	"context"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/origin"
	"balsamyoke.example/balsamyoke/internal/routing"
)

// resumeStream prepares a request for the rest of a stream that its caller has begun with an earlier request, here or at another
// gateway. It returns a refusal if the service or software version that began the stream is not known, or the route lacks the
// service: the events of another server might not follow those that the caller has.
func (g *Gateway) resumeStream(ctx context.Context, r *request) *response {
	if !r.isResumableStream() || r.events.LastEventID() == "" {
		return nil
	}
	began := g.fleet.FindOrigin(ctx, r.call.Resumes)
	if reason := resumeRefusal(r.route, began); reason != "" {
		g.recordRefusal(r.incoming, r.call.ID, reason, zap.String("route", r.route.Name), zap.String("resumes", r.call.Resumes),
			zap.String("last_event", r.events.LastEventID()), zap.String("service", began.Service))
		return refusalResponse(deniedRetryAfter)
	}
	r.service, r.placeRequest.Service = began.Service, began.Service
	g.continueStream(r, r.call.Resumes, began)
	return nil
}

// resumeRefusal returns why the rest of a stream that began there can't be had from the route; empty if it can.
func resumeRefusal(route *routing.Route, began origin.Origin) (reason string) {
	switch {
	case !began.Known():
		return "stream_unknown"
	case !route.HasService(began.Service):
		return "stream_of_other_service"
	default:
		return ""
	}
}

func (r *request) isResumableStream() bool { return isResumable(r.route) }

// isResumable reports whether callers may take up the route's streams.
func isResumable(route *routing.Route) bool {
	return route.Kind == routing.Streaming && route.Resumable
}

// continueStream makes the request one for the rest of a stream.
func (g *Gateway) continueStream(r *request, stream string, began origin.Origin) {
	r.stream, r.origin = stream, began
	r.placeRequest.Continues, r.placeRequest.SoftwareVersion = true, began.SoftwareVersion
}

// shareOrigin lets the other gateways know where the stream began, before the caller gets the first event that this request
// brings. From then on the caller may come back to any of them.
func (g *Gateway) shareOrigin(ctx context.Context, r *request) {
	switch {
	case r.originShared:
		return
	case r.placeRequest.Continues:
		g.fleet.ShareOrigin(r.stream, r.origin)
	case r.isResumableStream():
		g.continueStream(r, r.call.ID, g.fleet.RecordOrigin(ctx, r.call.ID, &r.placement))
	}
	r.originShared = true
}
