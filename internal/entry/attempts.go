package entry

import (
	"sync"

	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// attemptID names one dispatch of a request.
type attemptID [16]byte

// attempt receives the frames of one dispatch. The event loop appends and the request's goroutine
// takes, so neither waits for the other; the connection's bound on unread bytes limits the queue.
type attempt struct {
	id   attemptID
	conn *transport.Conn

	mu     sync.Mutex
	frames []*wire.Frame
	lost   bool
	signal chan struct{}
}

// push appends a frame, or marks the connection as lost when frame is nil.
func (a *attempt) push(frame *wire.Frame) {
	a.mu.Lock()
	if frame == nil {
		a.lost = true
	} else {
		a.frames = append(a.frames, frame)
	}
	a.mu.Unlock()
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// take returns all frames received so far and whether the connection is lost.
func (a *attempt) take() (frames []*wire.Frame, lost bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	frames = a.frames
	a.frames = nil
	return frames, a.lost
}

// attempts routes frames to the dispatches of this entry. A frame whose attempt is not registered
// any more is dropped, so a superseded attempt never reaches a caller.
type attempts struct {
	mu   sync.Mutex
	byID map[attemptID]*attempt
}

func newAttempts() *attempts {
	return &attempts{byID: make(map[attemptID]*attempt)}
}

// register must be called before the dispatch is sent.
func (a *attempts) register(id attemptID, conn *transport.Conn) *attempt {
	registered := &attempt{id: id, conn: conn, signal: make(chan struct{}, 1)}
	a.mu.Lock()
	a.byID[id] = registered
	a.mu.Unlock()
	return registered
}

func (a *attempts) forget(id attemptID) {
	a.mu.Lock()
	delete(a.byID, id)
	a.mu.Unlock()
}

// deliver hands a frame to its attempt; only the connection of the dispatch may answer it.
func (a *attempts) deliver(conn *transport.Conn, rawID []byte, frame *wire.Frame) {
	if len(rawID) != len(attemptID{}) {
		return
	}
	a.mu.Lock()
	found := a.byID[attemptID(rawID)]
	a.mu.Unlock()
	if found != nil && found.conn == conn {
		found.push(frame)
	}
}

// connLost tells every attempt of a connection that no more frames come.
func (a *attempts) connLost(conn *transport.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, candidate := range a.byID {
		if candidate.conn == conn {
			candidate.push(nil)
		}
	}
}

func (a *attempts) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byID)
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
