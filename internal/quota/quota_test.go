package quota

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func TestOwnerGrantsNoMoreThanItsShareOfTheLimit(t *testing.T) {
	c := qt.New(t)
	o := NewOwner()
	granted := 0
	const length, limit, share = 100.0, 4.0, 0.5
	for ms := range int(length * 1000) {
		granted += o.Grant(at(float64(ms)/1000), Ask{Server: "s", PerSecond: limit, Requests: 3}, share).Requests
	}
	c.Assert(float64(granted) <= limit*share*(length+burstSeconds)+1, qt.IsTrue, qt.Commentf("%d", granted))
	c.Assert(float64(granted) >= 0.95*limit*share*length, qt.IsTrue, qt.Commentf("%d", granted))
}

func TestRefusedAskSaysWhenToAskAgain(t *testing.T) {
	c := qt.New(t)
	o := NewOwner()
	ask := Ask{Server: "s", PerSecond: 0.5, Requests: 1}
	refused := o.Grant(at(0), ask, 1)
	c.Assert(refused, qt.Equals, Grant{RetryAfter: 2 * time.Second})
	c.Assert(o.Grant(at(1.99), ask, 1).Requests, qt.Equals, 0)
	c.Assert(o.Grant(at(2), ask, 1), qt.Equals, Grant{Requests: 1, Valid: grantTTL})
}

// A server may state that it takes nothing. One request now and then finds out when that ends.
func TestLimitOfZeroIsTriedNowAndThen(t *testing.T) {
	c := qt.New(t)
	o := NewOwner()
	granted := 0
	for s := range 100 {
		granted += o.Grant(at(float64(s)), Ask{Server: "s", Requests: 1}, 1).Requests
	}
	c.Assert(granted > 0 && granted <= int(minPerSecond*100)+1, qt.IsTrue, qt.Commentf("%d", granted))
}

func TestGrantsAreUsedOnceAndExpire(t *testing.T) {
	c := qt.New(t)
	h := NewHolder()
	c.Assert(h.Take(at(0), "s"), qt.IsFalse)
	h.Add(at(0), at(0.01), "s", Grant{Requests: 2, Valid: grantTTL})
	c.Assert(h.Take(at(0.1), "s"), qt.IsTrue)
	c.Assert(h.Take(at(0.2), "s"), qt.IsTrue)
	c.Assert(h.Take(at(0.2), "s"), qt.IsFalse)
	h.Add(at(1), at(1.01), "s", Grant{Requests: 1, Valid: grantTTL})
	c.Assert(h.Has(at(1.49), "s"), qt.IsTrue)
	c.Assert(h.Take(at(1.5), "s"), qt.IsFalse)
	// What has expired isn't revived by a later grant.
	h.Add(at(2), at(2.01), "s", Grant{Requests: 1, Valid: grantTTL})
	c.Assert(h.Take(at(2.1), "s"), qt.IsTrue)
	c.Assert(h.Take(at(2.1), "s"), qt.IsFalse)
}

func TestGatewayAsksAsOftenAsTheOwnerTakesIt(t *testing.T) {
	c := qt.New(t)
	h := NewHolder()
	c.Assert(h.MayAsk(at(0), "s"), qt.IsTrue)
	h.Add(at(0), at(0), "s", Grant{RetryAfter: time.Second})
	c.Assert(h.MayAsk(at(0.9), "s"), qt.IsFalse)
	c.Assert(h.MayAsk(at(1), "s"), qt.IsTrue)
	c.Assert(h.Ask(at(1), "s", 50).Requests, qt.Equals, 1)
	for i := range 400 {
		now := at(1 + float64(i)/40)
		h.Add(now, now, "s", Grant{Requests: 1, Valid: grantTTL})
		c.Assert(h.Take(now, "s"), qt.IsTrue)
	}
	// At 40 requests a second, those of a quarter of a second.
	several := h.Ask(at(11), "s", 50).Requests
	c.Assert(several >= 8 && several <= 12, qt.IsTrue, qt.Commentf("%d", several))
}
