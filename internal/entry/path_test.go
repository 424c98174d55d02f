package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/agent"
	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/entry"
	"balsamyoke.example/balsamyoke/internal/leaktest"
	"balsamyoke.example/balsamyoke/internal/loopback"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/standin/answer"
	"balsamyoke.example/balsamyoke/internal/standin/engineserver"
	"balsamyoke.example/balsamyoke/internal/standin/plainserver"
)

func TestMain(m *testing.M) { leaktest.VerifyMain(m) }

const (
	ridgeKey = "ridge-key"
	lakeKey  = "lake-key"
	// limitedKey belongs to an organisation with a limit of two requests per second.
	limitedKey = "limited-key"
)

// fixedConfiguration is a configuration source that never changes.
type fixedConfiguration struct{ *config.Holder }

func (fixedConfiguration) CatchUp(context.Context, uint64, string) error { return nil }

type fixedList []metastore.Instance

func (l fixedList) Instances(context.Context) ([]metastore.Instance, error) { return l, nil }

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testManifest() *manifest.Manifest {
	return &manifest.Manifest{
		Deployment: "test",
		Organisations: []manifest.Organisation{
			{Name: "ridge", KeyDigests: []string{digest(ridgeKey)}},
			{Name: "lake", KeyDigests: []string{digest(lakeKey)}, Services: []string{"archive"}},
			{Name: "limited", KeyDigests: []string{digest(limitedKey)}, RequestsPerSecond: 2},
		},
		Services: []manifest.Service{
			{Name: "assistant", Type: manifest.ServiceModel, WeightVersion: "v1"},
			{Name: "archive", Type: manifest.ServicePlain},
		},
		Kinds: []manifest.Kind{
			{Name: "trace", Service: "assistant", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 5000, MaxTokens: 16},
			{Name: "browse", Service: "archive", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 3000},
			{Name: "checkout", Service: "archive", Urgency: manifest.Urgent, Idempotent: false, DeadlineMS: 3000},
		},
	}
}

// testStack is an entry, two replicas of a model service and one of a plain service, all in this process.
type testStack struct {
	address string
	engines []*engineserver.Engine
	plain   *plainserver.Server
	entry   *entry.Entry
}

func freeAddress(c *qt.C) string {
	address, err := loopback.FreeAddress()
	c.Assert(err, qt.IsNil)
	return address
}

func startStack(c *qt.C, engine engineserver.Settings) *testStack {
	holder := config.NewHolder()
	bundle, err := config.NewBundle(1, testManifest())
	c.Assert(err, qt.IsNil)
	_, err = holder.Offer(bundle)
	c.Assert(err, qt.IsNil)
	holder.Confirm(1)
	p := &testStack{}
	var list fixedList
	engine.Listen = "127.0.0.1:0"
	engine.WeightVersion = "v1"
	for _, name := range []string{"assistant-0", "assistant-1"} {
		server, err := engineserver.Start(engine)
		c.Assert(err, qt.IsNil)
		c.Cleanup(server.Stop)
		p.engines = append(p.engines, server)
		list = append(list, startAgent(c, holder, name, "assistant", manifest.ServiceModel, server.Address()))
	}
	p.plain, err = plainserver.Start(plainserver.Settings{Listen: "127.0.0.1:0"})
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.plain.Stop)
	list = append(list, startAgent(c, holder, "archive-0", "archive", manifest.ServicePlain, p.plain.Address()))
	p.startEntry(c, holder, list)
	return p
}

func startAgent(c *qt.C, holder *config.Holder, name, service string, serviceType manifest.ServiceType, backend string) metastore.Instance {
	s := agent.DefaultSettings()
	s.Identity = process.Identity{Instance: name, Region: "r", FailureDomain: "north"}
	s.Listen, s.Control, s.Metrics = freeAddress(c), freeAddress(c), freeAddress(c)
	s.Service, s.ServiceType, s.Backend = service, serviceType, backend
	s.GraceSeconds = 1
	a := agent.New(s, agent.Dependencies{Configuration: fixedConfiguration{holder}, Instances: fixedList{}, Logger: zap.NewNop()})
	runRole(c, a.Run)
	if serviceType == manifest.ServiceModel {
		awaitEngineState(c, a)
	}
	return metastore.Instance{
		ID: name, Role: metastore.RoleAgent, Service: service, Region: "r", FailureDomain: "north",
		Address: s.Listen, ControlAddress: s.Control, State: metastore.InstanceLive,
	}
}

// awaitEngineState waits until an agent knows its engine's weights. It refuses requests before that.
func awaitEngineState(c *qt.C, a *agent.Agent) {
	for range 500 {
		if len(a.State().WeightVersions) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("the agent did not read its engine's state in time")
}

// runRole runs a role until the test ends.
func runRole(c *qt.C, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	c.Cleanup(func() {
		cancel()
		c.Check(<-ended, qt.IsNil)
	})
}

// newEntry builds the entry of the stack; the caller runs it.
func (p *testStack) newEntry(c *qt.C, holder *config.Holder, list metastore.InstanceList) *entry.Entry {
	s := entry.DefaultSettings()
	s.Identity = process.Identity{Instance: "entry-0", Region: "r", FailureDomain: "north"}
	s.Listen, s.Control, s.Metrics = freeAddress(c), freeAddress(c), freeAddress(c)
	s.GraceSeconds = 1
	s.DrainDelayMS = 0
	e, err := entry.New(s, entry.Dependencies{
		Configuration: fixedConfiguration{holder}, Instances: list, Logger: zap.NewNop(),
	})
	c.Assert(err, qt.IsNil)
	p.entry = e
	p.address = s.Listen
	return e
}

func (p *testStack) startEntry(c *qt.C, holder *config.Holder, list fixedList) {
	runRole(c, p.newEntry(c, holder, list).Run)
	for range 200 {
		reply, err := http.Get("http://" + p.address + "/healthz")
		if err == nil && reply.Body.Close() == nil && reply.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("the entry did not become healthy in time")
}

func (p *testStack) post(c *qt.C, route, key, body string) (int, http.Header, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address+route, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	reply, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	c.Assert(err, qt.IsNil)
	return reply.StatusCode, reply.Header, string(text)
}

func chatRequest(stream bool, content string) string {
	text, _ := json.Marshal(map[string]any{
		"model": "assistant", "stream": stream, "max_tokens": 12,
		"messages": []answer.Message{{Role: "user", Content: content}},
	})
	return string(text)
}

func expectedResponse(content string) string {
	return answer.New(answer.Request{
		Messages:      []answer.Message{{Role: "user", Content: content}},
		WeightVersion: "v1",
		MaxTokens:     12,
	}).Text()
}

// joinStream joins the tokens of server-sent events and checks the end marker.
func joinStream(c *qt.C, text string) string {
	c.Assert(strings.HasSuffix(text, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", text))
	var response strings.Builder
	for _, line := range strings.Split(text, "\n") {
		payload, ok := strings.CutPrefix(line, "data: ")
		if !ok || payload == "[DONE]" {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		c.Assert(json.Unmarshal([]byte(payload), &chunk), qt.IsNil)
		response.WriteString(chunk.Choices[0].Delta.Content)
	}
	return response.String()
}

func TestRequestsAreServedEndToEnd(t *testing.T) {
	c := qt.New(t)
	p := startStack(c, engineserver.Settings{DecodeMS: 1})
	content := "trace circuit 14 from the helm"

	status, header, text := p.post(c, "/v1/chat/completions", ridgeKey, chatRequest(true, content))
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	c.Assert(header.Get("Content-Type"), qt.Equals, "text/event-stream")
	c.Assert(joinStream(c, text), qt.Equals, expectedResponse(content))

	status, _, text = p.post(c, "/v1/chat/completions", ridgeKey, chatRequest(false, content))
	c.Assert(status, qt.Equals, http.StatusOK)
	var completion struct {
		Choices []struct{ Message struct{ Content string } }
	}
	c.Assert(json.Unmarshal([]byte(text), &completion), qt.IsNil)
	c.Assert(completion.Choices[0].Message.Content, qt.Equals, expectedResponse(content))

	status, _, text = p.post(c, "/v1/services/archive/checkout", ridgeKey, `{"sheet":"14-A"}`)
	c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	c.Assert(p.plain.Executions(), qt.HasLen, 1)
}

// unavailableList is an instance list whose reads always fail.
type unavailableList struct{}

func (unavailableList) Instances(context.Context) ([]metastore.Instance, error) {
	return nil, metastore.ErrUnavailable.New("down")
}

func TestEntryIsUnhealthyBeforeTheFirstInstanceList(t *testing.T) {
	c := qt.New(t)
	holder := config.NewHolder()
	bundle, err := config.NewBundle(1, testManifest())
	c.Assert(err, qt.IsNil)
	_, err = holder.Offer(bundle)
	c.Assert(err, qt.IsNil)
	holder.Confirm(1)
	p := &testStack{}
	e := p.newEntry(c, holder, unavailableList{})
	runRole(c, e.Run)
	for range 50 {
		reply, err := http.Get("http://" + p.address + "/healthz")
		if err == nil {
			c.Assert(reply.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(reply.Body.Close(), qt.IsNil)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestErrorsNameTheCause(t *testing.T) {
	c := qt.New(t)
	p := startStack(c, engineserver.Settings{DecodeMS: 1})
	chat := "/v1/chat/completions"
	for _, test := range []struct {
		name, route, key, body string
		status                 int
		code, message          string
	}{
		{"malformed JSON", chat, ridgeKey, `{"model":`, 400, "malformed_request", "body is not a chat request"},
		{"no messages", chat, ridgeKey, `{"model":"assistant"}`, 400, "malformed_request", `"messages\" is empty`},
		{"wrong key", chat, "nobody", chatRequest(true, "x"), 401, "unknown_key", "belongs to no organisation"},
		{"unknown model", chat, ridgeKey, `{"model":"oracle","messages":[{"role":"user","content":"x"}]}`, 404, "unknown_service", "oracle"},
		{"unknown adapter", chat, ridgeKey, `{"model":"assistant:x","messages":[{"role":"user","content":"x"}]}`, 404, "unknown_service", "adapter"},
		{"service not allowed", chat, lakeKey, chatRequest(true, "x"), 403, "not_allowed", "lake"},
		{"unknown kind", "/v1/services/archive/burn", ridgeKey, `{}`, 404, "unknown_kind", "burn"},
		{"unknown route", "/v2/x", ridgeKey, `{}`, 404, "unknown_route", "/v2/x"},
		{"oversized body", chat, ridgeKey, strings.Repeat("x", 9<<20), 413, "body_too_large", "8 MiB"},
	} {
		c.Run(test.name, func(c *qt.C) {
			status, header, text := p.post(c, test.route, test.key, test.body)
			c.Assert(status, qt.Equals, test.status, qt.Commentf("%s", text))
			c.Assert(header.Get("Content-Type"), qt.Equals, "application/json")
			c.Assert(text, qt.Contains, `"code":"`+test.code+`"`)
			c.Assert(text, qt.Contains, `"outcome":"not_run"`)
			c.Assert(text, qt.Contains, test.message)
		})
	}
}

func TestCallerDisconnectCancelsTheEngineRun(t *testing.T) {
	c := qt.New(t)
	p := startStack(c, engineserver.Settings{DecodeMS: 200})
	conn, err := net.Dial("tcp", p.address)
	c.Assert(err, qt.IsNil)
	body := chatRequest(true, "a long answer")
	var request bytes.Buffer
	httpRequest, err := http.NewRequest(http.MethodPost, "http://"+p.address+"/v1/chat/completions", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	httpRequest.Header.Set("Authorization", "Bearer "+ridgeKey)
	c.Assert(httpRequest.Write(&request), qt.IsNil)
	_, err = conn.Write(request.Bytes())
	c.Assert(err, qt.IsNil)
	buf := make([]byte, 512)
	n, err := conn.Read(buf)
	c.Assert(err, qt.IsNil)
	c.Assert(string(buf[:n]), qt.Contains, "200 OK")
	awaitRunning(c, p, 1)
	c.Assert(conn.Close(), qt.IsNil)
	awaitRunning(c, p, 0)
	c.Assert(p.entry.State().Active, qt.Equals, int64(0))
}

// awaitRunning waits until the engines' load reports, which lag, show the given number of runs. Its time limit
// is shorter than a complete response takes.
func awaitRunning(c *qt.C, p *testStack, want int) {
	deadline := time.Now().Add(1500 * time.Millisecond)
	for countRunning(c, p) != want {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d runs, not %d", countRunning(c, p), want))
		time.Sleep(10 * time.Millisecond)
	}
}

// countRunning returns the number of runs in the load reports of all engines.
func countRunning(c *qt.C, p *testStack) int {
	total := 0
	for _, engine := range p.engines {
		reply, err := http.Get("http://" + engine.Address() + "/v1/load")
		c.Assert(err, qt.IsNil)
		var load engineserver.LoadReport
		c.Assert(json.NewDecoder(reply.Body).Decode(&load), qt.IsNil)
		reply.Body.Close()
		total += load.Running
	}
	return total
}
