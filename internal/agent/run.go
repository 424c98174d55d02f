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
	// engineStallTimeout is the time without a token in a stream after which the run is cancelled.
	engineStallTimeout = 3 * time.Second
	// maxChunkBytes is the maximum size of the chunks in which plain responses are sent.
	maxChunkBytes = 64 << 10
	// urgentPriority and patientPriority order runs in the engine; lower values run first.
	urgentPriority  = 0
	patientPriority = 10
)

// run executes one attempt on its own traffic goroutine.
type run struct {
	agent        *Agent
	job          *job
	timeInQueue  time.Duration
	nextSequence uint32
	// stallTimer cancels the run when the engine sends no token for engineStallTimeout; nil before the first token.
	stallTimer *time.Timer
}

// execute runs the attempt and reports its end to the control goroutine and the entry.
func (r *run) execute(ctx context.Context) {
	defer r.job.cancel()
	r.nextSequence = r.job.dispatch.GetResumeTokens()
	if r.agent.isModel() {
		r.runModel(ctx)
		return
	}
	r.runPlain(ctx)
}

func (r *run) runModel(ctx context.Context) {
	d := r.job.dispatch
	linkBytes := r.awaitFetch(ctx)
	r.agent.loop.Post(func() { r.agent.markPrefillSent(r.job, time.Now()) })
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
	if r.stallTimer != nil {
		r.stallTimer.Stop()
	}
	if err != nil {
		r.handleModelError(err)
		return
	}
	r.finish(&wire.Done{
		Outcome:        wire.Outcome_OUTCOME_DONE,
		FinishReason:   usage.FinishReason,
		CachedTokens:   usage.CachedTokens,
		ComputedTokens: usage.PromptTokens - min(usage.CachedTokens, usage.PromptTokens),
		LinkBytes:      linkBytes,
	})
}

func priority(urgency wire.Urgency) int {
	if urgency == wire.Urgency_URGENCY_PATIENT {
		return patientPriority
	}
	return urgentPriority
}

// token sends one token of the engine to the entry. A send error ends only an idempotent run.
func (r *run) token(_ uint32, text []byte) error {
	if r.stallTimer == nil {
		now := time.Now()
		r.agent.loop.Post(func() { r.agent.state.prefills.remove(r.job.id, true, now) })
		r.stallTimer = time.AfterFunc(engineStallTimeout, r.job.cancel)
	}
	r.stallTimer.Reset(engineStallTimeout)
	err := r.chunk(text)
	if r.job.dispatch.GetIdempotent() {
		return err
	}
	return nil
}

// addPrefill adds the prompt of a starting run to the engine's predicted work.
func (a *Agent) addPrefill(j *job, now time.Time) {
	if !a.isModel() {
		return
	}
	ttft, _ := a.estimate(j.dispatch, now)
	a.state.prefills.add(j.id, ttft, j.dispatch.GetUrgency())
}

// markPrefillSent updates the estimate of the prompt's work after its pieces were imported.
func (a *Agent) markPrefillSent(j *job, now time.Time) {
	ttft, _ := a.estimate(j.dispatch, now)
	a.state.prefills.markSent(j.id, ttft, now)
}

// chunk sends the next part of the response and records it if a caller may ask for it again.
func (r *run) chunk(data []byte) error {
	sequence := r.nextSequence
	r.nextSequence++
	chunk := &wire.Chunk{AttemptId: r.job.id[:], Sequence: sequence, Data: append([]byte(nil), data...)}
	if isRecorded(r.job.dispatch) {
		r.agent.loop.Post(func() { r.agent.recordChunk(r.job, chunk) })
		return nil
	}
	return r.job.conn.Send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: chunk}})
}

func (r *run) handleModelError(err error) {
	notStarted := errorx.IsOfType(err, engine.ErrUnreachable) ||
		errorx.IsOfType(err, engine.ErrVersionNotLoaded) ||
		errorx.IsOfType(err, engine.ErrRefused)
	if notStarted {
		r.reportUnsent(err)
		return
	}
	r.finish(&wire.Done{Outcome: wire.Outcome_OUTCOME_FAILED, Message: err.Error()})
}

func (r *run) runPlain(ctx context.Context) {
	d := r.job.dispatch
	response, err := r.agent.plain.Call(ctx, plain.Request{
		RequestID:   requestIDOf(d),
		Method:      d.GetMethod(),
		Path:        d.GetPath(),
		ContentType: d.GetContentType(),
		Body:        d.GetPayload(),
	})
	switch {
	case errorx.IsOfType(err, plain.ErrNotSent):
		r.reportUnsent(err)
	case err != nil:
		r.finish(&wire.Done{Outcome: wire.Outcome_OUTCOME_FAILED, Message: err.Error()})
	default:
		r.sendPlainResponse(response)
	}
}

func (r *run) sendPlainResponse(response plain.Response) {
	body := response.Body
	for len(body) > 0 {
		part := body[:min(len(body), maxChunkBytes)]
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

// finish records the end of a run, then reports it to the entry.
func (r *run) finish(done *wire.Done) {
	done.AttemptId = r.job.id[:]
	done.Chunks = r.nextSequence
	done.QueueMs = uint32(r.timeInQueue.Milliseconds())
	r.agent.loop.Post(func() { r.agent.handleFinished(r.job, done) })
}

// reportUnsent records that the backend server received nothing, then reports it to the entry.
func (r *run) reportUnsent(err error) {
	r.agent.loop.Post(func() { r.agent.handleUnsent(r.job, err) })
}

// handleFinished records the end of a run, on the control goroutine.
func (a *Agent) handleFinished(j *job, done *wire.Done) {
	now := time.Now()
	slotTime := now.Sub(j.started)
	if done.GetOutcome() == wire.Outcome_OUTCOME_DONE {
		a.counters.finished.Inc(1)
		a.recordCached(j, now)
	} else {
		a.counters.failed.Inc(1)
		slotTime = 0
	}
	a.recordDecision(j.id, j.dispatch, "end", endDetail{
		Outcome:        done.GetOutcome().String(),
		QueueMS:        done.GetQueueMs(),
		RunMS:          now.Sub(j.started).Milliseconds(),
		CachedTokens:   done.GetCachedTokens(),
		ComputedTokens: done.GetComputedTokens(),
		LinkBytes:      done.GetLinkBytes(),
		Message:        done.GetMessage(),
	})
	_ = a.state.runTable.Finish(now, j.id, done)
	a.state.queue.Done(admission.AttemptID(j.id), float64(slotTime.Milliseconds()))
	delete(a.state.jobs, j.id)
	a.state.prefills.remove(j.id, false, now)
	j.broadcast(&wire.Frame{Body: &wire.Frame_Done{Done: done}})
	a.schedule(now)
}

// handleUnsent reverts the start of a run whose backend server received nothing.
func (a *Agent) handleUnsent(j *job, err error) {
	now := time.Now()
	outcome := wire.Outcome_OUTCOME_UNKNOWN
	if a.state.runTable.Unsent(now, j.id) == nil {
		outcome = wire.Outcome_OUTCOME_NOT_RUN
	}
	a.state.queue.Done(admission.AttemptID(j.id), 0)
	delete(a.state.jobs, j.id)
	a.state.prefills.remove(j.id, false, now)
	for _, conn := range j.watchers {
		a.sendRefused(conn, j.id, j.dispatch, outcome, refusal{
			reason:  wire.RefusalReason_REFUSAL_REASON_ENGINE,
			message: err.Error(),
		})
	}
	a.schedule(now)
}

var _ transport.FrameHandler = (*Agent)(nil)
