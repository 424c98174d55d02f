package placement

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// NoCandidate is the value of Decision.Picked when no replica may run the request.
const NoCandidate = -1

// Estimate is the reply of a replica's agent to a probe. Times are in milliseconds.
type Estimate struct {
	Known           bool   `json:"known"`
	Incarnation     uint64 `json:"incarnation"`
	QueueMS         uint32 `json:"queue_ms"`
	CachedPieces    uint32 `json:"cached_pieces"`
	FetchablePieces uint32 `json:"fetchable_pieces"`
	FetchMS         uint32 `json:"fetch_ms"`
	FetchBytes      uint64 `json:"fetch_bytes"`
	// Credited is true when the entry added the fetch from the directory's last known state.
	Credited          bool   `json:"credited,omitempty"`
	PrefillUSPerToken uint32 `json:"prefill_us_per_token"`
	InFlight          uint32 `json:"in_flight"`
	LoadAgeMS         uint32 `json:"load_age_ms"`
	RefusalReason     int32  `json:"refusal_reason,omitempty"`
	ConfigVersion     uint64 `json:"config_version,omitempty"`
}

// CreditStores counts the leading pieces that stores hold as fetchable when the replica's agent
// reported none. pieceMS is in milliseconds and pieceBytes in bytes, both for one piece.
func (e *Estimate) CreditStores(storePieces uint32, pieceMS float64, pieceBytes uint32) {
	if !e.Known || e.FetchablePieces > 0 || storePieces <= e.CachedPieces {
		return
	}
	e.FetchablePieces = storePieces - e.CachedPieces
	e.FetchMS = uint32(float64(e.FetchablePieces) * pieceMS)
	e.FetchBytes = uint64(e.FetchablePieces) * uint64(pieceBytes)
	e.Credited = true
}

// Terms are the parts of a candidate's cost. They are kept to explain a decision.
type Terms struct {
	// TTFTMS is the predicted time to the first token: the sum of StartMS, PrefillMS and DistanceMS.
	TTFTMS float64 `json:"ttft_ms"`
	// StartMS is the longer of the queueing and the fetching time, since both run concurrently.
	StartMS    float64 `json:"start_ms"`
	PrefillMS  float64 `json:"prefill_ms"`
	DistanceMS float64 `json:"distance_ms"`
	// RecomputedTokens is the number of prompt tokens that must be computed.
	RecomputedTokens uint32 `json:"recomputed_tokens"`
	// LinkBytes is the number of bytes that cross limited links.
	LinkBytes uint64 `json:"link_bytes"`
	// Fetch is true when fetching is predicted to be cheaper than recomputing.
	Fetch         bool `json:"fetch"`
	MeetsDeadline bool `json:"meets_deadline"`
	// Score ranks candidates; the lowest wins. Its unit depends on the policy.
	Score float64 `json:"score"`
}

// Candidate is one replica that a policy considers.
type Candidate struct {
	// Index is the replica's index in the snapshot.
	Index    int32  `json:"-"`
	Instance string `json:"instance"`
	// Hinted is the number of leading pieces in the replica's hint; zero when no hint selected the replica.
	Hinted   uint32    `json:"hinted_pieces,omitempty"`
	Rejected Rejection `json:"filter"`
	Estimate Estimate  `json:"estimate"`
	Terms    Terms     `json:"terms"`
}

// Decision is one placement with all its inputs. The caller owns it and may reuse it; Select keeps
// the capacity of Candidates.
type Decision struct {
	Policy  string  `json:"policy"`
	Request Request `json:"request"`
	// Relaxed is true when ejected replicas and unhealthy domains were admitted because no other
	// replica was left.
	Relaxed bool `json:"relaxed"`
	// Group is the number of replicas that serve the request's service and weight version.
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

// addCandidate returns the candidate for a replica and appends it if it is new.
func (d *Decision) addCandidate(s *Snapshot, index int32) *Candidate {
	for i := range d.Candidates {
		if d.Candidates[i].Index == index {
			return &d.Candidates[i]
		}
	}
	d.Candidates = append(d.Candidates, Candidate{Index: index, Instance: s.replicas[index].Instance})
	return &d.Candidates[len(d.Candidates)-1]
}

// hasCandidate reports whether a replica is already a candidate.
func (d *Decision) hasCandidate(index int32) bool {
	for i := range d.Candidates {
		if d.Candidates[i].Index == index {
			return true
		}
	}
	return false
}

// PickedCandidate returns the picked candidate, or nil.
func (d *Decision) PickedCandidate() *Candidate {
	if d.Picked == NoCandidate {
		return nil
	}
	return &d.Candidates[d.Picked]
}

// Clone returns a copy for the explain ring, which later use of d does not change.
func (d *Decision) Clone() Decision {
	clone := *d
	clone.Candidates = append([]Candidate(nil), d.Candidates...)
	clone.Request.Tried = append([]string(nil), d.Request.Tried...)
	return clone
}

// SetReply stores the reply to a probe. It rejects a candidate whose agent refuses the request.
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
