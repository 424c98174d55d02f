package quarantine

import (
	"slices"
	"time"
)

// This file decides on whole requests to plain services. A service may have few servers, which one request can crash all at
// once, so that a decision has little to compare with. A request that was in flight at several crashes in a row is paused, for
// longer with each further one, and then tried once at a time. It is held when the servers go on with other requests meanwhile, and
// not when they go on crashing.

const (
	// minCrashesWhole is the number of crashes in a row after which a whole request is paused and may be held,
	// minCrashesWholeServed that for one that was served before. crashesPerOther is added for each crash of its service at
	// which it wasn't in flight.
	minCrashesWhole       = 3
	minCrashesWholeServed = 4
	crashesPerOther       = 2
	// sameMomentWithin is the time in which crashes under a whole request count once. The end of a server takes that long to
	// reach the gateways, which go on sending to it over open connections.
	sameMomentWithin = 25 * time.Millisecond
	// recoveryTime is how long servers must serve other requests without a crash to have gone on.
	recoveryTime = 2500 * time.Millisecond
	// maxDoublings bounds the doublings of a pause.
	maxDoublings = 8
	// firstPause is how long a whole request is paused after its latest crash. It is longer than servers take to come back
	// and recover. It doubles with each further crash, up to firstHold.
	firstPause = 10 * time.Second
	// retryPause is the time between two requests of this gateway after a pause. The first one is served by then, or has
	// crashed its server.
	retryPause = time.Second
)

// recovery is the time in which the servers of a scope have served requests and gone on, since the latest crash.
type recovery struct {
	crashedAt, first, last time.Time
}

// recordRecovery records that a server of a scope has served a request and gone on.
func (t *Tracker) recordRecovery(scope string, at time.Time) {
	r := t.recoveries[scope]
	if r == nil || !at.After(r.crashedAt) {
		return
	}
	if r.first.IsZero() {
		r.first = at
	}
	r.last = at
}

// endRecovery records that a server has crashed.
func (t *Tracker) endRecovery(c *Crash) {
	for i := range c.Suspects {
		scope := c.Suspects[i].Part.Scope
		if r := t.recoveries[scope]; r == nil || c.At.After(r.crashedAt) {
			t.recoveries[scope] = &recovery{crashedAt: c.At}
		}
	}
}

// wholeEvidence is what speaks for and against a whole request as the cause of crashes.
type wholeEvidence struct {
	part Part
	// servedAt is when it was last served; zero if that isn't known.
	servedAt time.Time
	// crashes counts those under the request since it was last served, those of the same moment once. latest is the latest
	// crash, counted the last one counted.
	crashes         int
	latest, counted *Crash
	// requests are the numbers of its repeats that were in flight at crashes, each once.
	requests []uint64
	// narrowest are the narrowest digests of these repeats, each once.
	narrowest []Part
	// others is the number of crashes of its service since the first at which it wasn't in flight. Crashes at which another request
	// with a held part was in flight count neither way.
	others int
}

// collectWhole returns the evidence against whole requests that aren't held, from the crashes until a time.
func (t *Tracker) collectWhole(parts []Part, until time.Time) []*wholeEvidence {
	list := make([]*wholeEvidence, len(parts))
	byPart := make(map[Part]*wholeEvidence, len(parts))
	for i, part := range parts {
		servedAt := t.served.lastAt(part)
		list[i] = &wholeEvidence{part: part, servedAt: servedAt}
		byPart[part] = list[i]
	}
	for _, c := range t.crashes {
		if c.At.After(until) {
			continue
		}
		held := t.heldRequests(c)
		for i := range c.Suspects {
			s := &c.Suspects[i]
			if e := byPart[s.Part]; e != nil && c.At.After(e.servedAt) && (len(held) == 0 || slices.Contains(held, s.Request)) {
				e.add(c, s)
			}
		}
		for _, e := range list {
			if e.latest != c && e.crashes > 0 && len(held) == 0 && hasScope(c, e.part.Scope) {
				e.others++
			}
		}
	}
	return list
}

// heldRequests returns the requests with a held part that were in flight at a crash. They explain it, also for a wider digest of the
// same requests.
func (t *Tracker) heldRequests(c *Crash) (requests []uint64) {
	for i := range c.Suspects {
		if s := &c.Suspects[i]; t.holds[s.Part] != nil {
			requests = append(requests, s.Request)
		}
	}
	return requests
}

// add adds a suspect with the part to the evidence. Crashes are added in the order of their times.
func (e *wholeEvidence) add(c *Crash, s *Suspect) {
	if e.counted == nil || c.At.Sub(e.counted.At) >= sameMomentWithin {
		e.crashes++
		e.counted = c
	}
	e.latest = c
	if !slices.Contains(e.requests, s.Request) {
		e.requests = append(e.requests, s.Request)
	}
	if narrowest := narrowestDigest(c, s.Request); !slices.Contains(e.narrowest, narrowest) {
		e.narrowest = append(e.narrowest, narrowest)
	}
}

// narrowestDigest returns the last of the digests of a request that was in flight at a crash.
func narrowestDigest(c *Crash, request uint64) (narrowest Part) {
	depth := -1
	for i := range c.Suspects {
		if s := &c.Suspects[i]; s.Request == request && s.Depth > depth {
			narrowest, depth = s.Part, s.Depth
		}
	}
	return narrowest
}

// isNarrowest reports whether no narrower digest is common to the repeats, which would be blamed instead.
func (e *wholeEvidence) isNarrowest() bool { return len(e.narrowest) > 1 || e.narrowest[0] == e.part }

func hasScope(c *Crash, scope string) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Part.Scope == scope })
}

// needed returns the number of crashes that suffice to pause the request.
func (e *wholeEvidence) needed() int {
	crashes := minCrashesWhole
	if !e.servedAt.IsZero() {
		crashes = minCrashesWholeServed
	}
	return crashes + crashesPerOther*e.others
}

// isConfirmed reports whether the servers have gone on with other requests since their latest crash, while the request was
// paused.
func (t *Tracker) isConfirmed(e *wholeEvidence) bool {
	r := t.recoveries[e.part.Scope]
	return r != nil && r.last.Sub(r.first) >= recoveryTime
}

// paused returns the pause of a whole request that is suspicious because of recent crashes. After its end it lets one request
// pass at a time.
func (t *Tracker) paused(now time.Time, part Part) (Hold, bool) {
	if t.wholeCrashes(part) < minCrashesWhole {
		return Hold{}, false
	}
	e := t.collectWhole([]Part{part}, now)[0]
	excess := e.crashes - e.needed()
	if excess < 0 || !e.isNarrowest() {
		return Hold{}, false
	}
	pause := Hold{Part: part, CrashedAt: e.latest.At, Crashes: e.crashes, Length: min(firstPause<<min(excess, maxDoublings), firstHold)}
	if now.Before(pause.Until()) {
		return pause, true
	}
	if now.Sub(t.triedAt[part]) < retryPause {
		return Hold{Part: part, CrashedAt: t.triedAt[part], Crashes: e.crashes, Length: retryPause}, true
	}
	t.triedAt[part] = now
	return Hold{}, false
}

// holdWholeRequests holds the whole requests that the settled crashes speak against. lacksOthers reports that requests which
// are served or crash servers later may add to the holds.
func (t *Tracker) holdWholeRequests(now time.Time) (added []Hold, lacksOthers bool) {
	all := t.wholeRequests(now.Add(-settleTime))
	for _, e := range all {
		if e.crashes < e.needed() || !e.isNarrowest() {
			continue
		}
		lacksOthers = true
		if !t.isConfirmed(e) || slices.ContainsFunc(all, e.isExcusedBy) {
			continue
		}
		hold := Hold{Part: e.part, CrashedAt: e.latest.At, Crashes: e.crashes, Length: firstHold}
		if t.addHold(hold) {
			added = append(added, hold)
		}
	}
	return added, lacksOthers
}

// wholeRequests returns the evidence against the whole requests that aren't held and were in flight at several crashes, from
// the crashes until a time.
func (t *Tracker) wholeRequests(until time.Time) []*wholeEvidence {
	t.countWholeCrashes()
	var parts []Part
	for part, crashes := range t.wholeCounts {
		if crashes >= minCrashesWhole && t.holds[part] == nil {
			parts = append(parts, part)
		}
	}
	return t.collectWhole(parts, until)
}

// wholeCrashes returns the number of crashes at which a whole request was in flight.
func (t *Tracker) wholeCrashes(part Part) int {
	t.countWholeCrashes()
	return t.wholeCounts[part]
}

// countWholeCrashes counts the crashes of each whole request, if any was added or has expired since the latest count.
func (t *Tracker) countWholeCrashes() {
	if t.wholeCounts != nil {
		return
	}
	t.wholeCounts = make(map[Part]int)
	for _, c := range t.crashes {
		seen := make(map[Part]bool)
		for i := range c.Suspects {
			if part := c.Suspects[i].Part; part.Whole && !seen[part] {
				seen[part] = true
				t.wholeCounts[part]++
			}
		}
	}
}

// isNarrower reports whether the digest is of a part of the repeats that the other one is of, or the narrowest one of the same.
func (e *wholeEvidence) isNarrower(other *wholeEvidence) bool {
	return isSubset(e.requests, other.requests) && (len(e.requests) < len(other.requests) || e.isNarrowest() && !other.isNarrowest())
}

// isExcusedBy reports whether more crashes speak against another request of the service, or as many, so that the other one may
// be the culprit.
func (e *wholeEvidence) isExcusedBy(other *wholeEvidence) bool {
	if other == e || other.part.Scope != e.part.Scope || other.crashes < e.crashes {
		return false
	}
	return other.crashes > e.crashes || !e.isNarrower(other)
}

func isSubset(a, b []uint64) bool {
	return !slices.ContainsFunc(a, func(request uint64) bool { return !slices.Contains(b, request) })
}
