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
	step         = 10 * time.Millisecond
	drawInterval = 100 * time.Millisecond
)

// cluster runs entries and owners in virtual time with a fixed seed.
type cluster struct {
	entries []*Spender
	owners  []*Owner
	// ownerOf returns the index of the owner that an entry reaches, or -1 when it reaches none.
	ownerOf  func(entry int) int
	rng      *rand.Rand
	now      time.Time
	limit    Limit
	admitted float64
	refused  float64
	draws    int
}

func newCluster(entries, owners int, limit Limit) *cluster {
	c := &cluster{
		rng:     rand.New(rand.NewPCG(3, 4)),
		now:     start,
		limit:   limit,
		ownerOf: func(int) int { return 0 },
	}
	for range entries {
		s := NewSpender()
		s.SetLive(entries)
		c.entries = append(c.entries, s)
	}
	for range owners {
		c.owners = append(c.owners, NewOwner())
	}
	return c
}

// run sends perSecond requests a second for the given time, each to the entry that pick returns.
func (c *cluster) run(length time.Duration, perSecond float64, pick func() int) {
	pending := 0.0
	for end := c.now.Add(length); c.now.Before(end); c.now = c.now.Add(step) {
		for pending += perSecond * step.Seconds(); pending >= 1; pending-- {
			if c.entries[pick()].Spend(c.now, "org", c.limit, 100).Allowed {
				c.admitted++
			} else {
				c.refused++
			}
		}
		if c.now.Sub(start)%drawInterval == 0 {
			c.draw()
		}
	}
}

func (c *cluster) draw() {
	for i, s := range c.entries {
		for _, d := range s.Due(c.now) {
			owner := c.ownerOf(i)
			if owner < 0 {
				s.Failed(c.now, d.Organisation)
				continue
			}
			c.draws++
			d.From = fmt.Sprint(i)
			s.Granted(c.now, d.Organisation, c.owners[owner].Draw(c.now, d, c.limit))
		}
	}
}

func (c *cluster) randomEntry() int { return c.rng.IntN(len(c.entries)) }

// bound returns the maximum number of admitted requests as in the package comment. cut is the number of entries that
// reach no owner. moves is the number of owner changes, each of which adds one burst.
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
			c.run(60*time.Second, 1000, c.randomEntry)
			q.Assert(c.admitted <= c.bound(60, 0, 0), qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
			q.Assert(c.admitted >= 0.9*100*60, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
			t.Logf("%d entries: admitted %.0f of 60000 at a limit of 6000, bound %.0f", entries, c.admitted, c.bound(60, 0, 0))
		})
	}
}

func TestTokensAreLimitedToo(t *testing.T) {
	q := qt.New(t)
	c := newCluster(5, 1, Limit{Tokens: 2000})
	c.run(60*time.Second, 100, c.randomEntry)
	// Requests have 100 tokens each: 20 a second.
	q.Assert(c.admitted <= 20*62+5, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
	q.Assert(c.admitted >= 0.9*20*60, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
}

// TestDemandBelowTheLimitIsNotRefused sends steady traffic at half the limit, once spread over the entries
// and once to a single entry.
func TestDemandBelowTheLimitIsNotRefused(t *testing.T) {
	for name, pick := range map[string]func(*cluster) int{
		"spread": (*cluster).randomEntry,
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

func TestEntriesWithoutOwnerAreBoundedByTheirShare(t *testing.T) {
	for _, cut := range []int{2, 10} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			q := qt.New(t)
			c := newCluster(10, 1, Limit{Requests: 100})
			c.ownerOf = func(entry int) int {
				if entry < cut {
					return -1
				}
				return 0
			}
			c.run(60*time.Second, 1000, c.randomEntry)
			q.Assert(c.admitted <= c.bound(60, cut, 0), qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
			q.Assert(c.admitted >= 0.9*100*60, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted))
			t.Logf("%d of 10 entries cut: admitted %.0f at a limit of 6000, bound %.0f", cut, c.admitted, c.bound(60, cut, 0))
		})
	}
}

// TestMovedOwnerDoublesTheLimitOnlyUntilGrantsExpire lets half of the entries use a new owner five
// seconds before the others.
func TestMovedOwnerDoublesTheLimitOnlyUntilGrantsExpire(t *testing.T) {
	q := qt.New(t)
	c := newCluster(10, 2, Limit{Requests: 100})
	c.run(20*time.Second, 1000, c.randomEntry)
	c.ownerOf = func(entry int) int { return entry % 2 }
	before := c.admitted
	c.run(5*time.Second, 1000, c.randomEntry)
	q.Assert(c.admitted-before <= 2*c.limit.Requests*(5+2*burstSeconds), qt.IsTrue)
	c.ownerOf = func(int) int { return 1 }
	c.run(2*minInterval, 1000, c.randomEntry) // grants of the old owner expire
	before = c.admitted
	c.run(60*time.Second, 1000, c.randomEntry)
	q.Assert(c.admitted-before <= 1.02*c.limit.Requests*60, qt.IsTrue, qt.Commentf("admitted %.0f", c.admitted-before))
}

// TestOwnerBoundsItsDrawsAtTheDesignSize lets all entries draw for one organisation at 87% of its limit.
// An owner may spend half of a node's budget of 1.5% of a core on the draws, at 25 us a draw.
func TestOwnerBoundsItsDrawsAtTheDesignSize(t *testing.T) {
	const budgetPerSecond = 300
	q := qt.New(t)
	c := newCluster(3100, 1, Limit{Requests: 6000})
	c.run(45*time.Second, 5200, c.randomEntry)
	c.draws, c.refused, c.admitted = 0, 0, 0
	c.run(30*time.Second, 5200, c.randomEntry)
	perSecond := float64(c.draws) / 30
	offered := c.refused + c.admitted
	q.Assert(perSecond <= budgetPerSecond, qt.IsTrue, qt.Commentf("%.0f draws a second", perSecond))
	q.Assert(c.refused <= 0.01*offered, qt.IsTrue, qt.Commentf("refused %.0f of %.0f", c.refused, offered))
	t.Logf("%.0f draws a second, refused %.0f of %.0f", perSecond, c.refused, offered)
}

// TestNewEntryHasNoShareBeforeItReadsTheInstanceList checks that an entry without the instance list does not
// assume that it is the only entry and spend the full limit.
func TestNewEntryHasNoShareBeforeItReadsTheInstanceList(t *testing.T) {
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

func TestRefusalReturnsTheRetryTime(t *testing.T) {
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

func TestIdleAccountsAreDeleted(t *testing.T) {
	q := qt.New(t)
	c := newCluster(1, 1, Limit{Requests: 100})
	c.run(time.Second, 10, c.randomEntry)
	c.run(2*accountIdleTime, 0, c.randomEntry)
	q.Assert(c.entries[0].Organisations(), qt.Equals, 0)
	c.owners[0].Prune(c.now)
	q.Assert(c.owners[0].Organisations(), qt.Equals, 0)
}
