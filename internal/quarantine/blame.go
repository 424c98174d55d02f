package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes in a row after which a part that was never served is held. Two servers may
	// crash under one request by chance, as the request is sent to a second server after the first.
	minCrashes = 3
	// minCrashesServed is that number for a part that was served before, which the crashes more likely hit by chance.
	minCrashesServed = 8
	// minRequests is the number of different requests among them.
	minRequests = 2
	// minOthers and minOthersServed are the numbers of other requests that this gateway must have served since the first
	// of these crashes. Without any, the servers may be failing under every request.
	minOthers       = 1
	minOthersServed = 8
	// minRequestsAlone is the number of different requests if no others were served since. The part must then have been in
	// flight at minShareAlone of all crashes of its scope.
	minRequestsAlone = 3
	minShareAlone    = 0.9
	// comparableShare is the share of the crashes under the part with most of them from which another part explains them as
	// well.
	comparableShare = 0.75
)

// evidence is what speaks against one part.
type evidence struct {
	part  Part
	depth int
	// crashes counts those of which each was caused by a request that was sent after the one before, so that servers
	// that fail at the same moment count once. first and last are the times of the first and last of them.
	crashes     int
	first, last time.Time
	// under is the number of all crashes under the part, latest the latest of them.
	under      int
	latest     *Crash
	requests   []uint64
	everServed bool
}

// holdCulprits holds the parts of prompts that the crashes speak against. A crash that is explained by one of them doesn't count
// against the others that were in flight there. lacksOthers reports that other requests, once they are served, may add to the
// holds.
func (t *Tracker) holdCulprits(now time.Time) (added []Hold, lacksOthers bool) {
	// A crash that hasn't settled yet is left out in the same way as an explained one.
	explained := make(map[*Crash]bool)
	for _, c := range t.crashes {
		explained[c] = now.Sub(c.At) < settleTime
	}
	for part := range t.holds {
		t.explain(part, explained)
	}
	for {
		var worst *evidence
		if worst, lacksOthers = t.worst(explained); worst == nil {
			return added, lacksOthers
		}
		hold := Hold{Part: worst.part, CrashedAt: worst.last, Crashes: worst.crashes, Length: firstHold}
		if t.addHold(hold) {
			added = append(added, hold)
		}
		t.explain(worst.part, explained)
	}
}

// explain marks the crashes at which requests with the part were in flight.
func (t *Tracker) explain(part Part, explained map[*Crash]bool) {
	for _, c := range t.crashes {
		if slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Part == part }) {
			explained[c] = true
		}
	}
}

// worst returns the strongest evidence that suffices to hold a part, or nil. Of parts that explain about as many crashes it
// is the one in the fewest requests: the others are shared with requests that were victims. lacksOthers reports that evidence
// lacks nothing but other requests that were served.
func (t *Tracker) worst(explained map[*Crash]bool) (worst *evidence, lacksOthers bool) {
	var sufficient []*evidence
	everServed, most := true, 0
	for _, e := range t.collect(explained) {
		switch {
		case !t.hasCrashes(e):
		case t.hasOthers(e):
			sufficient = append(sufficient, e)
			everServed = everServed && e.everServed
		default:
			lacksOthers = true
		}
	}
	for _, e := range sufficient {
		if e.everServed == everServed {
			most = max(most, e.under)
		}
	}
	for _, e := range sufficient {
		if e.everServed != everServed || float64(e.under) < comparableShare*float64(most) {
			continue
		}
		if worst == nil || stronger(e, worst) {
			worst = e
		}
	}
	return worst, lacksOthers
}

// collect returns the evidence against each part from the crashes that aren't explained.
func (t *Tracker) collect(explained map[*Crash]bool) map[Part]*evidence {
	all := make(map[Part]*evidence)
	for _, c := range t.crashes {
		if explained[c] {
			continue
		}
		for i := range c.Suspects {
			s := &c.Suspects[i]
			if s.Part.Whole {
				continue
			}
			e := all[s.Part]
			if e == nil {
				e = &evidence{part: s.Part, depth: s.Depth}
				all[s.Part] = e
			}
			t.add(e, c, s)
		}
	}
	return all
}

// add adds a suspect of a crash to the evidence against its part. Crashes are added in the order of their times.
func (t *Tracker) add(e *evidence, c *Crash, s *Suspect) {
	servedAt := t.served.lastAt(s.Part)
	e.everServed = !servedAt.IsZero()
	if c.At.After(servedAt) && e.latest != c {
		e.under++
		e.latest = c
	}
	counted := e.crashes > 0 && c.At.Equal(e.last)
	if !c.At.After(servedAt) || e.crashes > 0 && !counted && s.SentAt.Before(e.last) {
		return
	}
	if e.crashes == 0 {
		e.first = c.At
	}
	if !counted {
		e.crashes++
		e.last = c.At
	}
	if !slices.Contains(e.requests, s.Request) {
		e.requests = append(e.requests, s.Request)
	}
}

// hasCrashes reports whether there are enough crashes under a part to hold it.
func (t *Tracker) hasCrashes(e *evidence) bool {
	crashes := minCrashes
	if e.everServed {
		crashes = minCrashesServed
	}
	return e.crashes >= crashes && len(e.requests) >= minRequests
}

// hasOthers reports whether enough other requests were served since the first crash under a part, or whether the crashes
// speak against it without them.
func (t *Tracker) hasOthers(e *evidence) bool {
	others := minOthers
	if e.everServed {
		others = minOthersServed
	}
	return t.served.recent.countOthers(e.part, e.first) >= others || !e.everServed && t.explainsAll(e)
}

// explainsAll reports whether nearly all crashes of the part's scope since the first one under it were under it.
func (t *Tracker) explainsAll(e *evidence) bool {
	all, under := 0, 0
	for _, c := range t.crashes {
		if c.At.Before(e.first) || !hasScope(c, e.part.Scope) {
			continue
		}
		all++
		if slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return s.Part == e.part }) {
			under++
		}
	}
	return len(e.requests) >= minRequestsAlone && float64(under) >= minShareAlone*float64(all)
}

// stronger reports whether a is stronger evidence than b. Of parts that always occur together the later one in the prompt
// is blamed, because fewer other requests share it.
func stronger(a, b *evidence) bool {
	if len(a.requests) != len(b.requests) {
		return len(a.requests) < len(b.requests)
	}
	return a.depth > b.depth
}
