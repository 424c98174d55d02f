// Package quarantine finds what the requests have in common under which backend servers crash, and decides which requests
// are kept away from servers because of it. The gateway's control goroutine owns the Tracker, which uses no clock and
// no network. It answers load in which a few requests among many sound ones end each server that runs them, while sound
// requests share everything with them but the part at fault.
//
// Every gateway collects the crashes that it and the others have seen, and the parts that were served completely. It
// holds a part when several servers have crashed one after the other while they ran different requests with it, no
// such request was served meanwhile, and others were.
//
// Invariant: a part is held only if its latest known crash is later than the latest known complete response to a request
// with it.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is how long a crash is reported before it counts, so that gateways that have served a suspected part can
	// say so.
	settleTime = 400 * time.Millisecond
	// surviveTime is how long a server must go on after it has served a request until the request's parts count as served.
	// A short answer may be complete before the process ends, and the end is noticed by the next request only.
	surviveTime = 300 * time.Millisecond
	// evidenceTTL is how long a crash counts.
	evidenceTTL = time.Minute
	// sameCrashWithin is the time in which reports about one server are about the same crash. A server takes longer
	// to start again.
	sameCrashWithin = 1500 * time.Millisecond
	// maxCrashes bounds the crashes that are kept, maxSuspects the suspects of each.
	maxCrashes  = 64
	maxSuspects = 64
	// maxHolds bounds the parts that are held at once.
	maxHolds = 64
	// firstHold is how long a part is held before one request with it is tried. It doubles up to maxHold with each trial
	// that crashes a server.
	firstHold = time.Minute
	maxHold   = 30 * time.Minute
	// trialTimeout is the time after which the next request is tried if a trial had no result.
	trialTimeout = 15 * time.Second
)

// Part is something that requests can have in common.
type Part struct {
	// Scope is the model or the plain service that the requests are for.
	Scope string
	// ID is the id of a part of the prompt, or the digest of a whole request to a plain service.
	ID string
	// Whole is set for a digest. Requests with it are repeats of one request, whatever their ids.
	Whole bool
}

// Request is a request as it was sent to a server.
type Request struct {
	// Number is a hash of the request's id.
	Number uint64
	SentAt time.Time
	// Parts are in the order of the prompt.
	Parts []Part
}

// Suspects returns the request's parts as suspects.
func (r *Request) Suspects() []Suspect {
	list := make([]Suspect, len(r.Parts))
	for i, part := range r.Parts {
		own := i > 0 && i == len(r.Parts)-1 && !part.Whole
		list[i] = Suspect{Part: part, Request: r.Number, SentAt: r.SentAt, Depth: i, Own: own}
	}
	return list
}

// Suspect is one part of a request that was in flight at a server when it crashed, or had just been served by it.
type Suspect struct {
	Part Part
	// Request is the request's number.
	Request uint64
	SentAt  time.Time
	// Depth is the number of parts before it in the prompt.
	Depth int
	// Own is set for the last one of several parts, which belongs to its request or session alone.
	Own bool
	// Reported is set for suspects that another gateway has reported.
	Reported bool
}

// Crash is the end of a server's process while it ran requests.
type Crash struct {
	Server   string
	At       time.Time
	Suspects []Suspect
}

// Hold keeps requests with a part away from servers.
type Hold struct {
	Part Part
	// CrashedAt is the time of the latest crash under the part, Crashes the number of crashes that led to the hold.
	CrashedAt time.Time
	Crashes   int
	// Length is the time from a crash until one request is tried.
	Length time.Duration
}

// expiresAt returns the time at which the hold ends because no request with the part has come for a trial.
func (h *Hold) expiresAt() time.Time { return h.Until().Add(maxHold) }

// Until returns the time from which a request with the part may be tried.
func (h *Hold) Until() time.Time { return h.CrashedAt.Add(h.Length) }

// Tracker holds the evidence and the parts that are held. It is not safe for concurrent use.
type Tracker struct {
	// crashes are in the order of their times.
	crashes []*Crash
	served  *servedMemory
	// unconfirmed are the requests that were served less than surviveTime ago, in the order of their times.
	unconfirmed []servedRequest
	holds       map[Part]*Hold
	// undecided is set when evidence was added since the latest decision, or when all that it lacked were other requests that
	// are served.
	undecided bool
	// triedAt is when a request with a held part, or a paused one, was last tried by this gateway.
	triedAt map[Part]time.Time
	// wholeCounts are the numbers of crashes by whole request; nil when they must be counted anew.
	wholeCounts map[Part]int
	// recoveries are those of scopes whose servers have crashed.
	recoveries map[string]*recovery
}

// New returns a Tracker without evidence.
func New() *Tracker {
	return &Tracker{served: newServedMemory(), holds: make(map[Part]*Hold), triedAt: make(map[Part]time.Time), recoveries: make(map[string]*recovery)}
}

// IsIdle reports whether there is neither evidence nor a hold.
func (t *Tracker) IsIdle() bool { return len(t.crashes) == 0 && len(t.holds) == 0 }

// RecordServed records that this gateway has forwarded a server's complete successful response to a request. Its parts
// count as served if the server goes on.
func (t *Tracker) RecordServed(now time.Time, server string, r Request) {
	if len(r.Parts) == 0 {
		return
	}
	served := servedRequest{Request: r, at: now, server: server}
	t.served.recent.add(served)
	t.unconfirmed = append(t.unconfirmed, served)
}

// confirm counts the parts of requests as served whose servers went on for surviveTime. It returns the parts that are no
// longer held.
func (t *Tracker) confirm(now time.Time) (released []Part) {
	confirmed := 0
	for confirmed < len(t.unconfirmed) && now.Sub(t.unconfirmed[confirmed].at) > surviveTime {
		request := &t.unconfirmed[confirmed]
		t.recordRecovery(request.Parts[0].Scope, request.at)
		for _, part := range request.Parts {
			if t.MergeServed(part, request.at) {
				released = append(released, part)
			}
		}
		confirmed++
	}
	t.unconfirmed = slices.Delete(t.unconfirmed, 0, confirmed)
	return released
}

// takeUnconfirmed removes the requests that a server served within surviveTime of its crash, and returns their parts.
func (t *Tracker) takeUnconfirmed(c *Crash) (suspects []Suspect) {
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(r servedRequest) bool {
		if r.server != c.Server || r.at.Sub(c.At).Abs() > surviveTime {
			return false
		}
		suspects = append(suspects, r.Suspects()...)
		return true
	})
	return suspects
}

// MergeServed records when another gateway last had a complete response to a request with the part. It reports whether
// the part is no longer held.
func (t *Tracker) MergeServed(part Part, at time.Time) (released bool) {
	t.served.record(part, at)
	return t.release(part, at)
}

// release ends the hold of a part that was served at the given time.
func (t *Tracker) release(part Part, servedAt time.Time) bool {
	hold := t.holds[part]
	if hold == nil || !servedAt.After(hold.CrashedAt) {
		return false
	}
	delete(t.holds, part)
	delete(t.triedAt, part)
	return true
}

// RecordCrash records a crash that this gateway or another one has seen. Reports about the same crash are merged. It reports
// whether this gateway has served requests with a part that another one suspects anew and must be told of.
func (t *Tracker) RecordCrash(now time.Time, c Crash) (answer bool) {
	t.expireCrashes(now)
	if now.Sub(c.At) > evidenceTTL {
		return false
	}
	known := t.crashOf(&c)
	if known == nil {
		known = &Crash{Server: c.Server, At: c.At}
		t.insert(known)
	}
	added, answer := t.addSuspects(known, append(t.takeUnconfirmed(known), c.Suspects...))
	if !added {
		return false
	}
	t.undecided, t.wholeCounts = true, nil
	t.endRecovery(known)
	for _, suspect := range known.Suspects {
		t.extend(suspect.Part, known.At)
	}
	return answer
}

// Decide returns the parts that are held from now on because of the evidence. It is called a few times a second.
func (t *Tracker) Decide(now time.Time) []Hold {
	if !t.undecided || len(t.crashes) == 0 {
		t.undecided = false
		return nil
	}
	holds, lacksOthers := t.holdCulprits(now)
	wholeHolds, wholeUndecided := t.holdWholeRequests(now)
	holds = append(holds, wholeHolds...)
	t.undecided = lacksOthers || wholeUndecided || now.Sub(t.crashes[len(t.crashes)-1].At) < settleTime
	return holds
}

// crashOf returns the known crash that a report is about, or nil. A server that refused a connection has started again if a
// request was sent to it later.
func (t *Tracker) crashOf(report *Crash) *Crash {
	for _, c := range slices.Backward(t.crashes) {
		if c.Server == report.Server && c.At.Sub(report.At).Abs() < sameCrashWithin && (len(c.Suspects) > 0 || !sentAfter(report, c.At)) {
			return c
		}
	}
	return nil
}

// sentAfter reports whether all requests that were in flight at a crash were sent after a time.
func sentAfter(c *Crash, at time.Time) bool {
	return len(c.Suspects) > 0 && !slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return !s.SentAt.After(at) })
}

func (t *Tracker) insert(c *Crash) {
	at := len(t.crashes)
	for at > 0 && t.crashes[at-1].At.After(c.At) {
		at--
	}
	t.crashes = slices.Insert(t.crashes, at, c)
	if len(t.crashes) > maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
}

// addSuspects adds the suspects that aren't known yet, those that were never served first. It reports whether it added any,
// and any of another gateway that was served here.
func (t *Tracker) addSuspects(c *Crash, suspects []Suspect) (added, addedServed bool) {
	for _, served := range []bool{false, true} {
		for _, s := range suspects {
			if len(c.Suspects) >= maxSuspects {
				return added, addedServed
			}
			if t.served.lastAt(s.Part).IsZero() == served || hasSuspect(c, &s) {
				continue
			}
			c.Suspects = append(c.Suspects, s)
			added, addedServed = true, addedServed || served && s.Reported
		}
	}
	return added, addedServed
}

// hasSuspect reports whether a crash has the suspect already, which is then marked if it is reported.
func hasSuspect(c *Crash, s *Suspect) bool {
	i := slices.IndexFunc(c.Suspects, func(known Suspect) bool { return known.Part == s.Part && known.Request == s.Request })
	if i < 0 {
		return false
	}
	c.Suspects[i].Reported = c.Suspects[i].Reported || s.Reported
	return true
}

// extend prolongs the hold of a part under which a server has crashed again. A crash after the hold's end was a trial.
func (t *Tracker) extend(part Part, at time.Time) {
	hold := t.holds[part]
	if hold == nil || !at.After(hold.CrashedAt) {
		return
	}
	if at.After(hold.Until()) {
		hold.Length = min(2*hold.Length, maxHold)
	}
	hold.CrashedAt = at
	hold.Crashes++
}

// Expire drops the crashes that no longer count and the holds that have ended, and counts the parts as served whose servers
// went on. It returns the parts that are no longer held. It is called a few times a second.
func (t *Tracker) Expire(now time.Time) (released []Part) {
	t.expireCrashes(now)
	released = t.confirm(now)
	for part, hold := range t.holds {
		if now.After(hold.expiresAt()) {
			delete(t.holds, part)
			delete(t.triedAt, part)
			released = append(released, part)
		}
	}
	return released
}

func (t *Tracker) expireCrashes(now time.Time) {
	old := 0
	for old < len(t.crashes) && now.Sub(t.crashes[old].At) > evidenceTTL {
		old++
	}
	if old == 0 {
		return
	}
	t.crashes, t.wholeCounts = slices.Delete(t.crashes, 0, old), nil
	if len(t.crashes) == 0 {
		clear(t.recoveries)
		t.forgetTrials()
	}
}

// MergeHold adds a hold of another gateway. It reports whether the part is held from now on and wasn't before.
func (t *Tracker) MergeHold(now time.Time, h Hold) (added bool) {
	if now.After(h.expiresAt()) || !t.served.lastAt(h.Part).Before(h.CrashedAt) {
		return false
	}
	known := t.holds[h.Part]
	if known == nil {
		return t.addHold(h)
	}
	if h.CrashedAt.After(known.CrashedAt) {
		known.CrashedAt = h.CrashedAt
	}
	known.Length, known.Crashes = max(known.Length, h.Length), max(known.Crashes, h.Crashes)
	return false
}

// addHold adds a hold. If there are maxHolds, the one whose last crash is longest ago ends.
func (t *Tracker) addHold(h Hold) bool {
	if len(t.holds) >= maxHolds {
		oldest := &h
		for _, known := range t.holds {
			if known.CrashedAt.Before(oldest.CrashedAt) {
				oldest = known
			}
		}
		if oldest == &h {
			return false
		}
		delete(t.holds, oldest.Part)
	}
	t.holds[h.Part] = &h
	return true
}

// Held returns the hold that keeps a request with the parts away from servers, if there is one. With mayTry it lets
// one request pass, as a trial, after the hold's end. Only one gateway at a time may try.
func (t *Tracker) Held(now time.Time, parts []Part, mayTry bool) (Hold, bool) {
	if t.IsIdle() {
		return Hold{}, false
	}
	for _, part := range parts {
		hold := t.holds[part]
		if hold == nil {
			if pause, paused := t.paused(now, part); paused {
				return pause, true
			}
			continue
		}
		if !mayTry || now.Before(hold.Until()) || now.Sub(t.triedAt[part]) < trialTimeout {
			return *hold, true
		}
		t.triedAt[part] = now
	}
	return Hold{}, false
}

// WouldHold returns what Held would, without recording a trial.
func (t *Tracker) WouldHold(now time.Time, parts []Part, mayTry bool) (Hold, bool) {
	unchanged := *t
	unchanged.triedAt = maps.Clone(t.triedAt)
	return unchanged.Held(now, parts, mayTry)
}

// forgetTrials drops the trials of requests that are no longer held or paused.
func (t *Tracker) forgetTrials() {
	for part := range t.triedAt {
		if t.holds[part] == nil {
			delete(t.triedAt, part)
		}
	}
}
