package atmostonce

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/testbed"
)

// TestEachKeyRunsOnceWhenConnectionsAreCut cuts the connections between entries and agents again and
// again. Agents remember what ran, so every caller must get its answer.
func TestEachKeyRunsOnceWhenConnectionsAreCut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startBed(c, testbed.Settings{"slots": plainSlots})
	relays := b.relayAgents(c, "archive", func(entry string) { b.callers.submit(b.ctx, entry, newKey(), 0) })
	b.under(c, fault{
		name:   "connections cut",
		strike: func(*bed) error { cutAgain(relays); return nil },
		heal:   nothing,
	})
}

// TestAnswersAreWholeWhenConnectionsAreCut cuts connections in the midst of streams.
func TestAnswersAreWholeWhenConnectionsAreCut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startBed(c, testbed.Settings{"slots": 8})
	relays := b.relayAgents(c, "assistant", b.streamTogether)
	continued := 0
	for number, s := range b.strikeStreams(c, func() { relays[b.busiest(c, "assistant").ID].cut() }) {
		c.Check(s.whole, qt.IsTrue, qt.Commentf("answer %d ends after %q", number, s.text))
		c.Check(s.text, qt.Equals, undisturbed(number))
		if s.attempts > 1 {
			continued++
		}
	}
	c.Check(continued > 0, qt.IsTrue, qt.Commentf("the cut met no stream"))
}

// TestDraftsRunOnceAndWholeWhenConnectionsAreCut cuts connections in the midst of streams that may not
// be repeated, then sends each key again through the other entry. The first callers get the rest from
// the run that goes on, the second ones the same answer from the agent's record.
func TestDraftsRunOnceAndWholeWhenConnectionsAreCut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startBed(c, testbed.Settings{"slots": 8})
	relays := b.relayAgents(c, "assistant", b.streamTogether)
	before := b.started(c)
	keys := make([]string, streams)
	for number := range keys {
		keys[number] = newKey()
	}
	for number, s := range b.strikeKind(c, "draft", keys, func() { cutAgain(relays) }) {
		c.Check(s.whole, qt.IsTrue, qt.Commentf("answer %d ends after %q", number, s.text))
		c.Check(s.text, qt.Equals, undisturbed(number))
	}
	for number, key := range keys {
		again, err := b.streamKind(b.entries()[(number+1)%2], "draft", key, number, func() {})
		c.Check(err, qt.IsNil)
		c.Check(again.whole, qt.IsTrue, qt.Commentf("replay %d ends after %q", number, again.text))
		c.Check(again.text, qt.Equals, undisturbed(number))
	}
	c.Check(b.started(c)-before, qt.Equals, float64(streams))
}

// started counts the runs that model agents have started.
func (b *bed) started(c *qt.C) float64 {
	total := 0.0
	for _, agent := range b.fleet.Service("assistant") {
		count, err := testbed.Metric(b.ctx, agent.Metrics, "agent_started")
		c.Assert(err, qt.IsNil)
		total += count
	}
	return total
}

// streamTogether runs a few streams at once, so that they use several replicas.
func (b *bed) streamTogether(entry string) {
	var reading sync.WaitGroup
	for number := range streams {
		reading.Go(func() { _, _ = b.stream(entry, number, func() {}) })
	}
	reading.Wait()
}

func cutAgain(relays map[string]*relay) {
	for end := time.Now().Add(cutFor); time.Now().Before(end); time.Sleep(cutEvery) {
		for _, r := range relays {
			r.cut()
		}
	}
}
