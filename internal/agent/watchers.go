package agent

import (
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/runtable"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// isRecorded reports whether the chunks of a dispatch are kept for callers that ask for them again.
func isRecorded(d *wire.Dispatch) bool { return !d.GetIdempotent() }

// watch adds a connection to the job's watchers.
func (j *job) watch(conn *transport.Conn) {
	if !slices.Contains(j.watchers, conn) {
		j.watchers = append(j.watchers, conn)
	}
}

// unwatch removes a connection and reports whether it was a watcher.
func (j *job) unwatch(conn *transport.Conn) bool {
	index := slices.Index(j.watchers, conn)
	if index < 0 {
		return false
	}
	j.watchers = slices.Delete(j.watchers, index, index+1)
	return true
}

// broadcast sends a frame to every watcher of a job.
func (j *job) broadcast(frame *wire.Frame) {
	for _, conn := range j.watchers {
		_ = conn.Send(frame)
	}
}

// recordChunk records a chunk on the control goroutine before it is sent to the watchers, so that there
// is no gap between the replay that a watcher receives and the chunks that follow.
func (a *Agent) recordChunk(j *job, chunk *wire.Chunk) {
	_ = a.state.runTable.Append(time.Now(), j.id, chunk.GetSequence(), chunk.GetData())
	j.broadcast(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunk}})
}

// handleAsk replies with the state of an attempt, and revokes the attempt when it was never dispatched
// here. If a replay is requested, it sends the recorded part of the response and all chunks that follow.
func (a *Agent) handleAsk(conn *transport.Conn, ask *wire.Ask) {
	id, err := attempt.ParseID(ask.GetAttemptId())
	if err != nil {
		return
	}
	answer := a.state.runTable.Ask(time.Now(), runtable.Query{
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
	admitted := answer.Outcome != wire.Outcome_OUTCOME_NOT_RUN && answer.Outcome != wire.Outcome_OUTCOME_UNKNOWN
	if ask.GetReplay() && admitted {
		a.replay(conn, id)
	}
}

// replay sends the recorded chunks of an attempt. If the attempt has ended, it also sends its end;
// otherwise it adds the connection to the job's watchers.
func (a *Agent) replay(conn *transport.Conn, id attempt.ID) {
	replay, err := a.state.runTable.Replay(id, 0)
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
