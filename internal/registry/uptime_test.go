package registry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against removals that count as final although an outage of the store may have made the registrations expire.
func TestUptimeNeverCoversAnOutage(t *testing.T) {
	const minOutage = 100 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		duration := func(most int, label string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, label)) * time.Millisecond
		}
		outageFrom := start.Add(300*time.Millisecond + duration(200, "begins"))
		outageTo := outageFrom.Add(minOutage + duration(100, "lasts"))
		gateways := []*uptime{{minOutage: minOutage}, {minOutage: minOutage}}
		for now := start; now.Before(start.Add(time.Second)); now = now.Add(duration(40, "pause")) {
			u, other := gateways[0], gateways[1]
			if rapid.Bool().Draw(t, "gateway") {
				u, other = other, u
			}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				// A confirmation that was on the way for some time: the ages in it count from somewhere between.
				late := duration(60, "late")
				if other.From.Before(other.To) {
					u.merge(Stretch{From: other.From.Add(late), To: other.To.Add(-duration(60, "older"))})
				}
			default:
				repliedAt := now.Add(-duration(150, "on the way"))
				if repliedAt.Before(outageFrom) || !repliedAt.Before(outageTo) {
					u.recordReply(repliedAt.Add(-duration(150, "waited")), now)
				}
			}
			within := duration(200, "within")
			for at := start; !at.After(now); at = at.Add(10 * time.Millisecond) {
				if !at.Before(outageTo) && at.Sub(outageTo) < within && u.excludesOutage(at, within) {
					t.Fatalf("an outage until %s is excluded at %s within %s by %v", outageTo.Sub(start), at.Sub(start), within, u.Stretch)
				}
			}
		}
	})
}

// Guards against removals that are taken for expired registrations although the store was never unavailable for long.
func TestUptimeIsKnownFromFrequentReplies(t *testing.T) {
	c := qt.New(t)
	const interval = 800 * time.Millisecond
	u, other := uptime{minOutage: time.Second}, uptime{minOutage: time.Second}
	now := start
	for range 5 {
		now = now.Add(interval)
		u.recordReply(now, now.Add(interval/10))
	}
	c.Check(u.excludesOutage(now, 3*interval), qt.IsTrue)
	c.Check(u.excludesOutage(now, 5*interval), qt.IsFalse, qt.Commentf("nothing is known of the time before the first reply"))
	c.Check(u.excludesOutage(now.Add(time.Second), 0), qt.IsFalse, qt.Commentf("nor of that since the last one"))
	other.recordReply(now.Add(-2*interval), now.Add(-2*interval))
	other.merge(u.Stretch)
	c.Check(other.excludesOutage(now, 3*interval), qt.IsTrue, qt.Commentf("another gateway knows more"))
	u.restart(now)
	u.merge(other.Stretch)
	c.Check(u.excludesOutage(now.Add(interval), 2*interval), qt.IsFalse, qt.Commentf("the store has come back from a copy"))
	c.Check((&uptime{Stretch: other.Stretch}).excludesOutage(now, 0), qt.IsFalse, qt.Commentf("outages of any length matter"))
}
