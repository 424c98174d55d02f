package placement

import (
	"math/rand/v2"

	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	microsecondsPerMillisecond = 1000
	// noReplyQueueMSPerRun is the assumed queueing time of one reported run, in milliseconds, for a
	// replica without a probe reply.
	noReplyQueueMSPerRun = 50
	// missedDeadlineScore ranks candidates that miss the deadline after all that meet it.
	missedDeadlineScore = 1e12
	// noReplyScore ranks candidates without a probe reply after all others.
	noReplyScore = 1e13
	// patientTTFTWeight is the cost of a millisecond of the time to the first token, in recomputed
	// tokens. It lets that time decide between patient candidates of equal cost.
	patientTTFTWeight = 1e-3
)

// costPolicy probes the last known holders of the prompt's cache and some random replicas, and
// predicts the cost of the request at each from the replies.
//
// An urgent request goes to the replica with the lowest predicted time to the first token; the score
// is in milliseconds. A patient request goes to the replica with the lowest sum of recomputed tokens
// and link bytes among those that meet the deadline; the score is in tokens, and LinkTokenBytes bytes
// count as one token. When no replica meets the deadline, both go to the lowest predicted time.
// Replicas without a probe reply are used only when none replied, ranked by their corrected load.
type costPolicy struct {
	settings Settings
}

// Name implements Policy.
func (*costPolicy) Name() string { return PolicyCost }

// NeedsProbes implements Policy.
func (*costPolicy) NeedsProbes() bool { return true }

// Select implements Policy. The candidates are the hinted holders, the replica with the highest
// rendezvous rank for the request's affinity, and random replicas of the entry's subset.
func (p *costPolicy) Select(req *Request, s *Snapshot, hints []Hint, rng *rand.Rand, d *Decision) {
	g := s.groupOf(req)
	d.reset(PolicyCost, req, g)
	p.addCandidates(req, s, g, hints, rng, d)
	if len(d.Candidates) > 0 {
		return
	}
	d.Relaxed = true
	p.addCandidates(req, s, g, hints, rng, d)
}

// addCandidates adds the candidates of all three kinds that pass the filters.
func (p *costPolicy) addCandidates(req *Request, s *Snapshot, g *group, hints []Hint, rng *rand.Rand, d *Decision) {
	p.addHinted(req, s, hints, d)
	if req.Affinity != 0 {
		if index, ok := highestRank(req, s, g.members, d.Relaxed); ok {
			d.addCandidate(s, index)
		}
	}
	addRandom(req, s, g.subset, p.settings.RandomProbes, rng, d)
}

// addHinted adds the eligible hinted holders with the most pieces.
func (p *costPolicy) addHinted(req *Request, s *Snapshot, hints []Hint, d *Decision) {
	for range p.settings.HintedProbes {
		best := -1
		var bestIndex int32
		for i := range hints {
			index, ok := s.byInstance[hints[i].Instance]
			if !ok || !usable(req, s, index, d) {
				continue
			}
			if best < 0 || hints[i].Pieces > hints[best].Pieces {
				best, bestIndex = i, index
			}
		}
		if best < 0 {
			return
		}
		d.addCandidate(s, bestIndex).Hinted = hints[best].Pieces
	}
}

// Pick implements Policy.
func (p *costPolicy) Pick(req *Request, s *Snapshot, d *Decision) {
	for i := range d.Candidates {
		c := &d.Candidates[i]
		c.Terms = p.predictTerms(req, &s.replicas[c.Index], &c.Estimate)
		c.Terms.Score = p.score(req, &c.Terms, c.Estimate.Known)
	}
	pickLowest(req, s, d)
}

// predictTerms predicts the cost of the request at one replica. For pieces that only stores hold it
// uses the cheaper of fetching and recomputing.
func (p *costPolicy) predictTerms(req *Request, r *Replica, e *Estimate) Terms {
	if !e.Known {
		return p.noReplyTerms(req, r)
	}
	recompute := p.predict(req, r, e, false)
	if e.FetchablePieces == 0 {
		return recompute
	}
	fetch := p.predict(req, r, e, true)
	if p.score(req, &fetch, true) < p.score(req, &recompute, true) {
		return fetch
	}
	return recompute
}

// predict returns the terms of one replica with or without a fetch.
func (p *costPolicy) predict(req *Request, r *Replica, e *Estimate, fetch bool) Terms {
	t := Terms{Fetch: fetch, DistanceMS: r.DistanceMS, StartMS: float64(e.QueueMS)}
	pieces := e.CachedPieces
	if fetch {
		pieces += e.FetchablePieces
		t.LinkBytes = e.FetchBytes
		t.StartMS = max(t.StartMS, float64(e.FetchMS))
	}
	t.RecomputedTokens = uncachedTokens(req, pieces)
	t.PrefillMS = p.prefillMS(t.RecomputedTokens, e.PrefillUSPerToken)
	return withTotals(req, t)
}

// noReplyTerms predicts the terms of a replica without a probe reply from its last load report alone.
func (p *costPolicy) noReplyTerms(req *Request, r *Replica) Terms {
	t := Terms{DistanceMS: r.DistanceMS}
	t.StartMS = float64(r.Load.Estimate()) * noReplyQueueMSPerRun
	t.RecomputedTokens = req.PromptTokens
	t.PrefillMS = p.prefillMS(req.PromptTokens, 0)
	return withTotals(req, t)
}

// withTotals sets the terms that are derived from the others.
func withTotals(req *Request, t Terms) Terms {
	t.TTFTMS = t.StartMS + t.PrefillMS + t.DistanceMS
	t.MeetsDeadline = req.Deadline <= 0 || t.TTFTMS <= float64(req.Deadline.Milliseconds())
	return t
}

// prefillMS returns the time to compute tokens, in milliseconds.
func (p *costPolicy) prefillMS(tokens, usPerToken uint32) float64 {
	if usPerToken == 0 {
		usPerToken = p.settings.PrefillUSPerToken
	}
	return float64(tokens) * float64(usPerToken) / microsecondsPerMillisecond
}

// score returns the score of the terms for the request; the lowest wins.
func (p *costPolicy) score(req *Request, t *Terms, known bool) float64 {
	switch {
	case !known:
		return noReplyScore + t.TTFTMS
	case !t.MeetsDeadline:
		return missedDeadlineScore + t.TTFTMS
	case req.Urgency == wire.Urgency_URGENCY_PATIENT:
		tokens := float64(t.RecomputedTokens) + float64(t.LinkBytes)/p.settings.LinkTokenBytes
		return tokens + t.TTFTMS*patientTTFTWeight
	}
	return t.TTFTMS
}

// uncachedTokens returns the number of prompt tokens after the given number of leading pieces. It is at
// least one for a prompt that is not empty, since an engine always computes the last token.
func uncachedTokens(req *Request, pieces uint32) uint32 {
	cached := uint64(pieces) * uint64(req.PieceTokens)
	if cached >= uint64(req.PromptTokens) {
		return min(1, req.PromptTokens)
	}
	return req.PromptTokens - uint32(cached)
}
