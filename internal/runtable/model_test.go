package runtable

import (
	"encoding/binary"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const testIncarnation = 7

// TestMain fixes the seed and the length of the property tests unless the command line sets them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "100",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var testStart = time.UnixMilli(1_800_000_000_000)

// Returns an attempt id that was created at a time and differs from others by serial.
func idAt(created time.Time, serial uint32) attempt.ID {
	var id attempt.ID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16|0x7000)
	id[8] = 0x80
	binary.BigEndian.PutUint32(id[12:], serial)
	return id
}

func testSettings() Settings {
	return Settings{
		Incarnation:      testIncarnation,
		MaxAttempts:      5,
		RememberFor:      20 * time.Second,
		MaxRecordedBytes: 16,
		RecordFor:        5 * time.Second,
		MaxClockSkew:     2 * time.Second,
	}
}

// fate is what the model knows about one attempt from what the table has said.
type fate struct {
	admissions int
	starts     int
	unsent     bool
	ended      bool
	saidNotRun bool
}

func (f *fate) executed() bool { return f.starts > 0 && !f.unsent }

// tableModel drives a table with frames in any order, any number of copies and any delay.
type tableModel struct {
	table *Table
	now   time.Time
	// newest is the latest time of creation of all attempts.
	newest time.Time
	ids    []attempt.ID
	fates  map[attempt.ID]*fate
	queue  []attempt.ID
}

func (m *tableModel) pick(t *rapid.T) attempt.ID {
	if len(m.ids) == 0 {
		t.Skip("no attempt yet")
	}
	return m.ids[rapid.IntRange(0, len(m.ids)-1).Draw(t, "attempt")]
}

// Creates an attempt somewhere around now without showing it to the table.
func (m *tableModel) create(t *rapid.T) attempt.ID {
	age := time.Duration(rapid.IntRange(-3000, 10000).Draw(t, "age ms")) * time.Millisecond
	return m.add(m.now.Add(-age))
}

func (m *tableModel) add(created time.Time) attempt.ID {
	id := idAt(created, uint32(len(m.ids)))
	m.ids = append(m.ids, id)
	m.fates[id] = &fate{}
	m.newest = latest(m.newest, created)
	return id
}

// Checks one statement of the table about an attempt against what really happened.
func (m *tableModel) said(t *rapid.T, id attempt.ID, outcome wire.Outcome) {
	f := m.fates[id]
	switch outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		if f.executed() {
			t.Fatalf("attempt %s was called NOT_RUN after it was executed", id)
		}
		f.saidNotRun = true
	case wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_FAILED:
		if !f.ended {
			t.Fatalf("attempt %s was called %s before its end", id, outcome)
		}
	case wire.Outcome_OUTCOME_RUNNING:
		if f.saidNotRun || f.ended {
			t.Fatalf("attempt %s was called RUNNING though it is over", id)
		}
	case wire.Outcome_OUTCOME_UNKNOWN:
	default:
		t.Fatalf("attempt %s got outcome %s", id, outcome)
	}
}

func (m *tableModel) dispatch(t *rapid.T, id attempt.ID) Admission {
	admission := m.table.Admit(m.now, Dispatch{Attempt: id, Incarnation: testIncarnation, Record: true})
	m.said(t, id, admission.Outcome)
	if admission.Verdict == VerdictNew {
		m.queue = append(m.queue, id)
		m.fates[id].admissions++
	}
	if m.fates[id].admissions > 1 {
		t.Fatalf("attempt %s was admitted twice", id)
	}
	return admission
}

func (m *tableModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"create": func(t *rapid.T) { m.create(t) },
		"dispatch newest": func(t *rapid.T) {
			created := latest(m.newest, m.now).Add(time.Millisecond)
			if created.Sub(m.now) > testSettings().MaxClockSkew {
				t.Skip("clock skew")
			}
			id := m.add(created)
			full := m.table.Counts().Attempts >= testSettings().MaxAttempts
			verdict := m.dispatch(t, id).Verdict
			if verdict != VerdictNew && !(full && verdict == VerdictFull) {
				t.Fatalf("the newest attempt got verdict %d with %+v", verdict, m.table.Counts())
			}
		},
		"dispatch": func(t *rapid.T) { m.dispatch(t, m.pick(t)) },
		"dispatch to another incarnation": func(t *rapid.T) {
			id := m.pick(t)
			admission := m.table.Admit(m.now, Dispatch{Attempt: id, Incarnation: testIncarnation - 1})
			if admission.Verdict != VerdictWrongIncarnation || admission.Outcome != wire.Outcome_OUTCOME_UNKNOWN {
				t.Fatalf("another incarnation's dispatch got %+v", admission)
			}
		},
		"ask another incarnation": func(t *rapid.T) {
			answer := m.table.Ask(m.now, Question{Attempt: m.pick(t), Incarnation: testIncarnation - 1})
			if answer.Outcome != wire.Outcome_OUTCOME_UNKNOWN {
				t.Fatalf("another incarnation's attempt was called %s", answer.Outcome)
			}
		},
		"ask": func(t *rapid.T) {
			id := m.pick(t)
			m.said(t, id, m.table.Ask(m.now, Question{Attempt: id, Incarnation: testIncarnation}).Outcome)
		},
		"refuse": func(t *rapid.T) {
			id := m.pick(t)
			m.said(t, id, m.table.Refuse(m.now, id, testIncarnation))
		},
		"cancel": func(t *rapid.T) {
			id := m.pick(t)
			m.said(t, id, m.table.Cancel(m.now, id, testIncarnation).Outcome)
		},
		"start": func(t *rapid.T) {
			if len(m.queue) == 0 {
				t.Skip("nothing is queued")
			}
			id := m.queue[0]
			m.queue = m.queue[1:]
			m.start(t, id)
		},
		"start anything": func(t *rapid.T) { m.start(t, m.pick(t)) },
		"unsent": func(t *rapid.T) {
			id := m.pick(t)
			if m.table.Unsent(m.now, id) == nil {
				m.fates[id].unsent = true
			}
		},
		"append": func(t *rapid.T) {
			id := m.pick(t)
			sequence := m.table.Ask(m.now, Question{Attempt: id, Incarnation: testIncarnation}).Chunks
			_ = m.table.Append(m.now, id, sequence, []byte{byte(sequence)})
		},
		"finish": func(t *rapid.T) {
			id := m.pick(t)
			outcome := rapid.SampledFrom([]wire.Outcome{
				wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_FAILED,
			}).Draw(t, "outcome")
			if m.table.Finish(m.now, id, &wire.Done{Outcome: outcome}) == nil {
				m.fates[id].ended = true
			}
		},
		"wait": func(t *rapid.T) {
			wait := rapid.IntRange(0, 25).Draw(t, "wait s")
			m.now = m.now.Add(time.Duration(wait) * time.Second)
		},
		"": func(t *rapid.T) { m.checkBounds(t) },
	}
}

func (m *tableModel) start(t *rapid.T, id attempt.ID) {
	if m.table.Start(m.now, id) != nil {
		return
	}
	f := m.fates[id]
	f.starts++
	if f.starts > 1 {
		t.Fatalf("attempt %s started %d times", id, f.starts)
	}
	if f.saidNotRun {
		t.Fatalf("attempt %s started after it was called NOT_RUN", id)
	}
}

func (m *tableModel) checkBounds(t *rapid.T) {
	counts := m.table.Counts()
	settings := testSettings()
	if counts.Attempts > settings.MaxAttempts || counts.RecordedBytes > settings.MaxRecordedBytes {
		t.Fatalf("the table has outgrown its bounds: %+v", counts)
	}
	if counts.RecordedBytes < 0 || counts.Live < 0 {
		t.Fatalf("the table counts below zero: %+v", counts)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func TestTableKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &tableModel{
			table: New(testSettings()),
			now:   testStart,
			fates: make(map[attempt.ID]*fate),
		}
		t.Repeat(model.actions())
	})
}
