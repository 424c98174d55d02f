package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/eventstream"
)

// readEvents reads a stream to its end and returns the batches of events.
func readEvents(body io.Reader) (batches []string, lastEventID string, err error) {
	reader := newEventReader(body)
	var sequence eventstream.Sequence
	for {
		events, err := reader.next()
		if err != nil {
			return batches, sequence.LastEventID(), err
		}
		batches = append(batches, string(events))
		next, err := sequence.Admit(events)
		if err != nil || !bytes.Equal(next, events) {
			return batches, "", fmt.Errorf("%q is admitted as %q: %w", events, next, err)
		}
	}
}

// bodyReaders deliver a body at once and byte by byte.
var bodyReaders = map[string]func(io.Reader) io.Reader{
	"at once":      func(r io.Reader) io.Reader { return r },
	"byte by byte": iotest.OneByteReader,
}

func TestEventsMayUseAnyLineEnd(t *testing.T) {
	for name, body := range map[string]string{
		"LF":                         "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
		"CR LF":                      "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"CR":                         "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"mixed":                      "id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\n",
		"more empty lines":           "\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n\n",
		"more empty lines, CR LF":    "id: 1\r\n\r\n\r\nid: 2\r\n\r\n\r\n",
		"a comment before the close": "id: 1\n\nid: 2\n\n: end\n\n",
	} {
		for how, reader := range bodyReaders {
			t.Run(name+" "+how, func(t *testing.T) {
				c := qt.New(t)
				batches, id, err := readEvents(reader(strings.NewReader(body)))
				c.Assert(err, qt.Equals, io.EOF)
				c.Assert(strings.Join(batches, ""), qt.Equals, body)
				c.Assert(id, qt.Equals, "2")
			})
		}
	}
}

// Every proper prefix of a stream that doesn't end between two events is an incomplete stream, of which only complete
// events are returned.
func TestEventReaderRecognisesEveryCutInsideAnEvent(t *testing.T) {
	for name, lineEnd := range map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"} {
		event := "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd
		for how, reader := range bodyReaders {
			t.Run(name+" "+how, func(t *testing.T) {
				c := qt.New(t)
				for cut := 1; cut < len(event); cut++ {
					batches, _, err := readEvents(reader(strings.NewReader(event + event[:cut])))
					c.Assert(err, qt.Equals, io.ErrUnexpectedEOF, qt.Commentf("cut at %d", cut))
					c.Assert(strings.Join(batches, ""), qt.Equals, event)
				}
			})
		}
	}
}

// An error of the connection isn't hidden by a partial event.
func TestEventReaderReturnsTheErrorOfTheBody(t *testing.T) {
	c := qt.New(t)
	reset := errors.New("reset")
	_, _, err := readEvents(io.MultiReader(strings.NewReader("id: 1\n\nid: 2"), iotest.ErrReader(reset)))
	c.Assert(err, qt.Equals, reset)
}

// Guards against a search that begins anew with each read, which took seconds for a long event in small pieces.
func TestLongEventInSmallPiecesIsReadInLinearTime(t *testing.T) {
	c := qt.New(t)
	event := "id: 1\ndata: " + strings.Repeat("x", maxEventBytes-100) + "\n\n"
	started := time.Now()
	batches, id, err := readEvents(iotest.OneByteReader(strings.NewReader(event)))
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(strings.Join(batches, "") == event, qt.IsTrue)
	c.Assert(id, qt.Equals, "1")
	c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(started)))
}
