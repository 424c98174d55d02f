package fleet

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/quarantine"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// crashReportInterval is the minimum interval between two reports that are sent at once because of a crash. Regular
// heartbeats bring what came in between.
const crashReportInterval = 150 * time.Millisecond

// reportCrashes sends the evidence of this gateway to all others at once, unless it did so just now.
func (f *Fleet) reportCrashes(now time.Time) {
	if now.Sub(f.crashReportedAt) < crashReportInterval {
		return
	}
	f.crashReportedAt = now
	f.sequence++
	beat := &wire.Beat{From: f.Self, Incarnation: f.Incarnation, Sequence: f.sequence, SentNs: now.UnixNano(), OnlyEvidence: true}
	f.addQuarantine(beat, now)
	f.broadcast(beat)
}

// RecordCrash records that a server has crashed and which requests of this gateway were in flight there, and tells the other
// gateways.
func (f *Fleet) RecordCrash(crash quarantine.Crash) {
	f.loop.Post(func() {
		now := bootclock.Now()
		f.Counters.ServerCrashes.Inc(1)
		f.Log.Warn(EventServerCrashed, zap.String("server", crash.Server), zap.Int("suspects", len(crash.Suspects)), suspectsField(crash.Suspects))
		f.dispatcher.EndRun(now, crash.Server, f.serverTime(crash.At))
		f.quarantine.RecordCrash(now, crash)
		f.quarantineIdle.Store(false)
		f.reportCrashes(now)
	})
}

// maxLoggedSuspects bounds the suspects that a log line names.
const maxLoggedSuspects = 8

// suspectsField returns the log field for the parts of a crash's suspects, each once.
func suspectsField(suspects []quarantine.Suspect) zap.Field {
	var ids []string
	for i := range suspects {
		if id := suspects[i].Part.ID; len(ids) < maxLoggedSuspects && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return zap.Strings("parts", ids)
}

// IsQuarantineIdle reports whether no crash is being looked into and no part is held. Requests to plain services needn't be
// identified then.
func (f *Fleet) IsQuarantineIdle() bool { return f.quarantineIdle.Load() }

// refuseHeld returns the refusal of a request with a held part, or nil.
func (f *Fleet) refuseHeld(now time.Time, parts []quarantine.Part) *dispatch.Refusal {
	hold, held := f.quarantine.Held(now, parts, f.lead.fence > 0)
	return holdRefusal(now, hold, held)
}

// holdRefusal returns the refusal for a hold; nil if held is not set. Callers come back after the end of the hold, and not within a
// second.
func holdRefusal(now time.Time, hold quarantine.Hold, held bool) *dispatch.Refusal {
	if !held {
		return nil
	}
	return &dispatch.Refusal{Reason: dispatch.Quarantined, RetryAfter: max(hold.Until().Sub(now), time.Second), Part: hold.Part.ID}
}

// evaluateQuarantine ends holds and evidence that have expired, holds the parts that the evidence speaks against, and tells
// the other gateways.
func (f *Fleet) evaluateQuarantine(now time.Time) {
	f.logReleased(f.quarantine.Expire(now))
	holds := f.quarantine.Decide(now)
	for _, hold := range holds {
		f.logHeld(hold, f.Self.GetInstance())
	}
	if len(holds) > 0 {
		f.reportCrashes(now)
	}
	f.quarantineIdle.Store(f.quarantine.IsIdle())
	f.Counters.PartsHeld.Update(float64(f.quarantine.HoldCount()))
}

func (f *Fleet) logHeld(hold quarantine.Hold, source string) {
	f.Log.Warn(EventPartHeld, zap.String("scope", hold.Part.Scope), zap.String("part", hold.Part.ID), zap.Int("crashes", hold.Crashes),
		zap.Duration("hold", hold.Length), zap.String("source", source))
}

func (f *Fleet) logReleased(parts []quarantine.Part) {
	for _, part := range parts {
		f.Log.Info(EventPartReleased, zap.String("scope", part.Scope), zap.String("part", part.ID))
	}
}

// addQuarantine adds to a heartbeat what the other gateways need to hold the same parts.
func (f *Fleet) addQuarantine(beat *wire.Beat, now time.Time) {
	report := f.quarantine.Report(now)
	for _, crash := range report.Crashes {
		reported := &wire.ServerCrash{Server: crash.Server, AgeMs: ageMS(now, crash.At)}
		for _, s := range crash.Suspects {
			reported.Suspects = append(reported.Suspects, &wire.CrashSuspect{
				Part: requestPart(s.Part), Request: s.Request, SentBeforeMs: ageMS(crash.At, s.SentAt), Depth: uint32(s.Depth), Own: s.Own,
			})
		}
		beat.Crashes = append(beat.Crashes, reported)
	}
	for _, hold := range report.Holds {
		beat.HeldParts = append(beat.HeldParts, &wire.HeldPart{
			Part: requestPart(hold.Part), CrashAgeMs: ageMS(now, hold.CrashedAt), Crashes: uint32(hold.Crashes),
			HoldMs: uint32(hold.Length.Milliseconds()),
		})
	}
	for _, served := range report.Served {
		beat.ServedParts = append(beat.ServedParts, &wire.ServedPart{Part: requestPart(served.Part), AgeMs: ageMS(now, served.At)})
	}
}

// mergeQuarantine adds the crashes, holds and served parts of another gateway's heartbeat.
func (f *Fleet) mergeQuarantine(beat *wire.Beat, sentAt, now time.Time) {
	for _, served := range beat.GetServedParts() {
		part := commonPart(served.GetPart())
		if f.quarantine.MergeServed(part, timeBefore(sentAt, served.GetAgeMs())) {
			f.logReleased([]quarantine.Part{part})
		}
	}
	answer := false
	for _, reported := range beat.GetCrashes() {
		crash := quarantine.Crash{Server: reported.GetServer(), At: timeBefore(sentAt, reported.GetAgeMs())}
		for _, s := range reported.GetSuspects() {
			crash.Suspects = append(crash.Suspects, quarantine.Suspect{
				Part: commonPart(s.GetPart()), Request: s.GetRequest(), SentAt: timeBefore(crash.At, s.GetSentBeforeMs()), Depth: int(s.GetDepth()),
				Own: s.GetOwn(), Reported: true,
			})
		}
		answer = f.quarantine.RecordCrash(now, crash) || answer
	}
	if answer {
		f.reportCrashes(now)
	}
	for _, held := range beat.GetHeldParts() {
		hold := quarantine.Hold{
			Part: commonPart(held.GetPart()), CrashedAt: timeBefore(sentAt, held.GetCrashAgeMs()), Crashes: int(held.GetCrashes()),
			Length: time.Duration(held.GetHoldMs()) * time.Millisecond,
		}
		if f.quarantine.MergeHold(now, hold) {
			f.logHeld(hold, beat.GetFrom().GetInstance())
		}
	}
	f.quarantineIdle.Store(f.quarantine.IsIdle())
}

func requestPart(part quarantine.Part) *wire.RequestPart {
	return &wire.RequestPart{Scope: part.Scope, Id: part.ID, Whole: part.Whole}
}

func commonPart(part *wire.RequestPart) quarantine.Part {
	return quarantine.Part{Scope: part.GetScope(), ID: part.GetId(), Whole: part.GetWhole()}
}

// ageMS returns the time from at to now in milliseconds, zero if at is later.
func ageMS(now, at time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32))
}

// timeBefore returns the time that was the given number of milliseconds before now.
func timeBefore(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
