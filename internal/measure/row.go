// Package measure runs the measurements of docs/MEASUREMENTS.md: each placement policy under several
// combinations of load and faults, against a fleet of processes on one host. scripts/measure.sh runs it.
package measure

import (
	"context"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

// Row is a combination of load and faults, one row of a table.
type Row struct {
	Name string
	// Load is the offered prompt tokens as a part of the fleet's prefill capacity without any cache.
	Load float64
	// MeanGap is the mean time until the next turn of a conversation is due.
	MeanGap time.Duration
	// Skew replaces the profile's skew of the organisations unless it is 0.
	Skew float64
	// WarmUp is the length of the first part of a run, which is left out of the report. Measured is the length of
	// the rest.
	WarmUp, Measured time.Duration
	// Before injects faults before the load starts, During from the end of the warm-up.
	Before, During func(ctx context.Context, f *testbed.Fleet, measured time.Duration) error
}

const (
	shortGap = 6 * time.Second
	// longGap is so long that the waiting conversations don't fit into the engines' caches.
	longGap          = 20 * time.Second
	warmUp           = 10 * time.Second
	measured         = 20 * time.Second
	hotSkew          = 2.5
	engineSlowFactor = 3
	linkSlowFactor   = 4
	cutEvery         = 5 // transfers; 1 of 5 is cut
	lightLoad        = 0.50
	heavyLoad        = 0.85
)

// Rows returns all rows in the order of docs/MEASUREMENTS.md.
func Rows() []Row {
	row := func(name string, part float64) Row {
		return Row{Name: name, Load: part, MeanGap: shortGap, WarmUp: warmUp, Measured: measured}
	}
	withFault := func(r Row, during func(context.Context, *testbed.Fleet, time.Duration) error) Row {
		r.During = during
		return r
	}
	long := row("long gap", lightLoad)
	long.MeanGap, long.WarmUp = longGap, longGap+warmUp
	hot := row("hot organisation", lightLoad)
	hot.Skew = hotSkew
	outage := row("kv down", lightLoad)
	outage.Before = kvDown
	idle := row("idle", 0)
	return []Row{
		row("steady 50%", lightLoad),
		row("steady 85%", heavyLoad),
		long,
		hot,
		withFault(row("slow replica", lightLoad), slowReplica),
		withFault(row("domain cut", lightLoad), domainCut),
		withFault(row("store dead", lightLoad), storeDead),
		withFault(row("stores full", lightLoad), storesFull),
		withFault(row("slow lossy links", lightLoad), lossyLinks),
		outage,
		idle,
	}
}

// slowReplica makes one engine slower for the first half of the measured time.
func slowReplica(ctx context.Context, f *testbed.Fleet, measured time.Duration) error {
	engine := f.Agents(modelService(f))[0].BackendAddress
	if err := testbed.SetFaults(ctx, engine, testbed.Settings{"slow_factor": engineSlowFactor}); err != nil {
		return err
	}
	pause(ctx, measured/2)
	return testbed.SetFaults(ctx, engine, testbed.Settings{})
}

// domainCut freezes the agents, backend servers and stores of one failure domain for a third of
// the measured time. The domain's entry keeps running, because the platform's load balancer, which would
// route callers to other entries, is not modelled.
func domainCut(ctx context.Context, f *testbed.Fleet, measured time.Duration) error {
	cut := f.InDomain(f.Instances[0].FailureDomain)
	each := func(change func(*testbed.Process)) {
		for _, instance := range cut {
			if instance.Role == metastore.RoleEntry {
				continue
			}
			change(instance.Process)
			if instance.Backend != nil {
				change(instance.Backend)
			}
		}
	}
	each((*testbed.Process).Freeze)
	pause(ctx, measured/3)
	each((*testbed.Process).Thaw)
	return nil
}

// storeDead kills one store.
func storeDead(_ context.Context, f *testbed.Fleet, _ time.Duration) error {
	f.Role(metastore.RoleStore)[0].Process.Kill()
	return nil
}

// storesFull makes all stores refuse new pieces.
func storesFull(ctx context.Context, f *testbed.Fleet, _ time.Duration) error {
	return eachStore(ctx, f, testbed.Settings{"full": true})
}

// lossyLinks slows down the stores' links and cuts some of their transfers.
func lossyLinks(ctx context.Context, f *testbed.Fleet, _ time.Duration) error {
	return eachStore(ctx, f, testbed.Settings{"slow_factor": linkSlowFactor, "cut_every": cutEvery})
}

func eachStore(ctx context.Context, f *testbed.Fleet, faults testbed.Settings) error {
	for _, store := range f.Role(metastore.RoleStore) {
		if err := testbed.SetFaults(ctx, store.AdminAddress, faults); err != nil {
			return err
		}
	}
	return nil
}

func kvDown(ctx context.Context, f *testbed.Fleet, _ time.Duration) error {
	return testbed.SetFaults(ctx, f.KVAdminAddress, testbed.Settings{"down": true})
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
