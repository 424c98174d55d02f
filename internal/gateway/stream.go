package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"time"
)

const (
	// streamReadBytes is the size of one read from a stream, in bytes.
	streamReadBytes = 4 << 10
	// maxEventBytes bounds the size of one event. An event holds a few tokens.
	maxEventBytes = 256 << 10
)

// eventReader splits a stream of server-sent events. It returns complete events only, except that bytes without
// a closing empty line are returned as well when the stream ends with io.EOF.
type eventReader struct {
	body     io.Reader
	buffered []byte
	err      error
	// partial is the number of bytes after the last complete event when the stream has ended.
	partial int
	// chunk is the buffer for one read.
	chunk []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, chunk: make([]byte, streamReadBytes)}
}

// next waits for at least one event and returns all that have arrived, and the id of the last one that has an
// id. The bytes are valid until the next call. The error is that of the body, io.EOF at the end of the stream, or
// ErrTooLarge for an event of more than maxEventBytes bytes.
func (r *eventReader) next() (events []byte, id string, err error) {
	for {
		if end := lastEventEnd(r.buffered); end > 0 {
			events, r.buffered = r.buffered[:end], r.buffered[end:]
			return events, lastID(events), nil
		}
		if r.err != nil {
			r.partial += len(r.buffered)
			if errors.Is(r.err, io.EOF) && len(r.buffered) > 0 {
				events, r.buffered = r.buffered, nil
				return events, lastID(events), nil
			}
			return nil, "", r.err
		}
		if len(r.buffered) > maxEventBytes {
			return nil, "", ErrTooLarge.New("event of more than %d bytes", maxEventBytes)
		}
		n, err := r.body.Read(r.chunk)
		r.buffered = append(r.buffered[:len(r.buffered):len(r.buffered)], r.chunk[:n]...)
		r.err = err
	}
}

// lastEventEnd returns the index after the last complete event in buffered, 0 when there is none.
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

// lastID returns the value of the last id field in events, "" when there is none.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// streamWriter writes the body of a streamed response to a caller in chunks.
type streamWriter struct {
	callerConn *callerConn
}

// write sends events to the caller as one chunk and flushes it.
func (s *streamWriter) write(events []byte) error {
	if err := s.callerConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := httputil.NewChunkedWriter(s.callerConn.writer).Write(events); err != nil {
		return err
	}
	return s.callerConn.writer.Flush()
}

// end writes the last chunk, by which the caller detects that the stream is complete.
func (s *streamWriter) end() error {
	if err := s.callerConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := s.callerConn.writer.WriteString("0\r\n\r\n"); err != nil {
		return err
	}
	return s.callerConn.writer.Flush()
}

func itoa(n int) string { return strconv.Itoa(n) }
