package agent

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/admission"
	"balsamyoke.example/balsamyoke/internal/engine"
	"balsamyoke.example/balsamyoke/internal/plain"
	"balsamyoke.example/balsamyoke/internal/transport"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// engineStall is the silence of an engine within a stream after which the run is given up.
	engineStall = 3 * time.Second
	// chunkBytes is the size of the parts in which plain answers travel.
	chunkBytes = 64 << 10
	// urgentPriority and patientPriority order runs in the engine; lower goes first.
	urgentPriority  = 0
	patientPriority = 10
)

// run carries one attempt on its own traffic goroutine.
type run struct {
	agent  *Agent
	job    *job
	queued time.Duration
	sent   uint32
	// stall ends the run when the engine goes silent; nil before the first token.
	stall *time.Timer
}

// execute runs the attempt and tells the control goroutine and the entry how it ended.
func (r *run) execute(ctx context.Context) {
	defer r.job.cancel()
	r.sent = r.job.dispatch.GetResumeTokens()
	if r.agent.isModel() {
		r.runModel(ctx)
		return
	}
	r.runPlain(ctx)
}

func (r *run) runModel(ctx context.Context) {
	d := r.job.dispatch
	moved := r.awaitFetch(ctx)
	r.agent.loop.Post(func() { r.agent.promptSent(r.job, time.Now()) })
	usage, err := r.agent.engine.Run(ctx, engine.RunRequest{
		RequestID:     r.job.id.String(),
		Body:          d.GetPayload(),
		Priority:      priority(d.GetUrgency()),
		CacheSalt:     d.GetOrganisation(),
		PieceNames:    d.GetPieces(),
		WeightVersion: d.GetWeightVersion(),
		Adapter:       d.GetAdapter(),
		ResumeTokens:  d.GetResumeTokens(),
		MaxTokens:     d.GetMaxTokens(),
	}, r.token)
	if r.stall != nil {
		r.stall.Stop()
	}
	if err != nil {
		r.failedModel(err)
		return
	}
	r.finish(&wire.Done{
		Outcome:        wire.Outcome_OUTCOME_DONE,
		FinishReason:   usage.FinishReason,
		CachedTokens:   usage.CachedTokens,
		ComputedTokens: usage.PromptTokens - min(usage.CachedTokens, usage.PromptTokens),
		LinkBytes:      moved,
	})
}

func priority(urgency wire.Urgency) int {
	if urgency == wire.Urgency_URGENCY_PATIENT {
		return patientPriority
	}
	return urgentPriority
}

// token passes one token of the engine on.
func (r *run) token(_ uint32, text []byte) error {
	if r.stall == nil {
		now := time.Now()
		r.agent.loop.Post(func() { r.agent.state.prompts.end(r.job.id, true, now) })
		r.stall = time.AfterFunc(engineStall, r.job.cancel)
	}
	r.stall.Reset(engineStall)
	err := r.chunk(text)
	if r.job.dispatch.GetIdempotent() {
		return err
	}
	return nil
}

// beginPrompt counts the prompt of a run that starts as work of the engine.
func (a *Agent) beginPrompt(j *job, now time.Time) {
	if !a.isModel() {
		return
	}
	firstToken, _ := a.estimate(j.dispatch, now)
	a.state.prompts.begin(j.id, firstToken, j.dispatch.GetUrgency())
}

// promptSent estimates the prompt's work again when the pieces that it waited for are imported.
func (a *Agent) promptSent(j *job, now time.Time) {
	firstToken, _ := a.estimate(j.dispatch, now)
	a.state.prompts.sent(j.id, firstToken, now)
}

// chunk sends the next part of the answer and records it where callers may ask for it again.
func (r *run) chunk(data []byte) error {
	sequence := r.sent
	r.sent++
	chunk := &wire.Chunk{AttemptId: r.job.id[:], Sequence: sequence, Data: append([]byte(nil), data...)}
	if recorded(r.job.dispatch) {
		r.agent.loop.Post(func() { r.agent.keepChunk(r.job, chunk) })
		return nil
	}
	return r.job.conn.Send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunk}})
}

func (r *run) failedModel(err error) {
	notBegun := errorx.IsOfType(err, engine.ErrUnreachable) ||
		errorx.IsOfType(err, engine.ErrVersionNotLoaded) ||
		errorx.IsOfType(err, engine.ErrRefused)
	if notBegun {
		r.unsent(err)
		return
	}
	r.finish(&wire.Done{Outcome: wire.Outcome_OUTCOME_FAILED, Message: err.Error()})
}

func (r *run) runPlain(ctx context.Context) {
	d := r.job.dispatch
	response, err := r.agent.plain.Call(ctx, plain.Request{
		RequestID:   requestName(d),
		Method:      d.GetMethod(),
		Path:        d.GetPath(),
		ContentType: d.GetContentType(),
		Body:        d.GetPayload(),
	})
	switch {
	case errorx.IsOfType(err, plain.ErrNotSent):
		r.unsent(err)
	case err != nil:
		r.finish(&wire.Done{Outcome: wire.Outcome_OUTCOME_FAILED, Message: err.Error()})
	default:
		r.answerPlain(response)
	}
}

func (r *run) answerPlain(response plain.Response) {
	body := response.Body
	for len(body) > 0 {
		part := body[:min(len(body), chunkBytes)]
		body = body[len(part):]
		_ = r.chunk(part)
	}
	status := response.Status
	if status == 0 {
		status = fasthttp.StatusOK
	}
	r.finish(&wire.Done{
		Outcome:     wire.Outcome_OUTCOME_DONE,
		Status:      uint32(status),
		ContentType: response.ContentType,
	})
}

// finish records the end of a run, then tells the entry.
func (r *run) finish(done *wire.Done) {
	done.AttemptId = r.job.id[:]
	done.Chunks = r.sent
	done.QueueMs = uint32(r.queued.Milliseconds())
	r.agent.loop.Post(func() { r.agent.finished(r.job, done) })
}

// unsent records that the backend server received nothing, then tells the entry.
func (r *run) unsent(err error) {
	r.agent.loop.Post(func() { r.agent.unsent(r.job, err) })
}

// finished takes the end of a run on the control goroutine.
func (a *Agent) finished(j *job, done *wire.Done) {
	now := time.Now()
	held := now.Sub(j.started)
	if done.GetOutcome() == wire.Outcome_OUTCOME_DONE {
		a.counters.finished.Inc(1)
		a.ran(j, now)
	} else {
		a.counters.failed.Inc(1)
		held = 0
	}
	a.decide(j.id, j.dispatch, "end", endDetail{
		Outcome:        done.GetOutcome().String(),
		QueueMS:        done.GetQueueMs(),
		RunMS:          now.Sub(j.started).Milliseconds(),
		CachedTokens:   done.GetCachedTokens(),
		ComputedTokens: done.GetComputedTokens(),
		LinkBytes:      done.GetLinkBytes(),
		Message:        done.GetMessage(),
	})
	_ = a.state.table.Finish(now, j.id, done)
	a.state.queue.Done(admission.AttemptID(j.id), float64(held.Milliseconds()))
	delete(a.state.jobs, j.id)
	a.state.prompts.end(j.id, false, now)
	j.tell(&wire.Frame{Body: &wire.Frame_Done{Done: done}})
	a.schedule(now)
}

// unsent takes back a run of which the backend server received nothing.
func (a *Agent) unsent(j *job, err error) {
	now := time.Now()
	outcome := wire.Outcome_OUTCOME_UNKNOWN
	if a.state.table.Unsent(now, j.id) == nil {
		outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	a.state.queue.Done(admission.AttemptID(j.id), 0)
	delete(a.state.jobs, j.id)
	a.state.prompts.end(j.id, false, now)
	for _, conn := range j.watchers {
		a.sendRefused(conn, j.id, j.dispatch, outcome, refusal{
			reason:  wire.RefusalReason_REFUSAL_REASON_ENGINE,
			message: err.Error(),
		})
	}
	a.schedule(now)
}

var _ transport.FrameHandler = (*Agent)(nil)
