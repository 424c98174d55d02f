package placement

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// NoCandidate is the value of Decision.Picked when no replica may run the request.
const NoCandidate = -1

// Estimate is what a replica's agent answered to a probe. Times are in milliseconds.
type Estimate struct {
	Known           bool   `json:"known"`
	Incarnation     uint64 `json:"incarnation"`
	QueueMS         uint32 `json:"queue_ms"`
	CachedPieces    uint32 `json:"cached_pieces"`
	FetchablePieces uint32 `json:"fetchable_pieces"`
	FetchMS         uint32 `json:"fetch_ms"`
	FetchBytes      uint64 `json:"fetch_bytes"`
	// Credited says that the entry added the fetch from what the directory believes.
	Credited          bool   `json:"credited,omitempty"`
	PrefillUSPerToken uint32 `json:"prefill_us_per_token"`
	InFlight          uint32 `json:"in_flight"`
	LoadAgeMS         uint32 `json:"load_age_ms"`
	RefusalReason     int32  `json:"refusal_reason,omitempty"`
	ConfigVersion     uint64 `json:"config_version,omitempty"`
}

// CreditStores counts leading pieces that stores hold as fetchable when the replica's agent named
// none. The time is in milliseconds and the size in bytes, both for one piece.
func (e *Estimate) CreditStores(storePieces uint32, pieceMS float64, pieceBytes uint32) {
	if !e.Known || e.FetchablePieces > 0 || storePieces <= e.CachedPieces {
		return
	}
	e.FetchablePieces = storePieces - e.CachedPieces
	e.FetchMS = uint32(float64(e.FetchablePieces) * pieceMS)
	e.FetchBytes = uint64(e.FetchablePieces) * uint64(pieceBytes)
	e.Credited = true
}

// Terms are the parts of a candidate's cost, so that a decision can be explained.
type Terms struct {
	// TTFTMS is the predicted time to the first token, the sum of the terms below.
	TTFTMS float64 `json:"ttft_ms"`
	// StartMS is queueing, or fetching when that takes longer, since both go on at once.
	StartMS    float64 `json:"start_ms"`
	PrefillMS  float64 `json:"prefill_ms"`
	DistanceMS float64 `json:"distance_ms"`
	// RecomputedTokens counts the prompt tokens that must be computed.
	RecomputedTokens uint32 `json:"recomputed_tokens"`
	// LinkBytes counts the bytes that cross limited links.
	LinkBytes uint64 `json:"link_bytes"`
	// Fetch says that fetching is predicted to be better than recomputing.
	Fetch         bool `json:"fetch"`
	MeetsDeadline bool `json:"meets_deadline"`
	// Score ranks candidates; the lowest wins. Its unit depends on the policy.
	Score float64 `json:"score"`
}

// Candidate is one replica that a policy considers.
type Candidate struct {
	// Index of the replica in the snapshot.
	Index    int32     `json:"-"`
	Instance string    `json:"instance"`
	Hinted   uint32    `json:"hinted_pieces,omitempty"`
	Rejected Rejection `json:"filter"`
	Estimate Estimate  `json:"estimate"`
	Terms    Terms     `json:"terms"`
}

// Decision is one placement with all its inputs. The caller owns it and may use it again; Select
// keeps the capacity of Candidates.
type Decision struct {
	Policy  string  `json:"policy"`
	Request Request `json:"request"`
	// Relaxed says that ejected replicas and unhealthy domains were let in for want of others.
	Relaxed    bool        `json:"relaxed"`
	Group      int         `json:"group"`
	Candidates []Candidate `json:"candidates"`
	Picked     int         `json:"picked"`
	At         time.Time   `json:"at"`
}

// reset prepares the decision for a new request.
func (d *Decision) reset(policy string, req *Request, group *group) {
	d.Policy = policy
	d.Request = *req
	d.Relaxed = false
	d.Group = len(group.members)
	d.Candidates = d.Candidates[:0]
	d.Picked = NoCandidate
}

// add appends a replica unless it is a candidate already. It returns the candidate.
func (d *Decision) add(s *Snapshot, index int32) *Candidate {
	for i := range d.Candidates {
		if d.Candidates[i].Index == index {
			return &d.Candidates[i]
		}
	}
	d.Candidates = append(d.Candidates, Candidate{Index: index, Instance: s.replicas[index].Instance})
	return &d.Candidates[len(d.Candidates)-1]
}

// has reports whether a replica is a candidate.
func (d *Decision) has(index int32) bool {
	for i := range d.Candidates {
		if d.Candidates[i].Index == index {
			return true
		}
	}
	return false
}

// PickedCandidate returns the chosen candidate, or nil.
func (d *Decision) PickedCandidate() *Candidate {
	if d.Picked == NoCandidate {
		return nil
	}
	return &d.Candidates[d.Picked]
}

// Clone returns a copy for the explain ring that later use of d doesn't change.
func (d *Decision) Clone() Decision {
	clone := *d
	clone.Candidates = append([]Candidate(nil), d.Candidates...)
	clone.Request.Tried = append([]string(nil), d.Request.Tried...)
	return clone
}

// SetReply stores a probe's answer. A candidate whose agent refuses is rejected.
func (c *Candidate) SetReply(reply *wire.ProbeReply) {
	c.Estimate = Estimate{
		Known:             true,
		Incarnation:       reply.GetIncarnation(),
		QueueMS:           reply.GetPredictedStartMs(),
		CachedPieces:      reply.GetCachedPieces(),
		FetchablePieces:   reply.GetFetchablePieces(),
		FetchMS:           reply.GetFetchMs(),
		FetchBytes:        reply.GetFetchBytes(),
		PrefillUSPerToken: reply.GetPrefillUsPerToken(),
		InFlight:          reply.GetInFlight(),
		LoadAgeMS:         reply.GetLoadAgeMs(),
		RefusalReason:     int32(reply.GetReason()),
		ConfigVersion:     reply.GetConfigVersion(),
	}
	if !reply.GetEligible() {
		c.Rejected = RejectedByAgent
	}
}
