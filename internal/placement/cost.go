package placement

import (
	"math/rand/v2"

	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	microsecondsPerMillisecond = 1000
	// unknownQueueMSPerRun prices one reported run when no probe was answered, in milliseconds.
	unknownQueueMSPerRun = 50
	// missedDeadlineScore ranks candidates that miss the deadline after all that meet it.
	missedDeadlineScore = 1e12
	// unknownScore ranks candidates whose agent didn't answer after all that did.
	unknownScore = 1e13
	// patientTieWeight lets the first-token time decide between equal patient costs. It prices a
	// millisecond in recomputed tokens.
	patientTieWeight = 1e-3
)

// costPolicy probes the believed holders of the prompt's cache and some random replicas, and
// predicts from the replies what the request would cost at each.
//
// Urgent requests go to the lowest predicted time to the first token; the score is in
// milliseconds. Patient requests go to the lowest sum of recomputed tokens and link bytes among
// the replicas that meet the deadline; the score is in tokens, with LinkTokenBytes bytes counting
// as one. When no replica meets the deadline, both take the lowest predicted time. Replicas that
// didn't answer are used only when none did, by their corrected load.
type costPolicy struct {
	settings Settings
}

// Name implements Policy.
func (*costPolicy) Name() string { return PolicyCost }

// NeedsProbes implements Policy.
func (*costPolicy) NeedsProbes() bool { return true }

// Select implements Policy. The candidates are the hinted holders, the replica that ranks highest
// for the request's affinity and random replicas of the entry's subset.
func (p *costPolicy) Select(req *Request, s *Snapshot, hints []Hint, rng *rand.Rand, d *Decision) {
	g := s.groupOf(req)
	d.reset(PolicyCost, req, g)
	p.fill(req, s, g, hints, rng, d)
	if len(d.Candidates) > 0 {
		return
	}
	d.Relaxed = true
	p.fill(req, s, g, hints, rng, d)
}

// fill adds the candidates that pass the filters.
func (p *costPolicy) fill(req *Request, s *Snapshot, g *group, hints []Hint, rng *rand.Rand, d *Decision) {
	p.addHinted(req, s, hints, d)
	if req.Affinity != 0 {
		if index, ok := highestRank(req, s, g.members, d.Relaxed); ok {
			d.add(s, index)
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
		d.add(s, bestIndex).Hinted = hints[best].Pieces
	}
}

// Pick implements Policy.
func (p *costPolicy) Pick(req *Request, s *Snapshot, d *Decision) {
	for i := range d.Candidates {
		c := &d.Candidates[i]
		c.Terms = p.terms(req, &s.replicas[c.Index], &c.Estimate)
		c.Terms.Score = p.score(req, &c.Terms, c.Estimate.Known)
	}
	pickLowest(req, s, d)
}

// terms predicts what the request costs at one replica, with the cheaper of fetching and
// recomputing the pieces that only stores hold.
func (p *costPolicy) terms(req *Request, r *Replica, e *Estimate) Terms {
	if !e.Known {
		return p.unknownTerms(req, r)
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

// predict sums the terms of one replica with or without a fetch.
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
	return finish(req, t)
}

// unknownTerms predicts from the lagging load report alone.
func (p *costPolicy) unknownTerms(req *Request, r *Replica) Terms {
	t := Terms{DistanceMS: r.DistanceMS}
	t.StartMS = float64(r.Load.Estimate()) * unknownQueueMSPerRun
	t.RecomputedTokens = req.PromptTokens
	t.PrefillMS = p.prefillMS(req.PromptTokens, 0)
	return finish(req, t)
}

// finish sets the terms that follow from the others.
func finish(req *Request, t Terms) Terms {
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

// score ranks terms for the request; the lowest wins.
func (p *costPolicy) score(req *Request, t *Terms, known bool) float64 {
	switch {
	case !known:
		return unknownScore + t.TTFTMS
	case !t.MeetsDeadline:
		return missedDeadlineScore + t.TTFTMS
	case req.Urgency == wire.Urgency_URGENCY_PATIENT:
		tokens := float64(t.RecomputedTokens) + float64(t.LinkBytes)/p.settings.LinkTokenBytes
		return tokens + t.TTFTMS*patientTieWeight
	}
	return t.TTFTMS
}

// uncachedTokens returns the prompt tokens that remain after pieces leading pieces. An engine
// computes at least the last token.
func uncachedTokens(req *Request, pieces uint32) uint32 {
	cached := uint64(pieces) * uint64(req.PieceTokens)
	if cached >= uint64(req.PromptTokens) {
		return min(1, req.PromptTokens)
	}
	return req.PromptTokens - uint32(cached)
}
