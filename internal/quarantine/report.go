package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportFor is how long a crash is reported to the other gateways.
	reportFor = 5 * time.Second
	// trustServedFor is how long before a crash a part may have been served to be an unlikely culprit.
	trustServedFor = 10 * time.Second
	// maxReported bounds the suspects, and the served parts, of one report.
	maxReported = 48
)

// ServedPart is a part and the latest time at which a request with it was served.
type ServedPart struct {
	Part Part
	At   time.Time
}

// Report is what a gateway tells the others.
type Report struct {
	// Crashes are the latest crashes, the newest first.
	Crashes []Crash
	Holds   []Hold
	// Served are the parts that other gateways suspect, and held ones, that requests were served with.
	Served []ServedPart
}

// Report returns what the other gateways need for the same decisions.
func (t *Tracker) Report(now time.Time) Report {
	var r Report
	seen := make(map[Part]bool)
	var crashes map[Part]crashCount
	if t.reportsCrashes(now) {
		crashes = t.countCrashes()
	}
	suspects := 0
	for _, c := range slices.Backward(t.crashes) {
		if now.Sub(c.At) > reportFor {
			break
		}
		reported := Crash{Server: c.Server, At: c.At}
		for i := range c.Suspects {
			s := &c.Suspects[i]
			if s.Reported {
				r.addServed(s.Part, t.served.lastAt(s.Part), seen)
			}
			if suspects < maxReported && t.isWorthReporting(c, s, crashes[s.Part].count) {
				reported.Suspects = append(reported.Suspects, *s)
				suspects++
			}
		}
		// A refused connection alone isn't reported: a cut link refuses them as well, for one gateway only.
		if len(reported.Suspects) > 0 {
			r.Crashes = append(r.Crashes, reported)
		}
	}
	for part, hold := range t.holds {
		r.Holds = append(r.Holds, *hold)
		r.addServed(part, t.served.lastAt(part), seen)
	}
	return r
}

// reportsCrashes reports whether the latest crash is still reported.
func (t *Tracker) reportsCrashes(now time.Time) bool {
	return len(t.crashes) > 0 && now.Sub(t.crashes[len(t.crashes)-1].At) <= reportFor
}

// crashCount is the number of crashes under a part, of which last is the latest counted.
type crashCount struct {
	count int
	last  *Crash
}

// countCrashes returns the number of crashes under each part since it was last served.
func (t *Tracker) countCrashes() map[Part]crashCount {
	counts := make(map[Part]crashCount)
	for _, c := range t.crashes {
		for i := range c.Suspects {
			part := c.Suspects[i].Part
			if known := counts[part]; known.last != c && c.At.After(t.served.lastAt(part)) {
				counts[part] = crashCount{known.count + 1, c}
			}
		}
	}
	return counts
}

// isWorthReporting reports whether the other gateways need a suspect. A part that this gateway served just before the crash,
// or that belongs to one request alone, is an unlikely culprit until there are several crashes under it.
func (t *Tracker) isWorthReporting(c *Crash, s *Suspect, crashes int) bool {
	servedAt := t.served.lastAt(s.Part)
	if servedAt.After(c.At) {
		return false
	}
	return crashes > 1 || !s.Own && c.At.Sub(servedAt) > trustServedFor
}

func (r *Report) addServed(part Part, at time.Time, seen map[Part]bool) {
	if !at.IsZero() && !seen[part] && len(r.Served) < maxReported {
		seen[part] = true
		r.Served = append(r.Served, ServedPart{part, at})
	}
}

// Holds returns the parts that are held, the latest crash first.
func (t *Tracker) Holds() []Hold {
	holds := make([]Hold, 0, len(t.holds))
	for _, part := range slices.SortedFunc(maps.Keys(t.holds), func(a, b Part) int {
		return t.holds[b].CrashedAt.Compare(t.holds[a].CrashedAt)
	}) {
		holds = append(holds, *t.holds[part])
	}
	return holds
}

// HoldCount returns the number of parts that are held.
func (t *Tracker) HoldCount() int { return len(t.holds) }

// CrashCount returns the number of crashes that count at the moment.
func (t *Tracker) CrashCount() int { return len(t.crashes) }
