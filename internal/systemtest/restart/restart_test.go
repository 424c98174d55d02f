package restart

import (
	"context"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/manifest/manifesttest"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

func TestMain(m *testing.M) { os.Exit(testbed.Main(m)) }

const (
	organisationKey = "ridge-key"
	testTimeout     = 3 * time.Minute
	// settleTime is the pause between two restarts.
	settleTime = 300 * time.Millisecond
	// restartTimeout is how long a restarted process may take until it serves again.
	restartTimeout = 12 * time.Second
	// noNewWorkTimeout is the time after which a leaving agent must receive no more work.
	noNewWorkTimeout = 3 * time.Second
)

func testManifest() *manifest.Manifest {
	return &manifest.Manifest{
		Deployment:    "restart",
		Organisations: []manifest.Organisation{{Name: "ridge", KeyDigests: []string{manifesttest.KeyDigest(organisationKey)}}},
		Services: []manifest.Service{
			{Name: "assistant", Type: manifest.ServiceModel, WeightVersion: "w1", MaxConcurrentLoads: 2},
			{Name: "archive", Type: manifest.ServicePlain},
		},
		Kinds: []manifest.Kind{
			{Name: "trace", Service: "assistant", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 5000, MaxTokens: 32},
			{Name: "browse", Service: "archive", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 3000},
			{Name: "checkout", Service: "archive", Urgency: manifest.Urgent, Idempotent: false, DeadlineMS: 3000},
		},
	}
}

func startFleet(c *qt.C, ctx context.Context, decodeMS, graceSeconds int) *testbed.Fleet {
	binaries, err := testbed.Binaries()
	c.Assert(err, qt.IsNil)
	fleet, err := testbed.Start(ctx, testbed.Spec{
		Binaries:      binaries,
		Folder:        c.TempDir(),
		Region:        "lakes",
		Domains:       []string{"north", "south"},
		Manifest:      testManifest(),
		ModelReplicas: 3,
		PlainReplicas: 2,
		Entries:       2,
		Engine:        testbed.Settings{"decode_ms": decodeMS, "slots": 32, "prefill_tokens_per_second": 200_000},
		Plain:         testbed.Settings{"work_ms": 20},
		Agent:         testbed.Settings{"slots": 32, "prefill_us_per_token": 5, "decode_us_per_token": 1000 * decodeMS, "grace_seconds": graceSeconds},
		Entry:         testbed.Settings{"grace_seconds": graceSeconds},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(fleet.Stop)
	return fleet
}

// Every agent and every entry is stopped and started again while callers send requests. No request may fail: idempotent
// ones continue on another replica, and the others finish within the grace period.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet := startFleet(c, ctx, 10, 5)
	balancer := newBalancer(ctx, fleet.Role(metastore.RoleEntry))
	callers := startCallers(ctx, balancer, callerCount, allKinds)
	time.Sleep(settleTime)
	for _, agent := range fleet.Role(metastore.RoleAgent) {
		c.Assert(agent.Process.Stop(), qt.IsNil)
		c.Assert(fleet.Restart(agent), qt.IsNil)
		awaitAttempt(c, ctx, agent)
	}
	for _, entry := range fleet.Role(metastore.RoleEntry) {
		c.Assert(entry.Process.Stop(), qt.IsNil)
		c.Assert(fleet.Restart(entry), qt.IsNil)
		balancer.awaitHealthy(c, entry)
		time.Sleep(settleTime)
	}
	callers.stop()
	balancer.stop()
	callers.check(c)
}

// A leaving agent that still has running requests must receive no new work after a few seconds, although the instance
// list still shows it as live. The runs of 5 s and the many callers keep the agent running for long after that.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet := startFleet(c, ctx, 150, 9)
	balancer := newBalancer(ctx, fleet.Role(metastore.RoleEntry))
	callers := startCallers(ctx, balancer, 4*callerCount, onlyTraces)
	leaving := fleet.Agents("assistant")[0]
	awaitAttempt(c, ctx, leaving)
	leaving.Process.Terminate()
	terminatedAt := time.Now()
	lastCount := acceptedAttempts(ctx, leaving)
	lastChangeAt := terminatedAt
	for time.Since(terminatedAt) < 2*noNewWorkTimeout {
		if count := acceptedAttempts(ctx, leaving); count > lastCount {
			lastCount, lastChangeAt = count, time.Now()
		}
		time.Sleep(settleTime / 10)
	}
	callers.stop()
	balancer.stop()
	callers.check(c)
	c.Assert(lastChangeAt.Sub(terminatedAt) < noNewWorkTimeout, qt.IsTrue, qt.Commentf("new work after %s", lastChangeAt.Sub(terminatedAt)))
}

// acceptedAttempts returns the number of attempts that an agent has accepted, or 0 when its metrics can't be read.
func acceptedAttempts(ctx context.Context, agent *testbed.Instance) float64 {
	count, err := testbed.Metric(ctx, agent.MetricsAddress, "agent_accepted")
	if err != nil {
		return 0
	}
	return count
}

// awaitAttempt waits until a newly started agent has accepted an attempt.
func awaitAttempt(c *qt.C, ctx context.Context, agent *testbed.Instance) {
	for start := time.Now(); acceptedAttempts(ctx, agent) == 0; time.Sleep(settleTime / 10) {
		c.Assert(time.Since(start) < restartTimeout, qt.IsTrue, qt.Commentf("%s gets no work", agent.ID))
	}
}
