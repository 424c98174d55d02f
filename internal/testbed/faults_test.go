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
	// overloadTime is long enough for the engines' queues to outgrow the deadlines.
	overloadTime = 4 * time.Second
	fetchRate    = 12              // requests a second
	fetchTime    = 6 * time.Second // until pieces were exported, evicted and fetched again
	faultAt      = 600 * time.Millisecond
	frozenTime   = 700 * time.Millisecond
	rate         = 40               // requests a second
	backTimeout  = 12 * time.Second // from a restart until an agent must have work again
	testTimeout  = 2 * time.Minute
	extraSeeds   = 1000 // between the seeds of further runs of two faults
)

func testSpec(c *qt.C, profile load.Profile) testbed.Spec {
	binaries, err := testbed.Binaries()
	c.Assert(err, qt.IsNil)
	return testbed.Spec{
		Binaries:      binaries,
		Folder:        c.TempDir(),
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

// Stores show pieces before their last byte has come and cut transfers half-way. An engine that
// computes with such a piece answers wrongly.
func TestHalfWrittenPiecesAreNeverUsed(t *testing.T) {
	checkPieces(t, testbed.Settings{"publish_partial": true}, testbed.Settings{"cut_every": 3})
}

// Stores change a byte of every other piece that is read.
func TestDamagedPiecesAreNeverUsed(t *testing.T) {
	checkPieces(t, testbed.Settings{}, testbed.Settings{"damage_every": 2})
}

// checkPieces lets prompts return from stores with the given settings and faults. All answers must
// be right, and some pieces fetched.
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
	strike := fault{strike: func(ctx context.Context, f *testbed.Fleet) error {
		for _, store := range f.Role(metastore.RoleStore) {
			if err := testbed.SetFaults(ctx, store.AdminAddress, faults); err != nil {
				return err
			}
		}
		return nil
	}, heal: noFault}
	report := runPlan(c, fleet, strike, load.Plan{
		Profile:  profile,
		Seed:     1,
		Rate:     fetchRate,
		Duration: fetchTime,
		MeanGap:  time.Second,
	})
	c.Logf("%s", report.Text())
	checkAnswers(c, report)
	fetched := report.Total().LinkBytes
	c.Assert(fetched > 0, qt.IsTrue, qt.Commentf("no piece was fetched, so the test shows nothing"))
}

// Callers offer more prompt work than the engines can do. What can't meet its deadline is refused as
// not run; nothing that may be repeated ends as unknown.
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

// fault is one failure while callers use the fleet.
type fault struct {
	name string
	// strike brings the failure about, heal ends it before the next one.
	strike, heal func(ctx context.Context, f *testbed.Fleet) error
	// whole means that callers must not notice anything but answers with the code in except.
	whole  bool
	except string
	// restarts names the service whose first agent must work again after heal.
	restarts string
}

var faults = []fault{
	{name: "none", strike: noFault, heal: noFault, whole: true},
	{name: "key-value service down", strike: kvDown(true), heal: kvDown(false), whole: true, except: "idempotency_unavailable"},
	{name: "model agent stopped", strike: stopAgent("assistant"), heal: restartAgent("assistant"), whole: true, restarts: "assistant"},
	{name: "plain agent stopped", strike: stopAgent("archive"), heal: restartAgent("archive"), whole: true},
	{name: "model agent killed", strike: killAgent("assistant"), heal: restartAgent("assistant")},
	{name: "plain agent killed", strike: killAgent("archive"), heal: restartAgent("archive")},
	{name: "model agent frozen", strike: freezeAgent("assistant"), heal: noFault},
	{name: "plain agent frozen", strike: freezeAgent("archive"), heal: noFault},
	{name: "plain service loses answers", strike: cutAnswers(true), heal: cutAnswers(false)},
	{name: "engine killed", strike: killEngine, heal: noFault},
}

func noFault(context.Context, *testbed.Fleet) error { return nil }

func kvDown(down bool) func(context.Context, *testbed.Fleet) error {
	return func(ctx context.Context, f *testbed.Fleet) error {
		return testbed.SetFaults(ctx, f.KVAdmin, testbed.Settings{"down": down})
	}
}

func stopAgent(service string) func(context.Context, *testbed.Fleet) error {
	return func(_ context.Context, f *testbed.Fleet) error { return f.Service(service)[0].Process.Stop() }
}

func killAgent(service string) func(context.Context, *testbed.Fleet) error {
	return func(_ context.Context, f *testbed.Fleet) error {
		f.Service(service)[0].Process.Kill()
		return nil
	}
}

func restartAgent(service string) func(context.Context, *testbed.Fleet) error {
	return func(_ context.Context, f *testbed.Fleet) error { return f.Restart(f.Service(service)[0]) }
}

func freezeAgent(service string) func(context.Context, *testbed.Fleet) error {
	return func(_ context.Context, f *testbed.Fleet) error {
		agent := f.Service(service)[0].Process
		agent.Freeze()
		time.Sleep(frozenTime)
		agent.Thaw()
		return nil
	}
}

func cutAnswers(cut bool) func(context.Context, *testbed.Fleet) error {
	return func(ctx context.Context, f *testbed.Fleet) error {
		backend := f.Service("archive")[0].BackendAddress
		return testbed.SetFaults(ctx, backend, testbed.Settings{"cut_after_work": cut})
	}
}

func killEngine(_ context.Context, f *testbed.Fleet) error {
	f.Service("assistant")[0].Backend.Kill()
	return nil
}

// TestCallersGetWholeAnswersUnderFaults strikes a fleet with one fault after the other. Whatever
// happens, no answer is wrong, no request that may be repeated is given up half-way, every entry
// answers, and no checkout runs twice.
func TestCallersGetWholeAnswersUnderFaults(t *testing.T) {
	c := qt.New(t)
	profile := load.Ridgeline()
	fleet := startFleet(c, testSpec(c, profile))
	for i, f := range faults {
		c.Run(f.name, func(c *qt.C) {
			report := runUnder(c, fleet, profile, f, uint64(i+1))
			c.Logf("%s", report.Text())
			checkAnswers(c, report)
			if f.whole {
				total := report.Total()
				c.Check(total.Verdicts[load.VerdictRight]+report.Codes[f.except], qt.Equals, total.Requests)
			}
			checkNoneDoubled(c, fleet)
			if f.restarts != "" {
				awaitWork(c, fleet, profile, fleet.Service(f.restarts)[0], uint64(i+1)*extraSeeds)
			}
		})
	}
}

// awaitWork offers load until a restarted agent gets some of it. Each run has a seed of its own,
// since the bodies of its checkouts must be new.
func awaitWork(c *qt.C, fleet *testbed.Fleet, profile load.Profile, agent *testbed.Instance, seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for deadline := time.Now().Add(backTimeout); time.Now().Before(deadline); seed++ {
		runUnder(c, fleet, profile, faults[0], seed)
		dispatched, err := testbed.Metric(ctx, agent.Metrics, "agent_dispatched")
		c.Assert(err, qt.IsNil)
		if dispatched > 0 {
			return
		}
	}
	c.Fatalf("agent %s gets no work %s after its restart", agent.ID, backTimeout)
}

// runUnder offers load for a short time and strikes in the midst of it.
func runUnder(c *qt.C, fleet *testbed.Fleet, profile load.Profile, f fault, seed uint64) *load.Report {
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
	struck := make(chan error, 1)
	go func() {
		time.Sleep(faultAt)
		struck <- f.strike(ctx, fleet)
	}()
	var entries []string
	for _, instance := range fleet.Role(metastore.RoleEntry) {
		entries = append(entries, instance.Address)
	}
	report, err := load.Run(ctx, load.Options{Plan: plan, Entries: entries})
	c.Assert(err, qt.IsNil)
	c.Assert(<-struck, qt.IsNil)
	c.Assert(f.heal(ctx, fleet), qt.IsNil)
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

// checkNoneDoubled counts the runs of each checkout on all replicas.
func checkNoneDoubled(c *qt.C, fleet *testbed.Fleet) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	runs := map[string]int{}
	for _, agent := range fleet.Service("archive") {
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
