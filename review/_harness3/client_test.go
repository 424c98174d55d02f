package harness

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	apiKey = "key-of-the-tenant"
	host   = "diagrams.example"
)

var requestNumber atomic.Int64

// newRequestID returns an id that no other request has.
func newRequestID() string {
	return fmt.Sprintf("%011x%05x", time.Now().UnixMilli(), requestNumber.Add(1)&0xfffff)
}

// answer is what a consumer gets for one attempt.
type answer struct {
	id     string
	status int
	// events are the data of the events of a stream, complete is set if the answer came to its end.
	events   []string
	lastID   string
	complete bool
	err      error
}

// consumer sends requests to one gateway over channels that it keeps.
type consumer struct {
	gateway *gatewayProcess
	client  *http.Client
}

func newConsumer(g *gatewayProcess) *consumer {
	return &consumer{gateway: g, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// send sends one attempt and reads its answer.
func (c *consumer) send(method, path string, headers map[string]string, body string, budget time.Duration) answer {
	a := answer{id: newRequestID()}
	ctx, cancel := context.WithTimeout(context.Background(), budget+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.gateway.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.Header.Set("Balsamyoke-Request-Id", a.id)
	request.Header.Set("Balsamyoke-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	request.Header.Set("Balsamyoke-Credential", apiKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := c.client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		a.err = a.readEvents(response.Body)
	} else {
		_, a.err = io.Copy(io.Discard, response.Body)
	}
	a.complete = a.err == nil
	return a
}

func (a *answer) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			a.events = append(a.events, data)
		}
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			a.lastID = id
		}
	}
	return lines.Err()
}
