package atmostonce

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/standin/plainserver"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

const (
	// keysPerFault is the number of keys that callers submit during a fault, each through two entries.
	keysPerFault = 100
	// keyInterval is the time between two new keys.
	keyInterval = 10 * time.Millisecond
	// faultDelay is the time from the first key to the fault.
	faultDelay = 500 * time.Millisecond
	// workMS is the duration of one checkout, in milliseconds. With plainSlots slots on each replica, the keys keep
	// five of six slots busy, so that a fault affects attempts at every stage.
	workMS     = 100
	plainSlots = 4
	replicas   = 3
	// freezeTime is longer than every timeout after which an unresponsive process is abandoned.
	freezeTime = 3 * time.Second
	// outageTime is how long the key-value service is down.
	outageTime = time.Second
	// maxTries bounds the submissions of one caller for one key.
	maxTries    = 12
	testTimeout = 2 * time.Minute
)

func TestMain(m *testing.M) { os.Exit(testbed.Main(m)) }

func testManifest() *manifest.Manifest {
	digest := sha256.Sum256([]byte(organisationKey))
	return &manifest.Manifest{
		Deployment:    "atmostonce",
		Organisations: []manifest.Organisation{{Name: "ridge", KeyDigests: []string{hex.EncodeToString(digest[:])}}},
		Services: []manifest.Service{
			{Name: "assistant", Type: manifest.ServiceModel, WeightVersion: "v1"},
			{Name: "archive", Type: manifest.ServicePlain},
		},
		Kinds: []manifest.Kind{
			{Name: "trace", Service: "assistant", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 5000, MaxTokens: 64},
			{Name: "draft", Service: "assistant", Urgency: manifest.Patient, DeadlineMS: 5000, MaxTokens: 64},
			{Name: "checkout", Service: "archive", Urgency: manifest.Urgent, DeadlineMS: 3000},
		},
	}
}

// testFleet is a running fleet and its callers.
type testFleet struct {
	c       *qt.C
	ctx     context.Context
	fleet   *testbed.Fleet
	callers *callers
	// victim is the agent that the current fault affects.
	victim *testbed.Instance
}

func startFleet(c *qt.C, agent testbed.Settings) *testFleet {
	return startFleetWith(c, replicas, agent)
}

func startFleetWith(c *qt.C, plainReplicas int, agent testbed.Settings) *testFleet {
	agent["plain_work_ms"] = workMS
	binaries, err := testbed.Binaries()
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	fleet, err := testbed.Start(ctx, testbed.Spec{
		Binaries:      binaries,
		Folder:        testbed.Folder(c),
		Region:        "lakes",
		Domains:       []string{"erie", "huron"},
		Manifest:      testManifest(),
		ModelReplicas: replicas,
		PlainReplicas: plainReplicas,
		Entries:       2,
		Engine:        testbed.Settings{"decode_ms": 30},
		Plain:         testbed.Settings{"work_ms": workMS},
		Agent:         agent,
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(fleet.Stop)
	return &testFleet{c: c, ctx: ctx, fleet: fleet, callers: newCallers()}
}

// busiest returns the agent of a service with the most running attempts.
func (b *testFleet) busiest(c *qt.C, service string) *testbed.Instance {
	var found *testbed.Instance
	most := -1
	for _, agent := range b.fleet.Agents(service) {
		var state struct {
			Running int `json:"running"`
		}
		c.Check(testbed.Call(b.ctx, http.MethodGet, agent.MetricsAddress, "/dump", nil, &state), qt.IsNil)
		if state.Running > most {
			found, most = agent, state.Running
		}
	}
	return found
}

func (b *testFleet) entries() []string {
	var addresses []string
	for _, entry := range b.fleet.Role(metastore.RoleEntry) {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}

// runs returns the number of runs of each body on all replicas, by "kind/digest" of the body.
func (b *testFleet) runs() map[string]int {
	total := make(map[string]int)
	for _, agent := range b.fleet.Agents("archive") {
		var counts map[string]int
		err := testbed.Call(b.ctx, http.MethodGet, agent.BackendAddress, "/admin/bodies", nil, &counts)
		b.c.Assert(err, qt.IsNil)
		for name, count := range counts {
			total[name] += count
		}
	}
	return total
}

func (b *testFleet) runsOf(keys []string) map[string]int {
	counts := b.runs()
	byKey := make(map[string]int)
	for _, key := range keys {
		byKey[key] = counts["checkout/"+plainserver.BodyDigest(body(key))]
	}
	return byKey
}

// fault is one failure while callers send keys. Its functions run on their own goroutine.
type fault struct {
	name           string
	inject, repair func(b *testFleet) error
	// losesOutcomes means that the fault may leave the outcome of requests unknown permanently.
	losesOutcomes bool
}

var faults = []fault{
	{name: "none", inject: doNothing, repair: doNothing},
	{name: "agent killed", inject: killAgent, repair: restartAgent, losesOutcomes: true},
	{name: "agent frozen past every timeout", inject: freezeAgent, repair: doNothing},
	{name: "entry killed", inject: killEntry, repair: restartEntry},
	{name: "entry frozen past every timeout", inject: freezeEntry, repair: doNothing},
	{name: "key-value service down", inject: interruptKV, repair: doNothing},
	{name: "answers of the key-value service lost", inject: loseKVResponses, repair: doNothing},
	{name: "plain service cuts connections after its work", inject: cutAfterWork, repair: stopCutting, losesOutcomes: true},
	{name: "plain service frozen", inject: freezeBackend, repair: doNothing},
	{name: "agent stopped", inject: stopAgent, repair: restartAgent, losesOutcomes: true},
	{name: "agent killed in an outage", inject: inSequence(killAgent, interruptKV), repair: restartAgent, losesOutcomes: true},
	{name: "agent and entry killed", inject: inSequence(killAgent, killEntry), repair: inSequence(restartAgent, restartEntry), losesOutcomes: true},
	{name: "agent frozen, answers lost", inject: inSequence(loseKVResponses, freezeAgent), repair: doNothing},
}

func doNothing(*testFleet) error { return nil }

func inSequence(first, second func(*testFleet) error) func(*testFleet) error {
	return func(b *testFleet) error { return errors.Join(first(b), second(b)) }
}

// pickVictim sets and returns the victim: the plain agent with the most running attempts.
func (b *testFleet) pickVictim() *testbed.Instance {
	b.victim = b.busiest(b.c, "archive")
	return b.victim
}

func killAgent(b *testFleet) error {
	b.pickVictim().Process.Kill()
	return nil
}

func stopAgent(b *testFleet) error { return b.pickVictim().Process.Stop() }

func restartAgent(b *testFleet) error { return b.fleet.Restart(b.victim) }

func freezeAgent(b *testFleet) error { return freeze(b.pickVictim().Process) }

func freezeBackend(b *testFleet) error { return freeze(b.pickVictim().Backend) }

func killEntry(b *testFleet) error {
	b.fleet.Role(metastore.RoleEntry)[0].Process.Kill()
	return nil
}

func restartEntry(b *testFleet) error { return b.fleet.Restart(b.fleet.Role(metastore.RoleEntry)[0]) }

func freezeEntry(b *testFleet) error { return freeze(b.fleet.Role(metastore.RoleEntry)[0].Process) }

func freeze(process *testbed.Process) error {
	process.Freeze()
	time.Sleep(freezeTime)
	process.Thaw()
	return nil
}

func interruptKV(b *testFleet) error {
	if err := testbed.SetFaults(b.ctx, b.fleet.KVAdminAddress, testbed.Settings{"down": true}); err != nil {
		return err
	}
	time.Sleep(outageTime)
	return testbed.SetFaults(b.ctx, b.fleet.KVAdminAddress, testbed.Settings{"down": false})
}

func loseKVResponses(b *testFleet) error {
	return testbed.SetFaults(b.ctx, b.fleet.KVAdminAddress, testbed.Settings{"lose_answers": 12})
}

func cutAfterWork(b *testFleet) error {
	return testbed.SetFaults(b.ctx, b.pickVictim().BackendAddress, testbed.Settings{"cut_after_work": true})
}

func stopCutting(b *testFleet) error {
	return testbed.SetFaults(b.ctx, b.victim.BackendAddress, testbed.Settings{"cut_after_work": false})
}

// TestEachKeyRunsAtMostOnceUnderFaults submits each key through two entries at once, lets both callers retry, and
// injects a fault meanwhile. The history of submissions and the runs counted by the plain services must be
// linearizable for requests that run at most once.
func TestEachKeyRunsAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startFleet(c, testbed.Settings{"slots": plainSlots})
	for _, f := range faults {
		c.Run(f.name, func(c *qt.C) { b.runWithFault(c, f) })
	}
}

func (b *testFleet) runWithFault(c *qt.C, f fault) {
	b.callers = newCallers()
	injected := make(chan error, 1)
	go func() {
		time.Sleep(faultDelay)
		injected <- f.inject(b)
	}()
	var calling sync.WaitGroup
	var mu sync.Mutex
	var keys []string
	last := make(map[string][]submission)
	for range keysPerFault {
		key := newKey()
		keys = append(keys, key)
		for caller := range 2 {
			calling.Go(func() {
				end := b.callers.submitUntilDone(b.ctx, b.entries(), key, caller, maxTries)
				mu.Lock()
				defer mu.Unlock()
				last[key] = append(last[key], end)
			})
		}
		time.Sleep(keyInterval)
	}
	c.Check(<-injected, qt.IsNil)
	c.Check(f.repair(b), qt.IsNil)
	calling.Wait()
	b.checkOutcomes(c, f, keys, last)
}

func (b *testFleet) checkOutcomes(c *qt.C, f fault, keys []string, last map[string][]submission) {
	runs := b.runsOf(keys)
	tally := make(map[outcome]int)
	for _, key := range keys {
		c.Check(runs[key] <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", key, runs[key]))
		replies := make(map[plainserver.Reply]bool)
		for _, end := range last[key] {
			tally[end.outcome]++
			if end.outcome == outcomeDone {
				replies[end.reply] = true
			}
			if end.outcome != outcomeDone && !f.losesOutcomes {
				c.Check(end.outcome, qt.Equals, outcomeDone, qt.Commentf("key %s: %s %s", key, end.code, end.detail))
			}
		}
		c.Check(len(replies) <= 1, qt.IsTrue, qt.Commentf("key %s got different replies %v", key, replies))
	}
	c.Logf("%s: %d submissions, last outcomes %v", f.name, len(b.callers.history), tally)
	c.Check(linearizable(b.callers.history, runs), qt.IsTrue)
}
