// Package httphead checks the heads of HTTP/1.1 messages (RFC 9112) for faults that the parser of fasthttp accepts.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// CheckResponse waits for the complete head of the next response, checks it and returns its status. It leaves the head in reader, to
// be parsed. It returns ErrMalformed, bufio.ErrBufferFull for a head that doesn't fit in reader's buffer, or the error of the
// connection, which is io.ErrUnexpectedEOF within a head.
func CheckResponse(reader *bufio.Reader) (status int, err error) {
	for {
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return 0, err
		}
		status, complete, err := checkResponse(buffered)
		if complete || err != nil {
			return status, err
		}
		_, err = reader.Peek(len(buffered) + 1)
		if errors.Is(err, io.EOF) && len(buffered) > 0 {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, err
		}
	}
}

// checkResponse checks those lines of a response's head that text has completely. It returns the status, and whether text has all
// lines. Like the parser, it skips empty lines before the status line and takes a line feed alone for the end of a line.
func checkResponse(text []byte) (status int, complete bool, err error) {
	var start statusLine
	for {
		line, rest, found := bytes.Cut(text, []byte("\n"))
		if !found {
			return 0, false, nil
		}
		text = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0 && start.status == 0:
			continue
		case len(line) == 0:
			return start.status, true, nil
		case start.status == 0:
			start, err = parseStatusLine(line)
		default:
			err = start.checkFieldLine(line)
		}
		if err != nil {
			return 0, false, err
		}
	}
}

// statusLine is the first line of a response.
type statusLine struct {
	status int
	// takesChunks is set for HTTP/1.1, the only version with transfer codings.
	takesChunks bool
}

// The range of valid status codes (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// parseStatusLine returns ErrMalformed for an invalid status and for control bytes. fasthttp takes any three digits for a status, and
// reports 000 as 200. It takes any bytes for the reason phrase, even a whole field after a carriage return.
func parseStatusLine(line []byte) (statusLine, error) {
	if bytes.ContainsFunc(line, isControl) {
		return statusLine{}, ErrMalformed.New("control byte in line %.40q", line)
	}
	version, rest, _ := bytes.Cut(line, []byte(" "))
	digits, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status, err := strconv.ParseUint(string(digits), 10, 16)
	if err != nil || len(digits) != 3 || status < minStatus || status > maxStatus {
		return statusLine{}, ErrMalformed.New("invalid status in line %.40q", line)
	}
	return statusLine{status: int(status), takesChunks: string(version) == "HTTP/1.1"}, nil
}

// isControl reports whether a reason phrase can't contain the character (RFC 9112, section 4).
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// checkFieldLine returns ErrMalformed unless the name of a field is a token that is followed by a colon. fasthttp drops whitespace
// after a name, keeps a space within one, and joins a line that begins with whitespace to the one before, so that it may miss the
// fields that determine the end of the body. Gateways may reject such joined lines (RFC 9112, section 5.2).
//
// It also returns ErrMalformed for a Transfer-Encoding in another version than HTTP/1.1 (RFC 9112, section 6.1), which fasthttp
// ignores.
func (s statusLine) checkFieldLine(line []byte) error {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || !IsToken(name) {
		return ErrMalformed.New("malformed header line %.40q", line)
	}
	if !s.takesChunks && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
		return ErrMalformed.New("%.40q in a response that isn't HTTP/1.1", line)
	}
	return nil
}
