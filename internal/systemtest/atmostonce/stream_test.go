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
	// streams is how many answers are on their way when a replica dies.
	streams = 9
	// tokensBefore is how many tokens each caller has when a replica dies.
	tokensBefore = 4
	streamTokens = 48
)

// event is one server-sent event of an answer.
type streamEvent struct {
	Choices []struct {
		Delta struct{ Content string }
	}
	Balsamyoke *struct {
		Replica  string
		Attempts int
	}
}

// streamed is what one caller got.
type streamed struct {
	text     string
	whole    bool
	attempts int
}

func prompt(number int) []answer.Message {
	return []answer.Message{{Role: "user", Content: fmt.Sprintf("trace circuit %d from the helm to the bilge pump", number)}}
}

func undisturbed(number int) string {
	return answer.New(answer.Request{Messages: prompt(number), WeightVersion: "v1", MaxTokens: streamTokens}).Text()
}

// stream reads one idempotent answer and reports on begun when it has tokensBefore tokens.
func (b *bed) stream(entry string, number int, begun func()) (streamed, error) {
	return b.streamKind(entry, "trace", "", number, begun)
}

// streamKind reads one answer to a request of a kind, under a key unless that is empty.
func (b *bed) streamKind(entry, kind, key string, number int, begun func()) (streamed, error) {
	text, err := json.Marshal(map[string]any{
		"model": "assistant", "stream": true, "max_tokens": streamTokens, "messages": prompt(number),
	})
	if err != nil {
		return streamed{}, err
	}
	request, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", bytes.NewReader(text))
	if err != nil {
		return streamed{}, err
	}
	request.Header.Set("Authorization", "Bearer "+organisationKey)
	request.Header.Set("X-Request-Kind", kind)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	reply, err := b.callers.client.Do(request)
	if err != nil {
		return streamed{}, err
	}
	defer reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		return streamed{}, fmt.Errorf("entry %s answered with status %d", entry, reply.StatusCode)
	}
	return readStream(reply, begun)
}

// awaitService waits until each entry knows replicas of the model service.
func (b *bed) awaitService(c *qt.C) {
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

func readStream(reply *http.Response, begun func()) (streamed, error) {
	var got streamed
	tokens := 0
	lines := bufio.NewScanner(reply.Body)
	for lines.Scan() {
		payload, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if payload == "[DONE]" {
			got.whole = true
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
		if tokens == tokensBefore {
			begun()
		}
	}
	return got, lines.Err()
}

// TestAnswersAreWholeWhenReplicasDie kills and freezes what runs streams in their midst. Every caller
// must get exactly the answer of an undisturbed run.
func TestAnswersAreWholeWhenReplicasDie(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startBed(c, testbed.Settings{"slots": 8})
	for _, fault := range []struct {
		name   string
		strike func(*testbed.Instance)
		heal   func(*testbed.Instance) error
	}{
		{"agent killed", func(i *testbed.Instance) { i.Process.Kill() }, b.fleet.Restart},
		{"agent frozen", func(i *testbed.Instance) { i.Process.Freeze() }, thawed},
		{"engine frozen", func(i *testbed.Instance) { i.Backend.Freeze() }, thawed},
		{"engine killed", func(i *testbed.Instance) { i.Backend.Kill() }, thawed},
	} {
		c.Run(fault.name, func(c *qt.C) {
			b.awaitService(c)
			var victim *testbed.Instance
			got := b.strikeStreams(c, func() {
				victim = b.busiest(c, "assistant")
				fault.strike(victim)
			})
			c.Assert(fault.heal(victim), qt.IsNil)
			continued := 0
			for number, s := range got {
				c.Check(s.whole, qt.IsTrue, qt.Commentf("answer %d ends after %q", number, s.text))
				c.Check(s.text, qt.Equals, undisturbed(number))
				if s.attempts > 1 {
					continued++
				}
			}
			c.Check(continued > 0, qt.IsTrue, qt.Commentf("the fault met no stream"))
		})
	}
}

func thawed(instance *testbed.Instance) error {
	instance.Process.Thaw()
	instance.Backend.Thaw()
	return nil
}

// strikeStreams starts idempotent streams, strikes when all have begun and returns what the callers got.
func (b *bed) strikeStreams(c *qt.C, strike func()) []streamed {
	return b.strikeKind(c, "trace", make([]string, streams), strike)
}

// strikeKind is strikeStreams for requests of a kind under keys.
func (b *bed) strikeKind(c *qt.C, kind string, keys []string, strike func()) []streamed {
	got := make([]streamed, streams)
	var reading, begun sync.WaitGroup
	begun.Add(streams)
	for number := range streams {
		reading.Go(func() {
			var err error
			got[number], err = b.streamKind(b.entries()[number%2], kind, keys[number], number, begun.Done)
			c.Check(err, qt.IsNil)
		})
	}
	all := make(chan struct{})
	go func() { begun.Wait(); close(all) }()
	select {
	case <-all:
		strike()
	case <-time.After(submitTimeout):
		c.Error("not all answers have begun")
	}
	reading.Wait()
	return got
}
