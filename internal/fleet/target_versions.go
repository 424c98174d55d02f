package fleet

import (
	"context"
	"encoding/json"
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
			return s.Version >= target.Version && s.SetAt.Sub(target.SetAt) <= persistTolerance
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
				stored.Versions = append(stored.Versions, storedTarget{Version: target.Version, SetMS: ms})
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
				Model: model, Version: target.Version, AgeMs: ageMS(now, target.SetAt),
			})
		}
	}
}

// mergeTargetVersions adds the target versions of another gateway's heartbeat.
func (f *Fleet) mergeTargetVersions(beat *wire.Beat, now time.Time) {
	for _, reported := range beat.GetTargetVersions() {
		target := weights.TargetVersion{Model: reported.GetModel(), Version: reported.GetVersion(), SetAt: timeBefore(now, reported.GetAgeMs())}
		f.addTargetVersion(target, beat.GetFrom().GetInstance(), now)
	}
}

// minLoggedCorrection is the smallest correction of a known target version's time that is logged: heartbeats take some
// milliseconds.
const minLoggedCorrection = 250 * time.Millisecond

// addTargetVersion records a target version and logs it if it is new or was set earlier than known.
func (f *Fleet) addTargetVersion(target weights.TargetVersion, source string, now time.Time) {
	before, bound := f.dispatcher.Targets().Deadline(target.Model, target.Version-1)
	if !f.dispatcher.AddTargetWeightVersion(target) {
		return
	}
	after, _ := f.dispatcher.Targets().Deadline(target.Model, target.Version-1)
	if bound && before.Sub(after) < minLoggedCorrection {
		return
	}
	unread := zap.Skip()
	if !f.operatorReadAt.IsZero() {
		unread = zap.Duration("operator_unread", now.Sub(f.operatorReadAt))
	}
	f.Log.Info(EventTargetWeights, zap.String("model", target.Model), zap.Int64("version", target.Version),
		zap.String("source", source), zap.Duration("age", now.Sub(target.SetAt)), unread)
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
		target := weights.TargetVersion{Model: strings.TrimPrefix(record.Key, targetPrefix), Version: s.Version, SetAt: time.UnixMilli(s.SetMS - offset)}
		if target.SetAt.After(now) {
			target.SetAt = now
		}
		f.addTargetVersion(target, "stored", now)
		loaded = append(loaded, target)
	}
	return loaded
}

// loadRemainingTargets adds the stored target versions that were read before the servers' clock was known.
func (f *Fleet) loadRemainingTargets(now time.Time) {
	if f.clockOffsetMS.Load() == 0 {
		return
	}
	for key, record := range f.unloadedTargets {
		delete(f.unloadedTargets, key)
		f.loadTargets(record, now)
	}
}
