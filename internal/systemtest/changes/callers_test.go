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

// reply is the answer to one request.
type reply struct {
	began, ended time.Time
	messages     []answer.Message
	status       int
	text         string
}

// callers send chats until stop.
type callers struct {
	c      *qt.C
	stop   func()
	mu     sync.Mutex
	got    []reply
	client http.Client
}

func (f *fleet) startCallers(entries []*testbed.Instance) *callers {
	ctx, cancel := context.WithCancel(f.ctx)
	r := &callers{c: f.c, client: http.Client{Timeout: callerTimeout}}
	for _, entry := range entries {
		r.awaitServed(entry.Address)
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

// awaitServed waits until an entry has read the instance list that was published after its start.
func (r *callers) awaitServed(entry string) {
	for began := time.Now(); ; time.Sleep(callerPause) {
		status, text := r.post(entry, []answer.Message{{Role: "user", Content: "first"}})
		if status == http.StatusOK {
			return
		}
		r.c.Assert(time.Since(began) < callerTimeout, qt.IsTrue, qt.Commentf("%s", text))
	}
}

func (r *callers) call(entry, prompt string) {
	one := reply{began: time.Now(), messages: []answer.Message{{Role: "user", Content: prompt}}}
	one.status, one.text = r.post(entry, one.messages)
	one.ended = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.got = append(r.got, one)
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

// madeBy returns which of the weight versions gave a whole answer, empty when none did.
func (one reply) madeBy(versions ...string) string {
	for _, version := range versions {
		expected := answer.New(answer.Request{Messages: one.messages, WeightVersion: version, MaxTokens: 64})
		if one.text == expected.Text() {
			return version
		}
	}
	return ""
}

// check checks that every request got a whole answer of one of the versions, and returns how many
// each version gave. Requests that began after a time must have got the last version.
func (r *callers) check(lastFrom time.Time, versions ...string) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int)
	for _, one := range r.got {
		r.c.Assert(one.status, qt.Equals, http.StatusOK, qt.Commentf("%s", one.text))
		version := one.madeBy(versions...)
		r.c.Assert(version, qt.Not(qt.Equals), "", qt.Commentf("%q", one.text))
		if one.began.After(lastFrom) {
			r.c.Assert(version, qt.Equals, versions[len(versions)-1])
		}
		counts[version]++
	}
	r.c.Logf("%d requests: %v", len(r.got), counts)
	return counts
}
