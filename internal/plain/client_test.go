package plain

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"

	"balsamyoke.example/balsamyoke/internal/httpclient/httpclienttest"
	"balsamyoke.example/balsamyoke/internal/standin/plainserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startServer(c *qt.C, settings plainserver.Settings) (*plainserver.Server, *Client) {
	settings.Listen = "127.0.0.1:0"
	server, err := plainserver.Start(settings)
	c.Assert(err, qt.IsNil)
	client := New(server.Address())
	c.Cleanup(func() {
		client.Close()
		server.Stop()
	})
	return server, client
}

func checkout(id string) Request {
	return Request{RequestID: id, Method: "POST", Path: "/checkout", ContentType: "application/json", Body: []byte(`{"sheet":7}`)}
}

func TestCallReturnsResponse(t *testing.T) {
	c := qt.New(t)
	server, client := startServer(c, plainserver.Settings{})
	response, err := client.Call(context.Background(), checkout("r1"))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, 200)
	c.Assert(response.ContentType, qt.Equals, "application/json")
	var reply plainserver.Reply
	c.Assert(json.Unmarshal(response.Body, &reply), qt.IsNil)
	c.Assert(reply, qt.Equals, plainserver.Reply{
		ID: "r1", Kind: "checkout", Digest: plainserver.BodyDigest([]byte(`{"sheet":7}`)), Execution: 1,
	})
	c.Assert(server.Executions(), qt.DeepEquals, map[string]int{"r1": 1})
}

func TestLostResponseIsUnknownOutcomeAndSentOnce(t *testing.T) {
	c := qt.New(t)
	server, client := startServer(c, plainserver.Settings{})
	c.Assert(server.SetFaults(plainserver.Faults{CutAfterWork: true}), qt.IsNil)
	_, err := client.Call(context.Background(), checkout("r1"))
	c.Assert(errorx.IsOfType(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(server.Executions(), qt.DeepEquals, map[string]int{"r1": 1})
}

func TestContextEndDuringCallIsUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	server, client := startServer(c, plainserver.Settings{WorkMS: 300})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := client.Call(ctx, checkout("r1"))
	c.Assert(errorx.IsOfType(err, ErrOutcomeUnknown), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(server.Executions()["r1"], qt.Equals, 1)
	ended, cancelNow := context.WithCancel(context.Background())
	cancelNow()
	_, err = client.Call(ended, checkout("r2"))
	c.Assert(errorx.IsOfType(err, ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(server.Executions()["r2"], qt.Equals, 0)
}

// When a service goes down while a connection to it is unused, the next call must give ErrNotSent, because a call
// on that connection can't have run.
func TestUnreachableServiceOnIdleConnectionIsNotSent(t *testing.T) {
	c := qt.New(t)
	server, client := startServer(c, plainserver.Settings{})
	_, err := client.Call(context.Background(), checkout("r1"))
	c.Assert(err, qt.IsNil)
	c.Assert(server.SetFaults(plainserver.Faults{Down: true}), qt.IsNil)
	_, err = client.Call(context.Background(), checkout("r2"))
	c.Assert(errorx.IsOfType(err, ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(server.SetFaults(plainserver.Faults{}), qt.IsNil)
	_, err = client.Call(context.Background(), checkout("r3"))
	c.Assert(err, qt.IsNil)
	c.Assert(server.Executions(), qt.DeepEquals, map[string]int{"r1": 1, "r3": 1})
}

// Guards against a refusal that the service sends once more and that is taken for the response to a later call, which ran.
func TestRepeatedRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	c := qt.New(t)
	server := httpclienttest.StartRepeater(c,
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	client := New(server.Address())
	defer client.Close()
	response, err := client.Call(context.Background(), checkout("r1"))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, 503)
	response, err = client.Call(context.Background(), checkout("r2"))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Status, qt.Equals, 200)
}
