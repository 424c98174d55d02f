package soak

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync/atomic"
)

// malformedHeads are heads that no caller may get an answer from. %s stands for the fields of the request.
var malformedHeads = []string{
	"HTTP/1.1 000 OK\r\n%sContent-Length: 5\r\n",
	"HTTP/1.1 600 OK\r\n%sContent-Length: 5\r\n",
	"HTTP/1.1 200 OK\r\n%sX Own: 1\r\nContent-Length: 5\r\n",
	"HTTP/1.1 200 OK\r\n%sContent-Length : 5\r\n",
	"HTTP/1.1 200 OK\r\n%s\tContent-Length: 5\r\n",
}

// malformedShare is the number of requests of which one gets a malformed head.
const malformedShare = 40

// sentMalformed counts the malformed heads that servers have sent.
var sentMalformed atomic.Int64

// malformedHead returns the head of the response that a server in trouble sends to a request, the first time; empty for a sound one.
func malformedHead(request string) string {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(request))
	drawn := digest.Sum32()
	if drawn%malformedShare != 0 || strings.HasSuffix(request, "-any") {
		return ""
	}
	fields := fmt.Sprintf("Balsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: stamp\r\n", request)
	return fmt.Sprintf(malformedHeads[drawn/malformedShare%uint32(len(malformedHeads))], fields)
}

// sendMalformed sends a response with a malformed head and closes the connection.
func sendMalformed(out http.ResponseWriter, head string) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	sentMalformed.Add(1)
	_, _ = conn.Write([]byte(head + "\r\nwrong"))
	_ = conn.Close()
}
