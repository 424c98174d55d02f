package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/backend"
	"balsamyoke.example/balsamyoke/internal/kvcache"
)

// Call is what a caller's request says of itself beyond method, path and body.
type Call struct {
	// ID is the caller's id of this attempt.
	ID string
	// Key is the API key; empty when there is none.
	Key string
	// Deadline is how long the caller waits; zero when it doesn't say.
	Deadline time.Duration
	// Model, PromptTokens, OutputTokens and Parts are set for requests to model engines.
	Model        string
	PromptTokens int
	OutputTokens int
	Parts        []kvcache.Part
}

// Dispatch is what the system adds to a request for one backend server.
type Dispatch struct {
	// Server is the id that must answer; any other server refuses the request.
	Server string
	// Organisation is empty on routes without API keys.
	Organisation string
	// Left is how long the server may work.
	Left time.Duration
	// Priority is from 0 to 9, 0 first; negative when it isn't set.
	Priority int
	// Version is the weight version that the server must have; zero for plain services.
	Version int64
	// Salt keeps KV cache apart by organisation and weight version.
	Salt string
	// Plan says which parts of the prompt are fetched and saved; nil for none.
	Plan *kvcache.Plan
	// FetchUntilMS is the end of Plan's fetches on the servers' clock, in Unix milliseconds.
	FetchUntilMS int64
	// ResumeAfter is the id of the last event that the caller has; empty for a new run.
	ResumeAfter string
}

// Answer is what a backend server's answer says of itself beyond status and body.
type Answer struct {
	// RequestID is the id that the answer belongs to.
	RequestID string
	// Stamped tells that the answer bears the server's signature.
	Stamped bool
	// NotRun tells that the server did not and will not run the request.
	NotRun bool
	// Encoded tells that the body isn't the server's own.
	Encoded bool
	// Load is valid when HasLoad is set.
	Load    backend.Load
	HasLoad bool
	// Version is the weight version of the run; zero when the server doesn't say.
	Version int64
	// IdleFor is how long the server keeps an idle connection open; zero when it doesn't say.
	IdleFor time.Duration
}

// Protocol translates the headers of requests and answers.
type Protocol interface {
	// ReadCall returns ErrBadRequest for headers that contradict each other or can't be read.
	ReadCall(h *fasthttp.RequestHeader) (Call, error)
	// Forward fills out with the caller's header as a backend server gets it.
	Forward(out, in *fasthttp.RequestHeader, d *Dispatch)
	// ReadAnswer reads the header of a server's answer.
	ReadAnswer(h *fasthttp.ResponseHeader) Answer
	// Return fills out with a server's header as the caller gets it.
	Return(out, in *fasthttp.ResponseHeader)
	// ReadyPath is where the balancer asks whether the instance takes connections.
	ReadyPath() string
}
