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

// maxSelections is how many times one placement selects candidates when all agents refuse.
const maxSelections = 3

// affinityPosition is the index of the prompt piece whose hash determines the highest-ranked replica. The
// first pieces are often a document that all conversations of an organisation share.
const affinityPosition = 4

// dispatchTarget is the replica that a placement chose, with the reservation made there.
type dispatchTarget struct {
	instance    metastore.Instance
	reservation []byte
	decision    *placement.Decision
	// score compares targets for different weight versions; the lowest is chosen.
	score float64
	// inFlight counts this entry's running attempts at the replica; nil when they are not counted.
	inFlight *atomic.Int64
}

// place chooses a replica for the next attempt of a run. When several weight versions are allowed, it chooses
// the version whose target has the lowest score.
func (r *run) place(ctx context.Context) (*dispatchTarget, *Failure) {
	snapshot := r.entry.replicas.snapshot.Load()
	bindings := r.bindings()
	targets := make([]*dispatchTarget, len(bindings))
	var group sync.WaitGroup
	for i, binding := range bindings {
		group.Go(func() { targets[i] = r.placeOnVersion(ctx, snapshot, binding) })
	}
	group.Wait()
	best := r.chooseTarget(bindings, targets)
	if best == nil {
		return nil, r.noReplica()
	}
	return best, nil
}

// placeOnVersion returns the best replica for one weight version, or nil.
func (r *run) placeOnVersion(ctx context.Context, snapshot *placement.Snapshot, binding versionBinding) *dispatchTarget {
	policy := r.entry.policy
	placementRequest := r.placementRequest(binding)
	locations := r.entry.locate(ctx, policy, binding.pieces)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	decision := &placement.Decision{}
	for range maxSelections {
		policy.Select(&placementRequest, snapshot, locations.hints, rng, decision)
		var replies []*wire.ProbeReply
		if policy.NeedsProbes() {
			replies = r.probeCandidates(ctx, snapshot, binding, decision)
			r.entry.creditStores(decision, locations)
		}
		policy.Pick(&placementRequest, snapshot, decision)
		if picked := decision.PickedCandidate(); picked != nil {
			return r.newTarget(snapshot, decision, picked, replies)
		}
		if len(decision.Candidates) == 0 {
			return nil
		}
		for i := range decision.Candidates {
			placementRequest.Tried = append(placementRequest.Tried, decision.Candidates[i].Instance)
		}
	}
	return nil
}

// placementRequest describes the request to the placement policy. Weight version and adapter are left out:
// the instance list does not contain them, and agents check them.
func (r *run) placementRequest(binding versionBinding) placement.Request {
	req := r.request
	placementRequest := placement.Request{
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
		placementRequest.Affinity = binding.pieces[min(last, affinityPosition)].Hash()
	}
	for instance := range r.tried {
		placementRequest.Tried = append(placementRequest.Tried, instance)
	}
	return placementRequest
}

// probeCandidates probes the candidates and stores their replies in the decision.
func (r *run) probeCandidates(ctx context.Context, snapshot *placement.Snapshot, binding versionBinding, decision *placement.Decision) []*wire.ProbeReply {
	targets := make([]metastore.Instance, len(decision.Candidates))
	for i := range decision.Candidates {
		targets[i] = instanceOf(snapshot.Replica(decision.Candidates[i].Index))
	}
	replies := r.entry.prober.probe(ctx, r.entry.links, targets, r.newProbe(binding), probeTimeout)
	r.entry.updateReplicas(func(agents *replicas) { agents.recordProbeReplies(replies, time.Now()) })
	for _, reply := range replies {
		for i := range decision.Candidates {
			if decision.Candidates[i].Instance == reply.GetInstance() {
				decision.Candidates[i].SetReply(reply)
			}
		}
	}
	return replies
}

// newTarget returns the picked candidate as a target, with its reservation if it made one.
func (r *run) newTarget(snapshot *placement.Snapshot, decision *placement.Decision, picked *placement.Candidate, replies []*wire.ProbeReply) *dispatchTarget {
	replica := snapshot.Replica(picked.Index)
	target := &dispatchTarget{
		instance: instanceOf(replica),
		decision: decision,
		score:    picked.Terms.Score,
		inFlight: replica.Load.OwnInFlight,
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
	if r.attemptCount > 0 {
		return r.attemptsExhausted(r.retryAfter())
	}
	return retryable(CodeNoReplica, fasthttp.StatusServiceUnavailable,
		"service "+quote(r.request.service.Name)+" has no live replica", busyRetryAfter)
}

func (r *run) newProbe(binding versionBinding) *wire.Probe {
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

// placementDetail is what an explain entry shows about a dispatch.
type placementDetail struct {
	Replica       string `json:"replica"`
	FailureDomain string `json:"failure_domain"`
	PromptPieces  int    `json:"prompt_pieces"`
	// Policy and Candidates show how the replica was chosen. They are absent when an earlier attempt bound
	// the request to the replica.
	Policy     string                `json:"policy,omitempty"`
	Relaxed    bool                  `json:"relaxed,omitempty"`
	Candidates []placement.Candidate `json:"candidates,omitempty"`
}

func (e *Entry) explainDispatch(req *request, id attempt.ID, target *dispatchTarget) {
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
