package gateway

import (
	"bytes"
	"regexp"

	"github.com/valyala/fasthttp"
)

// answers reports whether a response is the one to the request with the given id. first is set when it is the first
// response on its connection.
//
// Invariant: a refusal without an id counts only when it can't be a repeated one of an earlier request.
func (m *ResponseMeta) answers(id string, first bool) bool {
	return m.RequestID == id || m.RequestID == "" && m.NotRun && first
}

// skippedResponses are responses that belong to no request in progress. withoutID counts those without an id, notRun those that
// state that a request was not run.
type skippedResponses struct {
	total, withoutID, notRun int
}

func (s *skippedResponses) count(meta *ResponseMeta) {
	s.total++
	if meta.RequestID == "" {
		s.withoutID++
	}
	if meta.NotRun {
		s.notRun++
	}
}

// errTwoStatusLines means that a header consists of the cut header of one response and that of the next.
var errTwoStatusLines = ErrBroken.New("header with two status lines")

var (
	statusLine       = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]\b`)
	statusLinePrefix = []byte("HTTP/1.")
)

// hasTwoStatusLines reports whether a header contains a second status line. The parser rejects one on a line of its own
// or within a header name, so that it can be in the reason phrase or in a value only.
func hasTwoStatusLines(header *fasthttp.ResponseHeader) bool {
	if hasStatusLine(header.StatusMessage()) {
		return true
	}
	for _, value := range header.All() {
		if hasStatusLine(value) {
			return true
		}
	}
	return false
}

func hasStatusLine(text []byte) bool {
	return bytes.Contains(text, statusLinePrefix) && statusLine.Match(text)
}
