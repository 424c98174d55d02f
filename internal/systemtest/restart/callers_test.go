package restart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"balsamyoke.example/balsamyoke/internal/standin/answer"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

const (
	callerCount   = 6
	callerPause   = 10 * time.Millisecond
	callerTimeout = 10 * time.Second
	// healthCheckInterval is how often the balancer checks the health of entries.
	healthCheckInterval = 50 * time.Millisecond
)

// balancer is a stand-in for the platform's load balancer. It sends requests to entries whose last health check
// succeeded. It uses one connection per request and retries nothing.
type balancer struct {
	client  http.Client
	entries []*testbed.Instance
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mu      sync.Mutex
	healthy map[string]bool
}

func newBalancer(ctx context.Context, entries []*testbed.Instance) *balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &balancer{
		client:  http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		entries: entries,
		cancel:  cancel,
		healthy: make(map[string]bool),
	}
	b.checkAll()
	b.group.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(healthCheckInterval)
			b.checkAll()
		}
	})
	return b
}

func (b *balancer) checkAll() {
	for _, entry := range b.entries {
		reply, err := b.client.Get("http://" + entry.Address + "/healthz")
		isHealthy := err == nil && reply.StatusCode == http.StatusOK
		if err == nil {
			_ = reply.Body.Close()
		}
		b.mu.Lock()
		b.healthy[entry.Address] = isHealthy
		b.mu.Unlock()
	}
}

// pickHealthy returns the address of a random healthy entry, or "" when none is healthy.
func (b *balancer) pickHealthy() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var addresses []string
	for _, entry := range b.entries {
		if b.healthy[entry.Address] {
			addresses = append(addresses, entry.Address)
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

func (b *balancer) awaitHealthy(c *qt.C, entry *testbed.Instance) {
	for start := time.Now(); ; time.Sleep(healthCheckInterval) {
		b.mu.Lock()
		isHealthy := b.healthy[entry.Address]
		b.mu.Unlock()
		if isHealthy {
			return
		}
		c.Assert(time.Since(start) < restartTimeout, qt.IsTrue, qt.Commentf("%s is not healthy again", entry.ID))
	}
}

func (b *balancer) stop() {
	b.cancel()
	b.group.Wait()
}

// failure is a request that did not get its complete and correct answer.
type failure struct {
	kind string
	text string
}

// kindChooser chooses the kind of a caller's n-th request.
type kindChooser func(n int) string

func allKinds(n int) string { return []string{"trace", "trace", "browse", "checkout"}[n%4] }

func onlyTraces(int) string { return "trace" }

// callers send requests until stop is called.
type callers struct {
	balancer *balancer
	kindOf   kindChooser
	cancel   context.CancelFunc
	group    sync.WaitGroup

	mu       sync.Mutex
	sent     int
	failures []failure
}

func startCallers(ctx context.Context, b *balancer, count int, kindOf kindChooser) *callers {
	ctx, cancel := context.WithCancel(ctx)
	r := &callers{balancer: b, kindOf: kindOf, cancel: cancel}
	for i := range count {
		r.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r.call(i, n)
				time.Sleep(callerPause)
			}
		})
	}
	return r
}

func (r *callers) stop() {
	r.cancel()
	r.group.Wait()
}

func (r *callers) call(caller, n int) {
	kind, problem := r.kindOf(n), ""
	switch kind {
	case "trace":
		problem = r.sendTrace(fmt.Sprintf("trace circuit %d of harness %d", n, caller))
	case "browse":
		problem = r.sendPlain(kind, "")
	case "checkout":
		problem = r.sendPlain(kind, uuid.Must(uuid.NewV7()).String())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if problem != "" {
		r.failures = append(r.failures, failure{kind: kind, text: problem})
	}
}

// sendTrace sends a chat request and compares the answer with the correct one. It returns the problem, or "" for none.
func (r *callers) sendTrace(prompt string) string {
	messages := []answer.Message{{Role: "user", Content: prompt}}
	body, err := json.Marshal(map[string]any{"model": "assistant", "messages": messages})
	if err != nil {
		return err.Error()
	}
	text, problem := r.post("/v1/chat/completions", body, "")
	if problem != "" {
		return problem
	}
	var chat struct {
		Choices []struct {
			Message answer.Message `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(text, &chat); err != nil || len(chat.Choices) != 1 {
		return string(text)
	}
	expected := answer.New(answer.Request{Messages: messages, WeightVersion: "w1", MaxTokens: 32}).Text()
	if chat.Choices[0].Message.Content != expected {
		return "wrong answer: " + chat.Choices[0].Message.Content
	}
	return ""
}

func (r *callers) sendPlain(kind, key string) string {
	_, problem := r.post("/v1/services/archive/"+kind, []byte(`{"sheet":"14"}`), key)
	return problem
}

func (r *callers) post(path string, body []byte, key string) (text []byte, problem string) {
	entry := r.balancer.pickHealthy()
	if entry == "" {
		return nil, "no healthy entry"
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+organisationKey)
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	reply, err := r.balancer.client.Do(request)
	if err != nil {
		return nil, err.Error()
	}
	defer reply.Body.Close()
	text, err = io.ReadAll(reply.Body)
	if err != nil {
		return nil, err.Error()
	}
	if reply.StatusCode != http.StatusOK {
		return nil, fmt.Sprintf("%d %s", reply.StatusCode, text)
	}
	return text, ""
}

func (r *callers) check(c *qt.C) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Logf("%d requests", r.sent)
	c.Assert(r.sent > 3*callerCount, qt.IsTrue)
	c.Assert(r.failures, qt.HasLen, 0)
}
