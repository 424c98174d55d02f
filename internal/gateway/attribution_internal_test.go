package gateway

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

// A header that was cut at any byte and is followed by another one is rejected by the parser or has two status lines.
func TestCutHeadersAreDetected(t *testing.T) {
	const cut = "HTTP/1.1 503 Service Unavailable\r\nBalsamyoke-Not-Executed: 1\r\nRetry-After: 0.5\r\nVia: HTTP/1.1 proxy\r\nContent-Type: text/plain\r\n\r\n"
	const whole = "HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, len(cut)-1).Draw(t, "length")
		header := &fasthttp.ResponseHeader{}
		header.DisableNormalizing()
		err := header.Read(bufio.NewReader(strings.NewReader(cut[:length] + whole)))
		if err == nil && !hasTwoStatusLines(header) {
			t.Fatalf("cut after %d bytes: status %d", length, header.StatusCode())
		}
	})
}

func TestSoundHeadersHaveOneStatusLine(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200\r\nServer: HTTP/1.x 2000\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nUpgrade: HTTP/2.0, HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
	} {
		header := &fasthttp.ResponseHeader{}
		c.Assert(header.Read(bufio.NewReader(strings.NewReader(text))), qt.IsNil)
		c.Check(hasTwoStatusLines(header), qt.IsFalse, qt.Commentf("%q", text))
	}
}

// stubProtocol reads the id and the statement "not run" of a response only.
type stubProtocol struct{ Protocol }

func (stubProtocol) ReadResponse(h *fasthttp.ResponseHeader) ResponseMeta {
	return ResponseMeta{RequestID: string(h.Peek("Id")), NotRun: len(h.Peek("Not-Run")) > 0}
}

// Responses that are skipped are counted for the log.
func TestSkippedResponsesAreCounted(t *testing.T) {
	c := qt.New(t)
	client, server := net.Pipe()
	defer client.Close()
	defer server.Close()
	go func() {
		_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 1\r\n\r\nx"+
			"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
	}()
	sc := &serverConn{Conn: client, reader: bufio.NewReader(client)}
	header, _, err := sc.readHeader(stubProtocol{}, "r1")
	c.Assert(err, qt.IsNil)
	c.Assert(header.StatusCode(), qt.Equals, 200)
	c.Assert(sc.skipped, qt.Equals, skippedResponses{total: 2, withoutID: 1, notRun: 1})
}
