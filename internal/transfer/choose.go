package transfer

import "time"

// DefaultLinkTokenBytes is the number of link bytes that weigh as much as one recomputed token for
// patient requests.
const DefaultLinkTokenBytes = 1 << 20

// Question is what the choice between fetching and recomputing depends on.
type Question struct {
	// Missing is the number of whole pieces that the engine lacks; Available counts the leading
	// ones of them that stores are believed to hold.
	Missing   int
	Available int
	// PieceBytes is the size of one piece on the link.
	PieceBytes int64
	// Queue is the time until the run could start. Fetching goes on meanwhile.
	Queue time.Duration
	// PiecePrefill is the time to compute one piece, RestPrefill that for the rest of the prompt.
	PiecePrefill time.Duration
	RestPrefill  time.Duration
	Patient      bool
	Deadline     time.Duration
	PieceTokens  int
	// Fetch predicts the time to fetch a number of pieces.
	Fetch func(pieces int) time.Duration
}

// Choice is how many leading missing pieces to fetch.
type Choice struct {
	Pieces int
	// Fetch is the predicted time for them, FirstToken that to the first token.
	Fetch      time.Duration
	FirstToken time.Duration
	Bytes      int64
}

// Choose returns the best number of leading pieces to fetch. Urgent requests minimise the time to
// the first token. Patient requests minimise recomputed tokens plus weighted link bytes among the
// choices that meet the deadline, and the time when none does.
func Choose(q Question) Choice {
	best := q.choice(0)
	for pieces := 1; pieces <= min(q.Available, q.Missing); pieces++ {
		if next := q.choice(pieces); q.better(next, best) {
			best = next
		}
	}
	return best
}

// choice predicts what fetching a number of pieces leads to.
func (q *Question) choice(pieces int) Choice {
	c := Choice{Pieces: pieces, Bytes: int64(pieces) * q.PieceBytes}
	if pieces > 0 {
		c.Fetch = q.Fetch(pieces)
	}
	prefill := time.Duration(q.Missing-pieces)*q.PiecePrefill + q.RestPrefill
	c.FirstToken = max(q.Queue, c.Fetch) + prefill
	return c
}

// better reports whether a is the better choice.
func (q *Question) better(a, b Choice) bool {
	inTime := func(c Choice) bool { return q.Deadline <= 0 || c.FirstToken <= q.Deadline }
	if !q.Patient || (!inTime(a) && !inTime(b)) {
		return a.FirstToken < b.FirstToken
	}
	if inTime(a) != inTime(b) {
		return inTime(a)
	}
	if x, y := q.patientCost(a), q.patientCost(b); x != y {
		return x < y
	}
	return a.FirstToken < b.FirstToken
}

// patientCost prices a choice in recomputed tokens.
func (q *Question) patientCost(c Choice) float64 {
	recomputed := (q.Missing - c.Pieces) * q.PieceTokens
	return float64(recomputed) + float64(c.Bytes)/DefaultLinkTokenBytes
}
