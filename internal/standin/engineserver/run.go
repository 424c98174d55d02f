package engineserver

import (
	"context"
	"time"

	"balsamyoke.example/balsamyoke/internal/standin/answer"
)

// Prefixes of each token of an answer that was computed from a cached piece it must not use.
const (
	markCorrupt = "CORRUPT " // a piece whose bytes are wrong
	markLeak    = "LEAK "    // a piece of another organisation
	markStale   = "STALE "   // a piece of another weight version
)

// Reasons why a run ended.
const (
	finishStop      = "stop"
	finishCancelled = "cancelled"
)

// ChatRequest is the body of a chat completion call.
type ChatRequest struct {
	Messages      []answer.Message `json:"messages"`
	Stream        bool             `json:"stream"`
	MaxTokens     int              `json:"max_tokens"`
	Priority      int              `json:"priority"`
	CacheSalt     string           `json:"cache_salt"`
	PieceNames    []string         `json:"piece_names"`
	WeightVersion string           `json:"weight_version"`
	Adapter       string           `json:"adapter"`
	ResumeTokens  int              `json:"resume_tokens"`
}

// Usage counts the tokens of a run. CompletionTokens counts the tokens that this run sent.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails reports how many tokens of the prompt came from the cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// run is one request in the engine.
type run struct {
	id            string
	request       ChatRequest
	version       string
	answer        answer.Answer
	mark          string
	usage         Usage
	backlogTokens int // prompt tokens not computed yet; the engine's mutex guards it
}

// execute waits for a slot in the batch, prefills the prompt and emits the answer token by token. It returns the
// reason why the run ended.
func (e *Engine) execute(ctx context.Context, r *run, emit func(token string) error) string {
	if e.slots.Acquire(ctx, r.request.Priority) != nil {
		return finishCancelled
	}
	defer e.slots.Release()
	if e.prefill(ctx, r) != nil {
		return finishCancelled
	}
	next := time.Now()
	for i := r.request.ResumeTokens; i < r.answer.Length(); i++ {
		next = next.Add(e.scaled(e.settings.DecodeMS * float64(time.Millisecond)))
		if e.pauseUntil(ctx, next) != nil {
			return finishCancelled
		}
		if err := emit(r.mark + r.answer.Token(i)); err != nil {
			return finishCancelled
		}
		r.usage.CompletionTokens++
	}
	return finishStop
}

// prefill computes the part of the prompt that is not cached. Only one run prefills at a time.
func (e *Engine) prefill(ctx context.Context, r *run) error {
	if err := e.prefillSlot.Acquire(ctx, r.request.Priority); err != nil {
		return err
	}
	defer e.prefillSlot.Release()
	cached := e.useCache(r)
	remaining := r.usage.PromptTokens + r.request.ResumeTokens - r.usage.PromptTokensDetails.CachedTokens
	next := time.Now()
	for index := cached; remaining > 0; index++ {
		step := min(remaining, e.settings.PieceTokens)
		next = next.Add(e.scaled(float64(step) / e.settings.PrefillTokensPerSecond * float64(time.Second)))
		if err := e.pauseUntil(ctx, next); err != nil {
			return err
		}
		remaining -= step
		e.recordComputed(r, index, step)
	}
	return nil
}

// useCache looks up the prompt's pieces and returns the length of the cached prefix, in pieces.
func (e *Engine) useCache(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.cachedPrefix(r.request.PieceNames)
	for _, p := range hits {
		r.mark = markFor(r, p)
		if p.salt == "" {
			p.salt, p.version = r.request.CacheSalt, r.version
		}
	}
	cachedTokens := min(len(hits)*e.settings.PieceTokens, r.usage.PromptTokens)
	r.usage.PromptTokensDetails.CachedTokens = cachedTokens
	r.backlogTokens = r.usage.PromptTokens - cachedTokens
	return len(hits)
}

func markFor(r *run, p *piece) string {
	switch {
	case r.mark != "":
		return r.mark
	case p.content != nil:
		return markCorrupt
	case p.salt == "":
		return ""
	case p.salt != r.request.CacheSalt:
		return markLeak
	case p.version != r.version:
		return markStale
	default:
		return ""
	}
}

// recordComputed counts computed tokens. It caches the piece at index unless the piece is incomplete.
func (e *Engine) recordComputed(r *run, index, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.backlogTokens = max(0, r.backlogTokens-tokens)
	if index >= len(r.request.PieceNames) || tokens < e.settings.PieceTokens {
		return
	}
	e.cache.store(piece{name: r.request.PieceNames[index], salt: r.request.CacheSalt, version: r.version}, time.Now())
}

// scaled returns a duration, given in nanoseconds, multiplied by the slow factor.
func (e *Engine) scaled(nanoseconds float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(nanoseconds * e.slowFactor)
}

// pauseUntil waits until t, then until the engine is not frozen. It returns an error when ctx ends first.
func (e *Engine) pauseUntil(ctx context.Context, t time.Time) error {
	if wait := time.Until(t); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-thawed:
		return ctx.Err()
	}
}
