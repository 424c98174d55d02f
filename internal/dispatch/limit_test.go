package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/quota"
)

// stateLimit records a response of a server that states a limit.
func stateLimit(d *Dispatcher, id string, perSecond float64, now time.Time) {
	d.RecordReport(now, id, ServerReport{Limit: perSecond, HasLimit: true, SentAt: now})
}

func grantOne(d *Dispatcher, id string, now time.Time) {
	d.AddGrant(now, now, id, quota.Grant{Requests: 1, Valid: time.Second})
}

// Servers without a limit come first. One with a limit is used under a grant only, once for each.
func TestLimitedServerIsUsedLastAndUnderAGrant(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	stateLimit(d, "p0", 1.4, start)
	for range 10 {
		c.Assert(mustPlace(c, d, plain(), start).Server, qt.Equals, "p1")
	}
	r := plain()
	r.Tried = []string{"p1"}
	_, refusal := d.Place(start, r)
	c.Assert(refusal.Reason, qt.Equals, AllLimited)
	c.Assert(refusal.GrantFrom, qt.Equals, "p0")
	grantOne(d, "p0", start)
	c.Assert(mustPlace(c, d, r, start).Server, qt.Equals, "p0")
	_, refusal = d.Place(start, r)
	c.Assert(refusal.GrantFrom, qt.Equals, "p0")
}

// A request that no server may take is refused at once, and no owner is asked before it can have granted again.
func TestRequestIsRefusedWhenAllServersAreLimited(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	for _, id := range []string{"p0", "p1"} {
		stateLimit(d, id, 0.5, start)
		d.AddGrant(start, start, id, quota.Grant{RetryAfter: 1500 * time.Millisecond})
	}
	_, refusal := d.Place(start, plain())
	c.Assert(refusal.Reason, qt.Equals, AllLimited)
	c.Assert(refusal.GrantFrom, qt.Equals, "")
	c.Assert(refusal.RetryAfter >= 1500*time.Millisecond, qt.IsTrue)
	_, refusal = d.Place(start.Add(1500*time.Millisecond), plain())
	c.Assert(refusal.GrantFrom, qt.Not(qt.Equals), "")
}

// Prompts that would wait too long at the other engines go to one with a limit.
func TestLimitedEngineIsUsedWhenTheOthersAreOverloaded(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	stateLimit(d, "e01", 1.4, start)
	var refusal *Refusal
	for i := 0; i < 200 && refusal == nil; i++ {
		var p Placement
		if p, refusal = d.Place(start, prompt("s", 9000)); refusal == nil {
			c.Assert(p.Server, qt.Equals, "e00")
			d.RecordSent(start, &p)
		}
	}
	c.Assert(refusal, qt.IsNotNil)
	c.Assert(refusal.GrantFrom, qt.Equals, "e01")
	grantOne(d, "e01", start)
	c.Assert(mustPlace(c, d, prompt("s", 9000), start).Server, qt.Equals, "e01")
}

// A limit ends with the first response without one to a request that was sent after it was last stated.
func TestLimitEndsWithALaterResponseWithoutOne(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	changes := d.RecordReport(start, "p0", ServerReport{Limit: 2, HasLimit: true, SentAt: start})
	c.Assert(changes.Limit, qt.IsTrue)
	changes = d.RecordReport(start.Add(time.Second), "p0", ServerReport{SentAt: start.Add(-time.Second)})
	c.Assert(changes.Limit, qt.IsFalse)
	c.Assert(d.LimitedCount(), qt.Equals, 1)
	changes = d.RecordReport(start.Add(time.Second), "p0", ServerReport{SentAt: start.Add(time.Second)})
	c.Assert(changes.Limit, qt.IsTrue)
	c.Assert(d.LimitedCount(), qt.Equals, 0)
}

// The latest statement counts, whichever gateway got it. One of an earlier run of the server doesn't.
func TestLatestStatementOfALimitCounts(t *testing.T) {
	c := qt.New(t)
	d, other := newDispatcher(2), newDispatcher(2)
	stateLimit(d, "p0", 2, start)
	c.Assert(other.SetLimit(d.Limits(start)[0]), qt.IsTrue)
	c.Assert(other.SetLimit(d.Limits(start)[0]), qt.IsFalse)
	// What another gateway has reported isn't passed on.
	c.Assert(other.Limits(start), qt.HasLen, 0)
	stateLimit(other, "p0", 3, start.Add(time.Second))
	c.Assert(other.SetLimit(d.Limits(start)[0]), qt.IsFalse)
	perSecond, stated := other.Limit("p0")
	c.Assert(stated, qt.IsTrue)
	c.Assert(perSecond, qt.Equals, 3.0)
	other.RecordReport(start.Add(2*time.Second), "p0", ServerReport{SentAt: start.Add(2 * time.Second)})
	c.Assert(d.SetLimit(other.Limits(start.Add(2 * time.Second))[0]), qt.IsTrue)
	c.Assert(d.LimitedCount(), qt.Equals, 0)
	c.Assert(d.SetLimit(ServerLimit{ID: "p0", StartedMS: 7, Stated: true, PerSecond: 1, At: start.Add(time.Minute)}), qt.IsFalse)
}

// A server that starts again states nothing yet.
func TestLimitEndsWithTheServersRun(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	list := servers(2)
	list[len(list)-1].StartedMS = 1
	d.SetServers(list)
	stateLimit(d, "p1", 2, start)
	list[len(list)-1].StartedMS = 2
	d.SetServers(list)
	c.Assert(d.LimitedCount(), qt.Equals, 0)
}

// While the other servers suffice, a request now and then finds out whether a limit is still in force.
func TestLimitIsRecheckedByARequest(t *testing.T) {
	c := qt.New(t)
	d := newDispatcher(2)
	stateLimit(d, "p0", 1.4, start)
	c.Assert(d.RecheckDue(start.Add(recheckAfter)), qt.HasLen, 0)
	later := start.Add(recheckAfter + time.Millisecond)
	c.Assert(d.RecheckDue(later), qt.DeepEquals, []string{"p0"})
	d.Recheck("p0")
	_, refusal := d.Place(later, plain())
	c.Assert(refusal.GrantFrom, qt.Equals, "p0")
	grantOne(d, "p0", later)
	c.Assert(mustPlace(c, d, plain(), later).Server, qt.Equals, "p0")
	stateLimit(d, "p0", 1.4, later)
	c.Assert(mustPlace(c, d, plain(), later).Server, qt.Equals, "p1")
}
