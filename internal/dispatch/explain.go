package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/explain"
)

// passNames are the names of the search passes.
var passNames = map[searchPass]string{
	passRechecked: "rechecked", passSampled: "sampled", passNotOverloaded: "not_overloaded", passLimited: "limited", passAll: "all",
	passRelaxed: "relaxed",
}

// Explain returns what Place would do with the request now, with at most list servers. rng takes the place of the dispatcher's random
// numbers. Its cost is about that of one more search pass than Place has.
//
// Invariant: neither the dispatcher nor the request changes. Explain works on a copy of the dispatcher and of the service, which share the
// servers, the grants and the catalogue with the original; it calls nothing that changes these.
func (d *Dispatcher) Explain(now time.Time, r *Request, list int, rng *rand.Rand) explain.Service {
	v := *d
	v.rng, v.cached, v.home = rng, nil, ""
	if v.services[r.Service] == nil || len(v.services[r.Service].servers) == 0 {
		return explain.Service{Name: r.Service, Refusal: v.refuse(NoServer, maxRetryAfter).Explain(), Servers: []explain.Server{}}
	}
	group := *v.services[r.Service]
	v.begin(now, r, &group)
	best, score, candidates, pass := v.search(now, r, &group)
	e := explain.Service{Name: r.Service, Sheds: d.Sheds(), Pass: passNames[pass], Candidates: candidates, Home: v.home}
	refusal := v.explainPick(now, r, &group, best, &e)
	if best != nil {
		e.Server, e.Score = best.ID, score
	}
	e.RunUnconfirmed = refusal == nil && r.Continues
	if refusal != nil {
		e.Refusal = refusal.Explain()
		if refusal.FromCold {
			e.Refusal.Otherwise = d.withoutGrant(now, r, rng)
		}
	}
	v.explainServers(now, r, &group, best, list, &e)
	return e
}

// withoutGrant returns the server that the request is placed on when the owners of cold servers grant it nothing; empty if none.
func (d *Dispatcher) withoutGrant(now time.Time, r *Request, rng *rand.Rand) string {
	other := *r
	other.NoAsk = true
	if e := d.Explain(now, &other, 0, rng); e.Refusal == nil {
		return e.Server
	}
	return ""
}

// explainPick sets the prediction for the best server and returns the refusal of the request, nil if it would be placed there.
func (d *Dispatcher) explainPick(now time.Time, r *Request, group *service, best *server, e *explain.Service) *Refusal {
	if best == nil {
		return d.refuse(d.refusalCause(now, r, group))
	}
	p := d.placementAt(now, r, group, best)
	e.PredictedMS = inMS(p.PredictedTTFB)
	if d.isCold(now, best) {
		if refusal := d.refuseOverloaded(now, r, group, best, &p); refusal != nil {
			return refusal
		}
	}
	if d.needsGrant(now, best) && !d.grants.Has(now, best.ID) {
		return d.refuseUngranted(now, best)
	}
	return d.refuseOverloaded(now, r, group, best, &p)
}

// listed is a server with what decides its position in the list of an explanation.
type listed struct {
	server  *server
	filters filter
	score   *explain.Score
	picked  bool
}

// position is lower for servers that come earlier: the picked one, those without a filter, those usable in the last pass, the others.
func (l *listed) position() int {
	switch {
	case l.picked:
		return 0
	case l.filters == 0:
		return 1
	case l.score != nil:
		return 2
	default:
		return 3
	}
}

func (l *listed) compare(other *listed) int {
	if c := cmp.Compare(l.position(), other.position()); c != 0 {
		return c
	}
	if l.score != nil && other.score != nil && l.score.TotalMS != other.score.TotalMS {
		return cmp.Compare(l.score.TotalMS, other.score.TotalMS)
	}
	return cmp.Compare(l.server.ID, other.server.ID)
}

// explainServers lists the servers of the service.
func (d *Dispatcher) explainServers(now time.Time, r *Request, group *service, best *server, list int, e *explain.Service) {
	all := make([]*listed, 0, len(group.servers))
	for _, s := range group.servers {
		l := &listed{server: s, filters: d.filters(now, r, s), picked: s == best}
		if l.filters == 0 {
			e.Usable++
		}
		if l.filters&everyPassFilters == 0 {
			l.score = d.explainScore(now, r, group, s)
		}
		all = append(all, l)
	}
	slices.SortFunc(all, (*listed).compare)
	e.Total, e.Omitted = len(all), max(0, len(all)-list)
	e.Servers = make([]explain.Server, 0, len(all)-e.Omitted)
	for _, l := range all[:len(all)-e.Omitted] {
		e.Servers = append(e.Servers, d.explainServer(now, r, group, l))
	}
}

func (d *Dispatcher) explainServer(now time.Time, r *Request, group *service, l *listed) explain.Server {
	s := l.server
	e := explain.Server{
		ID: s.ID, FailureDomain: s.FailureDomain, Picked: l.picked, Filters: l.filters.names(), Score: l.score,
		UsableInLastPass: l.filters != 0 && l.score != nil, SampledShare: 1, AboveBound: d.aboveSendBound(now, group, s),
	}
	if l.score != nil {
		late, _ := d.overload(now, r, group, s)
		e.OverloadedMS = max(0, inMS(late))
	}
	if s.unassigned && !d.hasColdGrant(now, s) {
		e.SampledShare = d.candidateProbability(group, s)
	}
	switch {
	case !d.needsGrant(now, s):
	case d.grants.Has(now, s.ID):
		e.Grant = "at_hand"
	default:
		e.Grant = "to_be_asked"
	}
	return e
}

// explainScore returns the score of a server without the random term.
func (d *Dispatcher) explainScore(now time.Time, r *Request, group *service, s *server) *explain.Score {
	p := d.penalties(now, r, group, s)
	predicted := d.predictMS(now, r, group, s)
	e := &explain.Score{
		TotalMS: p.addTo(predicted), DistanceMS: p.distanceMS, SuspectMS: p.suspectMS, MigrationMS: p.migrationMS, WarmUpMS: p.warmUpMS,
		AskMS: p.askMS, Speed: d.speedFactor(now, s), Slowness: s.slowness,
	}
	if d.aboveSendBound(now, group, s) {
		e.AboveBoundMS = r.aboveBoundPenaltyMS()
		e.TotalMS += e.AboveBoundMS
	}
	if r.Model == "" {
		e.ComputeMS = d.workMS(now, group, s)
		e.WaitMS = predicted - e.ComputeMS
		return e
	}
	t := d.estimateTTFT(now, r, group, s, d.runningAt(now, s))
	e.WaitMS, e.ComputeMS, e.FetchMS = t.queueMS, t.computeMS-t.queueMS, t.fetchMS
	e.MemoryWaitMS, e.SlotWaitMS = t.memoryWaitMS, t.slotWaitMS
	e.WeightVersion = s.weightVersion[r.Model]
	return e
}

// Explain returns the refusal as an explanation shows it.
func (r *Refusal) Explain() *explain.Refusal {
	e := &explain.Refusal{
		Reason: string(r.Reason), RetryAfterMS: inMS(r.RetryAfter), Server: r.Server, PredictedMS: inMS(r.PredictedTTFT), WaitMS: inMS(r.Wait),
		WaitingTokens: r.WaitingTokens, PeerWaitingTokens: r.PeerWaitingTokens, ReservedTokens: r.ReservedTokens,
		PeerReservedTokens: r.PeerReservedTokens, GrantFrom: r.GrantFrom, Part: r.Part,
	}
	if s := r.Shed; s != nil {
		e.Shed = &explain.Shed{
			Cause: string(s.Decision.Cause), OverMS: inMS(s.Decision.Over), LimitMS: inMS(s.Decision.Limit), Priority: s.Request.Priority, TopPriority: s.Service.TopPriority,
			TimeLeftMS: inMS(s.Request.TimeLeft), TargetMS: inMS(s.Request.Target), ShortestTargetMS: inMS(s.Service.ShortestTarget),
			PredictedMS: inMS(s.Server.Predicted), WaitMS: inMS(s.Server.Wait), MemoryWaitMS: inMS(s.Server.MemoryWait),
			Repeated: s.Request.Repeats(), BehindPriority: s.Server.IsPlain && s.Service.IsBehind(s.Request),
			MemoryLeftFree: s.Service.Reserve(s.Request), WaitedMS: inMS(s.Request.Waited),
		}
	}
	return e
}

// inMS returns a time in milliseconds, rounded to microseconds.
func inMS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
