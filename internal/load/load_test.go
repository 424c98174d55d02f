package load

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/standin/answer"
	"balsamyoke.example/balsamyoke/internal/standin/httpserver"
	"balsamyoke.example/balsamyoke/internal/standin/plainserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testPlan(seed uint64) Plan {
	return Plan{
		Profile:  Ridgeline(),
		Seed:     seed,
		Rate:     50,
		Duration: 20 * time.Second,
		MeanGap:  2 * time.Second,
	}
}

func TestScheduleIsAPureFunctionOfItsPlan(t *testing.T) {
	c := qt.New(t)
	first, second := Schedule(testPlan(7)), Schedule(testPlan(7))
	c.Assert(len(first), qt.Equals, len(second))
	for i := range first {
		c.Assert(first[i].At, qt.Equals, second[i].At)
		c.Assert(first[i].Messages, qt.DeepEquals, second[i].Messages)
	}
	c.Assert(Schedule(testPlan(8))[0].At, qt.Not(qt.Equals), first[0].At)
}

func TestReturnsExtendAnEarlierPromptOfTheirOrganisation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plan := testPlan(rapid.Uint64().Draw(t, "seed"))
		plan.Duration = 5 * time.Second
		plan.Rate = 10
		seen := map[string]string{} // organisation by prompt and response
		for _, a := range Schedule(plan) {
			if !a.Kind.Model {
				continue
			}
			last := len(a.Messages) - 1
			if a.Returning && seen[promptKey(a.Messages[:last])] != a.Organisation {
				t.Fatalf("a return at %s continues no earlier prompt of %s", a.At, a.Organisation)
			}
			reply := answer.Message{Role: "assistant", Content: a.Expected.Text()}
			seen[promptKey(append(append([]answer.Message{}, a.Messages...), reply))] = a.Organisation
		}
	})
}

func promptKey(messages []answer.Message) string {
	text, _ := json.Marshal(messages)
	return string(text)
}

func TestScheduleKeepsRateAndShares(t *testing.T) {
	c := qt.New(t)
	plan := testPlan(3)
	plan.Duration = 100 * time.Second
	arrivals := Schedule(plan)
	c.Assert(float64(len(arrivals)) > 0.95*plan.Rate*100, qt.IsTrue)
	c.Assert(float64(len(arrivals)) < 1.05*plan.Rate*100, qt.IsTrue)
	checkouts := 0
	for _, a := range arrivals {
		if a.Kind.Name == "checkout" {
			checkouts++
		}
	}
	c.Assert(share(checkouts, len(arrivals)) > 0.08, qt.IsTrue)
	c.Assert(share(checkouts, len(arrivals)) < 0.12, qt.IsTrue)
}

func TestResponsesAreChecked(t *testing.T) {
	c := qt.New(t)
	expected := answer.New(answer.Request{Messages: []answer.Message{{Role: "user", Content: "hello"}}, MaxTokens: 2})
	token := func(text string) string { return `data: {"choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n" }
	complete := token(expected.Token(0)) + token(expected.Token(1))
	end := `data: {"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}},` +
		`"balsamyoke":{"attempts":2,"link_bytes":77}}` + "\n\n"
	done := "data: [DONE]\n\n"
	tests := map[string]struct {
		body string
		want Verdict
	}{
		"complete":              {complete + end + done, VerdictRight},
		"without end":           {complete + end, VerdictLost},
		"without finish reason": {complete + done, VerdictWrong},
		"short":                 {token(expected.Token(0)) + end + done, VerdictWrong},
		"doubled":               {token(expected.Token(0)) + complete + end + done, VerdictWrong},
		"error event":           {token("x") + "event: error\ndata: {\"error\":{\"code\":\"interrupted\"}}\n\n", VerdictBroken},
		"malformed":             {"data: {\n\n", VerdictLost},
	}
	for name, test := range tests {
		result := readChat(strings.NewReader(test.body), expected, time.Now())
		c.Assert(result.Verdict, qt.Equals, test.want, qt.Commentf(name))
	}
	result := readChat(strings.NewReader(complete+end+done), expected, time.Now())
	c.Assert(result.Attempts, qt.Equals, 2)
	c.Assert(result.PromptTokens-result.CachedTokens, qt.Equals, 5)
	c.Assert(failureResult([]byte(`{"error":{"code":"busy","outcome":"not_run"}}`)).Verdict, qt.Equals, VerdictRefused)
	c.Assert(failureResult([]byte(`{"error":{"code":"x","outcome":"unknown"}}`)).Verdict, qt.Equals, VerdictUnknown)
	c.Assert(failureResult([]byte(`oops`)).Verdict, qt.Equals, VerdictLost)
}

// startEntry starts an entry that responds correctly to plain requests, except to those of kind browse. It
// returns the entry's address.
func startEntry(c *qt.C) string {
	server, err := httpserver.Start("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {
		kind := filepath.Base(string(ctx.Path()))
		digest := plainserver.BodyDigest(ctx.Request.Body())
		if kind == "browse" {
			digest = ""
		}
		httpserver.Reply(ctx, fasthttp.StatusOK, plainserver.Reply{Kind: kind, Digest: digest})
	}, false)
	c.Assert(err, qt.IsNil)
	c.Cleanup(server.Stop)
	return server.Address()
}

func TestRunReportsEveryRequestOfTheMeasuredPart(t *testing.T) {
	c := qt.New(t)
	plan := testPlan(1)
	plan.Duration = 600 * time.Millisecond
	plan.Rate = 100
	profile := Ridgeline()
	profile.Kinds = profile.Kinds[2:]
	plan.Profile = profile
	options := Options{
		Plan:      plan,
		Entries:   []string{startEntry(c)},
		WarmUp:    200 * time.Millisecond,
		Processes: map[string]int{"self": os.Getpid()},
	}
	report, err := Run(context.Background(), options)
	c.Assert(err, qt.IsNil)
	measured := 0
	for _, a := range Schedule(plan) {
		if a.At >= options.WarmUp {
			measured++
		}
	}
	c.Assert(report.Requests, qt.Equals, measured)
	c.Assert(report.Kind("checkout").Verdicts[VerdictRight], qt.Equals, report.Kind("checkout").Requests)
	c.Assert(report.Kind("browse").Verdicts[VerdictWrong], qt.Equals, report.Kind("browse").Requests)
	c.Assert(report.Processes, qt.HasLen, 1)
	c.Assert(report.Processes[0].RSSBytes > 0, qt.IsTrue)
	c.Assert(report.Text(), qt.Contains, "checkout")
	c.Assert(report.WriteChart(filepath.Join(c.TempDir(), "chart.svg")), qt.IsNil)
	var text strings.Builder
	c.Assert(report.WriteJSON(&text), qt.IsNil)
	c.Assert(json.Valid([]byte(text.String())), qt.IsTrue)

	_, err = Run(context.Background(), Options{Plan: plan})
	c.Assert(err, qt.ErrorMatches, "load.settings: .*")
}
