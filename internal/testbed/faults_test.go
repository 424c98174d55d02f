package testbed_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/load"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

const (
	runTime = 1500 * time.Millisecond
	// overloadTime is long enough for the wait in the engines' queues to exceed the deadlines.
	overloadTime            = 4 * time.Second
	fetchRate               = 12              // requests per second
	fetchTime               = 6 * time.Second // enough to export, evict and fetch pieces
	faultDelay              = 600 * time.Millisecond
	freezeTime              = 700 * time.Millisecond
	rate                    = 40               // requests per second
	workAfterRestartTimeout = 12 * time.Second // from the restart of an agent until it must have received work
	testTimeout             = 2 * time.Minute
	seedStride              = 1000 // distance between the seeds of awaitDispatch for two consecutive faults
)

func testSpec(c *qt.C, profile load.Profile) testbed.Spec {
	binaries, err := testbed.Binaries()
	c.Assert(err, qt.IsNil)
	return testbed.Spec{
		Binaries:      binaries,
		Folder:        testbed.Folder(c),
		Region:        "lakes",
		Domains:       profile.Domains,
		Manifest:      profile.Manifest(),
		ModelReplicas: 4,
		PlainReplicas: 3,
		Stores:        2,
		Entries:       2,
		Engine:        testbed.Settings{"prefill_tokens_per_second": 200_000, "decode_ms": 8, "slots": 32},
		Plain:         testbed.Settings{"work_ms": 5},
		Agent:         testbed.Settings{"slots": 32, "prefill_us_per_token": 5, "decode_us_per_token": 8000},
	}
}

func startFleet(c *qt.C, spec testbed.Spec) *testbed.Fleet {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, err := testbed.Start(ctx, spec)
	c.Assert(err, qt.IsNil)
	c.Cleanup(fleet.Stop)
	return fleet
}

// Stores publish pieces before their last byte has arrived and cut transfers half-way. An engine that computes with
// an incomplete piece returns a wrong answer.
func TestHalfWrittenPiecesAreNeverUsed(t *testing.T) {
	checkPieces(t, testbed.Settings{"publish_partial": true}, testbed.Settings{"cut_every": 3})
}

// Stores change a byte of every other piece that is read. An engine must not use such a piece.
func TestDamagedPiecesAreNeverUsed(t *testing.T) {
	checkPieces(t, testbed.Settings{}, testbed.Settings{"damage_every": 2})
}

// checkPieces sends recurring prompts while the stores have the given settings and faults. All answers must be right,
// and some pieces must be fetched.
func checkPieces(t *testing.T, store, faults testbed.Settings) {
	c := qt.New(t)
	profile := load.Ridgeline()
	spec := testSpec(c, profile)
	spec.Engine["cache_pieces"] = 8
	spec.Engine["prefill_tokens_per_second"] = 8000
	spec.Agent["prefill_us_per_token"] = 125
	store["link_bytes_per_second"] = 8 << 20
	spec.Store = store
	fleet := startFleet(c, spec)
	storeFault := fault{inject: func(ctx context.Context, f *testbed.Fleet) error {
		for _, store := range f.Role(metastore.RoleStore) {
			if err := testbed.SetFaults(ctx, store.AdminAddress, faults); err != nil {
				return err
			}
		}
		return nil
	}, repair: doNothing}
	report := runPlan(c, fleet, storeFault, load.Plan{
		Profile:  profile,
		Seed:     1,
		Rate:     fetchRate,
		Duration: fetchTime,
		MeanGap:  time.Second,
	})
	c.Logf("%s", report.Text())
	checkAnswers(c, report)
	fetched := report.Total().LinkBytes
	c.Assert(fetched > 0, qt.IsTrue, qt.Commentf("no piece was fetched, so no fetched piece was checked"))
}

// Callers offer more prefill work than the engines can do. Requests that can't meet their deadline are refused as not
// run; no idempotent request ends with an unknown outcome.
func TestOverloadIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	profile := load.Ridgeline()
	for i := range profile.Kinds {
		profile.Kinds[i].DeadlineMS = 1500
	}
	spec := testSpec(c, profile)
	spec.Engine["prefill_tokens_per_second"] = 8000
	spec.Agent["prefill_us_per_token"] = 125
	fleet := startFleet(c, spec)
	report := runPlan(c, fleet, faults[0], load.Plan{
		Profile:  profile,
		Seed:     1,
		Rate:     rate,
		Duration: overloadTime,
		MeanGap:  time.Second,
	})
	c.Logf("%s", report.Text())
	checkAnswers(c, report)
	c.Assert(report.Total().Verdicts[load.VerdictRefused] > 0, qt.IsTrue)
}

// fault is one failure that is injected while callers use the fleet.
type fault struct {
	name string
	// inject causes the failure, repair ends it before the next one.
	inject, repair func(ctx context.Context, f *testbed.Fleet) error
	// unaffected means that callers must get only right answers and errors with the code in allowedCode.
	unaffected  bool
	allowedCode string
	// restartedService names the service whose first agent must receive work again after repair.
	restartedService string
}

var faults = []fault{
	{name: "none", inject: doNothing, repair: doNothing, unaffected: true},
	{name: "key-value service down", inject: setKVDown(true), repair: setKVDown(false), unaffected: true, allowedCode: "idempotency_unavailable"},
	{name: "model agent stopped", inject: stopAgent("assistant"), repair: restartAgent("assistant"), unaffected: true, restartedService: "assistant"},
	{name: "plain agent stopped", inject: stopAgent("archive"), repair: restartAgent("archive"), unaffected: true},
	{name: "model agent killed", inject: killAgent("assistant"), repair: restartAgent("assistant")},
	{name: "plain agent killed", inject: killAgent("archive"), repair: restartAgent("archive")},
	{name: "model agent frozen", inject: freezeAgent("assistant"), repair: doNothing},
	{name: "plain agent frozen", inject: freezeAgent("archive"), repair: doNothing},
	{name: "plain service loses answers", inject: cutReplies(true), repair: cutReplies(false)},
	{name: "engine killed", inject: killEngine, repair: doNothing},
}

func doNothing(context.Context, *testbed.Fleet) error { return nil }

func setKVDown(down bool) func(context.Context, *testbed.Fleet) error {
	return func(ctx context.Context, f *testbed.Fleet) error {
		return testbed.SetFaults(ctx, f.KVAdminAddress, testbed.Settings{"down": down})
	}
}

func stopAgent(service string) func(context.Context, *testbed.Fleet) error {
	return func(_ context.Context, f *testbed.Fleet) error { return f.Agents(service)[0].Process.Stop() }
}

func killAgent(service string) func(context.Context, *testbed.Fleet) error {
	return func(_ context.Context, f *testbed.Fleet) error {
		f.Agents(service)[0].Process.Kill()
		return nil
	}
}

func restartAgent(service string) func(context.Context, *testbed.Fleet) error {
	return func(_ context.Context, f *testbed.Fleet) error { return f.Restart(f.Agents(service)[0]) }
}

func freezeAgent(service string) func(context.Context, *testbed.Fleet) error {
	return func(_ context.Context, f *testbed.Fleet) error {
		agent := f.Agents(service)[0].Process
		agent.Freeze()
		time.Sleep(freezeTime)
		agent.Thaw()
		return nil
	}
}

func cutReplies(cut bool) func(context.Context, *testbed.Fleet) error {
	return func(ctx context.Context, f *testbed.Fleet) error {
		backend := f.Agents("archive")[0].BackendAddress
		return testbed.SetFaults(ctx, backend, testbed.Settings{"cut_after_work": cut})
	}
}

func killEngine(_ context.Context, f *testbed.Fleet) error {
	f.Agents("assistant")[0].Backend.Kill()
	return nil
}

// TestCallersGetCompleteResponsesUnderFaults injects one fault after the other into a fleet. Under every fault, no
// answer is wrong, no idempotent request breaks off or ends with an unknown outcome, every entry responds, and no
// checkout runs twice.
func TestCallersGetCompleteResponsesUnderFaults(t *testing.T) {
	c := qt.New(t)
	profile := load.Ridgeline()
	fleet := startFleet(c, testSpec(c, profile))
	for i, f := range faults {
		c.Run(f.name, func(c *qt.C) {
			report := runWithFault(c, fleet, profile, f, uint64(i+1))
			c.Logf("%s", report.Text())
			checkAnswers(c, report)
			if f.unaffected {
				total := report.Total()
				c.Check(total.Verdicts[load.VerdictRight]+report.Codes[f.allowedCode], qt.Equals, total.Requests)
			}
			checkCheckoutsRanOnce(c, fleet)
			if f.restartedService != "" {
				awaitDispatch(c, fleet, profile, fleet.Agents(f.restartedService)[0], uint64(i+1)*seedStride)
			}
		})
	}
}

// awaitDispatch offers load until a restarted agent receives some of it. Each run has its own seed, because the bodies
// of its checkouts must be new.
func awaitDispatch(c *qt.C, fleet *testbed.Fleet, profile load.Profile, agent *testbed.Instance, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for deadline := time.Now().Add(workAfterRestartTimeout); time.Now().Before(deadline); seed++ {
		runWithFault(c, fleet, profile, faults[0], seed)
		dispatched, err := testbed.Metric(ctx, agent.MetricsAddress, "agent_dispatched")
		c.Assert(err, qt.IsNil)
		if dispatched > 0 {
			return
		}
	}
	c.Fatalf("agent %s gets no work %s after its restart", agent.ID, workAfterRestartTimeout)
}

// runWithFault offers load for runTime and injects a fault after faultDelay.
func runWithFault(c *qt.C, fleet *testbed.Fleet, profile load.Profile, f fault, seed uint64) *load.Report {
	return runPlan(c, fleet, f, load.Plan{
		Profile:  profile,
		Seed:     seed,
		Rate:     rate,
		Duration: runTime,
		MeanGap:  500 * time.Millisecond,
	})
}

func runPlan(c *qt.C, fleet *testbed.Fleet, f fault, plan load.Plan) *load.Report {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	injected := make(chan error, 1)
	go func() {
		time.Sleep(faultDelay)
		injected <- f.inject(ctx, fleet)
	}()
	var entries []string
	for _, instance := range fleet.Role(metastore.RoleEntry) {
		entries = append(entries, instance.Address)
	}
	report, err := load.Run(ctx, load.Options{Plan: plan, Entries: entries})
	c.Assert(err, qt.IsNil)
	c.Assert(<-injected, qt.IsNil)
	c.Assert(f.repair(ctx, fleet), qt.IsNil)
	return report
}

func checkAnswers(c *qt.C, report *load.Report) {
	for _, kind := range load.Ridgeline().Kinds {
		got := report.Kind(kind.Name)
		c.Check(got.Verdicts[load.VerdictWrong], qt.Equals, 0, qt.Commentf("%s", kind.Name))
		c.Check(got.Verdicts[load.VerdictLost], qt.Equals, 0, qt.Commentf("%s", kind.Name))
		if kind.Idempotent {
			c.Check(got.Verdicts[load.VerdictBroken], qt.Equals, 0, qt.Commentf("%s", kind.Name))
			c.Check(got.Verdicts[load.VerdictUnknown], qt.Equals, 0, qt.Commentf("%s", kind.Name))
		}
	}
}

// checkCheckoutsRanOnce checks that no checkout ran more than once, counted over all replicas.
func checkCheckoutsRanOnce(c *qt.C, fleet *testbed.Fleet) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	runs := map[string]int{}
	for _, agent := range fleet.Agents("archive") {
		var counts map[string]int
		c.Assert(testbed.Call(ctx, "GET", agent.BackendAddress, "/admin/bodies", nil, &counts), qt.IsNil)
		for body, count := range counts {
			runs[body] += count
		}
	}
	for body, count := range runs {
		if len(body) > len("checkout/") && body[:len("checkout/")] == "checkout/" {
			c.Check(count, qt.Equals, 1, qt.Commentf("%s", body))
		}
	}
}
