package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"

	"balsamyoke.example/balsamyoke/internal/membudget"
)

const (
	// streamReadBytes is the size of one read from a stream, in bytes.
	streamReadBytes = 4 << 10
	// maxEventBytes bounds the size of one event. An event holds a few tokens.
	maxEventBytes = 256 << 10
)

// eventReader splits a stream of server-sent events. It returns complete events only.
type eventReader struct {
	body     io.Reader
	buffered []byte
	// searched is the number of buffered bytes in which no event ends.
	searched int
	err      error
	// chunk is the buffer for one read.
	chunk []byte
	// held is the memory of buffered beyond unbudgetedResponse bytes.
	held *membudget.Reservation
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, chunk: make([]byte, streamReadBytes)}
}

// next waits for at least one event and returns all that have arrived. The bytes are valid until the next call. The error is that of
// the body, io.EOF at the end of a stream whose last event is complete, io.ErrUnexpectedEOF at any other end, or ErrTooLarge for an
// event of more than maxEventBytes bytes.
func (r *eventReader) next() (events []byte, err error) {
	for {
		if end := lastEventEnd(r.buffered, r.searched); end > 0 {
			events, r.buffered, r.searched = r.buffered[:end], r.buffered[end:], 0
			return events, nil
		}
		r.searched = len(r.buffered)
		if errors.Is(r.err, io.EOF) && r.partial() > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if errors.Is(r.err, io.EOF) && len(r.buffered) > 0 {
			events, r.buffered = r.buffered, nil
			return events, nil
		}
		if r.err != nil {
			return nil, r.err
		}
		if len(r.buffered) > maxEventBytes || !r.reserve() {
			return nil, ErrTooLarge.New("event of more than %d bytes, or than there is memory", len(r.buffered))
		}
		n, err := r.body.Read(r.chunk)
		r.buffered = append(r.buffered, r.chunk[:n]...)
		r.err = err
	}
}

// reserve reserves memory for what is buffered. It reports whether there is any.
func (r *eventReader) reserve() bool {
	beyond := int64(len(r.buffered) - unbudgetedResponse)
	return beyond <= 0 || r.held == nil || r.held.TryGrow(beyond-r.held.Bytes())
}

// partial returns the number of bytes after the last complete event, zero when they are empty lines only.
func (r *eventReader) partial() int {
	if len(bytes.Trim(r.buffered, "\r\n")) == 0 {
		return 0
	}
	return len(r.buffered)
}

// lastEventEnd returns the index after the last empty line in buffered, 0 when there is none. searched is the number of bytes
// in which none was found earlier; a CR at their end may be one now. Lines end with LF, CR LF or CR, as in the
// server-sent events section of the HTML standard.
func lastEventEnd(buffered []byte, searched int) int {
	for end := len(buffered); end > 1 && end >= searched; end-- {
		if end < len(buffered) && buffered[end-1] == '\r' && buffered[end] == '\n' {
			continue
		}
		last := lineEndLength(buffered[:end])
		if last == 0 {
			continue
		}
		before := lineEndLength(buffered[:end-last])
		// After CR LF, a CR at the end of what has arrived still lacks its LF.
		cut := end == len(buffered) && buffered[end-1] == '\r' && before == len("\r\n")
		if before > 0 && !cut {
			return end
		}
	}
	return 0
}

// lineEndLength returns the length of the line end that closes text, 0 when there is none.
func lineEndLength(text []byte) int {
	switch {
	case bytes.HasSuffix(text, []byte("\r\n")):
		return len("\r\n")
	case bytes.HasSuffix(text, []byte("\n")), bytes.HasSuffix(text, []byte("\r")):
		return 1
	default:
		return 0
	}
}

// streamWriter writes the body of a streamed response to a caller. length is the content length in its header.
type streamWriter struct {
	callerConn *callerConn
	length     int
}

// write sends events to the caller as one chunk, if it takes chunks, and flushes them.
func (s *streamWriter) write(events []byte) error {
	if _, err := s.callerConn.bodyWriter(s.length).Write(events); err != nil {
		return err
	}
	return s.callerConn.writer.Flush()
}

// end writes the last chunk, by which the caller detects that the stream is complete, if it takes chunks.
func (s *streamWriter) end() error {
	return s.callerConn.endBody(s.length)
}

func itoa(n int) string { return strconv.Itoa(n) }
