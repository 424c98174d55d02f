package changes

import (
	"context"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/manifest/manifesttest"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/testbed"
	"balsamyoke.example/balsamyoke/internal/wire"
	"balsamyoke.example/balsamyoke/platform"
)

func TestMain(m *testing.M) { os.Exit(testbed.Main(m)) }

const (
	organisationKey = "ridge-key"
	testTimeout     = 3 * time.Minute
	// inForceTimeout is the target for the time until an accepted version is in force on all processes.
	inForceTimeout = 12 * time.Second
	pollInterval   = 50 * time.Millisecond
	// loadTime is how long a replica takes to load weights at full speed, maxLoads how many replicas may load at once.
	loadTime = 600 * time.Millisecond
	maxLoads = 2
	replicas = 6
)

// testManifest returns a configuration with the given weight version of the assistant.
func testManifest(weightVersion string) *manifest.Manifest {
	return &manifest.Manifest{
		Deployment:    "changes",
		Organisations: []manifest.Organisation{{Name: "ridge", KeyDigests: []string{manifesttest.KeyDigest(organisationKey)}}},
		Services: []manifest.Service{
			{Name: "assistant", Type: manifest.ServiceModel, WeightVersion: weightVersion, MaxConcurrentLoads: maxLoads},
			{Name: "archive", Type: manifest.ServicePlain},
		},
		Kinds: []manifest.Kind{
			{Name: "trace", Service: "assistant", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 5000, MaxTokens: 64},
			{Name: "browse", Service: "archive", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 3000},
		},
	}
}

// fleet is a running deployment with the clients to change and observe it.
type fleet struct {
	*testbed.Fleet
	c     *qt.C
	ctx   context.Context
	kv    *platform.Metastore
	store *config.Store
	pool  *grpcpool.Pool
}

func startFleet(c *qt.C) *fleet {
	binaries, err := testbed.Binaries()
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	started, err := testbed.Start(ctx, testbed.Spec{
		Binaries:      binaries,
		Folder:        c.TempDir(),
		Region:        "lakes",
		Domains:       []string{"north", "south", "east"},
		Manifest:      testManifest("w1"),
		ModelReplicas: replicas,
		PlainReplicas: 3,
		Entries:       3,
		Weights:       testbed.Settings{"max_parallel": maxLoads},
		Engine:        testbed.Settings{"load_ms": loadTime.Milliseconds(), "decode_ms": 10, "slots": 32, "prefill_tokens_per_second": 200_000},
		Agent:         testbed.Settings{"slots": 32, "prefill_us_per_token": 5, "decode_us_per_token": 10_000, "grace_seconds": 2},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(started.Stop)
	f := &fleet{Fleet: started, c: c, ctx: ctx, kv: platform.NewMetastore(started.KVAddress), pool: grpcpool.New(len(started.Instances))}
	f.store = config.NewStore(f.kv)
	c.Cleanup(f.kv.Close)
	c.Cleanup(f.pool.Close)
	return f
}

// processes returns the entries and agents.
func (f *fleet) processes() []*testbed.Instance {
	return append(f.Role(metastore.RoleEntry), f.Role(metastore.RoleAgent)...)
}

// version returns the confirmed version of a process, or 0 when it has none or does not respond.
func (f *fleet) version(instance *testbed.Instance) uint64 {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	connection, err := f.pool.Get(instance.ControlAddress)
	f.c.Assert(err, qt.IsNil)
	reply, err := wire.NewConfigurationClient(connection).Notify(ctx, &wire.NotifyRequest{})
	if err != nil {
		return 0
	}
	return reply.GetVersion()
}

// awaitVersion waits until all processes have version or a later one in force.
func (f *fleet) awaitVersion(version uint64, timeout time.Duration) {
	start := time.Now()
	for _, instance := range f.processes() {
		for f.version(instance) < version {
			f.c.Assert(time.Since(start) < timeout, qt.IsTrue, qt.Commentf("%s has version %d", instance.ID, f.version(instance)))
			time.Sleep(pollInterval)
		}
	}
	f.c.Logf("version %d in force on %d processes after %v", version, len(f.processes()), time.Since(start))
}

// apply applies a weight version on top of a base version.
func (f *fleet) apply(base uint64, weightVersion string) {
	change, err := f.store.Apply(f.ctx, base, testManifest(weightVersion), uuid.NewString())
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(change.Version, qt.Equals, base+1)
}

// setFaults sets the fault switches of the key-value service.
func (f *fleet) setFaults(faults testbed.Settings) {
	f.c.Assert(testbed.SetFaults(f.ctx, f.KVAdminAddress, faults), qt.IsNil)
}

// engineState is the state that an engine reports.
type engineState struct {
	Serving      string `json:"serving"`
	Loading      string `json:"loading"`
	HighestFence uint64 `json:"highest_fence"`
}

func (f *fleet) engineStateOf(instance *testbed.Instance) engineState {
	var state engineState
	f.c.Assert(testbed.Call(f.ctx, "GET", instance.BackendAddress, "/v1/state", nil, &state), qt.IsNil)
	return state
}

// awaitServing waits until the engines of the given agents serve a weight version.
func (f *fleet) awaitServing(agents []*testbed.Instance, weightVersion string, timeout time.Duration) {
	start := time.Now()
	for _, agent := range agents {
		for f.engineStateOf(agent).Serving != weightVersion {
			f.c.Assert(time.Since(start) < timeout, qt.IsTrue, qt.Commentf("%s runs %+v", agent.ID, f.engineStateOf(agent)))
			time.Sleep(pollInterval)
		}
	}
	f.c.Logf("%d replicas serve %s after %v", len(agents), weightVersion, time.Since(start))
}

// peakLoads returns the highest number of concurrent loads that the weight store has counted.
func (f *fleet) peakLoads() int {
	var loads struct {
		MostAtOnce int `json:"most_at_once"`
	}
	f.c.Assert(testbed.Call(f.ctx, "GET", f.WeightsAddress, "/loads", nil, &loads), qt.IsNil)
	return loads.MostAtOnce
}
