package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/weights"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// targetPrefix is the prefix of the keys in which the leader stores the times at which weight versions became the
// target, for gateways that start later.
const targetPrefix = ownPrefix + "named/"

// storedTarget is the value of a key under targetPrefix.
type storedTarget struct {
	Version int64 `json:"version"`
	// SetMS is when the version became the target, in Unix milliseconds of the clock of the gateway that received
	// it first.
	SetMS int64 `json:"named_ms"`
}

// persistTargets stores the times at which the newest weight versions became the target, unless this leader has
// done so.
func (f *Fleet) persistTargets(ctx context.Context) {
	var missing []weights.TargetVersion
	f.loop.Call(func() {
		for _, model := range f.dispatcher.Targets().Models() {
			binding := f.dispatcher.Targets().Binding(model, bootclock.Now())
			if newest := binding[len(binding)-1]; f.lead.fence > 0 && f.lead.persisted[model] < newest.Version {
				missing = append(missing, newest)
			}
		}
	})
	for _, target := range missing {
		if err := f.persistTarget(ctx, target); err != nil {
			f.Counters.StoreFailures.Inc(1)
			f.Log.Warn(EventAnnounceFailed, zap.String("model", target.Model), eventlog.Error(err))
			continue
		}
		f.loop.Call(func() {
			if f.lead.fence > 0 {
				f.lead.persisted[target.Model] = target.Version
			}
		})
	}
}

func (f *Fleet) persistTarget(ctx context.Context, target weights.TargetVersion) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	age := bootclock.Now().Sub(target.SetAt)
	value, err := json.Marshal(storedTarget{Version: target.Version, SetMS: time.Now().Add(-age).UnixMilli()})
	if err != nil {
		return ErrPeer.Wrap(err, "cannot encode the target weight version of %q", target.Model)
	}
	swap := metastore.Swap{Key: targetPrefix + target.Model, Value: value}
	for {
		f.Counters.StoreCalls.Inc(1)
		result, err := f.Platform.Metastore.CompareAndSwap(ctx, swap)
		if err != nil || result.Swapped {
			return err
		}
		var stored storedTarget
		if err := json.Unmarshal(result.Current.Value, &stored); err == nil && stored.Version >= target.Version {
			return nil
		}
		swap.Expect = result.Current.ModRevision
	}
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
	f.Log.Info(EventTargetWeights, zap.String("model", target.Model), zap.Int64("version", target.Version),
		zap.String("source", source), zap.Duration("age", now.Sub(target.SetAt)))
}

// loadTarget passes a stored target weight version to the dispatcher.
func (f *Fleet) loadTarget(record metastore.Record, now time.Time) {
	var stored storedTarget
	if err := json.Unmarshal(record.Value, &stored); err != nil {
		f.Log.Warn(EventUnreadable, zap.String("key", record.Key), eventlog.Error(err))
		return
	}
	age := time.Since(time.UnixMilli(stored.SetMS))
	model := strings.TrimPrefix(record.Key, targetPrefix)
	f.addTargetVersion(weights.TargetVersion{Model: model, Version: stored.Version, SetAt: now.Add(-max(0, age))}, "stored", now)
}
