package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	step      = 10 * time.Millisecond
	drawEvery = 100 * time.Millisecond
)

// cluster drives entries and homes in virtual time with a fixed seed.
type cluster struct {
	entries []*Spender
	homes   []*Home
	// homeOf returns the home that an entry reaches; -1 when it reaches none.
	homeOf   func(entry int) int
	random   *rand.Rand
	now      time.Time
	limit    Limit
	admitted float64
	refused  float64
	draws    int
}

func newCluster(entries, homes int, limit Limit) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(3, 4)),
		now:    start,
		limit:  limit,
		homeOf: func(int) int { return 0 },
	}
	for range entries {
		s := NewSpender()
		s.SetLive(entries)
		c.entries = append(c.entries, s)
	}
	for range homes {
		c.homes = append(c.homes, NewHome())
	}
	return c
}

// run offers perSecond requests for the given time, each at an entry that pick chooses.
func (c *cluster) run(length time.Duration, perSecond float64, pick func() int) {
	owed := 0.0
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(step) {
		for owed += perSecond * step.Seconds(); owed >= 1; owed-- {
			if c.entries[pick()].Spend(c.now, "org", c.limit, 100).Allowed {
				c.admitted++
			} else {
				c.refused++
			}
		}
		if c.now.Sub(start)%drawEvery == 0 {
			c.draw()
		}
	}
}

func (c *cluster) draw() {
	for i, s := range c.entries {
		for _, d := range s.Due(c.now) {
			home := c.homeOf(i)
			if home < 0 {
				s.Failed(c.now, d.Organisation)
				continue
			}
			c.draws++
			d.From = fmt.Sprint(i)
			s.Granted(c.now, d.Organisation, c.homes[home].Draw(c.now, d, c.limit))
		}
	}
}

func (c *cluster) anyEntry() int { return c.random.IntN(len(c.entries)) }

// bound is the bound of the package comment with cut entries without a home, plus moves bursts.
func (c *cluster) bound(seconds float64, cut, moves int) float64 {
	n := float64(len(c.entries))
	rate := c.limit.Requests * (1 + float64(cut)/n)
	return rate*(seconds+burstSeconds*float64(1+moves)) + n + c.limit.Requests
}

func TestLimitHoldsOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 3, 40} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			q := qt.New(t)
			c := newCluster(entries, 1, Limit{Requests: 100})
			c.run(60*time.Second, 1000, c.anyEntry)
			q.Assert(c.admitted <= c.bound(60, 0, 0), qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
			q.Assert(c.admitted >= 0.9*100*60, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
			t.Logf("%d entries: admitted %.0f of 60000 at a limit of 6000, bound %.0f", entries, c.admitted, c.bound(60, 0, 0))
		})
	}
}

func TestTokensAreLimitedToo(t *testing.T) {
	q := qt.New(t)
	c := newCluster(5, 1, Limit{Tokens: 2000})
	c.run(60*time.Second, 100, c.anyEntry)
	// Requests have 100 tokens each: 20 a second.
	q.Assert(c.admitted <= 20*62+5, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
	q.Assert(c.admitted >= 0.9*20*60, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
}

// TestDemandBelowTheLimitIsNotRefused covers steady traffic at half the limit, spread over entries
// and sent to one alone.
func TestDemandBelowTheLimitIsNotRefused(t *testing.T) {
	for name, pick := range map[string]func(*cluster) int{
		"spread": (*cluster).anyEntry,
		"single": func(*cluster) int { return 0 },
	} {
		t.Run(name, func(t *testing.T) {
			q := qt.New(t)
			c := newCluster(4, 1, Limit{Requests: 100})
			c.run(5*time.Second, 50, func() int { return pick(c) })
			c.refused = 0
			c.run(60*time.Second, 50, func() int { return pick(c) })
			q.Assert(c.refused <= 0.01*50*60, qt.IsTrue, qt.Commentf("refused %.0f of 3000", c.refused))
			t.Logf("refused %.0f of 3000", c.refused)
		})
	}
}

func TestLostHomeLeavesABoundedShare(t *testing.T) {
	for _, cut := range []int{2, 10} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			q := qt.New(t)
			c := newCluster(10, 1, Limit{Requests: 100})
			c.homeOf = func(entry int) int {
				if entry < cut {
					return -1
				}
				return 0
			}
			c.run(60*time.Second, 1000, c.anyEntry)
			q.Assert(c.admitted <= c.bound(60, cut, 0), qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
			q.Assert(c.admitted >= 0.9*100*60, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
			t.Logf("%d of 10 entries cut: admitted %.0f at a limit of 6000, bound %.0f", cut, c.admitted, c.bound(60, cut, 0))
		})
	}
}

// TestMovedHomeDoublesTheLimitOnlyUntilGrantsLapse lets half of the entries see a new home five
// seconds before the others.
func TestMovedHomeDoublesTheLimitOnlyUntilGrantsLapse(t *testing.T) {
	q := qt.New(t)
	c := newCluster(10, 2, Limit{Requests: 100})
	c.run(20*time.Second, 1000, c.anyEntry)
	c.homeOf = func(entry int) int { return entry % 2 }
	before := c.admitted
	c.run(5*time.Second, 1000, c.anyEntry)
	q.Assert(c.admitted-before <= 2*c.limit.Requests*(5+2*burstSeconds), qt.IsTrue)
	c.homeOf = func(int) int { return 1 }
	c.run(2*minInterval, 1000, c.anyEntry) // grants of the old home lapse
	before = c.admitted
	c.run(60*time.Second, 1000, c.anyEntry)
	q.Assert(c.admitted-before <= 1.02*c.limit.Requests*60, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted-before))
}

// TestHomeBoundsItsDrawsAtTheDesignSize has all entries draw for one organisation at 87% of its limit.
// A home may spend half of a node's 1.5% of a core on it, at 25 us a draw.
func TestHomeBoundsItsDrawsAtTheDesignSize(t *testing.T) {
	const mostDraws = 300
	q := qt.New(t)
	c := newCluster(3100, 1, Limit{Requests: 6000})
	c.run(45*time.Second, 5200, c.anyEntry)
	c.draws, c.refused, c.admitted = 0, 0, 0
	c.run(30*time.Second, 5200, c.anyEntry)
	perSecond := float64(c.draws) / 30
	offered := c.refused + c.admitted
	q.Assert(perSecond <= mostDraws, qt.IsTrue, qt.Commentf("%.0f draws a second", perSecond))
	q.Assert(c.refused <= 0.01*offered, qt.IsTrue, qt.Commentf("refused %.0f of %.0f", c.refused, offered))
	t.Logf("%.0f draws a second, refused %.0f of %.0f", perSecond, c.refused, offered)
}

// TestFreshEntryDoesNotSpendAsIfAlone covers an entry that has not read the instance list yet.
func TestFreshEntryDoesNotSpendAsIfAlone(t *testing.T) {
	q := qt.New(t)
	s := NewSpender()
	allowed := 0
	for range 100 {
		if s.Spend(start, "org", Limit{Requests: 50}, 1).Allowed {
			allowed++
		}
	}
	q.Assert(allowed <= 1, qt.IsTrue, qt.Commentf("%d of 100 allowed without a grant", allowed))
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	q := qt.New(t)
	s := NewSpender()
	s.SetLive(1)
	limit := Limit{Requests: 0.5}
	for range 2 {
		s.Spend(start, "org", limit, 1)
	}
	refused := s.Spend(start, "org", limit, 1)
	q.Assert(refused.Allowed, qt.IsFalse)
	q.Assert(refused.RetryAfter, qt.Equals, time.Second)
	q.Assert(s.Spend(start, "free", Limit{}, 1), qt.Equals, Decision{Allowed: true})
}

func TestIdleAccountsAreForgotten(t *testing.T) {
	q := qt.New(t)
	c := newCluster(1, 1, Limit{Requests: 100})
	c.run(time.Second, 10, c.anyEntry)
	c.run(2*accountIdle, 0, c.anyEntry)
	q.Assert(c.entries[0].Organisations(), qt.Equals, 0)
	c.homes[0].Prune(c.now)
	q.Assert(c.homes[0].Organisations(), qt.Equals, 0)
}
