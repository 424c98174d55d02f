package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/platform"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// probeTargets is how many replicas a placement asks.
const probeTargets = 4

// placed is the replica that a placement chose, with the reservation it holds there.
type placed struct {
	instance    platform.Instance
	reservation []byte
	reply       *wire.ProbeReply
	cost        time.Duration
}

// place chooses a replica for the next attempt of a run.
func (r *run) place(ctx context.Context) (*placed, *Failure) {
	candidates := r.candidates()
	if len(candidates) == 0 {
		return nil, r.noReplica()
	}
	best := r.ask(ctx, candidates)
	if best == nil {
		return &placed{instance: candidates[0]}, nil
	}
	return best, nil
}

// ask probes the candidates for each weight version that the request may run on, and binds the
// request to the version of the cheapest reply.
func (r *run) ask(ctx context.Context, candidates []platform.Instance) *placed {
	bindings := r.bindings()
	offers := make([]*placed, len(bindings))
	var group sync.WaitGroup
	for i, binding := range bindings {
		group.Go(func() {
			replies := r.entry.prober.ask(ctx, r.entry.links, candidates, r.probe(binding), probeTimeout)
			offers[i] = r.cheapest(candidates, replies)
		})
	}
	group.Wait()
	return r.choose(bindings, offers)
}

func (r *run) noReplica() *Failure {
	if r.attempts > 0 {
		return r.exhausted()
	}
	return retryable(CodeNoReplica, fasthttp.StatusServiceUnavailable,
		"service "+quote(r.request.service.Name)+" has no live replica", busyRetryAfter)
}

// candidates returns a few random replicas of the service that were not tried yet.
func (r *run) candidates() []platform.Instance {
	var eligible []platform.Instance
	for _, instance := range r.entry.replicas.of(r.request.service.Name, time.Now()) {
		if !r.tried[instance.ID] {
			eligible = append(eligible, instance)
		}
	}
	rand.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	return eligible[:min(len(eligible), probeTargets)]
}

func (r *run) probe(binding binding) *wire.Probe {
	req := r.request
	left := max(time.Until(req.deadline), time.Millisecond)
	return &wire.Probe{
		Organisation:  req.organisation.Name,
		Service:       req.service.Name,
		WeightVersion: binding.weightVersion,
		Adapter:       req.adapter,
		Urgency:       req.urgency(),
		Pieces:        binding.pieceBytes(),
		PromptTokens:  req.promptTokens,
		MaxTokens:     req.maxTokens,
		DeadlineMs:    uint32(left.Milliseconds()),
		ConfigVersion: req.snapshot.Version,
	}
}

// cheapest returns the eligible replica with the least predicted time to the first token.
func (r *run) cheapest(candidates []platform.Instance, replies []*wire.ProbeReply) *placed {
	var best *placed
	var bestCost time.Duration
	for _, reply := range replies {
		instance, known := find(candidates, reply.GetInstance())
		if !known || !reply.GetEligible() {
			continue
		}
		cost := r.cost(reply)
		if best == nil || cost < bestCost {
			best = &placed{instance: instance, reservation: reply.GetReservation(), reply: reply, cost: cost}
			bestCost = cost
		}
	}
	return best
}

func (r *run) cost(reply *wire.ProbeReply) time.Duration {
	queue := time.Duration(reply.GetPredictedStartMs()) * time.Millisecond
	cached := min(reply.GetCachedPieces()*piecesTokens, r.request.promptTokens)
	prefill := time.Duration(reply.GetPrefillUsPerToken()) * time.Microsecond
	return queue + time.Duration(r.request.promptTokens-cached)*prefill
}

// piecesTokens is the number of tokens in a piece.
const piecesTokens = 1000

func find(instances []platform.Instance, id string) (platform.Instance, bool) {
	for _, instance := range instances {
		if instance.ID == id {
			return instance, true
		}
	}
	return platform.Instance{}, false
}

// placementDetail is what explain shows about a dispatch.
type placementDetail struct {
	Replica       string `json:"replica"`
	FailureDomain string `json:"failure_domain"`
	QueueMS       uint32 `json:"predicted_queue_ms"`
	CachedPieces  uint32 `json:"cached_pieces"`
	PromptPieces  int    `json:"prompt_pieces"`
}

func (e *Entry) explainDispatch(req *request, id attempt.ID, target *placed) {
	e.decisions.Add(explain.Decision{
		Time:    time.Now(),
		Request: req.id.String(),
		Attempt: id.String(),
		Step:    "dispatch",
		Detail: placementDetail{
			Replica:       target.instance.ID,
			FailureDomain: target.instance.FailureDomain,
			QueueMS:       target.reply.GetPredictedStartMs(),
			CachedPieces:  target.reply.GetCachedPieces(),
			PromptPieces:  len(req.binding.pieces),
		},
	})
}
