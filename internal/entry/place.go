package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/explain"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/placement"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// maxSelections bounds how often one placement selects other candidates after all agents refused.
const maxSelections = 3

// affinityPosition is the piece of a prompt that chooses its replica of highest rank. The first
// pieces are often a document that all conversations of an organisation share.
const affinityPosition = 4

// placed is the replica that a placement chose, with the reservation it holds there.
type placed struct {
	instance    metastore.Instance
	reservation []byte
	decision    *placement.Decision
	// score ranks offers for different weight versions; the lowest wins.
	score float64
	// sent counts this entry's attempts at the replica; nil when it isn't counted.
	sent *atomic.Int64
}

// place chooses a replica for the next attempt of a run. The request may be bound to one of several
// weight versions; it takes the one with the best offer.
func (r *run) place(ctx context.Context) (*placed, *Failure) {
	snapshot := r.entry.replicas.snapshot.Load()
	bindings := r.bindings()
	offers := make([]*placed, len(bindings))
	var group sync.WaitGroup
	for i, binding := range bindings {
		group.Go(func() { offers[i] = r.offer(ctx, snapshot, binding) })
	}
	group.Wait()
	best := r.choose(bindings, offers)
	if best == nil {
		return nil, r.noReplica()
	}
	return best, nil
}

// offer returns the best replica for one weight version, or nil.
func (r *run) offer(ctx context.Context, snapshot *placement.Snapshot, binding binding) *placed {
	policy := r.entry.policy
	features := r.features(binding)
	located := r.entry.locate(ctx, policy, binding.pieces)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	decision := &placement.Decision{}
	for range maxSelections {
		policy.Select(&features, snapshot, located.hints, rng, decision)
		var replies []*wire.ProbeReply
		if policy.NeedsProbes() {
			replies = r.probeCandidates(ctx, snapshot, binding, decision)
			r.entry.creditStores(decision, located)
		}
		policy.Pick(&features, snapshot, decision)
		if picked := decision.PickedCandidate(); picked != nil {
			return r.placedAt(snapshot, decision, picked, replies)
		}
		if len(decision.Candidates) == 0 {
			return nil
		}
		for i := range decision.Candidates {
			features.Tried = append(features.Tried, decision.Candidates[i].Instance)
		}
	}
	return nil
}

// features describes the request to the placement policy. Agents check weight version and adapter
// themselves, since the instance list doesn't tell them.
func (r *run) features(binding binding) placement.Request {
	req := r.request
	features := placement.Request{
		ID:           req.id,
		Organisation: req.organisation.Name,
		Service:      req.service.Name,
		Urgency:      req.urgency(),
		Deadline:     time.Until(req.deadline),
		PromptTokens: req.promptTokens,
		PieceTokens:  uint32(piece.Tokens(req.snapshot.Index.Manifest().PieceBytes)),
		MaxTokens:    req.maxTokens,
	}
	if last := len(binding.pieces) - 1; last >= 0 {
		features.Affinity = binding.pieces[min(last, affinityPosition)].Hash()
	}
	for instance := range r.tried {
		features.Tried = append(features.Tried, instance)
	}
	return features
}

// probeCandidates asks the candidates and stores their replies in the decision.
func (r *run) probeCandidates(ctx context.Context, snapshot *placement.Snapshot, binding binding, decision *placement.Decision) []*wire.ProbeReply {
	targets := make([]metastore.Instance, len(decision.Candidates))
	for i := range decision.Candidates {
		targets[i] = instanceOf(snapshot.Replica(decision.Candidates[i].Index))
	}
	replies := r.entry.prober.ask(ctx, r.entry.links, targets, r.probe(binding), probeTimeout)
	r.entry.learn(func(known *replicas) { known.answered(replies, time.Now()) })
	for _, reply := range replies {
		for i := range decision.Candidates {
			if decision.Candidates[i].Instance == reply.GetInstance() {
				decision.Candidates[i].SetReply(reply)
			}
		}
	}
	return replies
}

// placedAt returns the chosen replica with its reservation.
func (r *run) placedAt(snapshot *placement.Snapshot, decision *placement.Decision, picked *placement.Candidate, replies []*wire.ProbeReply) *placed {
	replica := snapshot.Replica(picked.Index)
	target := &placed{
		instance: instanceOf(replica),
		decision: decision,
		score:    picked.Terms.Score,
		sent:     replica.Load.Sent,
	}
	for _, reply := range replies {
		if reply.GetInstance() == picked.Instance {
			target.reservation = reply.GetReservation()
		}
	}
	return target
}

func instanceOf(replica *placement.Replica) metastore.Instance {
	return metastore.Instance{
		ID:             replica.Instance,
		Role:           metastore.RoleAgent,
		Service:        replica.Service,
		Region:         replica.Region,
		FailureDomain:  replica.FailureDomain,
		Address:        replica.Address,
		ControlAddress: replica.ControlAddress,
		State:          metastore.InstanceLive,
	}
}

func (r *run) noReplica() *Failure {
	if r.attempts > 0 {
		return r.gaveUp(r.retryAfter())
	}
	return retryable(CodeNoReplica, fasthttp.StatusServiceUnavailable,
		"service "+quote(r.request.service.Name)+" has no live replica", busyRetryAfter)
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
		Reserve:       r.entry.settings.ProbeReservations,
	}
}

// placementDetail is what explain shows about a dispatch.
type placementDetail struct {
	Replica       string `json:"replica"`
	FailureDomain string `json:"failure_domain"`
	PromptPieces  int    `json:"prompt_pieces"`
	// Policy and Candidates tell how the replica was chosen; they are absent when an earlier
	// attempt bound the request to the replica.
	Policy     string                `json:"policy,omitempty"`
	Relaxed    bool                  `json:"relaxed,omitempty"`
	Candidates []placement.Candidate `json:"candidates,omitempty"`
}

func (e *Entry) explainDispatch(req *request, id attempt.ID, target *placed) {
	detail := placementDetail{
		Replica:       target.instance.ID,
		FailureDomain: target.instance.FailureDomain,
		PromptPieces:  len(req.binding.pieces),
	}
	if d := target.decision; d != nil {
		detail.Policy, detail.Relaxed, detail.Candidates = d.Policy, d.Relaxed, d.Candidates
	}
	e.decisions.Add(explain.Decision{
		Time:    time.Now(),
		Request: req.id.String(),
		Attempt: id.String(),
		Step:    "dispatch",
		Detail:  detail,
	})
}
