package eventstream

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"
)

func numbered(ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

// admitRun passes the events of one run and its end to s.
func admitRun(s *Sequence, events string) (string, error) {
	s.StartRun()
	next, err := s.Admit([]byte(events))
	if err == nil {
		err = s.End()
	}
	return string(next), err
}

func TestNextRunGoesOnAfterTheLastEvent(t *testing.T) {
	for _, test := range []struct {
		name, first, second string
		// want is what the caller gets of the second run.
		want string
		err  *errorx.Type
	}{
		{name: "the rest", first: numbered(1, 2), second: numbered(3, 4), want: numbered(3, 4)},
		{name: "ids from zero", first: numbered(0, 1), second: numbered(2), want: numbered(2)},
		{name: "nothing more", first: numbered(1, 2)},
		{name: "no event in the first run", second: numbered(1, 2), want: numbered(1, 2)},
		{name: "the last event once more", first: numbered(1, 2), second: numbered(2, 3), want: numbered(3)},
		{name: "all events once more", first: numbered(1, 2), second: numbered(1, 2, 3), want: numbered(3)},
		{name: "all events once more, no further one", first: numbered(1, 2), second: numbered(1, 2)},
		{name: "a shorter stream", first: numbered(1, 2), second: numbered(1), err: ErrNotNext},
		{name: "a missing event", first: numbered(1, 2), second: numbered(4, 5), err: ErrNotNext},
		{name: "a missing event after repeated ones", first: numbered(1, 2), second: numbered(1, 2, 4), err: ErrNotNext},
		{name: "ids by tokens", first: numbered(6, 12), second: numbered(18), want: numbered(18)},
		{name: "ids by tokens, repeated", first: numbered(6, 12), second: numbered(6, 12, 18), want: numbered(18)},
		{name: "no id", first: numbered(1, 2), second: "data: token 3\n\n", err: ErrNotNext},
		{name: "an error event", first: numbered(1, 2), second: "event: error\ndata: out of memory\n\n", err: ErrNotNext},
		{name: "other ids", first: numbered(1, 2), second: "id: 3a\ndata: token 3\n\n", err: ErrNotNext},
		{name: "a byte order mark", first: numbered(1, 2), second: "\ufeff" + numbered(3), err: ErrNotNext},
		{name: "a head", first: numbered(1, 2), second: "HTTP/1.1 500 Internal Server Error\r\nServer: x\r\n\r\n" + numbered(3), err: ErrNoEvent},
		{name: "a head after an event", first: numbered(1, 2), second: numbered(3) + "HTTP/1.1 500 Internal Server Error\r\nServer: x\r\n\r\n", want: numbered(3), err: ErrNoEvent},
		{name: "an error event after an event", first: numbered(1, 2), second: numbered(3) + "event: error\ndata: x\n\n", want: numbered(3) + "event: error\ndata: x\n\n"},
		{name: "a comment first", first: numbered(1, 2), second: ": hello\n\n" + numbered(3), want: ": hello\n\n" + numbered(3)},
		{name: "a further field", first: numbered(1, 2), second: "weights: 4\nid: 3\ndata: token 3\n\n", want: "weights: 4\nid: 3\ndata: token 3\n\n"},
		{name: "CR LF", first: numbered(1, 2), second: "id: 3\r\ndata: a\r\n\r\nid:4\r\ndata: b\r\n\r\n", want: "id: 3\r\ndata: a\r\n\r\nid:4\r\ndata: b\r\n\r\n"},
		{name: "CR", first: numbered(1, 2), second: "id: 2\rdata: a\r\rid: 3\rdata: b\r\r", want: "id: 3\rdata: b\r\r"},
		{name: "empty lines", first: numbered(1, 2) + "\n", second: "\n\n" + numbered(3) + "\n", want: "\n\n" + numbered(3) + "\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var s Sequence
			got, err := admitRun(&s, test.first)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, test.first)
			c.Assert(s.Resumable(), qt.IsTrue)
			got, err = admitRun(&s, test.second)
			c.Assert(got, qt.Equals, test.want)
			if test.err == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(errorx.IsOfType(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func TestRunAdvancesWithEventsThatTheCallerLacks(t *testing.T) {
	for _, test := range []struct {
		lastEventID, events string
		want                bool
	}{
		{"", "", false},
		{"", ": wait\n\nretry: 1000\n\n", false},
		{"", "data: a\n\n", true},
		{"", "id: a\ndata: a\n\n", true},
		{"", numbered(1), true},
		{"2", numbered(1, 2), false},
		{"2", numbered(2, 3), true},
		{"b", "id: c\ndata: c\n\n", true},
	} {
		c := qt.New(t)
		s := NewSequence(test.lastEventID)
		_, err := admitRun(&s, test.events)
		c.Assert(err, qt.IsNil)
		c.Assert(s.Advanced(), qt.Equals, test.want, qt.Commentf("%q after %q", test.events, test.lastEventID))
		s.StartRun()
		c.Assert(s.Advanced(), qt.IsFalse)
	}
}

// What one run repeated before it broke off doesn't count against the next one.
func TestEachRunIsJudgedByItself(t *testing.T) {
	c := qt.New(t)
	s := NewSequence("2")
	s.StartRun()
	next, err := s.Admit([]byte(numbered(1)))
	c.Assert(err, qt.IsNil)
	c.Assert(next, qt.HasLen, 0)
	_, err = admitRun(&s, "")
	c.Assert(err, qt.IsNil)
}

// The events of a stream whose ids don't tell where to go on are forwarded as they are, but by one server only.
func TestStreamWithoutIncreasingIDsIsNotResumable(t *testing.T) {
	for name, events := range map[string]string{
		"no ids":         "data: a\n\ndata: b\n\n",
		"one without id": numbered(1, 2) + "data: c\n\n",
		"words":          "id: a\ndata: a\n\n",
		"empty":          "id\ndata: a\n\n",
		"negative":       "id: -1\ndata: a\n\n",
		"too large":      "id: 99999999999999999999\ndata: a\n\n",
		"repeated":       numbered(1, 2, 2),
		"decreasing":     numbered(1, 2, 1),
		"back and on":    numbered(1, 2, 1, 2, 3),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s Sequence
			got, err := admitRun(&s, events)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, events)
			c.Assert(s.Resumable(), qt.IsFalse)
		})
	}
}

// Text without data is no event of the stream, so that nothing is lost or repeated without it.
func TestStreamWithoutEventsIsResumable(t *testing.T) {
	for _, text := range []string{"", "\n\n", ": wait\n\n", "retry: 1000\n\n", "event: token\n\n"} {
		c := qt.New(t)
		var s Sequence
		got, err := admitRun(&s, text)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, text)
		c.Assert(s.Resumable(), qt.IsTrue)
		c.Assert(s.LastEventID(), qt.Equals, "")
	}
}

// Of a stream that its caller takes up itself, it isn't known whether ids count its events until two of them have come.
func TestCallerTakesUpStream(t *testing.T) {
	for _, test := range []struct{ name, lastEventID, events, want string }{
		{"the rest", "2", numbered(3, 4), numbered(3, 4)},
		{"from its start", "2", numbered(1, 2, 3), numbered(3)},
		{"larger steps", "12", numbered(18, 24), numbered(18, 24)},
		{"words", "b", "id: c\ndata: c\n\n", "id: c\ndata: c\n\n"},
		{"nothing more", "2", "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := NewSequence(test.lastEventID)
			c.Assert(s.LastEventID(), qt.Equals, test.lastEventID)
			got, err := admitRun(&s, test.events)
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.Equals, test.want)
		})
	}
	c := qt.New(t)
	s := NewSequence("2")
	_, err := admitRun(&s, numbered(3, 4))
	c.Assert(err, qt.IsNil)
	_, err = admitRun(&s, numbered(6))
	c.Assert(errorx.IsOfType(err, ErrNotNext), qt.IsTrue)
}

// Whatever ranges of a stream several servers send, in whatever pieces, its caller gets a prefix of it, and all of it if the
// last one ended it.
func TestCallerGetsEachEventOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 12).Draw(t, "total")
		step := rapid.SampledFrom([]int{1, 1, 3}).Draw(t, "step")
		var s Sequence
		var got strings.Builder
		ended := false
		for range rapid.IntRange(1, 5).Draw(t, "runs") {
			delivered := strings.Count(got.String(), "data")
			first := 1 + delivered
			if step == 1 && delivered > 0 {
				first = rapid.IntRange(1, total).Draw(t, "first")
			} else if delivered > 0 {
				first = rapid.IntRange(1, 1+delivered).Draw(t, "first")
			}
			// A server that goes on too late and has nothing left to send can't be told from one that is right.
			atLeast := first - 1
			if first > 1+delivered {
				atLeast = first
			}
			last := rapid.IntRange(atLeast, total).Draw(t, "last")
			s.StartRun()
			var err error
			for id := first; id <= last && err == nil; {
				count := rapid.IntRange(1, last-id+1).Draw(t, "piece")
				var piece string
				for range count {
					piece += numbered(id * step)
					id++
				}
				var next []byte
				next, err = s.Admit([]byte(piece))
				got.Write(next)
			}
			if ended = err == nil && s.End() == nil && last == total; ended {
				break
			}
		}
		var whole []int
		for id := 1; id <= total; id++ {
			whole = append(whole, id*step)
		}
		want := numbered(whole...)
		if !strings.HasPrefix(want, got.String()) || ended && want != got.String() {
			t.Fatalf("caller got %q, ended %t", got.String(), ended)
		}
	})
}
