package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportFor is how long a crash is reported to the other gateways.
	reportFor = 5 * time.Second
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
	// Served are the suspected and held parts that requests were served with.
	Served []ServedPart
}

// Report returns what the other gateways need for the same decisions.
func (t *Tracker) Report(now time.Time) Report {
	var r Report
	seen := make(map[Part]bool)
	suspects := 0
	for _, c := range slices.Backward(t.crashes) {
		if now.Sub(c.At) > reportFor || suspects >= maxReported {
			break
		}
		reported := Crash{Server: c.Server, At: c.At}
		for _, s := range c.Suspects {
			at := t.served.lastAt(s.Part)
			r.addServed(s.Part, at, seen)
			if !at.After(c.At) && suspects < maxReported {
				reported.Suspects = append(reported.Suspects, s)
				suspects++
			}
		}
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
