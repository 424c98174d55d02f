package memkv

import (
	"maps"
	"slices"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// Copy is the content of a Store at one revision.
type Copy struct {
	records  map[string]metastore.Record
	era      metastore.Era
	revision metastore.Revision
	log      []metastore.Event
}

// Copy returns the current content, without the leases.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{records: maps.Clone(s.records), era: s.era, revision: s.revision, log: slices.Clone(s.log)}
}

// Position returns the position of the copy in the era in which it was made.
func (c *Copy) Position() metastore.Position {
	return metastore.Position{Era: c.era, Revision: c.revision}
}

// Era returns the current era.
func (s *Store) Era() metastore.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Restore replaces the content by a copy and starts the next era, as a service does that comes back from a copy
// after a failure. What was written since the copy is lost, all leases have ended with their keys, and the revisions
// after that of the copy are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	clear(s.leases)
	s.era++
	s.revision, s.compacted, s.lastLease = c.revision, 0, 0
	s.records = make(map[string]metastore.Record, len(c.records))
	for key, record := range c.records {
		if record.Lease.IsZero() {
			record.Era = s.era
			s.records[key] = record
		}
	}
	s.log = slices.Clone(c.log)
	for i := range s.log {
		s.log[i].Record.Era = s.era
	}
	// Waiting calls and watches end: their revisions may not exist any more.
	if !s.faults.Down {
		close(s.down)
		s.down = make(chan struct{})
	}
}
