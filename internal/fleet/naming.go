package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/metastore"
)

// namingPrefix is where the leader keeps when weight versions were named, for gateways that start later.
const namingPrefix = ownPrefix + "named/"

// storedNaming is the value of a key under namingPrefix.
type storedNaming struct {
	Version int64 `json:"version"`
	// NamedMS is Unix milliseconds, by the clock of the gateway that heard of it first.
	NamedMS int64 `json:"named_ms"`
}

// persistNamings writes when the newest weight versions were named, unless this leader has done so.
func (f *Fleet) persistNamings(ctx context.Context) {
	var missing []dispatch.NamedVersion
	f.loop.Call(func() {
		for _, n := range f.dispatcher.Named() {
			if f.lead.fence > 0 && f.lead.persisted[n.Model] < n.Version {
				missing = append(missing, n)
			}
		}
	})
	for _, n := range missing {
		if err := f.persistNaming(ctx, n); err != nil {
			f.Counters.StoreFailures.Inc(1)
			f.Log.Warn(EventAnnounceFailed, zap.String("model", n.Model), eventlog.Error(err))
			continue
		}
		f.loop.Call(func() {
			if f.lead.fence > 0 {
				f.lead.persisted[n.Model] = n.Version
			}
		})
	}
}

func (f *Fleet) persistNaming(ctx context.Context, n dispatch.NamedVersion) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	age := bootclock.Now().Sub(n.At)
	value, err := json.Marshal(storedNaming{Version: n.Version, NamedMS: time.Now().Add(-age).UnixMilli()})
	if err != nil {
		return ErrPeer.Wrap(err, "naming of %q", n.Model)
	}
	swap := metastore.Swap{Key: namingPrefix + n.Model, Value: value}
	for {
		f.Counters.StoreCalls.Inc(1)
		result, err := f.Platform.Metastore.CompareAndSwap(ctx, swap)
		if err != nil || result.Swapped {
			return err
		}
		var stored storedNaming
		if err := json.Unmarshal(result.Current.Value, &stored); err == nil && stored.Version >= n.Version {
			return nil
		}
		swap.Expect = result.Current.ModRevision
	}
}

// namingRead takes a stored naming.
func (f *Fleet) namingRead(record metastore.Record, now time.Time) {
	var stored storedNaming
	if err := json.Unmarshal(record.Value, &stored); err != nil {
		f.Log.Warn(EventUnreadable, zap.String("key", record.Key), eventlog.Error(err))
		return
	}
	age := time.Since(time.UnixMilli(stored.NamedMS))
	f.dispatcher.SetNamed(strings.TrimPrefix(record.Key, namingPrefix), stored.Version, now.Add(-max(0, age)))
}
