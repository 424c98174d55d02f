package gateway

// Event names of the log lines of this package. docs/OPERATIONS.md lists their fields.
const (
	EventStart = "start"
	EventStop  = "stop"
	EventDrain = "drain"
	// EventRequestsEnded reports that requests are still running near the end of the grace time.
	EventRequestsEnded = "requests_ended"
	EventReload        = "reload"
	EventReady         = "ready"
	EventServed        = "request_served"
	EventFailed        = "request_failed"
	EventRefused       = "request_refused"
	EventDenied        = "request_denied"
	EventCancelled     = "request_cancelled"
	EventBrokenOff     = "request_broken_off"
	// EventCallerCutOff reports a caller that was behind in reading its response and is cut off.
	EventCallerCutOff = "caller_cut_off"
	EventRetry        = "request_retried"
	EventResumed      = "stream_resumed"
	EventMalformed    = "request_malformed"
	// EventResetFailed reports that a caller without chunks may take a broken response for a complete one.
	EventResetFailed = "caller_reset_failed"
	EventMetricsOff  = "metrics_unavailable"
	// EventResponseSkipped reports responses of a server that belong to no request in progress.
	EventResponseSkipped = "server_response_skipped"
	// EventMalformedHeader reports a header of a server's response that was ignored.
	EventMalformedHeader = "server_header_malformed"
)
