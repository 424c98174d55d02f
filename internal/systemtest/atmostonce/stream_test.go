package atmostonce

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/standin/answer"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

const (
	// streamCount is the number of running streams when a replica fails.
	streamCount = 9
	// tokensBeforeFault is the number of tokens that each caller has received when a replica fails.
	tokensBeforeFault = 4
	streamTokens      = 48
)

// streamEvent is one server-sent event of a response.
type streamEvent struct {
	Choices []struct {
		Delta struct{ Content string }
	}
	Balsamyoke *struct {
		Replica  string
		Attempts int
	}
}

// streamResult is the part of a response that one caller has received.
type streamResult struct {
	text     string
	complete bool
	attempts int
}

func prompt(number int) []answer.Message {
	return []answer.Message{{Role: "user", Content: fmt.Sprintf("trace circuit %d from the helm to the bilge pump", number)}}
}

func expectedText(number int) string {
	return answer.New(answer.Request{Messages: prompt(number), WeightVersion: "v1", MaxTokens: streamTokens}).Text()
}

// stream sends one idempotent request, reads its response, and calls started after tokensBeforeFault tokens.
func (b *testFleet) stream(entry string, number int, started func()) (streamResult, error) {
	return b.streamKind(entry, "trace", "", number, started)
}

// streamKind is like stream for a request of a kind, with an idempotency key unless that is empty.
func (b *testFleet) streamKind(entry, kind, key string, number int, started func()) (streamResult, error) {
	text, err := json.Marshal(map[string]any{
		"model": "assistant", "stream": true, "max_tokens": streamTokens, "messages": prompt(number),
	})
	if err != nil {
		return streamResult{}, err
	}
	request, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", bytes.NewReader(text))
	if err != nil {
		return streamResult{}, err
	}
	request.Header.Set("Authorization", "Bearer "+organisationKey)
	request.Header.Set("X-Request-Kind", kind)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	reply, err := b.callers.client.Do(request)
	if err != nil {
		return streamResult{}, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return streamResult{}, fmt.Errorf("entry %s returned status %d", entry, reply.StatusCode)
	}
	return readStream(reply, started)
}

// awaitModelService waits until a stream through each entry succeeds, which needs a replica of the model service.
func (b *testFleet) awaitModelService(c *qt.C) {
	for _, entry := range b.entries() {
		var err error
		for range maxTries {
			if _, err = b.stream(entry, 0, func() {}); err == nil {
				break
			}
			time.Sleep(5 * retryPause)
		}
		c.Assert(err, qt.IsNil)
	}
}

func readStream(reply *http.Response, started func()) (streamResult, error) {
	var got streamResult
	tokens := 0
	lines := bufio.NewScanner(reply.Body)
	for lines.Scan() {
		payload, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			got.complete = true
			return got, nil
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(payload), &e); err != nil {
			return got, err
		}
		if len(e.Choices) > 0 {
			got.text += e.Choices[0].Delta.Content
		}
		if e.Balsamyoke != nil {
			got.attempts = e.Balsamyoke.Attempts
		}
		tokens++
		if tokens == tokensBeforeFault {
			started()
		}
	}
	return got, lines.Err()
}

// TestAnswersAreCompleteWhenReplicasDie kills or freezes an agent or engine during its streams. Every caller must get
// exactly the answer of a run without faults.
func TestAnswersAreCompleteWhenReplicasDie(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startFleet(c, testbed.Settings{"slots": 8})
	for _, fault := range []struct {
		name   string
		inject func(*testbed.Instance)
		repair func(*testbed.Instance) error
	}{
		{"agent killed", func(i *testbed.Instance) { i.Process.Kill() }, b.fleet.Restart},
		{"agent frozen", func(i *testbed.Instance) { i.Process.Freeze() }, thawInstance},
		{"engine frozen", func(i *testbed.Instance) { i.Backend.Freeze() }, thawInstance},
		{"engine killed", func(i *testbed.Instance) { i.Backend.Kill() }, thawInstance},
	} {
		c.Run(fault.name, func(c *qt.C) {
			b.awaitModelService(c)
			var victim *testbed.Instance
			got := b.streamsWithFault(c, func() {
				victim = b.busiest(c, "assistant")
				fault.inject(victim)
			})
			c.Assert(fault.repair(victim), qt.IsNil)
			continued := 0
			for number, s := range got {
				c.Check(s.complete, qt.IsTrue, qt.Commentf("answer %d ends after %q", number, s.text))
				c.Check(s.text, qt.Equals, expectedText(number))
				if s.attempts > 1 {
					continued++
				}
			}
			c.Check(continued > 0, qt.IsTrue, qt.Commentf("the fault affected no stream"))
		})
	}
}

func thawInstance(instance *testbed.Instance) error {
	instance.Process.Thaw()
	instance.Backend.Thaw()
	return nil
}

// streamsWithFault starts idempotent streams, injects a fault when all have received tokensBeforeFault tokens, and
// returns the results.
func (b *testFleet) streamsWithFault(c *qt.C, inject func()) []streamResult {
	return b.streamsOfKindWithFault(c, "trace", make([]string, streamCount), inject)
}

// streamsOfKindWithFault is like streamsWithFault for requests of a kind with idempotency keys.
func (b *testFleet) streamsOfKindWithFault(c *qt.C, kind string, keys []string, inject func()) []streamResult {
	got := make([]streamResult, streamCount)
	var reading, starting sync.WaitGroup
	starting.Add(streamCount)
	for number := range streamCount {
		reading.Go(func() {
			var err error
			got[number], err = b.streamKind(b.entries()[number%2], kind, keys[number], number, starting.Done)
			c.Check(err, qt.IsNil)
		})
	}
	all := make(chan struct{})
	go func() { starting.Wait(); close(all) }()
	select {
	case <-all:
		inject()
	case <-time.After(submitTimeout):
		c.Error("not all streams have started")
	}
	reading.Wait()
	return got
}
