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

// loadTarget passes a stored target weight version to the dispatcher.
func (f *Fleet) loadTarget(record metastore.Record, now time.Time) {
	var stored storedTarget
	if err := json.Unmarshal(record.Value, &stored); err != nil {
		f.Log.Warn(EventUnreadable, zap.String("key", record.Key), eventlog.Error(err))
		return
	}
	age := time.Since(time.UnixMilli(stored.SetMS))
	model := strings.TrimPrefix(record.Key, targetPrefix)
	f.dispatcher.AddTargetWeightVersion(weights.TargetVersion{Model: model, Version: stored.Version, SetAt: now.Add(-max(0, age))})
	f.Log.Info(EventTargetWeights, zap.String("model", model), zap.Int64("version", stored.Version),
		zap.Int64("revision", int64(record.ModRevision)), zap.String("source", "stored"), zap.Duration("age", age))
}
