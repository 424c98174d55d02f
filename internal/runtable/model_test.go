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

// idAt returns an attempt id with the given time of creation; serial makes it unique.
func idAt(created time.Time, serial uint32) attempt.ID {
	var id attempt.ID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16|0x7000)
	id[8] = 0x80
	binary.BigEndian.PutUint32(id[12:], serial)
	return id
}

func testSettings() Settings {
	return Settings{
		Incarnation:        testIncarnation,
		MaxAttempts:        5,
		Retention:          20 * time.Second,
		MaxRecordedBytes:   16,
		RecordingRetention: 5 * time.Second,
		MaxClockSkew:       2 * time.Second,
	}
}

// attemptHistory is the model's record of one attempt: what the table did with it and reported about it.
type attemptHistory struct {
	admissions     int
	starts         int
	unsent         bool
	ended          bool
	reportedNotRun bool
}

func (f *attemptHistory) executed() bool { return f.starts > 0 && !f.unsent }

// tableModel drives a table with frames in any order, any number of copies and any delay.
type tableModel struct {
	table *Table
	now   time.Time
	// newest is the latest time of creation of all attempts.
	newest    time.Time
	ids       []attempt.ID
	histories map[attempt.ID]*attemptHistory
	queue     []attempt.ID
}

func (m *tableModel) pick(t *rapid.T) attempt.ID {
	if len(m.ids) == 0 {
		t.Skip("no attempt yet")
	}
	return m.ids[rapid.IntRange(0, len(m.ids)-1).Draw(t, "attempt")]
}

// create creates an attempt with a time around now without passing it to the table.
func (m *tableModel) create(t *rapid.T) attempt.ID {
	age := time.Duration(rapid.IntRange(-3000, 10000).Draw(t, "age ms")) * time.Millisecond
	return m.add(m.now.Add(-age))
}

func (m *tableModel) add(created time.Time) attempt.ID {
	id := idAt(created, uint32(len(m.ids)))
	m.ids = append(m.ids, id)
	m.histories[id] = &attemptHistory{}
	m.newest = latest(m.newest, created)
	return id
}

// checkOutcome checks an outcome that the table reported for an attempt against what really happened.
func (m *tableModel) checkOutcome(t *rapid.T, id attempt.ID, outcome wire.Outcome) {
	f := m.histories[id]
	switch outcome {
	case wire.Outcome_OUTCOME_NOT_RUN:
		if f.executed() {
			t.Fatalf("attempt %s was reported as NOT_RUN after it was executed", id)
		}
		f.reportedNotRun = true
	case wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_FAILED:
		if !f.ended {
			t.Fatalf("attempt %s was reported as %s before its end", id, outcome)
		}
	case wire.Outcome_OUTCOME_RUNNING:
		if f.reportedNotRun || f.ended {
			t.Fatalf("attempt %s was reported as RUNNING after its end or after NOT_RUN", id)
		}
	case wire.Outcome_OUTCOME_UNKNOWN:
	default:
		t.Fatalf("attempt %s got outcome %s", id, outcome)
	}
}

func (m *tableModel) dispatch(t *rapid.T, id attempt.ID) Admission {
	admission := m.table.Admit(m.now, Dispatch{Attempt: id, Incarnation: testIncarnation, Record: true})
	m.checkOutcome(t, id, admission.Outcome)
	if admission.Verdict == VerdictNew {
		m.queue = append(m.queue, id)
		m.histories[id].admissions++
	}
	if m.histories[id].admissions > 1 {
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
			answer := m.table.Ask(m.now, Query{Attempt: m.pick(t), Incarnation: testIncarnation - 1})
			if answer.Outcome != wire.Outcome_OUTCOME_UNKNOWN {
				t.Fatalf("another incarnation's attempt was reported as %s", answer.Outcome)
			}
		},
		"ask": func(t *rapid.T) {
			id := m.pick(t)
			m.checkOutcome(t, id, m.table.Ask(m.now, Query{Attempt: id, Incarnation: testIncarnation}).Outcome)
		},
		"refuse": func(t *rapid.T) {
			id := m.pick(t)
			m.checkOutcome(t, id, m.table.Refuse(m.now, id, testIncarnation))
		},
		"cancel": func(t *rapid.T) {
			id := m.pick(t)
			m.checkOutcome(t, id, m.table.Cancel(m.now, id, testIncarnation).Outcome)
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
				m.histories[id].unsent = true
			}
		},
		"append": func(t *rapid.T) {
			id := m.pick(t)
			sequence := m.table.Ask(m.now, Query{Attempt: id, Incarnation: testIncarnation}).Chunks
			_ = m.table.Append(m.now, id, sequence, []byte{byte(sequence)})
		},
		"finish": func(t *rapid.T) {
			id := m.pick(t)
			outcome := rapid.SampledFrom([]wire.Outcome{
				wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_FAILED,
			}).Draw(t, "outcome")
			if m.table.Finish(m.now, id, &wire.Done{Outcome: outcome}) == nil {
				m.histories[id].ended = true
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
	f := m.histories[id]
	f.starts++
	if f.starts > 1 {
		t.Fatalf("attempt %s started %d times", id, f.starts)
	}
	if f.reportedNotRun {
		t.Fatalf("attempt %s started after it was reported as NOT_RUN", id)
	}
}

func (m *tableModel) checkBounds(t *rapid.T) {
	counts := m.table.Counts()
	settings := testSettings()
	if counts.Attempts > settings.MaxAttempts || counts.RecordedBytes > settings.MaxRecordedBytes {
		t.Fatalf("the table exceeds its bounds: %+v", counts)
	}
	if counts.RecordedBytes < 0 || counts.Live < 0 {
		t.Fatalf("a count of the table is below zero: %+v", counts)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Dispatches, queries and cancellations in any order, repeated and late, must not make an attempt run twice or run
// after it was reported as NOT_RUN, and the table must stay within its bounds.
func TestTableKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &tableModel{
			table:     New(testSettings()),
			now:       testStart,
			histories: make(map[attempt.ID]*attemptHistory),
		}
		t.Repeat(model.actions())
	})
}
