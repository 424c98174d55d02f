package atmostonce

import (
	"encoding/binary"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"balsamyoke.example/balsamyoke/internal/testbed"
)

// keyCreatedAt returns a key that was created at a time.
func keyCreatedAt(created time.Time) string {
	id := uuid.Must(uuid.NewV7())
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16|uint64(id[6])<<8|uint64(id[7]))
	return id.String()
}

// TestKeys sends keys to a fleet whose only failures are those of the key-value service.
func TestKeys(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	b := startFleetWith(c, 1, testbed.Settings{"slots": plainSlots})
	for _, entry := range b.entries() {
		warm := b.callers.submitUntilDone(b.ctx, []string{entry}, newKey(), 0, 5*maxTries)
		c.Assert(warm.outcome, qt.Equals, outcomeDone, qt.Commentf("%+v", warm))
	}
	c.Run("keys that cannot be checked never run", b.sendBadKeys)
	c.Run("one key from many callers runs once", b.sendOneKeyManyTimes)
	c.Run("a refusal during an outage does not hide a run", b.sendDuringOutage)
	c.Run("a key whose claim was not used runs on the only replica", b.sendAfterUnusedClaim)
}

// sendAfterUnusedClaim makes the key-value service lose every response to a claim, so that the entry abandons a claim
// that is stored, and sends the key again.
func (b *testFleet) sendAfterUnusedClaim(c *qt.C) {
	b.callers = newCallers()
	key := newKey()
	c.Assert(testbed.SetFaults(b.ctx, b.fleet.KVAdminAddress, testbed.Settings{"lose_answers": 3}), qt.IsNil)
	first := b.callers.submit(b.ctx, b.entries()[0], key, 0)
	c.Assert(first.code, qt.Equals, "idempotency_unavailable", qt.Commentf("%+v", first))
	c.Assert(testbed.SetFaults(b.ctx, b.fleet.KVAdminAddress, testbed.Settings{"lose_answers": 0}), qt.IsNil)
	again := b.callers.submit(b.ctx, b.entries()[1], key, 0)
	c.Assert(again.outcome, qt.Equals, outcomeDone, qt.Commentf("%+v", again))
	c.Assert(linearizable(b.callers.history, b.runsOf([]string{key})), qt.IsTrue)
}

func (b *testFleet) sendBadKeys(c *qt.C) {
	for _, test := range []struct {
		name, key, code string
		outcome         outcome
	}{
		{"not a UUID", "booking-7", "bad_idempotency_key", outcomeNotRun},
		{"random UUID", uuid.New().String(), "bad_idempotency_key", outcomeNotRun},
		{"from the future", keyCreatedAt(time.Now().Add(time.Hour)), "bad_idempotency_key", outcomeNotRun},
		{"expired", keyCreatedAt(time.Now().Add(-25 * time.Hour)), "expired_idempotency_key", outcomeUnknown},
	} {
		c.Run(test.name, func(c *qt.C) {
			got := b.callers.submit(b.ctx, b.entries()[0], test.key, 0)
			c.Assert(got.code, qt.Equals, test.code, qt.Commentf("%+v", got))
			c.Assert(got.outcome, qt.Equals, test.outcome)
			c.Assert(b.runsOf([]string{test.key})[test.key], qt.Equals, 0)
		})
	}
}

// sendOneKeyManyTimes lets many callers submit one key through both entries at once.
func (b *testFleet) sendOneKeyManyTimes(c *qt.C) {
	const callers = 20
	key := newKey()
	ends := make([]submission, callers)
	var calling sync.WaitGroup
	for caller := range callers {
		calling.Go(func() { ends[caller] = b.callers.submitUntilDone(b.ctx, b.entries(), key, caller, maxTries) })
	}
	calling.Wait()
	for _, end := range ends {
		c.Assert(end.outcome, qt.Equals, outcomeDone, qt.Commentf("%+v", end))
		c.Assert(end.reply, qt.Equals, ends[0].reply)
	}
	c.Assert(b.runsOf([]string{key})[key], qt.Equals, 1)
}

// sendDuringOutage resends a key whose request has run, while the key-value service is down. The response must not
// report the request as not run.
func (b *testFleet) sendDuringOutage(c *qt.C) {
	b.callers = newCallers()
	key := newKey()
	c.Assert(b.callers.submitUntilDone(b.ctx, b.entries(), key, 0, maxTries).outcome, qt.Equals, outcomeDone)
	c.Assert(testbed.SetFaults(b.ctx, b.fleet.KVAdminAddress, testbed.Settings{"down": true}), qt.IsNil)
	during := b.callers.submit(b.ctx, b.entries()[1], key, 1)
	c.Assert(during.code, qt.Equals, "idempotency_unavailable", qt.Commentf("%+v", during))
	c.Assert(testbed.SetFaults(b.ctx, b.fleet.KVAdminAddress, testbed.Settings{"down": false}), qt.IsNil)
	c.Assert(b.callers.submitUntilDone(b.ctx, b.entries(), key, 1, maxTries).outcome, qt.Equals, outcomeDone)
	c.Assert(linearizable(b.callers.history, b.runsOf([]string{key})), qt.IsTrue)
}
