package entry

import (
	"slices"
	"sync"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// frameQueue queues the received frames of one dispatch. The event loop appends and the request's goroutine
// takes, so neither waits for the other. The connection's bound on unread bytes limits the queue's size.
type frameQueue struct {
	id   attempt.ID
	conn *transport.Conn
	// sentAsk reports that an Ask was sent instead of a Dispatch; it is set before frames can arrive.
	sentAsk bool

	mu       sync.Mutex
	frames   []*wire.Frame
	connLost bool
	signal   chan struct{}
}

// push appends a frame, or marks the connection as lost when frame is nil.
func (q *frameQueue) push(frame *wire.Frame) {
	q.mu.Lock()
	if frame == nil {
		q.connLost = true
	} else {
		q.frames = append(q.frames, frame)
	}
	q.mu.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// take removes and returns all frames received so far, and reports whether the connection is lost.
func (q *frameQueue) take() (frames []*wire.Frame, lost bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames = q.frames
	q.frames = nil
	return frames, q.connLost
}

// frameRouter routes received frames to the dispatches of this entry. It drops a frame whose attempt is no
// longer registered, so frames of a superseded attempt never reach a caller. Two requests with the same
// idempotency key may follow the same attempt, so an attempt can have several queues.
type frameRouter struct {
	mu        sync.Mutex
	byAttempt map[attempt.ID][]*frameQueue
}

func newFrameRouter() *frameRouter {
	return &frameRouter{byAttempt: make(map[attempt.ID][]*frameQueue)}
}

// register returns a new queue for an attempt's frames. It must be called before the Dispatch or Ask is sent.
func (f *frameRouter) register(id attempt.ID, conn *transport.Conn) *frameQueue {
	queue := &frameQueue{id: id, conn: conn, signal: make(chan struct{}, 1)}
	f.mu.Lock()
	f.byAttempt[id] = append(f.byAttempt[id], queue)
	f.mu.Unlock()
	return queue
}

func (f *frameRouter) unregister(queue *frameQueue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := slices.DeleteFunc(f.byAttempt[queue.id], func(candidate *frameQueue) bool { return candidate == queue })
	if len(remaining) == 0 {
		delete(f.byAttempt, queue.id)
		return
	}
	f.byAttempt[queue.id] = remaining
}

// deliver queues a frame for its attempt. It drops frames that did not arrive on the attempt's own connection.
func (f *frameRouter) deliver(conn *transport.Conn, rawID []byte, frame *wire.Frame) {
	if len(rawID) != len(attempt.ID{}) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, queue := range f.byAttempt[attempt.ID(rawID)] {
		if queue.conn == conn {
			queue.push(frame)
		}
	}
}

// connectionLost marks all queues of a connection as lost, so that their requests stop waiting for frames.
func (f *frameRouter) connectionLost(conn *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, queues := range f.byAttempt {
		for _, candidate := range queues {
			if candidate.conn == conn {
				candidate.push(nil)
			}
		}
	}
}

func (f *frameRouter) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byAttempt)
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
