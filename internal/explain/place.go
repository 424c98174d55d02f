package explain

// Place states where a gateway would send a request now, and why. Nothing was sent.
type Place struct {
	Instance string `json:"instance"`
	// Configuration is the version in force at the gateway. ConfigurationAgeMS is the time since the metadata store is known
	// to have had no later one.
	Configuration      int64   `json:"configuration"`
	ConfigurationAgeMS float64 `json:"configuration_age_ms"`
	Route              string  `json:"route"`
	Kind               string  `json:"kind"`
	// Organisation is empty on routes without API keys.
	Organisation string `json:"organisation,omitempty"`
	// Priority is the one in force and PrioritySource where it is from: "request", "organisation" or "route". Without load shedding it
	// doesn't count for requests to plain services, which PriorityUnused states.
	Priority       int     `json:"priority"`
	PrioritySource string  `json:"priority_source"`
	PriorityUnused bool    `json:"priority_unused,omitempty"`
	TargetMS       float64 `json:"target_ms"`
	TimeLeftMS     float64 `json:"time_left_ms"`
	PromptTokens   int     `json:"prompt_tokens,omitempty"`
	OutputTokens   int     `json:"output_tokens,omitempty"`
	// Stream is set for the rest of a stream.
	Stream *Stream `json:"stream,omitempty"`
	// KeyUnchecked reports that requests of the organisation's API keys that crashed servers weren't compared, because the request
	// states no key.
	KeyUnchecked bool `json:"key_unchecked,omitempty"`
	// Services are those of the route's split; for the rest of a stream the one that began it, or none if Stream has a refusal.
	Services []Service `json:"services"`
}

// Stream states where a stream began whose rest is requested.
type Stream struct {
	LastEventID string `json:"last_event_id"`
	Resumes     string `json:"resumes,omitempty"`
	// Ignored is set if streams of the route can't be taken up: the request counts as one for the whole stream.
	Ignored bool `json:"ignored,omitempty"`
	// Service and SoftwareVersion are those of the server that wrote the first event; empty if unknown.
	Service         string `json:"service,omitempty"`
	SoftwareVersion string `json:"software_version,omitempty"`
	// Refusal is nil unless no service may continue the stream.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Service states where a request to one service of its route would be placed now, and why. All times are in milliseconds.
type Service struct {
	Name string `json:"service"`
	// Share is the part of the route's requests that goes to the service, from 0 to 1.
	Share float64 `json:"share"`
	// Sheds reports that the gateway uses load shedding.
	Sheds bool `json:"sheds,omitempty"`
	// Pass is the search pass that decided; empty if the service has no servers.
	Pass string `json:"pass,omitempty"`
	// Server is the one that the search picked; empty if none is usable. The request goes there unless Refusal is set.
	Server string `json:"server,omitempty"`
	// Score includes a random term below 1 ms, Candidates is the number of servers scored in the same pass.
	Score       float64 `json:"score_ms,omitempty"`
	Candidates  int     `json:"candidates"`
	PredictedMS float64 `json:"predicted_ms,omitempty"`
	// RunUnconfirmed reports that it would first be confirmed, by the server's report or the metadata store, that the server is still in
	// the run that it registered. If it isn't, the request goes elsewhere.
	RunUnconfirmed bool `json:"run_unconfirmed,omitempty"`
	// Home is the failure domain whose stores hold most of the prompt; empty if that is little.
	Home string `json:"home,omitempty"`
	// Refusal is nil if the request would be placed.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Total is the number of servers of the service, Usable that of those without a filter.
	Total  int `json:"servers_total"`
	Usable int `json:"servers_usable"`
	// Servers lists the picked server and those without a filter, the lowest score first, then the others. Omitted is how many are
	// left out.
	Servers []Server `json:"servers"`
	Omitted int      `json:"servers_omitted"`
}

// Server is one server of a service as a placement sees it.
type Server struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Picked        bool   `json:"picked,omitempty"`
	// Filters name what excludes the server. UsableInLastPass reports that none of it holds in the last pass.
	Filters          []string `json:"filters,omitempty"`
	UsableInLastPass bool     `json:"usable_in_last_pass,omitempty"`
	// Score is nil if the server is excluded from all passes.
	Score *Score `json:"score,omitempty"`
	// OverloadedMS is by how much the request would exceed its limit at the server; 0 if it wouldn't. It is set where Score is.
	OverloadedMS float64 `json:"overloaded_by_ms,omitempty"`
	// SampledShare is the probability that the server is a candidate in the passes that sample; 1 for engines assigned to the
	// gateway and for plain servers.
	SampledShare float64 `json:"sampled_share"`
	// Grant is what the server needs: empty for none, "at_hand" or "to_be_asked".
	Grant string `json:"grant,omitempty"`
	// AboveBound reports that the gateway has sent the server as many requests within a second as it should.
	AboveBound bool `json:"above_send_bound,omitempty"`
}

// Score is a server's score with its parts. TotalMS is the sum of all parts whose names end in _ms. Times of the server include
// Speed and Slowness as factors.
type Score struct {
	TotalMS       float64 `json:"total_ms"`
	WaitMS        float64 `json:"wait_ms"`
	ComputeMS     float64 `json:"compute_ms"`
	FetchMS       float64 `json:"fetch_ms"`
	MemoryWaitMS  float64 `json:"memory_wait_ms"`
	SlotWaitMS    float64 `json:"slot_wait_ms"`
	DistanceMS    float64 `json:"distance_penalty_ms"`
	SuspectMS     float64 `json:"suspect_penalty_ms"`
	MigrationMS   float64 `json:"weights_penalty_ms"`
	WarmUpMS      float64 `json:"warm_up_penalty_ms"`
	AskMS         float64 `json:"ask_penalty_ms"`
	AboveBoundMS  float64 `json:"above_bound_penalty_ms"`
	Speed         float64 `json:"speed"`
	Slowness      float64 `json:"slowness"`
	WeightVersion int64   `json:"weight_version,omitempty"`
}

// Refusal is a refusal with its inputs.
type Refusal struct {
	Reason       string  `json:"reason"`
	RetryAfterMS float64 `json:"retry_after_ms"`
	// Server is the best one for a request refused because of overload. The tokens are those that wait or are reserved there.
	Server             string  `json:"server,omitempty"`
	PredictedMS        float64 `json:"predicted_ms,omitempty"`
	WaitMS             float64 `json:"wait_ms,omitempty"`
	WaitingTokens      int     `json:"waiting_tokens,omitempty"`
	PeerWaitingTokens  int     `json:"waiting_tokens_by_others,omitempty"`
	ReservedTokens     int     `json:"reserved_tokens,omitempty"`
	PeerReservedTokens int     `json:"reserved_tokens_by_others,omitempty"`
	// GrantFrom is the server for which the gateway would ask for a grant before it refuses the request.
	GrantFrom string `json:"grant_asked_for,omitempty"`
	// Otherwise is the server that the request goes to if no owner of a cold server grants it. The request is refused only if it is
	// empty.
	Otherwise string `json:"without_grant,omitempty"`
	// Part is the held part of a quarantined request.
	Part string `json:"part,omitempty"`
	// Shed is what load shedding decided by; nil if something else decided.
	Shed *Shed `json:"shed,omitempty"`
}

// Shed holds the inputs and the result of a decision of load shedding.
type Shed struct {
	Cause  string  `json:"cause"`
	OverMS float64 `json:"over_ms"`
	// LimitMS is what the time that decided is compared with.
	LimitMS float64 `json:"limit_ms"`
	// Repeated reports that the caller has come back after a refusal. BehindPriority reports that a request to a plain service leaves a
	// part of the queue to higher priorities. MemoryLeftFree is the share of an engine's memory that it leaves free.
	Repeated         bool    `json:"repeated"`
	BehindPriority   bool    `json:"behind_priority"`
	MemoryLeftFree   float64 `json:"memory_left_free"`
	WaitedMS         float64 `json:"waited_ms"`
	Priority         int     `json:"priority"`
	TopPriority      int     `json:"top_priority"`
	TimeLeftMS       float64 `json:"time_left_ms"`
	TargetMS         float64 `json:"target_ms"`
	ShortestTargetMS float64 `json:"shortest_target_ms"`
	PredictedMS      float64 `json:"predicted_ms"`
	WaitMS           float64 `json:"wait_ms"`
	MemoryWaitMS     float64 `json:"memory_wait_ms"`
}
