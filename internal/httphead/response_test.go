package httphead_test

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"balsamyoke.example/balsamyoke/internal/httphead"
)

func TestSoundHeadsAreLeftToBeParsed(t *testing.T) {
	c := qt.New(t)
	for head, want := range map[string]int{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n":                              200,
		"HTTP/1.1 200\r\n\r\n":                                                      200,
		"HTTP/1.1 200 Tr\u00e8s\tbien \xff\r\n\r\n":                                 200,
		"\r\n\r\nHTTP/1.1 404 Not Found\r\n\r\n":                                    404,
		"HTTP/1.0 503 Service Unavailable\nRetry-After: 1\n\n":                      503,
		"HTTP/1.1 100 Continue\r\n\r\n":                                             100,
		"HTTP/1.1 599 Own\r\nX-Own!#$%&'*+-.^_`|~09: a\tb:  c \r\nX-Empty:\r\n\r\n": 599,
	} {
		// One byte a read covers heads that arrive in pieces.
		for _, source := range []io.Reader{strings.NewReader(head + "body"), iotest.OneByteReader(strings.NewReader(head + "body"))} {
			reader := bufio.NewReader(source)
			status, err := httphead.CheckResponse(reader)
			c.Check(err, qt.IsNil, qt.Commentf("%q", head))
			c.Check(status, qt.Equals, want, qt.Commentf("%q", head))
			rest, err := io.ReadAll(reader)
			c.Check(err, qt.IsNil)
			c.Check(string(rest), qt.Equals, head+"body")
		}
	}
}

// The rest of a malformed head isn't awaited.
func TestMalformedStatusLinesAreErrors(t *testing.T) {
	c := qt.New(t)
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1", "HTTP/1.1 ", "200 OK", "nonsense", " HTTP/1.1 200 OK", "HTTP/1.1\t200\tOK",
		"HTTP/1.1 200 OK\rContent-Length: 5", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\x7f", "\x01HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r",
	} {
		_, err := httphead.CheckResponse(bufio.NewReader(strings.NewReader(line + "\r\n")))
		c.Check(errorx.IsOfType(err, httphead.ErrMalformed), qt.IsTrue, qt.Commentf("%q: %v", line, err))
	}
}

// Each byte that isn't allowed in a name is an error before, within and after it, and in place of it. A line feed ends the line, and a
// colon the name.
func TestMalformedFieldNamesAreErrors(t *testing.T) {
	c := qt.New(t)
	const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789!#$%&'*+-.^_`|~"
	for b := range 256 {
		if b == '\n' {
			continue
		}
		for _, name := range []string{"%Content-Length", "Content%Length", "Content-Length%", "%"} {
			name = strings.ReplaceAll(name, "%", string([]byte{byte(b)}))
			_, err := httphead.CheckResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-A: b\r\n" + name + ": 5\r\n\r\n")))
			sound := strings.IndexByte(allowed, byte(b)) >= 0 || b == ':' && name[0] != ':'
			if sound {
				c.Check(err, qt.IsNil, qt.Commentf("%q", name))
			} else {
				c.Check(errorx.IsOfType(err, httphead.ErrMalformed), qt.IsTrue, qt.Commentf("%q: %v", name, err))
			}
		}
	}
	for _, line := range []string{"X-A", "X\nA: b", ": b", "  c", "\t"} {
		_, err := httphead.CheckResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + line + "\r\n")))
		c.Check(errorx.IsOfType(err, httphead.ErrMalformed), qt.IsTrue, qt.Commentf("%q: %v", line, err))
	}
}

func TestChunksNeedHTTP11(t *testing.T) {
	c := qt.New(t)
	for version, sound := range map[string]bool{"HTTP/1.1": true, "HTTP/1.0": false, "HTTP/1.2": false, "HTTP/2.0": false} {
		for _, name := range []string{"Transfer-Encoding", "transfer-encoding"} {
			_, err := httphead.CheckResponse(bufio.NewReader(strings.NewReader(version + " 200 OK\r\n" + name + ": chunked\r\n\r\n")))
			c.Check(err == nil, qt.Equals, sound, qt.Commentf("%s %s: %v", version, name, err))
		}
	}
}

func TestIncompleteHeadsAreErrors(t *testing.T) {
	c := qt.New(t)
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	for cut := range len(head) {
		want := io.ErrUnexpectedEOF
		if cut == 0 {
			want = io.EOF
		}
		_, err := httphead.CheckResponse(bufio.NewReader(strings.NewReader(head[:cut])))
		c.Check(err, qt.Equals, want, qt.Commentf("%q", head[:cut]))
	}
	_, err := httphead.CheckResponse(bufio.NewReaderSize(strings.NewReader(head), 32))
	c.Check(err, qt.Equals, bufio.ErrBufferFull)
}
