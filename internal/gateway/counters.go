package gateway

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamyoke.example/balsamyoke/internal/metrics"
)

// counters are those of the request path. tally keeps one metric for each set of tags.
type counters struct {
	scope     tally.Scope
	malformed tally.Counter
	cancelled tally.Counter
	brokenOff tally.Counter
	retries   tally.Counter
	fetched   tally.Counter
	read      tally.Counter
	saved     tally.Counter
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope:     scope,
		malformed: scope.Counter("requests_malformed"),
		cancelled: scope.Counter("requests_cancelled"),
		brokenOff: scope.Counter("requests_broken_off"),
		retries:   scope.Counter("retries"),
		fetched:   scope.Counter("prompt_tokens_fetched"),
		read:      scope.Counter("prompt_tokens_read"),
		saved:     scope.Counter("cache_parts_saved"),
	}
}

// served counts a whole answer with its times.
func (c *counters) served(r *request, end *ending, took time.Duration) {
	c.ended(r, end.status)
	kind := c.scope.Tagged(map[string]string{"kind": r.route.Kind.String()})
	kind.Histogram("first_byte", metrics.LatencyBuckets).RecordDuration(end.firstAfter)
	kind.Histogram("whole_answer", metrics.LatencyBuckets).RecordDuration(took)
	if p := r.placed.Plan; p != nil {
		c.fetched.Inc(int64(p.FetchTokens))
		c.read.Inc(int64(p.ReadTokens))
		for _, address := range p.Save {
			if address != "" {
				c.saved.Inc(1)
			}
		}
	}
}

func (c *counters) failed(r *request, status int) { c.ended(r, status) }

func (c *counters) ended(r *request, status int) {
	c.scope.Tagged(map[string]string{
		"route": r.route.Name, "kind": r.route.Kind.String(), "status": strconv.Itoa(status),
	}).Counter("requests").Inc(1)
}

func (c *counters) refused(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals").Inc(1)
}
