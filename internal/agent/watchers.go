package agent

import (
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/runtable"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// recorded says whether the chunks of a dispatch are kept for callers that ask again.
func recorded(d *wire.Dispatch) bool { return !d.GetIdempotent() }

// watch adds a connection to those that receive the frames of a job.
func (j *job) watch(conn *transport.Conn) {
	if !slices.Contains(j.watchers, conn) {
		j.watchers = append(j.watchers, conn)
	}
}

// unwatch removes a connection and says whether it was a watcher.
func (j *job) unwatch(conn *transport.Conn) bool {
	place := slices.Index(j.watchers, conn)
	if place < 0 {
		return false
	}
	j.watchers = slices.Delete(j.watchers, place, place+1)
	return true
}

// tell sends a frame to every watcher of a job.
func (j *job) tell(frame *wire.Frame) {
	for _, conn := range j.watchers {
		_ = conn.Send(frame)
	}
}

// keepChunk records a chunk on the control goroutine, then tells the watchers: what a watcher gets
// from a replay and what it gets afterwards leaves no gap.
func (a *Agent) keepChunk(j *job, chunk *wire.Chunk) {
	_ = a.state.table.Append(time.Now(), j.id, chunk.GetSequence(), chunk.GetData())
	j.tell(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunk}})
}

// asked answers a question about an attempt, and poisons it when it was never dispatched here. A
// replay sends the recorded part of the answer and all that follows.
func (a *Agent) asked(conn *transport.Conn, ask *wire.Ask) {
	id, err := attempt.ParseID(ask.GetAttemptId())
	if err != nil {
		return
	}
	answer := a.state.table.Ask(time.Now(), runtable.Question{
		Attempt:     id,
		Incarnation: ask.GetIncarnation(),
		Replay:      ask.GetReplay(),
	})
	_ = conn.Send(&wire.Frame{Body: &wire.Frame_Answer{Answer: &wire.Answer{
		AttemptId:   id[:],
		Outcome:     answer.Outcome,
		Chunks:      answer.Chunks,
		Incarnation: a.incarnation,
	}}})
	known := answer.Outcome != wire.Outcome_OUTCOME_NOT_RUN && answer.Outcome != wire.Outcome_OUTCOME_UNKNOWN
	if ask.GetReplay() && known {
		a.replay(conn, id)
	}
}

// replay sends the recorded chunks of an attempt with its end, or adds the connection to the
// watchers of the run.
func (a *Agent) replay(conn *transport.Conn, id attempt.ID) {
	replay, err := a.state.table.Replay(id, 0)
	if err != nil {
		return
	}
	for i, data := range replay.Chunks {
		_ = conn.Send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{
			AttemptId: id[:],
			Sequence:  replay.First + uint32(i),
			Data:      data,
		}}})
	}
	if replay.End != nil {
		_ = conn.Send(&wire.Frame{Body: &wire.Frame_Done{Done: replay.End}})
		return
	}
	if j := a.state.jobs[id]; j != nil {
		j.watch(conn)
	}
}
