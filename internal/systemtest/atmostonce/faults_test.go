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
	// keysPerFault is how many keys callers use while a fault strikes, each through two entries.
	keysPerFault = 100
	// keyInterval is the time between two new keys.
	keyInterval = 10 * time.Millisecond
	// strikeAt is when the fault strikes, after the first key.
	strikeAt = 500 * time.Millisecond
	// workMS is the time of one checkout, in milliseconds. With plainSlots at once on each replica the
	// keys keep five slots in six busy, so that a fault meets attempts at every stage.
	workMS     = 100
	plainSlots = 4
	replicas   = 3
	// freezeTime is longer than every timeout by which a silent process is given up.
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

// bed is a running fleet with callers before it.
type bed struct {
	c       *qt.C
	ctx     context.Context
	fleet   *testbed.Fleet
	callers *callers
	// victim is the agent that the present fault strikes.
	victim *testbed.Instance
}

func startBed(c *qt.C, agent testbed.Settings) *bed { return startBedOf(c, replicas, agent) }

func startBedOf(c *qt.C, plainReplicas int, agent testbed.Settings) *bed {
	agent["plain_work_ms"] = workMS
	binaries, err := testbed.Binaries()
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	fleet, err := testbed.Start(ctx, testbed.Spec{
		Binaries:      binaries,
		Folder:        c.TempDir(),
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
	return &bed{c: c, ctx: ctx, fleet: fleet, callers: newCallers()}
}

// busiest returns the agent of a service with the most runs.
func (b *bed) busiest(c *qt.C, service string) *testbed.Instance {
	var found *testbed.Instance
	most := -1
	for _, agent := range b.fleet.Service(service) {
		var state struct {
			Running int `json:"running"`
		}
		c.Check(testbed.Call(b.ctx, http.MethodGet, agent.Metrics, "/dump", nil, &state), qt.IsNil)
		if state.Running > most {
			found, most = agent, state.Running
		}
	}
	return found
}

func (b *bed) entries() []string {
	var addresses []string
	for _, entry := range b.fleet.Role(metastore.RoleEntry) {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}

// runs counts the runs of each body on all replicas, by digest of the body.
func (b *bed) runs() map[string]int {
	total := make(map[string]int)
	for _, agent := range b.fleet.Service("archive") {
		var counts map[string]int
		err := testbed.Call(b.ctx, http.MethodGet, agent.BackendAddress, "/admin/bodies", nil, &counts)
		b.c.Assert(err, qt.IsNil)
		for name, count := range counts {
			total[name] += count
		}
	}
	return total
}

func (b *bed) runsOf(keys []string) map[string]int {
	counts := b.runs()
	byKey := make(map[string]int)
	for _, key := range keys {
		byKey[key] = counts["checkout/"+plainserver.BodyDigest(body(key))]
	}
	return byKey
}

// fault is one failure while callers send keys. Its functions run on their own goroutine.
type fault struct {
	name         string
	strike, heal func(b *bed) error
	// forgets says that the fault may leave the outcome of requests unknown for ever.
	forgets bool
}

var faults = []fault{
	{name: "none", strike: nothing, heal: nothing},
	{name: "agent killed", strike: killAgent, heal: restartAgent, forgets: true},
	{name: "agent frozen past every timeout", strike: freezeAgent, heal: nothing},
	{name: "entry killed", strike: killEntry, heal: restartEntry},
	{name: "entry frozen past every timeout", strike: freezeEntry, heal: nothing},
	{name: "key-value service down", strike: outage, heal: nothing},
	{name: "answers of the key-value service lost", strike: loseAnswers, heal: nothing},
	{name: "plain service cuts connections after its work", strike: cutAfterWork, heal: answerAgain, forgets: true},
	{name: "plain service frozen", strike: freezeBackend, heal: nothing},
	{name: "agent stopped", strike: stopAgent, heal: restartAgent, forgets: true},
	{name: "agent killed in an outage", strike: both(killAgent, outage), heal: restartAgent, forgets: true},
	{name: "agent and entry killed", strike: both(killAgent, killEntry), heal: both(restartAgent, restartEntry), forgets: true},
	{name: "agent frozen, answers lost", strike: both(loseAnswers, freezeAgent), heal: nothing},
}

func nothing(*bed) error { return nil }

func both(first, second func(*bed) error) func(*bed) error {
	return func(b *bed) error { return errors.Join(first(b), second(b)) }
}

// pick makes the agent with the most runs the victim.
func (b *bed) pick() *testbed.Instance {
	b.victim = b.busiest(b.c, "archive")
	return b.victim
}

func killAgent(b *bed) error {
	b.pick().Process.Kill()
	return nil
}

func stopAgent(b *bed) error { return b.pick().Process.Stop() }

func restartAgent(b *bed) error { return b.fleet.Restart(b.victim) }

func freezeAgent(b *bed) error { return freeze(b.pick().Process) }

func freezeBackend(b *bed) error { return freeze(b.pick().Backend) }

func killEntry(b *bed) error {
	b.fleet.Role(metastore.RoleEntry)[0].Process.Kill()
	return nil
}

func restartEntry(b *bed) error { return b.fleet.Restart(b.fleet.Role(metastore.RoleEntry)[0]) }

func freezeEntry(b *bed) error { return freeze(b.fleet.Role(metastore.RoleEntry)[0].Process) }

func freeze(process *testbed.Process) error {
	process.Freeze()
	time.Sleep(freezeTime)
	process.Thaw()
	return nil
}

func outage(b *bed) error {
	if err := testbed.SetFaults(b.ctx, b.fleet.KVAdmin, testbed.Settings{"down": true}); err != nil {
		return err
	}
	time.Sleep(outageTime)
	return testbed.SetFaults(b.ctx, b.fleet.KVAdmin, testbed.Settings{"down": false})
}

func loseAnswers(b *bed) error {
	return testbed.SetFaults(b.ctx, b.fleet.KVAdmin, testbed.Settings{"lose_answers": 12})
}

func cutAfterWork(b *bed) error {
	return testbed.SetFaults(b.ctx, b.pick().BackendAddress, testbed.Settings{"cut_after_work": true})
}

func answerAgain(b *bed) error {
	return testbed.SetFaults(b.ctx, b.victim.BackendAddress, testbed.Settings{"cut_after_work": false})
}

// TestEachKeyRunsAtMostOnceUnderFaults sends each key through two entries at once, lets both callers
// insist, and strikes in the midst of it. The history of what callers saw and the runs that the
// plain services counted must be those of a request that runs at most once.
func TestEachKeyRunsAtMostOnceUnderFaults(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startBed(c, testbed.Settings{"slots": plainSlots})
	for _, f := range faults {
		c.Run(f.name, func(c *qt.C) { b.under(c, f) })
	}
}

func (b *bed) under(c *qt.C, f fault) {
	b.callers = newCallers()
	struck := make(chan error, 1)
	go func() {
		time.Sleep(strikeAt)
		struck <- f.strike(b)
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
				end := b.callers.insist(b.ctx, b.entries(), key, caller, maxTries)
				mu.Lock()
				defer mu.Unlock()
				last[key] = append(last[key], end)
			})
		}
		time.Sleep(keyInterval)
	}
	c.Check(<-struck, qt.IsNil)
	c.Check(f.heal(b), qt.IsNil)
	calling.Wait()
	b.check(c, f, keys, last)
}

func (b *bed) check(c *qt.C, f fault, keys []string, last map[string][]submission) {
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
			if end.outcome != outcomeDone && !f.forgets {
				c.Check(end.outcome, qt.Equals, outcomeDone, qt.Commentf("key %s: %s %s", key, end.code, end.detail))
			}
		}
		c.Check(len(replies) <= 1, qt.IsTrue, qt.Commentf("key %s has answers %v", key, replies))
	}
	c.Logf("%s: %d submissions, last outcomes %v", f.name, len(b.callers.history), tally)
	c.Check(linearizable(b.callers.history, runs), qt.IsTrue)
}
