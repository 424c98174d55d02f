package engine

import (
	"encoding/json"
	"time"
)

// Body members that the agent adds to the caller's chat request.
const (
	memberStream        = "stream"
	memberPriority      = "priority"
	memberCacheSalt     = "cache_salt"
	memberPieceNames    = "piece_names"
	memberWeightVersion = "weight_version"
	memberAdapter       = "adapter"
	memberResumeTokens  = "resume_tokens"
	memberMaxTokens     = "max_tokens"
)

// RunRequest is one run of a chat request.
type RunRequest struct {
	// RequestID identifies the run for Cancel.
	RequestID string
	// Body is the caller's chat request as JSON; the fields below are set in it.
	Body []byte
	// Priority orders runs in the engine; lower values run first.
	Priority int
	// CacheSalt isolates organisations from each other in the engine's cache.
	CacheSalt string
	// PieceNames are the names of the prompt's complete leading pieces.
	PieceNames [][]byte
	// WeightVersion and Adapter select the weights that the run uses.
	WeightVersion string
	Adapter       string
	// ResumeTokens is the number of the first token to send.
	ResumeTokens uint32
	// MaxTokens bounds the complete response; 0 leaves the caller's bound.
	MaxTokens uint32
}

// Usage counts the tokens of a run.
type Usage struct {
	PromptTokens uint32
	// CompletionTokens counts the tokens that this run sent.
	CompletionTokens uint32
	// CachedTokens counts the prompt tokens that were served from cache and not computed.
	CachedTokens uint32
	// FinishReason is the engine's reason for the end of the response.
	FinishReason string
}

// LoadReport is the engine's own report of its load, which lags behind.
type LoadReport struct {
	Running              int   `json:"running"`
	Waiting              int   `json:"waiting"`
	PrefillBacklogTokens int   `json:"prefill_backlog_tokens"`
	SampledUnixMS        int64 `json:"sampled_unix_ms"`
}

// Age returns the age of the report at now.
func (r LoadReport) Age(now time.Time) time.Duration {
	return max(0, now.Sub(time.UnixMilli(r.SampledUnixMS)))
}

// CacheEventKind is what happened to a piece.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEvent is one change of the engine's prefix cache. A gap in Sequence means lost events.
type CacheEvent struct {
	Sequence uint64
	Piece    []byte
	Kind     CacheEventKind
}

// CacheState is the exact content of the engine's prefix cache as of Sequence.
type CacheState struct {
	Pieces   [][]byte
	Sequence uint64
}

// OrderKind is the kind of action that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order instructs the engine to load a weight version or an adapter, or to change its role.
type Order struct {
	Fence         uint64    `json:"fence"`
	Kind          OrderKind `json:"kind"`
	WeightVersion string    `json:"weight_version,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	Role          string    `json:"role,omitempty"`
}

// State is the engine's report of its weights, adapters and role.
type State struct {
	WeightVersions []string `json:"weight_versions"`
	// Serving is the version used by runs that do not specify one.
	Serving string `json:"serving"`
	// Loading is the version being loaded; empty when there is none.
	Loading      string   `json:"loading"`
	Adapters     []string `json:"adapters"`
	Role         string   `json:"role"`
	HighestFence uint64   `json:"highest_fence"`
}

// body returns the JSON body of the run. It returns ErrRefused when the chat request is not a JSON object.
func (r RunRequest) body() ([]byte, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &members); err != nil {
		return nil, ErrRefused.Wrap(err, "the chat request is not a JSON object")
	}
	set := func(name string, value any) {
		raw, err := json.Marshal(value)
		if err == nil {
			members[name] = raw
		}
	}
	set(memberStream, true)
	set(memberPriority, r.Priority)
	set(memberCacheSalt, r.CacheSalt)
	set(memberPieceNames, hexNames(r.PieceNames))
	set(memberWeightVersion, r.WeightVersion)
	set(memberAdapter, r.Adapter)
	set(memberResumeTokens, r.ResumeTokens)
	if r.MaxTokens > 0 {
		set(memberMaxTokens, r.MaxTokens)
	}
	return json.Marshal(members)
}
