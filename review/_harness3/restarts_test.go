package harness

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of caseRestarts. The gateways get SIGTERM one at a time, rollGap apart, as on a day of the site. A stream lasts 14.5 s, with
// pauses below the route's target_gap_ms; its attempt may take 15 s.
const (
	longStreams   = 20
	newStreams    = 20
	longEvents    = 50
	longGapMS     = 290
	attemptBudget = 15 * time.Second
	rollGap       = 2 * time.Second
	// afterBreak is when the new streams begin. The streams have broken off by then: the last gateway gets SIGTERM 6 s after the first
	// one, and ends within grace_s.
	afterBreak = 14500 * time.Millisecond
	// takeUpTries is how often a consumer tries to take up a stream, at one gateway after the other. It waits for takeUpPause before
	// each try, the first one too, and abandons the stream after a gap of 2.4 s.
	takeUpTries = 4
	takeUpPause = 500 * time.Millisecond
	// minTakenUp is the least number of streams that the rule judges.
	minTakenUp = 12
)

// takenUp is a stream that a consumer takes up again after its channel has broken.
type takenUp struct {
	first answer
	// tries are the answers to its tries to take it up.
	tries []answer
}

// goesOn reports whether a try brought an event.
func (s *takenUp) goesOn() bool {
	for i := range s.tries {
		if len(s.tries[i].events) > 0 {
			return true
		}
	}
	return false
}

// caseRestarts stops and starts all gateways one after the other. Streams run at the one that comes last, which breaks them off at the
// end of its grace time. Their consumers take them up at the other gateways, which were started more than contact_ms before. The rule is
// broken if the share of them that goes on is under half of the share of new streams that begin there at that time. Without the
// disruption only the last gateway is stopped and started, and all else is the same.
func caseRestarts(d *deployment) (int, error) {
	d.store.put("op/config", []byte(streamConfiguration))
	for i := range 4 {
		s := replicaSettings{ID: fmt.Sprint("tracer-", i), Service: "tracer", Zone: zoneOf(i), Software: "v1", Model: "m0", Events: longEvents, GapMS: longGapMS, Slots: 128}
		if err := d.startReplica(s); err != nil {
			return couldNotRun, err
		}
	}
	if err := d.startGateways("erie", "huron", "superior", "ontario"); err != nil {
		return couldNotRun, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return couldNotRun, err
	}
	root, err := repositoryRoot()
	if err != nil {
		return couldNotRun, err
	}
	time.Sleep(beforeFirstLoad)
	last := len(d.gateways) - 1
	streams := make([]takenUp, longStreams)
	var consumers sync.WaitGroup
	for n := range streams {
		consumers.Go(func() { streams[n] = d.followStream(last, n) })
		time.Sleep(10 * time.Millisecond)
	}
	start := time.Now()
	end := make(chan struct{})
	defer close(end)
	for i, g := range d.gateways {
		time.Sleep(time.Until(start.Add(time.Duration(i) * rollGap)))
		if !d.trouble && i < last {
			continue
		}
		d.logf("%s gets SIGTERM", g.name)
		_ = g.command.Process.Signal(syscall.SIGTERM)
		go func() {
			_ = g.command.Wait()
			d.logf("%s has ended", g.name)
			time.Sleep(restartDelay)
			d.supervise(g, root, end)
		}()
	}
	time.Sleep(time.Until(start.Add(afterBreak)))
	begun := d.beginStreams(last)
	consumers.Wait()
	went, interrupted := 0, 0
	for i := range streams {
		s := &streams[i]
		if len(s.first.events) == 0 || len(s.tries) == 0 {
			continue
		}
		interrupted++
		if s.goesOn() {
			went++
		}
	}
	d.logf("streams taken up again: %d, of which %d went on; new streams at the same gateways: %d, of which %d began", interrupted, went, newStreams, begun)
	fmt.Printf("streams taken up again: %d, went on: %d; new streams: %d, began: %d\n", interrupted, went, newStreams, begun)
	if interrupted < minTakenUp || begun < minTakenUp {
		return couldNotRun, fmt.Errorf("%d streams were taken up again, %d new ones began", interrupted, begun)
	}
	if float64(went)/float64(interrupted) < float64(begun)/newStreams/2 {
		return broken, nil
	}
	return held, nil
}

// followStream reads a stream at a gateway. If its channel breaks, it takes the stream up at the others, one after the other.
func (d *deployment) followStream(gateway, n int) (s takenUp) {
	c := newConsumer(d.gateways[gateway])
	s.first = c.send("POST", "/lookup/sheet", streamHeaders(), "sheet=14", attemptBudget)
	d.logf("stream %s at %s: status %d, %d events, complete %v, error %v", s.first.id, c.gateway.name, s.first.status, len(s.first.events), s.first.complete, s.first.err)
	if s.first.complete || len(s.first.events) == 0 {
		return s
	}
	for try := range takeUpTries {
		time.Sleep(takeUpPause)
		c := newConsumer(d.gateways[(n+try)%gateway])
		headers := streamHeaders()
		headers["Resumes"], headers["Last-Event-Id"] = s.first.id, s.first.lastID
		a := c.send("POST", "/lookup/sheet", headers, "sheet=14", attemptBudget)
		s.tries = append(s.tries, a)
		d.logf("stream %s is taken up after event %s by %s at %s: status %d, %d events, complete %v, error %v", s.first.id, s.first.lastID, a.id, c.gateway.name, a.status, len(a.events), a.complete, a.err)
		if len(a.events) > 0 {
			return s
		}
	}
	return s
}

// beginStreams sends new streams to the gateways before the one with that number, and returns how many begin. The consumers leave after
// a second.
func (d *deployment) beginStreams(gateways int) (begun int) {
	var consumers sync.WaitGroup
	answers := make([]answer, newStreams)
	for n := range answers {
		consumers.Go(func() {
			c := newConsumer(d.gateways[n%gateways])
			answers[n] = c.send("POST", "/lookup/sheet", streamHeaders(), "sheet=15", time.Second)
			d.logf("new stream %s at %s: status %d, %d events", answers[n].id, c.gateway.name, answers[n].status, len(answers[n].events))
		})
	}
	consumers.Wait()
	for i := range answers {
		if len(answers[i].events) > 0 {
			begun++
		}
	}
	return begun
}

func streamHeaders() map[string]string {
	return map[string]string{
		"Balsamyoke-Model": "m0", "Balsamyoke-Token-Usage": "2400,50",
		"Balsamyoke-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:1600", time.Now().UnixNano()&0xffffffff),
	}
}
