package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"time"
)

// streamChunk is how much of a stream is read at a time.
const streamChunk = 4 << 10

// eventReader splits a stream of server-sent events. It returns whole events only, but for what stands
// at the proper end of the stream.
type eventReader struct {
	body io.Reader
	wait []byte
	err  error
	// chunk is read into.
	chunk []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, chunk: make([]byte, streamChunk)}
}

// next returns the events that have arrived, one or more, and the id of the last one that has an id.
// The bytes are valid until the next call.
func (r *eventReader) next() (events []byte, id string, err error) {
	for {
		if end := lastEventEnd(r.wait); end > 0 {
			events, r.wait = r.wait[:end], r.wait[end:]
			return events, lastID(events), nil
		}
		if r.err != nil {
			if errors.Is(r.err, io.EOF) && len(r.wait) > 0 {
				events, r.wait = r.wait, nil
				return events, lastID(events), nil
			}
			return nil, "", r.err
		}
		n, err := r.body.Read(r.chunk)
		r.wait = append(r.wait[:len(r.wait):len(r.wait)], r.chunk[:n]...)
		r.err = err
	}
}

// lastEventEnd returns the end of the last whole event in buffered, 0 when there is none.
func lastEventEnd(buffered []byte) int {
	end := 0
	if at := bytes.LastIndex(buffered, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if at := bytes.LastIndex(buffered, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+len("\r\n\r\n"))
	}
	return end
}

// lastID returns the value of the last id field.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// streamWriter writes the body of a stream in chunks.
type streamWriter struct {
	caller *caller
}

// write sends events to the caller at once.
func (s *streamWriter) write(events []byte) error {
	if err := s.caller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := httputil.NewChunkedWriter(s.caller.writer).Write(events); err != nil {
		return err
	}
	return s.caller.writer.Flush()
}

// end tells the caller that the stream is complete.
func (s *streamWriter) end() error {
	if err := s.caller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.caller.writer.WriteString("0\r\n\r\n"); err != nil {
		return err
	}
	return s.caller.writer.Flush()
}

func itoa(n int) string { return strconv.Itoa(n) }
