package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// received is one request as a backend server received it.
type received struct {
	requestLine string
	header      map[string]string
	body        string
	conn        net.Conn
	// closed is closed when the gateway closes the connection.
	closed chan struct{}
}

// server is a backend server whose responses a test writes byte by byte.
type server struct {
	listener net.Listener
	requests chan *received
	// respond writes the response to a request.
	respond func(r *received)
	mu      sync.Mutex
	conns   []net.Conn
}

func startServer(c *qt.C, respond func(r *received)) *server {
	s := &server{requests: make(chan *received, 100), respond: respond}
	s.listener = listen(c, func(conn net.Conn) {
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.serve(conn)
	})
	c.Cleanup(func() {
		_ = s.listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, conn := range s.conns {
			_ = conn.Close()
		}
	})
	return s
}

// listen calls accepted for each connection to the listener that it returns.
func listen(c *qt.C, accepted func(conn net.Conn)) net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted(conn)
		}
	}()
	return listener
}

// readHead reads the head of the next request on a connection.
func readHead(reader *bufio.Reader, conn net.Conn) (*received, error) {
	r := &received{header: make(map[string]string), conn: conn, closed: make(chan struct{})}
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	r.requestLine = strings.TrimSpace(line)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		name, value, found := strings.Cut(strings.TrimSpace(line), ":")
		if !found {
			return r, nil
		}
		r.header[strings.ToLower(name)] = strings.TrimSpace(value)
	}
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := readHead(reader, conn)
		if err != nil {
			return
		}
		length := 0
		_, _ = fmt.Sscan(r.header["content-length"], &length)
		body := make([]byte, length)
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		r.body = string(body)
		s.requests <- r
		done := make(chan struct{})
		go func() {
			if _, err := reader.Peek(1); err != nil {
				close(r.closed)
			}
			close(done)
		}()
		if strings.HasPrefix(r.requestLine, "GET "+probePath+" ") {
			r.respondOK("x")
		} else {
			s.respond(r)
		}
		<-done
		select {
		case <-r.closed:
			return
		default:
		}
	}
}

func (r *received) write(format string, args ...any) { _, _ = fmt.Fprintf(r.conn, format, args...) }

func (r *received) id() string { return r.header["balsamyoke-request-id"] }

// respondOK writes a complete, signed response.
func (r *received) respondOK(body string) {
	r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: stamp\r\nContent-Length: %d\r\n\r\n%s", r.id(), len(body), body)
}

func (r *received) respondNotRun() {
	r.write("HTTP/1.1 503 Service Unavailable\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.id())
}

func (r *received) startStream() {
	r.write("HTTP/1.1 200 OK\r\nBalsamyoke-Request-Id: %s\r\nBalsamyoke-Response-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.id())
}

func (r *received) chunk(text string) { r.write("%x\r\n%s\r\n", len(text), text) }

func (r *received) endStream() { r.write("0\r\n\r\n") }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id) }

// discardRequests drops the requests that the server has received so far.
func (s *server) discardRequests() {
	for {
		select {
		case <-s.requests:
		default:
			return
		}
	}
}

var errNoRequest = errors.New("the server received no request")

func (s *server) nextRequest() (*received, error) {
	select {
	case r := <-s.requests:
		return r, nil
	case <-time.After(testTimeout):
		return nil, errNoRequest
	}
}
