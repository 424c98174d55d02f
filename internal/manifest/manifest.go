// Package manifest defines the operators' configuration: its types, its published schema, its validation and
// an index for lookups on the request path. balsamctl writes manifests; entries and agents read them.
package manifest

// ServiceType distinguishes model services from plain services.
type ServiceType string

// The service types.
const (
	ServiceModel ServiceType = "model"
	ServicePlain ServiceType = "plain"
)

// Urgency defines whether a caller waits for the first token.
type Urgency string

// The urgencies.
const (
	Urgent  Urgency = "urgent"
	Patient Urgency = "patient"
)

// Organisation is a customer of the operators.
type Organisation struct {
	Name string `json:"name"`
	// KeyDigests are the SHA-256 digests, in lower-case hex, of the organisation's bearer keys.
	KeyDigests []string `json:"key_digests"`
	// Share is the weight of the organisation in fair queues; the default is 1.
	Share float64 `json:"share,omitempty"`
	// RequestsPerSecond limits the organisation's requests over all entries; 0 means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond limits prompt and response tokens over all entries; 0 means no limit.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Services lists the services that the organisation may call; empty means all.
	Services []string `json:"services,omitempty"`
}

// Service is a model or a plain service behind the entries.
type Service struct {
	Name string      `json:"name"`
	Type ServiceType `json:"type"`
	// WeightVersion is the weight version that new requests use; model services only.
	WeightVersion string `json:"weight_version,omitempty"`
	// Adapters are the adapters that replicas of the service load; model services only.
	Adapters []string `json:"adapters,omitempty"`
	// Replicas is the desired number of replicas that serve WeightVersion.
	Replicas int `json:"replicas,omitempty"`
	// MaxConcurrentLoads bounds how many replicas load weights at once.
	MaxConcurrentLoads int `json:"max_concurrent_loads,omitempty"`
	// ChecksFence reports whether the backend server refuses orders with an old fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// Kind is a kind of request that callers may send to a service.
type Kind struct {
	Name       string  `json:"name"`
	Service    string  `json:"service"`
	Urgency    Urgency `json:"urgency"`
	Idempotent bool    `json:"idempotent"`
	// DeadlineMS is the time allowed for the first token or the plain response, in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
	// MaxTokens bounds the tokens of the response to a model request.
	MaxTokens int `json:"max_tokens,omitempty"`
}

// Manifest is the complete configuration of a deployment.
type Manifest struct {
	Deployment    string         `json:"deployment"`
	Organisations []Organisation `json:"organisations"`
	Services      []Service      `json:"services"`
	Kinds         []Kind         `json:"kinds"`
	// ClaimTTLSeconds is the maximum age of an idempotency key, in seconds; at most 24 hours, the lifetime
	// of claims.
	ClaimTTLSeconds int `json:"claim_ttl_seconds,omitempty"`
	// GraceSeconds is how long, in seconds, a leaving process lets its streams finish.
	GraceSeconds int `json:"grace_seconds,omitempty"`
	// PieceBytes is the size of a prompt piece in bytes of canonical text. A token has about four bytes.
	PieceBytes int `json:"piece_bytes,omitempty"`
}
