package transfer

import "time"

// DefaultLinkTokenBytes is the number of link bytes that cost as much as one recomputed token for
// patient requests.
const DefaultLinkTokenBytes = 1 << 20

// ChoiceInput is the input of the choice between fetching and recomputing.
type ChoiceInput struct {
	// Missing is the number of complete pieces that the engine lacks. Available is the number of
	// leading ones among them that have a location in a store.
	Missing   int
	Available int
	// PieceBytes is the size of one piece on the link, in bytes.
	PieceBytes int64
	// Queue is the time until the run could start. Pieces are fetched meanwhile.
	Queue time.Duration
	// PiecePrefill is the time to compute one piece, RestPrefill the time for the rest of the prompt.
	PiecePrefill time.Duration
	RestPrefill  time.Duration
	Patient      bool
	// Deadline is the time left until the first token is due; zero or less means none.
	Deadline    time.Duration
	PieceTokens int
	// FetchTime predicts the time to fetch a number of pieces.
	FetchTime func(pieces int) time.Duration
}

// Choice is the number of leading missing pieces to fetch, with its predicted cost.
type Choice struct {
	Pieces int
	// FetchTime is the predicted time to fetch them, TTFT the predicted time to the first token.
	FetchTime time.Duration
	TTFT      time.Duration
	Bytes     int64
}

// Choose returns the best number of leading pieces to fetch. Urgent requests minimise the time to
// the first token. Patient requests minimise recomputed tokens plus weighted link bytes among the
// choices that meet the deadline; when none does, they minimise the time to the first token.
func Choose(in ChoiceInput) Choice {
	best := in.predict(0)
	for pieces := 1; pieces <= min(in.Available, in.Missing); pieces++ {
		if next := in.predict(pieces); in.better(next, best) {
			best = next
		}
	}
	return best
}

// predict returns the predicted times and bytes of fetching a number of pieces.
func (in *ChoiceInput) predict(pieces int) Choice {
	c := Choice{Pieces: pieces, Bytes: int64(pieces) * in.PieceBytes}
	if pieces > 0 {
		c.FetchTime = in.FetchTime(pieces)
	}
	prefill := time.Duration(in.Missing-pieces)*in.PiecePrefill + in.RestPrefill
	c.TTFT = max(in.Queue, c.FetchTime) + prefill
	return c
}

// better reports whether a is the better choice.
func (in *ChoiceInput) better(a, b Choice) bool {
	meetsDeadline := func(c Choice) bool { return in.Deadline <= 0 || c.TTFT <= in.Deadline }
	if !in.Patient || (!meetsDeadline(a) && !meetsDeadline(b)) {
		return a.TTFT < b.TTFT
	}
	if meetsDeadline(a) != meetsDeadline(b) {
		return meetsDeadline(a)
	}
	if x, y := in.patientCost(a), in.patientCost(b); x != y {
		return x < y
	}
	return a.TTFT < b.TTFT
}

// patientCost returns the cost of a choice in recomputed tokens.
func (in *ChoiceInput) patientCost(c Choice) float64 {
	recomputed := (in.Missing - c.Pieces) * in.PieceTokens
	return float64(recomputed) + float64(c.Bytes)/DefaultLinkTokenBytes
}
