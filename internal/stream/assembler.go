// Package stream assembles the answer to one request from the frames of its attempts. An entry
// keeps one Assembler for each request and calls it from the goroutine that serves the caller.
//
// Invariant: what the assembler has delivered is always a prefix of the answer, each chunk once and
// in order. Chunks are numbered by their place in the whole answer, so an attempt that continues
// the answer on another replica goes on where the last one stopped.
package stream

import "balsamyoke.example/balsamyoke/internal/attempt"

// maxBuffered bounds the chunks that wait behind a missing one.
const maxBuffered = 1024

// Assembler orders the chunks of one answer. It is not safe for concurrent use.
type Assembler struct {
	current attempt.ID
	// next is the sequence number of the first chunk that was not delivered yet.
	next    uint32
	waiting map[uint32][]byte
	// total is the sequence number after the last chunk, once the attempt's end is known.
	total    uint32
	hasTotal bool
	ready    [][]byte
}

// NewAssembler returns an assembler that takes frames of the attempt current only.
func NewAssembler(current attempt.ID) *Assembler {
	return &Assembler{current: current}
}

// Chunk takes one chunk and returns the chunks that may now be delivered, in order. The returned
// slice is valid until the next call. Copies of a chunk and chunks of superseded attempts are
// dropped. It returns ErrGap when the buffer behind a missing chunk is full and ErrContradiction
// for a chunk after the attempt's end; the caller then asks for a replay or supersedes the attempt.
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
	a.takeWaiting()
	return a.ready, nil
}

func (a *Assembler) buffer(sequence uint32, data []byte) error {
	if _, ok := a.waiting[sequence]; ok {
		return nil
	}
	if len(a.waiting) >= maxBuffered {
		return ErrGap.New("attempt %s: chunk %d is missing, %d chunks wait", a.current, a.next, len(a.waiting))
	}
	if a.waiting == nil {
		a.waiting = make(map[uint32][]byte)
	}
	a.waiting[sequence] = data
	return nil
}

func (a *Assembler) takeWaiting() {
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

// Done takes the end of an attempt that ran to its end; total is the sequence number after its last
// chunk. The end of a superseded attempt is dropped. It returns ErrContradiction when the attempt
// has already sent more chunks or another total.
func (a *Assembler) Done(id attempt.ID, total uint32) error {
	if id != a.current {
		return nil
	}
	if a.hasTotal && a.total != total {
		return ErrContradiction.New("attempt %s ends at chunk %d and at %d", id, a.total, total)
	}
	if total < a.next {
		return ErrContradiction.New("attempt %s ends at chunk %d after chunk %d", id, total, a.next-1)
	}
	for sequence := range a.waiting {
		if sequence >= total {
			return ErrContradiction.New("attempt %s ends at chunk %d but sent chunk %d", id, total, sequence)
		}
	}
	a.total, a.hasTotal = total, true
	return nil
}

// Whole reports whether the answer has ended and all of it was delivered.
func (a *Assembler) Whole() bool { return a.hasTotal && a.next == a.total }

// Delivered returns how many chunks were delivered: the sequence number of the next one.
func (a *Assembler) Delivered() uint32 { return a.next }

// Current returns the attempt whose frames are taken.
func (a *Assembler) Current() attempt.ID { return a.current }

// Supersede replaces the current attempt by next and returns the sequence number at which next must
// resume. Chunks of the old attempt that were not delivered are given up.
func (a *Assembler) Supersede(next attempt.ID) (resumeAt uint32) {
	a.current = next
	a.hasTotal = false
	clear(a.waiting)
	return a.next
}
