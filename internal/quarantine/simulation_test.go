package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The rule that the simulation checks: no more than maxLate requests with a part reach servers later than contactTime after
// the fifth crash under it.
const (
	contactTime = 3.0 // seconds
	maxLate     = 3
	ruleCrashes = 5
	badPart     = "bad"
)

// simulation plays requests, crashes and reports in virtual time, in seconds. Every gateway has its own Tracker.
type simulation struct {
	rng      *rand.Rand
	now      float64
	events   eventQueue
	gateways []*simGateway
	servers  []*simServer
	// returnAfter is how long a server takes to start again.
	returnAfter float64
	// completeFirst is the share of the requests with badPart that are served just before their server crashes.
	completeFirst float64
	sequence      uint64

	badCrashes []float64
	// badReached are the times at which requests with badPart reached servers.
	badReached []float64
	// sound counts sound requests by whole seconds of their arrival, served and held those served and held.
	sound, served, held map[int]int
	wronglyHeld         map[string]bool
}

type simGateway struct {
	tracker *Tracker
	leads   bool
}

type simServer struct {
	id      string
	up      bool
	running map[*simRequest]*simGateway
}

type simRequest struct {
	sent    Request
	sound   bool
	arrived float64
	sends   int
}

type event struct {
	at  float64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, gateways, servers int) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, seed)), sound: make(map[int]int), served: make(map[int]int), held: make(map[int]int),
		wronglyHeld: make(map[string]bool),
	}
	s.returnAfter = 2 + 2*s.rng.Float64()
	for i := range gateways {
		s.gateways = append(s.gateways, &simGateway{tracker: New(), leads: i == 0})
	}
	for range servers {
		s.startServer()
	}
	for _, g := range s.gateways {
		s.in(s.rng.Float64()*0.2, func() { s.beat(g) })
	}
	return s
}

func (s *simulation) in(seconds float64, run func()) {
	heap.Push(&s.events, event{s.now + seconds, run})
}

// every runs f at random times, perSecond times a second on average, from start to end.
func (s *simulation) every(perSecond, start, end float64, f func()) {
	for t := start; t < end; t += s.rng.ExpFloat64() / perSecond {
		heap.Push(&s.events, event{t, f})
	}
}

func (s *simulation) run(until float64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) startServer() {
	s.sequence++
	s.servers = append(s.servers, &simServer{id: fmt.Sprint("s", s.sequence), up: true, running: make(map[*simRequest]*simGateway)})
}

// request sends a request to a random gateway.
func (s *simulation) request(sound bool, ids ...string) {
	s.sequence++
	r := &simRequest{
		sent: Request{Number: s.sequence, Parts: parts(append(ids, fmt.Sprint("q", s.sequence))...)}, sound: sound, arrived: s.now,
	}
	if sound {
		s.sound[int(s.now)]++
	}
	s.place(s.gateways[s.rng.IntN(len(s.gateways))], r)
}

func (s *simulation) place(g *simGateway, r *simRequest) {
	if hold, held := g.tracker.Held(at(s.now), r.sent.Parts, g.leads); held {
		if r.sound {
			s.held[int(r.arrived)]++
			s.wronglyHeld[hold.Part.ID] = true
		}
		return
	}
	var up []*simServer
	for _, server := range s.servers {
		if server.up {
			up = append(up, server)
		}
	}
	if len(up) == 0 {
		return
	}
	server := up[s.rng.IntN(len(up))]
	r.sends++
	r.sent.SentAt = at(s.now)
	server.running[r] = g
	if !r.sound {
		s.badReached = append(s.badReached, s.now)
	}
	s.in(0.02+0.25*s.rng.Float64(), func() { s.begin(server, g, r) })
}

// begin starts the answer to a request, which a sound one completes.
func (s *simulation) begin(server *simServer, g *simGateway, r *simRequest) {
	if server.running[r] == nil {
		return
	}
	if !r.sound {
		if s.rng.Float64() < s.completeFirst {
			delete(server.running, r)
			g.tracker.RecordServed(at(s.now), server.id, r.sent)
		}
		s.in(0.1*s.rng.Float64(), func() {
			if server.up {
				s.badCrashes = append(s.badCrashes, s.now)
				s.crash(server)
			}
		})
		return
	}
	s.in(0.05+1.5*s.rng.Float64(), func() {
		if server.running[r] == nil {
			return
		}
		delete(server.running, r)
		s.served[int(r.arrived)]++
		g.tracker.RecordServed(at(s.now), server.id, r.sent)
	})
}

// crash ends a server. Each gateway reports the requests that it had there, and sends them to another server once.
func (s *simulation) crash(server *simServer) {
	server.up = false
	suspects := make(map[*simGateway][]Suspect)
	for _, r := range slices.SortedFunc(maps.Keys(server.running), func(a, b *simRequest) int { return cmp.Compare(a.sent.Number, b.sent.Number) }) {
		g := server.running[r]
		suspects[g] = append(suspects[g], r.sent.Suspects()...)
		if r.sends < 2 {
			s.in(0.005, func() { s.place(g, r) })
		}
	}
	clear(server.running)
	if len(suspects) == 0 {
		// The next request to the server's address is refused.
		g := s.gateways[s.rng.IntN(len(s.gateways))]
		refused := Crash{Server: server.id, At: at(s.now + 0.2)}
		s.in(0.2, func() {
			g.tracker.RecordCrash(at(s.now), refused)
			s.report(g, 1)
		})
	}
	// The gateways are visited in a fixed order, so that a seed repeats its run.
	for _, g := range s.gateways {
		if list := suspects[g]; list != nil {
			crashed := Crash{Server: server.id, At: at(s.now), Suspects: list}
			s.in(0.002+0.01*s.rng.Float64(), func() {
				g.tracker.RecordCrash(at(s.now), crashed)
				s.report(g, 1)
			})
		}
	}
	s.in(s.returnAfter, s.startServer)
}

// beat sends a gateway's report to a part of the others, as heartbeats do in turn.
func (s *simulation) beat(g *simGateway) {
	g.tracker.Expire(at(s.now))
	g.tracker.Decide(at(s.now))
	s.report(g, 0.2)
	s.in(0.2, func() { s.beat(g) })
}

// report sends a gateway's report to a share of the others. A few are lost.
func (s *simulation) report(g *simGateway, share float64) {
	report := g.tracker.Report(at(s.now))
	for _, other := range s.gateways {
		if other == g || s.rng.Float64() > share || s.rng.IntN(50) == 0 {
			continue
		}
		s.in(0.002+0.03*s.rng.Float64(), func() {
			for _, served := range report.Served {
				other.tracker.MergeServed(served.Part, served.At)
			}
			answer := false
			for _, crashed := range report.Crashes {
				crashed.Suspects = slices.Clone(crashed.Suspects)
				for i := range crashed.Suspects {
					crashed.Suspects[i].Reported = true
				}
				answer = other.tracker.RecordCrash(at(s.now), crashed) || answer
			}
			if answer {
				s.report(other, 1)
			}
			for _, hold := range report.Holds {
				other.tracker.MergeHold(at(s.now), hold)
			}
		})
	}
}

// late returns how many requests with badPart reached servers when they should have been kept away.
func (s *simulation) late() int { return s.lateAfter(ruleCrashes) }

// lateAfter returns how many requests reached servers later than contactTime after the given number of crashes.
func (s *simulation) lateAfter(crashes int) int {
	if len(s.badCrashes) < crashes {
		return 0
	}
	count := 0
	for _, reached := range s.badReached {
		if reached > s.badCrashes[crashes-1]+contactTime {
			count++
		}
	}
	return count
}

// sites are deployments by their numbers of gateways and servers, with the number of seeds that a test plays there.
var sites = []struct {
	gateways, servers int
	seeds             uint64
}{{1, 4, 20}, {3, 6, 20}, {5, 18, 20}, {30, 55, 4}}

const simulatedSeconds = 30

// soundLoad sends requests of ten sessions, of which some come often and some rarely, with the same first part.
func (s *simulation) soundLoad(servers int, factor float64) {
	for i := range 10 {
		session := fmt.Sprint("session", i)
		s.every(factor*0.4*float64(servers)/float64(i+1), 0, simulatedSeconds, func() { s.request(true, "base", session) })
	}
}

// rareSessions sends requests of sessions that come a few times each, so that most gateways have never served them.
func (s *simulation) rareSessions(perSecond float64) {
	s.every(perSecond, 0, simulatedSeconds, func() { s.request(true, "base", fmt.Sprint("rare", int(s.now/2)*100+s.rng.IntN(100))) })
}

// Requests with one part crash each server that begins to answer them. They come often or rarely, and share their other parts
// with sound requests.
func TestSimulatedPartThatCrashesServersIsHeld(t *testing.T) {
	for _, site := range sites {
		for seed := range site.seeds {
			t.Run(fmt.Sprintf("%d gateways seed %d", site.gateways, seed), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				s := newSimulation(seed, site.gateways, site.servers)
				s.soundLoad(site.servers, 1)
				perSecond := []float64{1, 4, 10, 20}[seed%4]
				s.every(perSecond, 5, simulatedSeconds, func() {
					s.request(false, "base", fmt.Sprint("session", s.rng.IntN(10)), badPart)
				})
				s.run(simulatedSeconds + 5)
				c.Assert(s.late() <= maxLate, qt.IsTrue, qt.Commentf("%d requests too late, %d crashes", s.late(), len(s.badCrashes)))
				c.Assert(s.wronglyHeld, qt.HasLen, 0)
				sound, served := 0, 0
				for second := 20; second < simulatedSeconds; second++ {
					sound, served = sound+s.sound[second], served+s.served[second]
				}
				c.Assert(served, qt.Equals, sound)
			})
		}
	}
}

// The same where some of the requests are served before their servers crash: a short answer may be faster than the end of the
// process.
func TestSimulatedPartThatIsServedBeforeTheCrashIsHeld(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSimulation(seed, 5, 18)
			s.completeFirst = []float64{0.2, 0.5, 0.9}[seed%3]
			s.soundLoad(18, 2)
			s.every(10, 5, simulatedSeconds, func() {
				s.request(false, "base", fmt.Sprint("session", s.rng.IntN(10)), badPart)
			})
			s.run(simulatedSeconds + 5)
			c.Assert(s.late() <= maxLate, qt.IsTrue, qt.Commentf("%d requests too late, %d crashes", s.late(), len(s.badCrashes)))
			c.Assert(s.wronglyHeld, qt.HasLen, 0)
		})
	}
}

// The same at busy servers, which run dozens of requests each, many of them of sessions that are new to most gateways.
func TestSimulatedPartThatCrashesBusyServersIsHeld(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newSimulation(seed, 5, 18)
			s.soundLoad(18, 4)
			s.rareSessions(200)
			s.every([]float64{4, 10, 20}[seed%3], 5, simulatedSeconds, func() {
				s.request(false, "base", fmt.Sprint("session", s.rng.IntN(10)), badPart)
			})
			s.run(simulatedSeconds + 5)
			c.Assert(s.late() <= maxLate, qt.IsTrue, qt.Commentf("%d requests too late, %d crashes", s.late(), len(s.badCrashes)))
			held, sound := 0, 0
			for second := 15; second < simulatedSeconds; second++ {
				held, sound = held+s.held[second], sound+s.sound[second]
			}
			c.Logf("%d crashes, %d late, %d of %d sound held, wrongly %d", len(s.badCrashes), s.late(), held, sound, len(s.wronglyHeld))
			c.Assert(2*held < sound, qt.IsTrue, qt.Commentf("%d of %d sound requests were held: %v", held, sound, s.wronglyHeld))
		})
	}
}

// Servers crash for reasons of their own: alone, many at the same moment, in turn. No part is held.
func TestSimulatedCrashesWithoutACulpritHoldNothing(t *testing.T) {
	for _, site := range sites {
		for seed := range site.seeds {
			t.Run(fmt.Sprintf("%d gateways seed %d", site.gateways, seed), func(t *testing.T) {
				t.Parallel()
				c := qt.New(t)
				s := newSimulation(seed, site.gateways, site.servers)
				s.soundLoad(site.servers, 1)
				crashShare := func(share float64) {
					for _, server := range s.servers {
						if server.up && s.rng.Float64() < share {
							s.crash(server)
						}
					}
				}
				switch seed % 4 {
				case 0:
					s.every(0.5, 5, simulatedSeconds, func() { crashShare(1.5 / float64(site.servers)) })
				case 1:
					s.every(0.2, 5, simulatedSeconds, func() { crashShare(0.5) })
				case 2:
					s.every(0.1, 5, simulatedSeconds, func() { crashShare(1) })
				case 3:
					s.every(3, 5, simulatedSeconds, func() { crashShare(0.1) })
				}
				s.run(simulatedSeconds + 5)
				c.Assert(s.wronglyHeld, qt.HasLen, 0)
			})
		}
	}
}

// crowdedTracker returns a Tracker with as many crashes and suspects as it keeps, the latest a minute old at most.
func crowdedTracker(newest float64) *Tracker { return crowdedTrackerOf(newest, false) }

// crowdedTrackerOf returns such a Tracker whose suspects are whole requests, or not.
func crowdedTrackerOf(newest float64, whole bool) *Tracker {
	tracker := New()
	for i := range maxCrashes {
		crashed := crash(fmt.Sprint("s", i), newest-float64(maxCrashes-i)/2, 0, uint64(i))
		for j := range maxSuspects {
			crashed.Suspects = append(crashed.Suspects, Suspect{Part: Part{Scope: "m", ID: fmt.Sprint("p", i%8, j), Whole: whole}, Request: uint64(j), SentAt: at(0)})
		}
		tracker.RecordCrash(at(newest), crashed)
	}
	return tracker
}

// BenchmarkReport prepares the report of a heartbeat just after a crash and some seconds later.
func BenchmarkReport(b *testing.B) {
	for name, age := range map[string]float64{"fresh": 0.1, "old": 10} {
		b.Run(name, func(b *testing.B) {
			tracker := crowdedTracker(100)
			b.ReportAllocs()
			for b.Loop() {
				tracker.Report(at(100 + age))
			}
		})
	}
}

// BenchmarkDecide evaluates all evidence, as after each new crash.
func BenchmarkDecide(b *testing.B) {
	for name, whole := range map[string]bool{"parts of prompts": false, "whole requests": true} {
		b.Run(name, func(b *testing.B) {
			tracker := crowdedTrackerOf(100, whole)
			b.ReportAllocs()
			for b.Loop() {
				tracker.undecided = true
				tracker.Decide(at(101))
			}
		})
	}
}

// BenchmarkHeld looks up the parts of a request while two parts are held.
func BenchmarkHeld(b *testing.B) {
	tracker := New()
	now := at(10)
	for _, id := range []string{"a", "b"} {
		tracker.MergeHold(now, Hold{Part: part(id), CrashedAt: now, Length: time.Minute})
	}
	request := parts("base", "doc", "chapter", "q1")
	b.ReportAllocs()
	for b.Loop() {
		if _, held := tracker.Held(now, request, false); held {
			b.Fatal("held")
		}
	}
}
