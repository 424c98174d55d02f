// Package eventstream decides which server-sent events a caller gets when several servers contribute to its stream.
//
// The ids of a stream that can be continued are increasing integers. A stream with an event that has data but no such id can't:
// where its next server should go on isn't known.
package eventstream

import (
	"bytes"
	"strconv"
)

// numbering is what the ids that a caller has received show about the stream's ids.
type numbering int

const (
	unknown numbering = iota
	// counted ids go up by one.
	counted
	// sparse ids increase, by more than one at times.
	sparse
	// unusable ids don't increase, aren't integers or are missing.
	unusable
)

// Sequence is the state of one stream to one caller. Each server that sends events of it is a run. The zero value is a stream
// of which the caller has no event.
type Sequence struct {
	// last is the id of the last event that the caller has, lastText how it was written. They are valid when begun is set.
	last     uint64
	lastText string
	begun    bool
	ids      numbering
	// joining is set until a run that goes on after another one brings an event that the caller lacks, advanced from then on in
	// any run.
	joining  bool
	advanced bool
	// repeated is the last id that the run sent once more; it is valid when hasRepeated is set.
	repeated    uint64
	hasRepeated bool
}

// NewSequence returns the state of a stream that its caller takes up after the event with the given id, empty for a new stream.
func NewSequence(lastEventID string) Sequence {
	s := Sequence{lastText: lastEventID}
	if lastEventID == "" {
		return s
	}
	var err error
	s.begun = true
	if s.last, err = strconv.ParseUint(lastEventID, 10, 64); err != nil {
		s.ids = unusable
	}
	return s
}

// StartRun marks the start of another server's events.
func (s *Sequence) StartRun() {
	s.joining = s.begun && s.ids != unusable
	s.advanced, s.hasRepeated = false, false
}

// Advanced reports whether the run has brought an event that the caller lacked.
func (s *Sequence) Advanced() bool { return s.advanced }

// LastEventID returns the id of the last event that the caller has and that has one.
func (s *Sequence) LastEventID() string { return s.lastText }

// Resumable reports whether another server can go on where the stream has stopped.
func (s *Sequence) Resumable() bool { return s.ids != unusable }

// Admit takes the next complete events of the run and returns those that the caller gets next. It leaves out events that the
// caller has. It returns ErrNotNext at the first event that doesn't follow the caller's last one and ErrNoEvent for text that is
// no event; what it returns with them precedes that.
//
// Within a run the events are the server's own and are returned unchanged, whatever their ids.
func (s *Sequence) Admit(events []byte) ([]byte, error) {
	var next []byte
	for len(events) > 0 {
		text, rest := cutEvent(events)
		admitted, err := s.admit(parseEvent(text))
		if err != nil {
			return next, err
		}
		if admitted {
			next = append(next, text...)
		}
		events = rest
	}
	return next, nil
}

// End checks whether a run may end here as complete. It returns ErrNotNext for one that began anew and ended before the
// caller's last event.
func (s *Sequence) End() error {
	if s.joining && s.hasRepeated && s.repeated < s.last {
		return ErrNotNext.New("run ends after event %d, the caller has %d", s.repeated, s.last)
	}
	return nil
}

func (s *Sequence) admit(e event) (bool, error) {
	if e.isForeign() {
		return false, ErrNoEvent.New("text after event %q has no field of an event", s.lastText)
	}
	if !e.hasData && !e.hasID {
		return true, nil
	}
	id, err := strconv.ParseUint(e.id, 10, 64)
	switch {
	case err != nil && s.joining:
		return false, ErrNotNext.New("event with id %q comes after event %d", e.id, s.last)
	case err != nil:
		s.ids = unusable
		if e.hasID {
			s.lastText, s.begun = e.id, true
		}
		s.advanced = true
		return true, nil
	case s.joining && id <= s.last:
		s.repeated, s.hasRepeated = id, true
		return false, nil
	case s.joining && s.ids == counted && id != s.last+1:
		return false, ErrNotNext.New("event %d comes after event %d", id, s.last)
	}
	s.learn(id)
	s.last, s.lastText, s.begun = id, e.id, true
	s.joining, s.advanced = false, true
	return true, nil
}

// learn updates what is known of the stream's ids by the next one. A new stream that counts its events begins with 0 or 1.
func (s *Sequence) learn(id uint64) {
	switch {
	case s.ids == unusable:
	case s.begun && id <= s.last:
		s.ids = unusable
	case id > s.last+1:
		s.ids = sparse
	case s.ids == unknown:
		s.ids = counted
	}
}

// event is what decides whether an event is forwarded.
type event struct {
	id       string
	hasID    bool
	hasData  bool
	hasField bool
	// hasOther is set when it has a line that is neither a field of an event nor a comment.
	hasOther bool
}

// isForeign reports whether the text isn't an event although it is closed by an empty line, as the head of an HTTP response is.
func (e *event) isForeign() bool { return e.hasOther && !e.hasField }

// parseEvent reads the lines of one event. Its fields are those of the server-sent events section of the HTML standard.
func parseEvent(text []byte) event {
	var e event
	for len(text) > 0 {
		var line []byte
		line, text = cutLine(text)
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			e.id, e.hasID, e.hasField = string(bytes.TrimSpace(value)), true, true
		case "data":
			e.hasData, e.hasField = true, true
		case "event", "retry":
			e.hasField = true
		default:
			e.hasOther = e.hasOther || len(name) > 0
		}
	}
	return e
}

// cutEvent returns the text up to and including the first empty line, with those that precede the event, and the rest.
func cutEvent(text []byte) (first, rest []byte) {
	begun := false
	for rest = text; len(rest) > 0; {
		var line []byte
		line, rest = cutLine(rest)
		if len(line) == 0 && begun {
			break
		}
		begun = begun || len(line) > 0
	}
	return text[:len(text)-len(rest)], rest
}

// cutLine returns the first line without its end, LF, CR LF or CR, and what follows it.
func cutLine(text []byte) (line, rest []byte) {
	end := bytes.IndexAny(text, "\r\n")
	if end < 0 {
		return text, nil
	}
	line, rest = text[:end], text[end+1:]
	if text[end] == '\r' && len(rest) > 0 && rest[0] == '\n' {
		rest = rest[1:]
	}
	return line, rest
}
