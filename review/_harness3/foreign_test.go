package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

const (
	// foreignAfter is how long after the removal another writer writes the registration again.
	foreignAfter = time.Second
	// servesOnLong is how much longer than drainTime the replica serves in caseForeign, servesOnLonger in caseLate.
	servesOnLong   = 2 * time.Second
	servesOnLonger = 2400 * time.Millisecond
	// contactTime is contact_ms, for which the store must have been without impairment.
	contactTime = 3 * time.Second
)

// caseForeign writes the registration of a replica that has left once more, with fields missing.
func caseForeign(d *deployment) (int, error) {
	return d.runReturningRegistration("another writer", 16*time.Millisecond, servesOnLong, drainTime, func(r replicaSettings, _ []byte) []byte {
		// Without version, cold_remaining_ms, sequence and born.
		return fmt.Appendf(nil, `{"service":"archive","address":%q,"zone":%q,"slots":6,"state":"ready"}`, r.Address, r.Zone)
	})
}

// caseLate carries out an earlier status report of a replica after it has left: one that got no answer from the store when it was
// sent, before the latest one that the store had taken. Only requests later than contact_ms after that count: the store may count as
// impaired until then.
func caseLate(d *deployment) (int, error) {
	return d.runReturningRegistration("the store carries out an earlier report late and", 10*time.Millisecond, servesOnLonger, foreignAfter+contactTime, func(_ replicaSettings, last []byte) []byte {
		var entry map[string]any
		decoder := json.NewDecoder(bytes.NewReader(last))
		decoder.UseNumber()
		if err := decoder.Decode(&entry); err != nil {
			return nil
		}
		sequence, _ := entry["sequence"].(json.Number).Int64()
		entry["sequence"] = sequence - 1
		text, _ := json.Marshal(entry)
		return text
	})
}

// runReturningRegistration lets one replica leave that never reports "draining". Its registration is removed, and foreignAfter later
// there is an entry under its key again, which entry makes of the replica and its last registration. The replica serves for servesOn
// longer than drain_ms. Checkouts are sent at the interval. The rule is broken if one reaches the replica later than lateAfter, which is
// drain_ms or more, after the store's acknowledgement of the removal.
func (d *deployment) runReturningRegistration(writer string, interval, servesOn, lateAfter time.Duration, entry func(r replicaSettings, last []byte) []byte) (int, error) {
	d.store.put("op/config", []byte(plainConfiguration))
	for i := range 4 {
		s := replicaSettings{ID: fmt.Sprint("archive-", i), Service: "archive", Zone: zoneOf(i), Software: "v1", WorkMS: 60, Slots: 6}
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
	load := d.startCheckouts(interval)
	time.Sleep(6 * time.Second)
	const id = "archive-3"
	d.silenceReplica(id)
	last := d.store.value("servers/" + id)
	removedAt := d.removeRegistration(id)
	time.Sleep(foreignAfter)
	if d.trouble {
		text := entry(d.replicas[id].replicaSettings, last)
		d.store.put("servers/"+id, text)
		d.logf("%s writes servers/%s: %s", writer, id, text)
	}
	time.Sleep(time.Until(removedAt.Add(drainTime + servesOn)))
	d.killReplica(id)
	time.Sleep(3 * time.Second)
	load.stop()
	return d.judgeDrain(load, map[string]time.Time{id: removedAt}, lateAfter)
}
