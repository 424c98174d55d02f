// Package engineserver is a stand-in for a model engine. It simulates continuous batching, a prefix cache in
// pieces, priorities, resumed and cancelled streams, export and import of KV cache, late cache events with gaps,
// lagging load reports, and orders with or without a fence check. Its answers come from package answer, its
// times from its settings.
package engineserver

// Settings configures the engine.
type Settings struct {
	Listen string `json:"listen" long:"listen"`
	// PrefillTokensPerSecond is the prefill speed; one run is prefilled at a time.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second" long:"prefill-tokens-per-second"`
	// DecodeMS is the time between two tokens of a run, in milliseconds.
	DecodeMS float64 `json:"decode_ms" long:"decode-ms"`
	// Slots is the maximum number of runs in the batch.
	Slots int `json:"slots" long:"slots"`
	// MaxWaiting is the maximum number of runs that wait for the batch; 0 means no limit.
	MaxWaiting int `json:"max_waiting" long:"max-waiting"`
	// CachePieces is the capacity of the prefix cache, in pieces.
	CachePieces int `json:"cache_pieces" long:"cache-pieces"`
	// PieceTokens is the number of tokens in a piece.
	PieceTokens int `json:"piece_tokens" long:"piece-tokens"`
	// KVBytesPerPiece is the size of an exported piece.
	KVBytesPerPiece int `json:"kv_bytes_per_piece" long:"kv-bytes-per-piece"`
	// LoadLagMS is how long a load report is reused, in milliseconds.
	LoadLagMS int `json:"load_lag_ms" long:"load-lag-ms"`
	// EventLagMS is the delay of cache events, in milliseconds.
	EventLagMS int `json:"event_lag_ms" long:"event-lag-ms"`
	// DropEvery drops every n-th cache event; 0 drops none.
	DropEvery int `json:"drop_every" long:"drop-every"`
	// ChecksFence makes the engine refuse orders with a stale fencing token.
	ChecksFence bool `json:"checks_fence" long:"checks-fence"`
	// LoadMS is the time to load a weight version at full speed, in milliseconds.
	LoadMS int `json:"load_ms" long:"load-ms"`
	// WeightsAddress is the ip:port of the weight store; empty means none.
	WeightsAddress string `json:"weights_address" long:"weights-address"`
	// WeightVersion is loaded when the engine starts.
	WeightVersion string   `json:"weight_version" long:"weight-version"`
	Adapters      []string `json:"adapters" long:"adapters"`
	Role          string   `json:"role" long:"role"`
}

// Defaults of settings that are zero.
const (
	defaultPrefillTokensPerSecond = 20000
	defaultSlots                  = 16
	defaultCachePieces            = 1024
	defaultPieceTokens            = 1000
	defaultKVBytesPerPiece        = 16 << 10
)

func (s Settings) withDefaults() Settings {
	if s.PrefillTokensPerSecond <= 0 {
		s.PrefillTokensPerSecond = defaultPrefillTokensPerSecond
	}
	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}
	if s.CachePieces <= 0 {
		s.CachePieces = defaultCachePieces
	}
	if s.PieceTokens <= 0 {
		s.PieceTokens = defaultPieceTokens
	}
	if s.KVBytesPerPiece <= 0 {
		s.KVBytesPerPiece = defaultKVBytesPerPiece
	}
	return s
}
