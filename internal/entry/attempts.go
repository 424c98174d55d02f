package entry

import (
	"slices"
	"sync"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// flight receives the frames of one dispatch. The event loop appends and the request's goroutine
// takes, so neither waits for the other; the connection's bound on unread bytes limits the queue.
type flight struct {
	id   attempt.ID
	conn *transport.Conn
	// asked says that the flight began with a question; set before frames can arrive.
	asked bool

	mu     sync.Mutex
	frames []*wire.Frame
	lost   bool
	signal chan struct{}
}

// push appends a frame, or marks the connection as lost when frame is nil.
func (f *flight) push(frame *wire.Frame) {
	f.mu.Lock()
	if frame == nil {
		f.lost = true
	} else {
		f.frames = append(f.frames, frame)
	}
	f.mu.Unlock()
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// take returns all frames received so far and whether the connection is lost.
func (f *flight) take() (frames []*wire.Frame, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	frames = f.frames
	f.frames = nil
	return frames, f.lost
}

// flights routes frames to the dispatches of this entry. A frame whose attempt is not registered
// any more is dropped, so a superseded attempt never reaches a caller. Two requests with the same
// idempotency key may follow the same attempt.
type flights struct {
	mu   sync.Mutex
	byID map[attempt.ID][]*flight
}

func newFlights() *flights {
	return &flights{byID: make(map[attempt.ID][]*flight)}
}

// register must be called before the dispatch or question is sent.
func (f *flights) register(id attempt.ID, conn *transport.Conn) *flight {
	registered := &flight{id: id, conn: conn, signal: make(chan struct{}, 1)}
	f.mu.Lock()
	f.byID[id] = append(f.byID[id], registered)
	f.mu.Unlock()
	return registered
}

func (f *flights) forget(gone *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := slices.DeleteFunc(f.byID[gone.id], func(candidate *flight) bool { return candidate == gone })
	if len(left) == 0 {
		delete(f.byID, gone.id)
		return
	}
	f.byID[gone.id] = left
}

// deliver hands a frame to its attempt; only the connection of the dispatch may answer it.
func (f *flights) deliver(conn *transport.Conn, rawID []byte, frame *wire.Frame) {
	if len(rawID) != len(attempt.ID{}) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, found := range f.byID[attempt.ID(rawID)] {
		if found.conn == conn {
			found.push(frame)
		}
	}
}

// connLost tells every attempt of a connection that no more frames come.
func (f *flights) connLost(conn *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, followers := range f.byID {
		for _, candidate := range followers {
			if candidate.conn == conn {
				candidate.push(nil)
			}
		}
	}
}

func (f *flights) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byID)
}

// frameAttempt returns the attempt id of a frame that an agent sends, or nil.
func frameAttempt(frame *wire.Frame) []byte {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_Accepted:
		return body.Accepted.GetAttemptId()
	case *wire.Frame_Chunk:
		return body.Chunk.GetAttemptId()
	case *wire.Frame_Done:
		return body.Done.GetAttemptId()
	case *wire.Frame_Refused:
		return body.Refused.GetAttemptId()
	case *wire.Frame_Answer:
		return body.Answer.GetAttemptId()
	default:
		return nil
	}
}
