package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/standin/engineserver"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// The lagging instance list still shows a draining agent as live. All requests must succeed, and on the other
// replica.
func TestLeavingAgentGetsNoRequestsWhileTheListLags(t *testing.T) {
	c := qt.New(t)
	p := startStack(c, engineserver.Settings{DecodeMS: 1})
	pool := grpcpool.New(1)
	defer pool.Close()
	for _, member := range p.entry.State().Replicas.Services["assistant"] {
		if member.ID != "assistant-0" {
			continue
		}
		connection, err := pool.Get(member.ControlAddress)
		c.Assert(err, qt.IsNil)
		_, err = wire.NewAdminClient(connection).Drain(c.Context(), &wire.DrainRequest{}, grpc.WaitForReady(true))
		c.Assert(err, qt.IsNil)
	}
	served := 0
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); served++ {
		status, _, text := p.post(c, "/v1/chat/completions", ridgeKey, chatRequest(false, "name the sheet of connector 9"))
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		c.Assert(text, qt.Contains, `"replica":"assistant-1"`)
	}
	c.Assert(served > 10, qt.IsTrue)
}
