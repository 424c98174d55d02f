package entry_test

import (
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/standin/engineserver"
)

// The engines go down while they compute the prompt, before any token has been delivered. The request has run
// in part, so it must not be reported as not run.
func TestInterruptedRunsAreNotReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	p := startStack(c, engineserver.Settings{DecodeMS: 1, PrefillTokensPerSecond: 1})
	type response struct {
		status int
		text   string
	}
	responses := make(chan response, 1)
	go func() {
		status, _, text := p.post(c, "/v1/chat/completions", ridgeKey, chatRequest(true, "trace circuit 14 from the helm to the bilge"))
		responses <- response{status, text}
	}()
	awaitRunning(c, p, 1)
	for _, engine := range p.engines {
		c.Assert(engine.SetFaults(engineserver.Faults{Down: true}), qt.IsNil)
	}
	got := <-responses
	c.Assert(got.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%s", got.text))
	c.Assert(got.text, qt.Contains, `"outcome":"unknown"`)
}

// Requests above an organisation's limit must be refused as not run, with a retry delay, and without affecting
// other organisations.
func TestOrganisationLimitRefusesImmediately(t *testing.T) {
	c := qt.New(t)
	p := startStack(c, engineserver.Settings{DecodeMS: 1})
	refused := 0
	for range 10 {
		status, header, text := p.post(c, "/v1/services/archive/browse", limitedKey, `{}`)
		if status == http.StatusOK {
			continue
		}
		refused++
		c.Assert(status, qt.Equals, http.StatusTooManyRequests, qt.Commentf("%s", text))
		c.Assert(header.Get("Retry-After"), qt.Not(qt.Equals), "")
		c.Assert(text, qt.Contains, `"code":"organisation_limit"`)
		c.Assert(text, qt.Contains, `"outcome":"not_run"`)
	}
	c.Assert(refused >= 5, qt.IsTrue, qt.Commentf("%d of 10 refused", refused))
	c.Assert(p.plain.Executions(), qt.HasLen, 10-refused)
	status, _, _ := p.post(c, "/v1/services/archive/browse", ridgeKey, `{}`)
	c.Assert(status, qt.Equals, http.StatusOK)
}

// All engines are down and more requests arrive than the retry budget has retries. Without the budget each
// request would try both replicas.
func TestOutageRetriesStayWithinTheBudget(t *testing.T) {
	c := qt.New(t)
	p := startStack(c, engineserver.Settings{DecodeMS: 1})
	for _, engine := range p.engines {
		c.Assert(engine.SetFaults(engineserver.Faults{Down: true}), qt.IsNil)
	}
	const requests, workers = 400, 40
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for range requests / workers {
				status, header, text := p.post(c, "/v1/chat/completions", ridgeKey, chatRequest(false, "name the sheet"))
				c.Check(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", text))
				c.Check(header.Get("Retry-After"), qt.Not(qt.Equals), "")
				c.Check(text, qt.Contains, `"outcome":"not_run"`)
			}
		})
	}
	group.Wait()
	budget := p.entry.State().Retries["assistant"]
	c.Assert(budget.Taken > 0, qt.IsTrue)
	c.Assert(budget.Taken <= 110, qt.IsTrue, qt.Commentf("%+v", budget))
}
