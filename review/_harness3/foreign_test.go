package harness

import (
	"fmt"
	"time"
)

const (
	// foreignAfter is how long after the removal another writer writes the registration again.
	foreignAfter = time.Second
	// servesOnLong is how much longer than drainTime the replica serves in caseForeign.
	servesOnLong = 2 * time.Second
)

// caseForeign lets one replica leave that never reports "draining". One second after its registration was removed another writer
// writes that key, with fields missing. The rule is broken if a request reaches the replica later than drain_ms after the store's
// acknowledgement of the removal.
func caseForeign(d *deployment) (int, error) {
	d.store.put("op/config", []byte(plainConfiguration))
	for i := range 4 {
		s := replicaSettings{ID: fmt.Sprint("archive-", i), Service: "archive", Zone: zoneOf(i), Software: "v1", WorkMS: 60}
		if err := d.startReplica(s); err != nil {
			return couldNotRun, err
		}
	}
	if err := d.startGateways("erie", "huron"); err != nil {
		return couldNotRun, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return couldNotRun, err
	}
	load := d.startCheckouts(16 * time.Millisecond)
	time.Sleep(6 * time.Second)
	const id = "archive-3"
	d.silenceReplica(id)
	removedAt := d.removeRegistration(id)
	time.Sleep(foreignAfter)
	if d.trouble {
		// Without version, cold_remaining_ms, sequence and born.
		entry := fmt.Sprintf(`{"service":"archive","address":%q,"zone":%q,"slots":16,"state":"ready"}`, d.replicas[id].Address, d.replicas[id].Zone)
		d.store.put("servers/"+id, []byte(entry))
		d.logf("another writer writes servers/%s: %s", id, entry)
	}
	time.Sleep(time.Until(removedAt.Add(drainTime + servesOnLong)))
	d.killReplica(id)
	time.Sleep(3 * time.Second)
	load.stop()
	return d.judgeDrain(load, map[string]time.Time{id: removedAt})
}
