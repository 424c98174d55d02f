package changes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/standin/answer"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

const (
	callerCount   = 6
	callerPause   = 20 * time.Millisecond
	callerTimeout = 10 * time.Second
)

// reply is one request and its response.
type reply struct {
	startedAt, endedAt time.Time
	messages           []answer.Message
	status             int
	text               string
}

// callers send chat requests until stop is called.
type callers struct {
	c       *qt.C
	stop    func()
	mu      sync.Mutex
	replies []reply
	client  http.Client
}

func (f *fleet) startCallers(entries []*testbed.Instance) *callers {
	ctx, cancel := context.WithCancel(f.ctx)
	r := &callers{c: f.c, client: http.Client{Timeout: callerTimeout}}
	for _, entry := range entries {
		r.awaitServing(entry.Address)
	}
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r.call(entries[i%len(entries)].Address, fmt.Sprintf("trace circuit %d of harness %d", n, i))
				time.Sleep(callerPause)
			}
		})
	}
	r.stop = func() { cancel(); group.Wait(); r.client.CloseIdleConnections() }
	return r
}

// awaitServing waits until an entry has read the instance list that was published after its start.
func (r *callers) awaitServing(entry string) {
	for start := time.Now(); ; time.Sleep(callerPause) {
		status, text := r.post(entry, []answer.Message{{Role: "user", Content: "first"}})
		if status == http.StatusOK {
			return
		}
		r.c.Assert(time.Since(start) < callerTimeout, qt.IsTrue, qt.Commentf("%s", text))
	}
}

func (r *callers) call(entry, prompt string) {
	result := reply{startedAt: time.Now(), messages: []answer.Message{{Role: "user", Content: prompt}}}
	result.status, result.text = r.post(entry, result.messages)
	result.endedAt = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, result)
}

func (r *callers) post(entry string, messages []answer.Message) (status int, text string) {
	body, err := json.Marshal(map[string]any{"model": "assistant", "messages": messages})
	r.c.Check(err, qt.IsNil)
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+"/v1/chat/completions", bytes.NewReader(body))
	r.c.Check(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+organisationKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := r.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, string(content)
	}
	var chat struct {
		Choices []struct {
			Message answer.Message `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(content, &chat); err != nil || len(chat.Choices) != 1 {
		return response.StatusCode, string(content)
	}
	return response.StatusCode, chat.Choices[0].Message.Content
}

// versionOf returns the weight version whose complete answer is the reply's text, or "" when there is none.
func (r reply) versionOf(versions ...string) string {
	for _, version := range versions {
		expected := answer.New(answer.Request{Messages: r.messages, WeightVersion: version, MaxTokens: 64})
		if r.text == expected.Text() {
			return version
		}
	}
	return ""
}

// check checks that every request got a complete answer of one of the versions, and returns the number of answers by
// version. Requests that started after lastVersionFrom must have got the last version.
func (r *callers) check(lastVersionFrom time.Time, versions ...string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int)
	for _, result := range r.replies {
		r.c.Assert(result.status, qt.Equals, http.StatusOK, qt.Commentf("%s", result.text))
		version := result.versionOf(versions...)
		r.c.Assert(version, qt.Not(qt.Equals), "", qt.Commentf("%q", result.text))
		if result.startedAt.After(lastVersionFrom) {
			r.c.Assert(version, qt.Equals, versions[len(versions)-1])
		}
		counts[version]++
	}
	r.c.Logf("%d requests: %v", len(r.replies), counts)
	return counts
}
