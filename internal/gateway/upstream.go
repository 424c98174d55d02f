package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection to a backend server: many round trips, and less than
	// the second after which a lost opening packet is sent again.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose peer doesn't confirm what was sent.
	unackedTimeout = 1500 * time.Millisecond
	// upstreamBuffer is the read buffer of a connection; headers must fit in it.
	upstreamBuffer = 8 << 10
	// maxIdleConnections is how many unused connections are kept to one server.
	maxIdleConnections = 16
	// idleFor is how long an unused connection is kept when the server doesn't say.
	idleFor = 4 * time.Second
	// idleShare is the share of a server's own idle time after which its connections aren't used again.
	idleShare = 0.6
	// onceIdleFor is how long a connection may have been unused for a request that can't be repeated: a
	// server that closes it at that moment leaves the request's fate unknown.
	onceIdleFor = 700 * time.Millisecond
	// maxStale is how many answers to earlier requests are skipped on one connection.
	maxStale = 2
)

// keepAlive finds a silent peer within about two seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// upstream is one connection to a backend server.
type upstream struct {
	net.Conn
	reader *bufio.Reader
	server string
	reused bool
	idleAt time.Time
	// idleFor is how long the connection may be unused.
	idleFor time.Duration
	// spent tells that the connection must not be used again.
	spent bool
}

// pool keeps unused connections by server id.
type pool struct {
	mu   sync.Mutex
	idle map[string][]*upstream
}

func newPool() *pool { return &pool{idle: make(map[string][]*upstream)} }

// get returns an unused connection to the server or opens one. It returns ErrNotSent.
func (p *pool) get(ctx context.Context, server, address string, once bool) (*upstream, error) {
	for {
		u := p.take(server)
		if u == nil {
			return dial(ctx, server, address)
		}
		unused := time.Since(u.idleAt)
		if unused < u.idleFor && (!once || unused < onceIdleFor) && quiet(u.Conn) {
			u.reused = true
			return u, nil
		}
		_ = u.Close()
	}
}

func (p *pool) take(server string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server]
	if len(list) == 0 {
		return nil
	}
	u := list[len(list)-1]
	p.idle[server] = list[:len(list)-1]
	return u
}

// put keeps a connection whose last answer was read to its end, or closes it.
func (p *pool) put(u *upstream) {
	if u.spent || u.reader.Buffered() > 0 || u.SetDeadline(time.Time{}) != nil {
		_ = u.Close()
		return
	}
	u.idleAt = time.Now()
	p.mu.Lock()
	list := p.idle[u.server]
	full := len(list) >= maxIdleConnections
	if !full {
		p.idle[u.server] = append(list, u)
	}
	p.mu.Unlock()
	if full {
		_ = u.Close()
	}
}

// close closes all unused connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		for _, u := range list {
			_ = u.Close()
		}
		delete(p.idle, server)
	}
}

// sweep closes connections that have been unused for too long.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		kept := list[:0]
		for _, u := range list {
			if time.Since(u.idleAt) < u.idleFor {
				kept = append(kept, u)
			} else {
				_ = u.Close()
			}
		}
		p.idle[server] = kept
		if len(kept) == 0 {
			delete(p.idle, server)
		}
	}
}

func dial(ctx context.Context, server, address string) (*upstream, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: boundUnacked}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "server %s at %s", server, address)
	}
	return &upstream{Conn: conn, reader: bufio.NewReaderSize(conn, upstreamBuffer), server: server, idleFor: idleFor}, nil
}

// boundUnacked makes the kernel end a connection whose peer confirms nothing.
func boundUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// quiet reports whether an unused connection is open and has nothing to read: bytes that come unasked
// belong to no request.
func quiet(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && waiting
}

// send writes a request. It returns ErrNotSent when no byte was taken, ErrBroken otherwise.
func (u *upstream) send(header *fasthttp.RequestHeader, body []byte) error {
	message := header.AppendBytes(make([]byte, 0, 1024+len(body)))
	message = append(message, body...)
	n, err := u.Write(message)
	if err == nil {
		return nil
	}
	u.spent = true
	if n == 0 {
		return ErrNotSent.Wrap(err, "server %s", u.server)
	}
	return ErrBroken.Wrap(err, "send to server %s", u.server)
}

// readHeader reads the header of the answer to the request called id. Answers to earlier requests, which
// a server may send late, are skipped.
func (u *upstream) readHeader(protocol Protocol, id string) (*fasthttp.ResponseHeader, Answer, error) {
	for range maxStale + 1 {
		header := &fasthttp.ResponseHeader{}
		header.DisableNormalizing()
		if err := header.Read(u.reader); err != nil {
			u.spent = true
			return nil, Answer{}, ErrBroken.Wrap(err, "answer of server %s", u.server)
		}
		if status := header.StatusCode(); status >= 100 && status < 200 {
			continue
		}
		answer := protocol.ReadAnswer(header)
		if answer.RequestID == id || answer.RequestID == "" && answer.NotRun {
			u.noteLife(header, &answer)
			return header, answer, nil
		}
		u.spent = true
		if _, err := io.Copy(io.Discard, u.body(header)); err != nil {
			return nil, Answer{}, ErrBroken.Wrap(err, "answer of server %s to another request", u.server)
		}
	}
	return nil, Answer{}, ErrBroken.New("server %s answers other requests than %q", u.server, id)
}

// noteLife takes how long the connection may be used on.
func (u *upstream) noteLife(header *fasthttp.ResponseHeader, answer *Answer) {
	if header.ConnectionClose() {
		u.spent = true
	}
	if answer.IdleFor > 0 {
		u.idleFor = time.Duration(idleShare * float64(answer.IdleFor))
	}
}

// body returns the body that follows a header. Reading it to io.EOF means that it is complete.
func (u *upstream) body(header *fasthttp.ResponseHeader) io.Reader {
	switch length := header.ContentLength(); {
	case header.StatusCode() == fasthttp.StatusNoContent || header.StatusCode() == fasthttp.StatusNotModified:
		return emptyBody{}
	case length >= 0:
		return &sizedBody{reader: u.reader, left: length}
	case length == -1:
		return &chunkedBody{chunks: httputil.NewChunkedReader(u.reader), reader: u.reader}
	default:
		u.spent = true
		return u.reader
	}
}

// emptyBody is the body of an answer that has none.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// sizedBody reads exactly left bytes.
type sizedBody struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader. A connection that ends early is io.ErrUnexpectedEOF.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	if errors.Is(err, io.EOF) && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads chunks and the trailer after the last one.
type chunkedBody struct {
	chunks io.Reader
	reader *bufio.Reader
	ended  bool
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.ended = true
	if err := skipTrailer(b.reader); err != nil {
		return n, err
	}
	return n, io.EOF
}

// skipTrailer reads up to the empty line that ends a chunked body.
func skipTrailer(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
}
