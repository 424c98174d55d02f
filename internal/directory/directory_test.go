package directory

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

var start = time.Unix(1_000_000, 0)

func testName(i int) piece.Name {
	var n piece.Name
	binary.BigEndian.PutUint64(n[:], uint64(i)*0x9e3779b97f4a7c15)
	return n
}

func testNames(count int) []piece.Name {
	names := make([]piece.Name, count)
	for i := range names {
		names[i] = testName(i + 1)
	}
	return names
}

func testMembers(count int) []Member {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{Instance: fmt.Sprintf("agent-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%3)}
	}
	return members
}

func replicaHolding(name piece.Name, holder string) Holding {
	return Holding{Piece: name, Holder: holder, Tier: wire.Tier_TIER_REPLICA, Bytes: 100}
}

func TestOwnersAreInTwoFailureDomains(t *testing.T) {
	c := qt.New(t)
	ring := NewRing(testMembers(600))
	c.Assert(ring.Len(), qt.Equals, MaxOwners)
	for i := range 200 {
		owners := ring.Owners(testName(i))
		c.Assert(owners, qt.HasLen, 2)
		c.Assert(owners[0].FailureDomain, qt.Not(qt.Equals), owners[1].FailureDomain)
	}
	c.Assert(NewRing(testMembers(1)).Owners(testName(1)), qt.HasLen, 1)
	c.Assert(NewRing(nil).Owners(testName(1)), qt.HasLen, 0)
}

func TestOwnersOfOtherKeysStayWhenAMemberLeaves(t *testing.T) {
	c := qt.New(t)
	members := testMembers(60)
	before, after := NewRing(members), NewRing(members[1:])
	for i := range 300 {
		old := before.Owners(testName(i))
		if old[0].Instance != "agent-0" && old[1].Instance != "agent-0" {
			c.Assert(instances(after.Owners(testName(i))), qt.DeepEquals, instances(old))
		}
	}
}

func TestSegmentsCoverEachPieceOnceWithItsLookupPiece(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := testNames(rapid.IntRange(0, 300).Draw(t, "pieces"))
		position := rapid.IntRange(0, len(names)).Draw(t, "start")
		segments := Segments(names, position)
		if len(segments) > 5 {
			t.Fatalf("%d segments for %d pieces", len(segments), len(names))
		}
		for _, s := range segments {
			if s.Start != position {
				t.Fatalf("segment starts at %d, not %d", s.Start, position)
			}
			for i, name := range s.Pieces {
				if name != names[position+i] || s.LookupPiece != names[LookupIndex(position+i)] {
					t.Fatalf("piece %d is in the wrong segment", position+i)
				}
			}
			position += len(s.Pieces)
		}
		if position != len(names) {
			t.Fatalf("segments end at %d of %d", position, len(names))
		}
	})
}

func TestRunsEndAtTheFirstMissingPiece(t *testing.T) {
	c := qt.New(t)
	table := NewTable(0)
	names := testNames(5)
	positionsByHolder := map[string][]int{"a": {0, 1, 2, 3, 4}, "b": {0, 1, 3}, "c": {1, 2}, "d": {0}}
	for holder, positions := range positionsByHolder {
		for _, i := range positions {
			table.Announce(holder, 1, replicaHolding(names[i], holder), start)
		}
	}
	runs := map[string]piece.Name{}
	for _, h := range table.Runs(names, 4, start) {
		runs[h.Holder] = h.Piece
	}
	c.Assert(runs, qt.DeepEquals, map[string]piece.Name{"a": names[4], "b": names[1], "d": names[0]})
	c.Assert(table.Runs(names, 1, start), qt.DeepEquals, []Holding{replicaHolding(names[4], "a")})
}

// A restarted replica has lost its cache, so its earlier rows are invalid. What it announced about a store stays valid.
func TestRowsOfARestartedHolderAreNotReturned(t *testing.T) {
	c := qt.New(t)
	table := NewTable(0)
	names := testNames(2)
	table.Announce("a", 1, replicaHolding(names[0], "a"), start)
	inStore := Holding{Piece: names[0], Holder: "store", Tier: wire.Tier_TIER_STORE_MEMORY}
	table.Announce("a", 1, inStore, start)
	table.Announce("a", 2, replicaHolding(names[1], "a"), start)
	c.Assert(table.Runs(names[:1], 4, start), qt.DeepEquals, []Holding{inStore})
	c.Assert(table.Runs(names[1:], 4, start), qt.HasLen, 1)
}

func TestRowsExpireAndMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	table := NewTable(100)
	for i := range 250 {
		table.Announce("a", 1, replicaHolding(testName(i), "a"), start)
	}
	c.Assert(table.State(), qt.DeepEquals, TableState{Rows: 100, Pieces: 100, Announcers: 1, Evicted: 150})
	c.Assert(table.Runs([]piece.Name{testName(249)}, 4, start), qt.HasLen, 1)
	c.Assert(table.Runs([]piece.Name{testName(0)}, 4, start), qt.HasLen, 0)
	for i := range 20 {
		table.Announce("h", 1, replicaHolding(testName(1000), fmt.Sprintf("h%d", i)), start.Add(time.Minute))
	}
	c.Assert(len(table.rows[testName(1000)]), qt.Equals, maxHoldersPerPiece)
	table.Expire(start.Add(HoldingTTL + 2*time.Minute))
	c.Assert(table.State(), qt.DeepEquals, TableState{Evicted: table.evicted})
}

func TestAnnouncerLimitsRowsAndAnnouncesToBothOwners(t *testing.T) {
	c := qt.New(t)
	a := NewAnnouncer(NewRing(testMembers(9)), 100)
	for i := range 500 {
		a.AddHolding(replicaHolding(testName(i), "me"), testName(i))
	}
	announcements := map[piece.Name]int{}
	now := start
	for second := range 12 {
		rows := 0
		for _, batch := range a.Next(now) {
			rows += len(batch.Rows)
			for _, r := range batch.Rows {
				announcements[r.Holding.Piece]++
			}
		}
		c.Assert(rows <= 101, qt.IsTrue, qt.Commentf("%d rows in second %d", rows, second))
		now = now.Add(time.Second)
	}
	c.Assert(announcements, qt.HasLen, 500)
	for _, n := range announcements {
		c.Assert(n, qt.Equals, 2)
	}
	c.Assert(a.Next(now), qt.HasLen, 0)
	c.Assert(len(a.Next(now.Add(refreshInterval))) > 0, qt.IsTrue)
}

// A refresh of all holdings takes several seconds at the rate limit. New holdings must not wait for its end.
func TestNewHoldingsGoBeforeRefreshes(t *testing.T) {
	c := qt.New(t)
	a := NewAnnouncer(NewRing(testMembers(9)), 100)
	for i := range 500 {
		a.AddHolding(replicaHolding(testName(i), "me"), testName(i))
	}
	now := start
	for a.Pending() > 0 {
		a.Next(now)
		now = now.Add(time.Second)
	}
	now = now.Add(refreshInterval)
	a.Next(now) // starts the refreshes of 500 holdings
	a.AddHolding(replicaHolding(testName(999), "me"), testName(999))
	c.Assert(a.Next(now.Add(100 * time.Millisecond))[0].Rows[0].Holding.Piece, qt.Equals, testName(999))
}

func TestAnnouncerAnnouncesToNewOwnersOnly(t *testing.T) {
	c := qt.New(t)
	members := testMembers(30)
	a := NewAnnouncer(NewRing(members), 10_000)
	for i := range 300 {
		a.AddHolding(replicaHolding(testName(i), "me"), testName(i))
	}
	a.Next(start)
	c.Assert(a.Pending(), qt.Equals, 0)
	a.SetRing(NewRing(members[1:]))
	// 300 holdings have 600 owners among 30 members: 20 are expected to move.
	c.Assert(a.Pending() > 0 && a.Pending() < 60, qt.IsTrue, qt.Commentf("%d pending", a.Pending()))
}

func TestAnnouncerWithdrawsWhatItAnnounced(t *testing.T) {
	c := qt.New(t)
	a := NewAnnouncer(NewRing(testMembers(3)), 0)
	a.AddHolding(replicaHolding(testName(1), "me"), testName(1))
	a.RemoveHolding(testName(1), "me")
	c.Assert(a.Len(), qt.Equals, 0)
	a.AddHolding(replicaHolding(testName(1), "me"), testName(1))
	batches := a.Next(start)
	c.Assert(batches, qt.HasLen, 2)
	a.RetryBatch(batches[0])
	c.Assert(a.Pending(), qt.Equals, 1)
	a.RemoveHolding(testName(1), "me")
	batches = a.Next(start)
	c.Assert(batches, qt.HasLen, 2)
	c.Assert(batches[0].Rows[0].Removed, qt.IsTrue)
	c.Assert(a.Len(), qt.Equals, 0)
}
