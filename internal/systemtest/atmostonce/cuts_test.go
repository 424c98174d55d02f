package atmostonce

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/testbed"
)

// TestEachKeyRunsOnceWhenConnectionsAreCut cuts the connections between entries and agents repeatedly. Agents keep a
// record of what ran, so every caller must get its answer.
func TestEachKeyRunsOnceWhenConnectionsAreCut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startFleet(c, testbed.Settings{"slots": plainSlots})
	relays := b.relayAgents(c, "archive", func(entry string) { b.callers.submit(b.ctx, entry, newKey(), 0) })
	b.runWithFault(c, fault{
		name:   "connections cut",
		inject: func(*testFleet) error { cutRepeatedly(relays); return nil },
		repair: doNothing,
	})
}

// TestAnswersAreCompleteWhenConnectionsAreCut cuts connections during streams. Every caller must still get the complete
// answer.
func TestAnswersAreCompleteWhenConnectionsAreCut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startFleet(c, testbed.Settings{"slots": 8})
	relays := b.relayAgents(c, "assistant", b.streamConcurrently)
	continued := 0
	for number, s := range b.streamsWithFault(c, func() { relays[b.busiest(c, "assistant").ID].cut() }) {
		c.Check(s.complete, qt.IsTrue, qt.Commentf("answer %d ends after %q", number, s.text))
		c.Check(s.text, qt.Equals, expectedText(number))
		if s.attempts > 1 {
			continued++
		}
	}
	c.Check(continued > 0, qt.IsTrue, qt.Commentf("no stream was cut"))
}

// TestDraftsRunOnceAndCompletelyWhenConnectionsAreCut cuts connections during non-idempotent streams, then sends each
// key again through the other entry. The first callers must get the rest from the run that continues, the second ones
// the same answer from the agent's record.
func TestDraftsRunOnceAndCompletelyWhenConnectionsAreCut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startFleet(c, testbed.Settings{"slots": 8})
	relays := b.relayAgents(c, "assistant", b.streamConcurrently)
	before := b.startedRuns(c)
	keys := make([]string, streamCount)
	for number := range keys {
		keys[number] = newKey()
	}
	for number, s := range b.streamsOfKindWithFault(c, "draft", keys, func() { cutRepeatedly(relays) }) {
		c.Check(s.complete, qt.IsTrue, qt.Commentf("answer %d ends after %q", number, s.text))
		c.Check(s.text, qt.Equals, expectedText(number))
	}
	for number, key := range keys {
		again, err := b.streamKind(b.entries()[(number+1)%2], "draft", key, number, func() {})
		c.Check(err, qt.IsNil)
		c.Check(again.complete, qt.IsTrue, qt.Commentf("replay %d ends after %q", number, again.text))
		c.Check(again.text, qt.Equals, expectedText(number))
	}
	c.Check(b.startedRuns(c)-before, qt.Equals, float64(streamCount))
}

// startedRuns returns the number of runs that model agents have started.
func (b *testFleet) startedRuns(c *qt.C) float64 {
	total := 0.0
	for _, agent := range b.fleet.Agents("assistant") {
		count, err := testbed.Metric(b.ctx, agent.MetricsAddress, "agent_started")
		c.Assert(err, qt.IsNil)
		total += count
	}
	return total
}

// streamConcurrently runs streamCount streams at once, so that they use several replicas.
func (b *testFleet) streamConcurrently(entry string) {
	var reading sync.WaitGroup
	for number := range streamCount {
		reading.Go(func() { _, _ = b.stream(entry, number, func() {}) })
	}
	reading.Wait()
}

func cutRepeatedly(relays map[string]*relay) {
	for end := time.Now().Add(cutDuration); time.Now().Before(end); time.Sleep(cutInterval) {
		for _, r := range relays {
			r.cut()
		}
	}
}
