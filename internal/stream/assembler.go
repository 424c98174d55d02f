// Package stream assembles the response to one request from the frames of its attempts. An entry
// keeps one Assembler for each request and calls it from the goroutine that serves the caller.
//
// Invariant: the delivered chunks are always a prefix of the response, each chunk once and in order.
// Chunks are numbered by their position in the complete response, so an attempt that resumes the
// response on another replica continues where the last attempt stopped.
package stream

import "balsamyoke.example/balsamyoke/internal/attempt"

// maxBufferedChunks bounds the chunks that are buffered until a missing one arrives.
const maxBufferedChunks = 1024

// Assembler orders the chunks of one response. It is not safe for concurrent use.
type Assembler struct {
	current attempt.ID
	// next is the sequence number of the first chunk that was not delivered yet.
	next uint32
	// waiting holds the chunks after a missing one, by sequence number.
	waiting map[uint32][]byte
	// total is the sequence number after the last chunk. It is valid when hasTotal is set.
	total    uint32
	hasTotal bool
	// ready is the slice that Chunk returns, reused by each call.
	ready [][]byte
}

// NewAssembler returns an assembler that accepts only frames of the attempt current.
func NewAssembler(current attempt.ID) *Assembler {
	return &Assembler{current: current}
}

// Chunk adds one chunk and returns the chunks that may now be delivered, in order. The returned
// slice is valid until the next call. Copies of a chunk and chunks of superseded attempts are
// dropped. It returns ErrGap when a chunk is missing and the buffer for later ones is full, and
// ErrContradiction for a chunk after the attempt's end. The caller then requests a replay or
// supersedes the attempt.
func (a *Assembler) Chunk(id attempt.ID, sequence uint32, data []byte) ([][]byte, error) {
	if id != a.current || sequence < a.next {
		return nil, nil
	}
	if a.hasTotal && sequence >= a.total {
		return nil, ErrContradiction.New("attempt %s: chunk %d after the end at %d", id, sequence, a.total)
	}
	if sequence > a.next {
		return nil, a.buffer(sequence, data)
	}
	a.ready = append(a.ready[:0], data)
	a.next++
	a.deliverWaiting()
	return a.ready, nil
}

func (a *Assembler) buffer(sequence uint32, data []byte) error {
	if _, ok := a.waiting[sequence]; ok {
		return nil
	}
	if len(a.waiting) >= maxBufferedChunks {
		return ErrGap.New("attempt %s: chunk %d is missing, %d later chunks are buffered", a.current, a.next, len(a.waiting))
	}
	if a.waiting == nil {
		a.waiting = make(map[uint32][]byte)
	}
	a.waiting[sequence] = data
	return nil
}

func (a *Assembler) deliverWaiting() {
	for {
		data, ok := a.waiting[a.next]
		if !ok {
			return
		}
		delete(a.waiting, a.next)
		a.ready = append(a.ready, data)
		a.next++
	}
}

// Done records the end of an attempt that has run to completion; total is the sequence number after
// its last chunk. The end of a superseded attempt is dropped. It returns ErrContradiction when the
// attempt has already sent more chunks or another total.
func (a *Assembler) Done(id attempt.ID, total uint32) error {
	if id != a.current {
		return nil
	}
	if a.hasTotal && a.total != total {
		return ErrContradiction.New("attempt %s reported two totals, %d and %d chunks", id, a.total, total)
	}
	if total < a.next {
		return ErrContradiction.New("attempt %s ends at chunk %d after chunk %d was delivered", id, total, a.next-1)
	}
	for sequence := range a.waiting {
		if sequence >= total {
			return ErrContradiction.New("attempt %s ends at chunk %d but sent chunk %d", id, total, sequence)
		}
	}
	a.total, a.hasTotal = total, true
	return nil
}

// Complete reports whether the response has ended and all its chunks were delivered.
func (a *Assembler) Complete() bool { return a.hasTotal && a.next == a.total }

// Delivered returns the number of delivered chunks, which is the sequence number of the next one.
func (a *Assembler) Delivered() uint32 { return a.next }

// Current returns the attempt whose frames are accepted.
func (a *Assembler) Current() attempt.ID { return a.current }

// Supersede replaces the current attempt by next and returns the sequence number at which next must
// resume. Chunks of the old attempt that were not delivered are dropped.
func (a *Assembler) Supersede(next attempt.ID) (resumeAt uint32) {
	a.current = next
	a.hasTotal = false
	clear(a.waiting)
	return a.next
}
