package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/metrics"
)

// counters are the metrics of the request path. tally keeps one metric for each set of tags.
type counters struct {
	scope         tally.Scope
	malformed     tally.Counter
	cancelled     tally.Counter
	brokenOff     tally.Counter
	retries       tally.Counter
	skipped       tally.Counter
	fetchedTokens tally.Counter
	prefillTokens tally.Counter
	savedParts    tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope:         scope,
		malformed:     scope.Counter("requests_malformed"),
		cancelled:     scope.Counter("requests_cancelled"),
		brokenOff:     scope.Counter("requests_broken_off"),
		retries:       scope.Counter("retries"),
		skipped:       scope.Counter("responses_skipped"),
		fetchedTokens: scope.Counter("prompt_tokens_fetched"),
		prefillTokens: scope.Counter("prompt_tokens_read"),
		savedParts:    scope.Counter("cache_parts_saved"),
	}
}

// recordServed counts a complete response and records its latencies. took is the time from the receipt of the
// request to the end of the response.
func (c *counters) recordServed(r *request, res *exchangeResult, took time.Duration) {
	c.countRequest(r, res.status)
	kind := c.scope.Tagged(map[string]string{"kind": r.route.Kind.String()})
	kind.Histogram("first_byte", metrics.LatencyBuckets).RecordDuration(res.firstByteAfter)
	kind.Histogram("whole_answer", metrics.LatencyBuckets).RecordDuration(took)
	if over := res.firstByteAfter - r.placement.PredictedTTFB; over > 0 {
		kind.Histogram("first_byte_over_prediction", metrics.LatencyBuckets).RecordDuration(over)
	} else {
		kind.Histogram("first_byte_under_prediction", metrics.LatencyBuckets).RecordDuration(-over)
	}
	if p := r.placement.Plan; p != nil {
		c.fetchedTokens.Inc(int64(p.FetchTokens))
		c.prefillTokens.Inc(int64(p.PrefillTokens))
		if p.Gap != "" {
			c.scope.Tagged(map[string]string{"reason": string(p.Gap)}).Counter("shared_prompt_tokens_read").Inc(int64(p.GapTokens))
		}
		for _, address := range p.Save {
			if address != "" {
				c.savedParts.Inc(1)
			}
		}
	}
}

func (c *counters) recordFailed(r *request, status int) { c.countRequest(r, status) }

func (c *counters) countRequest(r *request, status int) {
	c.scope.Tagged(map[string]string{
		"route": r.route.Name, "kind": r.route.Kind.String(), "status": strconv.Itoa(status),
	}).Counter("requests").Inc(1)
}

// recordMalformedHeader counts a header of a server that was ignored, or a part of it that was.
func (c *counters) recordMalformedHeader(name string) {
	c.scope.Tagged(map[string]string{"header": name}).Counter("server_headers_malformed").Inc(1)
}

// recordShed counts a request that load shedding refused, by the rule that decided and by whether the request yields to those with a
// shorter target or its caller has come back.
func (c *counters) recordShed(shed *dispatch.Shed) {
	if shed != nil {
		c.scope.Tagged(map[string]string{
			"cause": string(shed.Decision.Cause), "yields": strconv.FormatBool(shed.Service.Yields(shed.Request)),
			"repeated": strconv.FormatBool(shed.Request.Repeats()),
		}).Counter("requests_shed").Inc(1)
	}
}

func (c *counters) recordRefusal(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
}
