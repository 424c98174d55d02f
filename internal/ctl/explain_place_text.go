package ctl

import (
	"fmt"
	"strings"

	"balsamyoke.example/balsamyoke/internal/explain"
)

// placeResult is the result of explain-place at one gateway.
type placeResult struct{ explain.Place }

// placeResults is the result of explain-place at all gateways.
type placeResults []placeResult

func (p placeResults) text() string {
	texts := make([]string, len(p))
	for i := range p {
		texts[i] = p[i].text()
	}
	return strings.Join(texts, "\n")
}

func (p placeResult) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "gateway %s, configuration %d, confirmed %.0f ms ago\n", p.Instance, p.Configuration, p.ConfigurationAgeMS)
	fmt.Fprintf(&b, "route %s (%s), target %.0f ms, time left %.0f ms", p.Route, p.Kind, p.TargetMS, p.TimeLeftMS)
	if p.Organisation != "" {
		fmt.Fprintf(&b, ", organisation %s", p.Organisation)
	}
	fmt.Fprintf(&b, ", priority %d of the %s", p.Priority, p.PrioritySource)
	if p.PriorityUnused {
		b.WriteString(" (unused by plain services without load shedding)")
	}
	b.WriteByte('\n')
	if p.PromptTokens > 0 {
		fmt.Fprintf(&b, "prompt of %d tokens, output of up to %d\n", p.PromptTokens, p.OutputTokens)
	}
	if p.Stream != nil {
		writeStream(&b, p.Stream)
	}
	if p.KeyUnchecked {
		b.WriteString("crashes under requests of one API key aren't considered without --key-file\n")
	}
	for i := range p.Services {
		writeService(&b, &p.Services[i])
	}
	return b.String()
}

func writeStream(b *strings.Builder, s *explain.Stream) {
	fmt.Fprintf(b, "rest of a stream after event %q, begun by request %q: ", s.LastEventID, s.Resumes)
	switch {
	case s.Ignored:
		b.WriteString("ignored, the route has no streams that can be taken up\n")
		return
	case s.Service == "":
		b.WriteString("unknown")
	default:
		fmt.Fprintf(b, "software version %q of service %s", s.SoftwareVersion, s.Service)
	}
	if s.Refusal != nil {
		b.WriteString("; ")
		writeRefusal(b, s.Refusal)
	}
	b.WriteByte('\n')
}

func writeService(b *strings.Builder, s *explain.Service) {
	fmt.Fprintf(b, "service %s, share %.3g: ", s.Name, s.Share)
	switch {
	case s.Refusal != nil && s.Refusal.Otherwise != "":
		fmt.Fprintf(b, "placed on %s if its owner grants a request, otherwise on %s", s.Refusal.GrantFrom, s.Refusal.Otherwise)
	case s.Refusal != nil:
		writeRefusal(b, s.Refusal)
	default:
		fmt.Fprintf(b, "placed on %s", s.Server)
		if s.RunUnconfirmed {
			b.WriteString(" if it is still in the run that it registered")
		}
	}
	if s.Server != "" {
		fmt.Fprintf(b, "; best %s, score %.1f ms, predicted %.1f ms, %d candidates", s.Server, s.Score, s.PredictedMS, s.Candidates)
	}
	if s.Pass != "" {
		fmt.Fprintf(b, "; pass %s", s.Pass)
	}
	if s.Home != "" {
		fmt.Fprintf(b, "; most of the prompt is cached in %s", s.Home)
	}
	fmt.Fprintf(b, "; %d of %d servers usable\n", s.Usable, s.Total)
	for i := range s.Servers {
		writeServer(b, &s.Servers[i])
	}
	if s.Omitted > 0 {
		fmt.Fprintf(b, "  and %d more\n", s.Omitted)
	}
}

func writeRefusal(b *strings.Builder, r *explain.Refusal) {
	fmt.Fprintf(b, "refused, %s, Retry-After %.0f ms", r.Reason, r.RetryAfterMS)
	if r.GrantFrom != "" {
		fmt.Fprintf(b, ", unless the owner of the limit of %s grants a request", r.GrantFrom)
	}
	if r.Part != "" {
		fmt.Fprintf(b, ", held part %s", r.Part)
	}
	if r.Server != "" {
		fmt.Fprintf(b, ", predicted %.0f ms with a wait of %.0f ms, waiting tokens %d and %d of others, reserved tokens %d and %d of others",
			r.PredictedMS, r.WaitMS, r.WaitingTokens, r.PeerWaitingTokens, r.ReservedTokens, r.PeerReservedTokens)
	}
	if s := r.Shed; s != nil {
		fmt.Fprintf(b, ", shed for its %s, %.0f ms longer than the limit of %.0f ms with a shortest target of %.0f ms and a top priority of %d",
			s.Cause, s.OverMS, s.LimitMS, s.ShortestTargetMS, s.TopPriority)
		if s.MemoryLeftFree > 0 {
			fmt.Fprintf(b, ", leaves %.3f of the memory free", s.MemoryLeftFree)
		}
		if s.BehindPriority {
			b.WriteString(", leaves a part of the queue to higher priorities")
		}
		if s.Repeated {
			b.WriteString(", has come back")
		}
	}
}

func writeServer(b *strings.Builder, s *explain.Server) {
	mark := " "
	if s.Picked {
		mark = "*"
	}
	fmt.Fprintf(b, "%s %s in %s:", mark, s.ID, s.FailureDomain)
	if len(s.Filters) > 0 {
		fmt.Fprintf(b, " excluded (%s)", strings.Join(s.Filters, ", "))
		if s.UsableInLastPass {
			b.WriteString(" but in the last pass")
		}
	}
	if s.Score != nil {
		writeScore(b, s.Score)
	}
	if s.OverloadedMS > 0 {
		fmt.Fprintf(b, ", overloaded by %.1f ms", s.OverloadedMS)
	}
	if s.SampledShare < 1 {
		fmt.Fprintf(b, ", in %.0f of 100 samples", 100*s.SampledShare)
	}
	switch s.Grant {
	case "at_hand":
		b.WriteString(", under a grant at hand")
	case "to_be_asked":
		b.WriteString(", only under a grant")
	}
	b.WriteByte('\n')
}

// writeScore writes the total and those parts of it that aren't 0.
func writeScore(b *strings.Builder, s *explain.Score) {
	fmt.Fprintf(b, " score %.1f ms", s.TotalMS)
	separator := " = "
	for _, part := range []struct {
		name string
		ms   float64
	}{
		{"wait", s.WaitMS}, {"compute", s.ComputeMS}, {"fetch", s.FetchMS}, {"memory wait", s.MemoryWaitMS}, {"slot wait", s.SlotWaitMS},
		{"distance", s.DistanceMS}, {"suspect", s.SuspectMS}, {"order of weights", s.MigrationMS}, {"warm-up", s.WarmUpMS},
		{"asking for a grant", s.AskMS}, {"above send bound", s.AboveBoundMS},
	} {
		if part.ms >= 0.05 || part.ms <= -0.05 {
			fmt.Fprintf(b, "%s%s %.1f", separator, part.name, part.ms)
			separator = " + "
		}
	}
	fmt.Fprintf(b, ", speed %.2f, slowness %.2f", s.Speed, s.Slowness)
	if s.WeightVersion > 0 {
		fmt.Fprintf(b, ", weights %d", s.WeightVersion)
	}
}
