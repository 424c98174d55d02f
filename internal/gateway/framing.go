package gateway

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"balsamyoke.example/balsamyoke/internal/httphead"
)

// checkFraming returns ErrBadRequest for headers that two HTTP parsers may read differently, as to where the
// request ends or what it asks for. Request smuggling uses them to hide a second request.
func checkFraming(h *fasthttp.RequestHeader) error {
	lengths, encodings, hosts := 0, 0, 0
	raw := h.RawHeaders()
	for len(raw) > 0 {
		line, rest, _ := bytes.Cut(raw, []byte("\n"))
		raw = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !httphead.IsToken(name) {
			return ErrBadRequest.New("malformed header line %.40q", line)
		}
		if bytes.ContainsAny(value, "\r\x00") {
			return ErrBadRequest.New("value of header %q contains CR or NUL", name)
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
			if !isDigits(value) {
				return ErrBadRequest.New("Content-Length %.40q is not a number", value)
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
			if !bytes.EqualFold(value, []byte("chunked")) {
				return ErrBadRequest.New("Transfer-Encoding %.40q is not supported", value)
			}
		case bytes.EqualFold(name, []byte("Host")):
			hosts++
		}
	}
	if lengths+encodings > 1 || hosts != 1 {
		return ErrBadRequest.New("request has %d Content-Length, %d Transfer-Encoding and %d Host headers", lengths, encodings, hosts)
	}
	return nil
}

func isDigits(value []byte) bool {
	for _, b := range value {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(value) > 0
}
