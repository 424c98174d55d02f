package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/kvcache"
)

// Call holds what the headers of a caller's request state, beyond method, path and body.
type Call struct {
	// ID is the id that the caller gave this attempt.
	ID string
	// Resumes is the id of the request that brought the first event of the stream that the caller takes up again; empty when there
	// is none.
	Resumes string
	// APIKey is the API key; empty when there is none.
	APIKey string
	// MaxWait is how long the caller waits for the response; zero when not given.
	MaxWait time.Duration
	// Model, PromptTokens, OutputTokens and Parts are set for requests to model engines.
	Model        string
	PromptTokens int
	OutputTokens int
	Parts        []kvcache.Part
}

// Dispatch holds the values that the gateway adds to a request for one backend server.
type Dispatch struct {
	// Server is the id of the server; a server with another id refuses the request.
	Server string
	// Organisation is empty on routes without API keys.
	Organisation string
	// TimeLeft is the time until the request's deadline, within which the server must respond.
	TimeLeft time.Duration
	// Priority is from 0 to 9, where 0 is served first; negative when it isn't set.
	Priority int
	// Version is the weight version that the server must have; zero for plain services.
	Version int64
	// Salt separates KV cache entries by isolated organisation and weight version.
	Salt string
	// Plan lists the parts of the prompt that are fetched and saved; nil for none.
	Plan *kvcache.Plan
	// FetchUntilMS is the end of Plan's fetches on the servers' clock, in Unix milliseconds.
	FetchUntilMS int64
	// LastEventID is the id of the last event that the caller has received; empty for a new run.
	LastEventID string
}

// ResponseMeta holds what the headers of a backend server's response state, beyond status and body.
type ResponseMeta struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Signed is set when the response has the server's signature.
	Signed bool
	// NotRun is set when the server did not and will not run the request.
	NotRun bool
	// Encoded is set when the body has a content encoding and so isn't the server's own.
	Encoded bool
	// Load is valid when HasLoad is set.
	Load    backend.Load
	HasLoad bool
	// Version is the weight version that ran the request; zero when not given.
	Version int64
	// IdleTimeout is how long the server keeps an idle connection open; zero when not given.
	IdleTimeout time.Duration
	// Leaving is set when the server is about to stop and takes no new requests.
	Leaving bool
	// RetryAfter is how long a server that refused a request asks this gateway to send it none; zero when not given.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the server takes from all gateways together; valid when HasLimit is set.
	Limit    float64
	HasLimit bool
	// ColdFor is how much longer the server is cold, valid when HasCold is set. ColdUnreadable is set when the server states
	// that in a way that can't be read.
	ColdFor        time.Duration
	HasCold        bool
	ColdUnreadable bool
	// Malformed is the name of a header that was ignored because its value can't be parsed; empty when there is none.
	Malformed string
}

// Protocol translates the headers of requests and responses.
type Protocol interface {
	// ReadCall reads the header of a caller's request. It returns ErrBadRequest for headers that contradict each
	// other or can't be parsed.
	ReadCall(h *fasthttp.RequestHeader) (Call, error)
	// ForwardRequest writes to out the header that a backend server gets for the caller's header in.
	ForwardRequest(out, in *fasthttp.RequestHeader, d *Dispatch)
	// ReadResponse reads the header of a server's response.
	ReadResponse(h *fasthttp.ResponseHeader) ResponseMeta
	// ForwardResponse writes to out the header that the caller gets for a server's header in.
	ForwardResponse(out, in *fasthttp.ResponseHeader)
	// ReadyPath returns the path at which the load balancer checks whether the instance accepts connections.
	ReadyPath() string
}
