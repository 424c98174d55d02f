package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/weights"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// targetPrefix is the prefix of the keys in which the leader stores when weight versions became the target, for gateways
	// that start when no other one is left that knows.
	targetPrefix = ownPrefix + "named/"
	// readingKey is the key in which the leader stores up to when all target versions are stored. It sorts before targetPrefix, so that
	// a listing has what is stored under that as of the reading or later.
	readingKey = ownPrefix + "confirmed"
	// readingInterval is the interval at which it is written. Gateways that start when no other one is left may count a version as set
	// so much too early.
	readingInterval = 2 * time.Second
	// persistTolerance is by how much a stored time may be later than the known one before it is stored again.
	persistTolerance = 500 * time.Millisecond
)

// storedTargets is the value of a key under targetPrefix: the target versions of one model that bind engines.
type storedTargets struct {
	Versions []storedTarget `json:"versions"`
}

type storedTarget struct {
	Version int64 `json:"version"`
	// SetMS is when the version became the target, in Unix milliseconds of the servers' clock: the hosts' clocks differ and
	// may be stepped.
	SetMS int64 `json:"set_ms"`
	// NotBeforeMS is up to when it is known not to have become the target, on the same clock; 0 if unknown.
	NotBeforeMS int64 `json:"not_before_ms,omitempty"`
}

// storedReading is the value of readingKey.
type storedReading struct {
	// ReadMS is the time, in Unix milliseconds of the servers' clock, up to which all target versions are stored.
	ReadMS int64 `json:"read_ms"`
}

// notBeforeMS returns, on the servers' clock, up to when a version is known not to have been set; 0 if that or the clock is unknown.
func (f *Fleet) notBeforeMS(target *weights.TargetVersion) int64 {
	if ms, ok := f.ServerClock(target.NotBefore); ok && !target.NotBefore.IsZero() {
		return ms
	}
	return 0
}

// fromServerClock is the inverse of ServerClock; zero if ms is 0 or the clock is unknown.
func (f *Fleet) fromServerClock(ms int64) time.Time {
	offset := f.clockOffsetMS.Load()
	if ms == 0 || offset == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms - offset)
}

// persistTargets stores when the target versions were set, unless this leader has done so.
func (f *Fleet) persistTargets(ctx context.Context) {
	var models []string
	f.loop.Call(func() {
		now := bootclock.Now()
		for _, model := range f.dispatcher.Targets().Models() {
			if f.lead.fence > 0 && !covers(f.lead.persisted[model], f.dispatcher.Targets().Binding(model, now)) {
				models = append(models, model)
			}
		}
	})
	for _, model := range models {
		if err := f.persistTarget(ctx, model); err != nil {
			f.Counters.StoreFailures.Inc(1)
			f.Log.Warn(EventAnnounceFailed, zap.String("model", model), eventlog.Error(err))
		}
	}
}

// covers reports whether the stored target versions bind engines as early as the known ones.
func covers(stored, known []weights.TargetVersion) bool {
	for _, target := range known {
		if !slices.ContainsFunc(stored, func(s weights.TargetVersion) bool {
			return s.Version >= target.Version && s.EarliestSetAt().Sub(target.EarliestSetAt()) <= persistTolerance
		}) {
			return false
		}
	}
	return true
}

// persistTarget stores the target versions of one model, with those that are stored already. It does nothing until the
// servers' clock is known.
func (f *Fleet) persistTarget(ctx context.Context, model string) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	swap := metastore.Swap{Key: targetPrefix + model}
	for {
		known, value, err := f.encodeTargets(model)
		if err != nil || value == nil {
			return err
		}
		swap.Value = value
		f.Counters.StoreCalls.Inc(1)
		result, err := f.Platform.Metastore.CompareAndSwap(ctx, swap)
		if err != nil {
			return err
		}
		f.loop.Call(func() {
			if !result.Swapped {
				known = f.loadTargets(result.Current, bootclock.Now())
			}
			if f.lead.fence > 0 {
				f.lead.persisted[model] = known
			}
			result.Swapped = result.Swapped || covers(known, f.dispatcher.Targets().Binding(model, bootclock.Now()))
		})
		if result.Swapped {
			return nil
		}
		swap.Expect = result.Current.ModRevision
	}
}

// encodeTargets returns the target versions of a model that bind engines, and their stored form; nil while the servers' clock
// is unknown.
func (f *Fleet) encodeTargets(model string) (known []weights.TargetVersion, value []byte, err error) {
	var stored storedTargets
	f.loop.Call(func() {
		known = f.dispatcher.Targets().Binding(model, bootclock.Now())
		for _, target := range known {
			if ms, ok := f.ServerClock(target.SetAt); ok {
				stored.Versions = append(stored.Versions, storedTarget{Version: target.Version, SetMS: ms, NotBeforeMS: f.notBeforeMS(&target)})
			}
		}
	})
	if len(stored.Versions) == 0 {
		return known, nil, nil
	}
	if value, err = json.Marshal(stored); err != nil {
		return known, nil, ErrPeer.Wrap(err, "cannot encode the target weight versions of %q", model)
	}
	return known, value, nil
}

// addTargetVersions adds the target versions that bind engines to a heartbeat. A gateway that learned of one of them late, or
// started since, gets its time from those that didn't.
func (f *Fleet) addTargetVersions(beat *wire.Beat, now time.Time) {
	for _, model := range f.dispatcher.Targets().Models() {
		for _, target := range f.dispatcher.Targets().Binding(model, now) {
			beat.TargetVersions = append(beat.TargetVersions, &wire.TargetVersion{
				Model: model, Version: target.Version, AgeMs: ageMS(now, target.SetAt), NotBeforeMs: f.notBeforeMS(&target),
			})
		}
	}
}

// mergeTargetVersions adds the target versions of another gateway's heartbeat.
func (f *Fleet) mergeTargetVersions(beat *wire.Beat, sentAt, now time.Time) {
	for _, reported := range beat.GetTargetVersions() {
		target := weights.TargetVersion{
			Model: reported.GetModel(), Version: reported.GetVersion(), SetAt: timeBefore(sentAt, reported.GetAgeMs()), NotBefore: f.fromServerClock(reported.GetNotBeforeMs()),
		}
		f.addTargetVersion(target, beat.GetFrom().GetInstance(), now)
	}
}

// minLoggedCorrection is the smallest correction of a known target version's deadline that is logged: heartbeats take some
// milliseconds.
const minLoggedCorrection = 250 * time.Millisecond

// addTargetVersion records a target version and logs it if it is new or its deadline changes.
func (f *Fleet) addTargetVersion(target weights.TargetVersion, source string, now time.Time) {
	before, bound := f.dispatcher.Targets().Deadline(target.Model, target.Version-1)
	if !f.dispatcher.AddTargetWeightVersion(target) {
		return
	}
	after, _ := f.dispatcher.Targets().Deadline(target.Model, target.Version-1)
	if bound && before.Sub(after).Abs() < minLoggedCorrection {
		return
	}
	unread := zap.Skip()
	if !f.operatorReadAt.IsZero() {
		unread = zap.Duration("operator_unread", now.Sub(f.operatorReadAt))
	}
	f.Log.Info(EventTargetWeights, zap.String("model", target.Model), zap.Int64("version", target.Version),
		zap.String("source", source), zap.Duration("age", now.Sub(target.SetAt)), zap.Duration("earliest_age", now.Sub(target.EarliestSetAt())), unread)
}

// persistReadings stores, until ctx ends, up to when all target versions are stored.
func (f *Fleet) persistReadings(ctx context.Context) {
	swap := metastore.Swap{Key: readingKey}
	for ctx.Err() == nil {
		reading, ok := f.completeReading()
		if !ok {
			sleep(ctx, dutyInterval)
			continue
		}
		if err := f.persistReading(ctx, &swap, reading); err != nil {
			f.Counters.StoreFailures.Inc(1)
			f.Log.Warn(EventAnnounceFailed, zap.String("key", swap.Key), eventlog.Error(err))
		}
		sleep(ctx, readingInterval)
	}
}

// persistReading stores a reading. The swap has the revision of the key, as far as known.
func (f *Fleet) persistReading(ctx context.Context, swap *metastore.Swap, reading storedReading) error {
	value, err := json.Marshal(reading)
	if err != nil {
		return ErrPeer.Wrap(err, "cannot encode the reading")
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	swap.Value = value
	for {
		f.Counters.StoreCalls.Inc(1)
		result, err := f.Platform.Metastore.CompareAndSwap(ctx, *swap)
		if err != nil {
			return err
		}
		if result.Swapped {
			swap.Expect = result.Revision
			return nil
		}
		// An earlier leader has written the key. What it says must be known before it is replaced.
		swap.Expect = result.Current.ModRevision
		f.loop.Call(func() { f.loadReading(result.Current, bootclock.Now()) })
	}
}

// completeReading returns up to when this leader knows all target versions. It returns false if some of them isn't stored, what is
// stored hasn't been read, the servers' clock is unknown, or there are no engines.
func (f *Fleet) completeReading() (reading storedReading, ok bool) {
	f.loop.Call(func() {
		if f.lead.fence == 0 || f.operatorReadAt.IsZero() || !f.peersListed || len(f.unloadedTargets) > 0 {
			return
		}
		models := f.dispatcher.Targets().Models()
		if table := f.Table(); len(models) == 0 && (table == nil || tokenBytes(table.Services) == 0) {
			return
		}
		now := bootclock.Now()
		for _, model := range models {
			if !covers(f.lead.persisted[model], f.dispatcher.Targets().Binding(model, now)) {
				return
			}
		}
		reading.ReadMS, ok = f.ServerClock(f.operatorReadAt)
	})
	return reading, ok
}

// loadReading takes over up to when all target versions are stored. Those of which only this gateway's first reading is known were set
// after that.
func (f *Fleet) loadReading(record metastore.Record, now time.Time) {
	var stored storedReading
	if err := json.Unmarshal(record.Value, &stored); err != nil {
		f.Log.Warn(EventUnreadable, zap.String("key", record.Key), eventlog.Error(err))
		return
	}
	readAt := f.fromServerClock(stored.ReadMS)
	if readAt.After(now) {
		return
	}
	f.operatorReadAt = later(f.operatorReadAt, readAt)
	for _, model := range f.dispatcher.Targets().Models() {
		for _, target := range f.dispatcher.Targets().Binding(model, now) {
			if target.NotBefore.IsZero() && readAt.Before(target.SetAt) {
				target.NotBefore = readAt
				f.addTargetVersion(target, "stored", now)
			}
		}
	}
}

// loadTargets adds stored target versions and returns them. While the servers' clock is unknown the record is kept until it is known.
func (f *Fleet) loadTargets(record metastore.Record, now time.Time) (loaded []weights.TargetVersion) {
	var stored storedTargets
	if err := json.Unmarshal(record.Value, &stored); err != nil {
		f.Log.Warn(EventUnreadable, zap.String("key", record.Key), eventlog.Error(err))
		return nil
	}
	offset := f.clockOffsetMS.Load()
	if offset == 0 {
		f.unloadedTargets[record.Key] = record
		return nil
	}
	for _, s := range stored.Versions {
		target := weights.TargetVersion{
			Model: strings.TrimPrefix(record.Key, targetPrefix), Version: s.Version, SetAt: time.UnixMilli(s.SetMS - offset), NotBefore: f.fromServerClock(s.NotBeforeMS),
		}
		if target.SetAt.After(now) {
			target.SetAt = now
		}
		f.addTargetVersion(target, "stored", now)
		loaded = append(loaded, target)
	}
	return loaded
}

// loadStored takes over what the leader has stored, in the records of one listing of the system's own keys, or when the servers'
// clock is known.
func (f *Fleet) loadStored(records []metastore.Record, now time.Time) {
	for _, record := range records {
		if strings.HasPrefix(record.Key, targetPrefix) {
			f.loadTargets(record, now)
		}
	}
	for _, record := range records {
		switch {
		case record.Key != readingKey:
		case f.clockOffsetMS.Load() == 0:
			f.unloadedTargets[record.Key] = record
		default:
			f.loadReading(record, now)
		}
	}
}

// loadRemainingTargets takes over what was read before the servers' clock was known.
func (f *Fleet) loadRemainingTargets(now time.Time) {
	if f.clockOffsetMS.Load() == 0 || len(f.unloadedTargets) == 0 {
		return
	}
	records := slices.Collect(maps.Values(f.unloadedTargets))
	clear(f.unloadedTargets)
	f.loadStored(records, now)
}
