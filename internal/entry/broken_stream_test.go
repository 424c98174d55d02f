package entry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/standin/engineserver"
)

// Guards against an error among the tokens of a stream that breaks off, and against its end as complete.
func TestStreamThatBreaksOffEndsWithOneErrorEvent(t *testing.T) {
	c := qt.New(t)
	p := startStack(c, engineserver.Settings{DecodeMS: 150})
	content := "trace circuit 14 from the helm"
	responses := make(chan string, 1)
	go func() {
		status, _, text := p.post(c, "/v1/chat/completions", ridgeKey, chatRequest(true, content))
		c.Check(status, qt.Equals, http.StatusOK)
		responses <- text
	}()
	awaitRunning(c, p, 1)
	time.Sleep(500 * time.Millisecond)
	for _, engine := range p.engines {
		c.Assert(engine.SetFaults(engineserver.Faults{Down: true}), qt.IsNil)
	}
	events := strings.Split(strings.TrimSuffix(<-responses, "\n\n"), "\n\n")
	last := len(events) - 1
	c.Assert(last > 0, qt.IsTrue, qt.Commentf("%q", events))
	var tokens strings.Builder
	for _, event := range events[:last] {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		payload, ok := strings.CutPrefix(event, "data: ")
		c.Assert(ok, qt.IsTrue, qt.Commentf("%q", event))
		c.Assert(json.Unmarshal([]byte(payload), &chunk), qt.IsNil, qt.Commentf("%q", event))
		tokens.WriteString(chunk.Choices[0].Delta.Content)
	}
	c.Assert(strings.HasPrefix(expectedResponse(content), tokens.String()), qt.IsTrue, qt.Commentf("%q", tokens.String()))
	c.Assert(len(tokens.String()) < len(expectedResponse(content)), qt.IsTrue)
	c.Assert(events[last], qt.Matches, `event: error\ndata: \{"error":\{.*"outcome":"unknown".*\}\}`)
}
