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

	"balsamyoke.example/balsamyoke/internal/httphead"
)

const (
	// dialTimeout bounds the opening of a connection to a backend server. It allows many round trips and is
	// shorter than the one second after which TCP retransmits a lost SYN.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent data may stay unacknowledged before the connection is closed.
	unackedTimeout = 1500 * time.Millisecond
	// serverBufferBytes is the size of a connection's read buffer; the header of a response must fit in it.
	serverBufferBytes = 8 << 10
	// maxIdleConnections bounds the unused connections that are kept to one server.
	maxIdleConnections = 16
	// defaultIdleLimit is how long an unused connection is kept when the server doesn't announce an idle time.
	defaultIdleLimit = 4 * time.Second
	// idleShare is the share of a server's announced idle time after which its connections aren't reused.
	idleShare = 0.6
	// idleMargin is by how much less than the contact time a connection may be unused. Connections that are unused when all of
	// them become silent must not carry requests from the contact time on.
	idleMargin = 500 * time.Millisecond
	// nonRetryableIdleLimit is how long a connection may have been unused before it carries a request that
	// must not be retried. If the server closes the connection at that moment, the gateway can't determine
	// whether it ran the request.
	nonRetryableIdleLimit = 700 * time.Millisecond
	// maxStaleResponses bounds the responses to earlier requests that are skipped before the expected one.
	maxStaleResponses = 2
	// headerTimeout bounds the time from the first byte of a response header to its end. A server sends a header at
	// once.
	headerTimeout = time.Second
	// skipTimeout bounds the time in which the body of a response that isn't forwarded is read, and maxSkippedBody
	// its size in bytes. The connection is closed when the body exceeds either.
	skipTimeout    = 200 * time.Millisecond
	maxSkippedBody = 64 << 10
	// maxTrailer bounds the trailer of a chunked body, in bytes.
	maxTrailer = 8 << 10
)

// keepAlive detects within about two seconds that a peer no longer responds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// serverConn is one connection to a backend server.
type serverConn struct {
	net.Conn
	reader    *bufio.Reader
	server    string
	idleSince time.Time
	// idleLimit is how long the connection may be unused.
	idleLimit time.Duration
	// head is set when the latest request is a HEAD request, whose response has no body.
	head bool
	// responded is set when a response has been read from the connection.
	responded bool
	// refusedID is the id of the latest request that the server refused on the connection; empty for none.
	refusedID string
	// skipped counts the responses that were read since the latest request was sent and aren't its own.
	skipped skippedResponses
	// noReuse is set when the connection can't carry another request: after an error, after a response to another
	// request, or when the server closes it.
	noReuse bool
}

// pool keeps unused connections by server id. It is safe for concurrent use.
type pool struct {
	// maxIdle bounds how long any connection may be unused.
	maxIdle time.Duration

	mu   sync.Mutex
	idle map[string][]*serverConn
}

func newPool(maxIdle time.Duration) *pool {
	return &pool{maxIdle: maxIdle, idle: make(map[string][]*serverConn)}
}

// get returns an unused connection to the server for the request with the given id, or opens one. nonRetryable selects the
// shorter limit for the time that the connection was unused. A connection on which the same request was refused isn't used,
// because the refusal could be repeated. The error is ErrNotSent.
func (p *pool) get(ctx context.Context, server, address, id string, nonRetryable bool) (*serverConn, error) {
	for {
		sc := p.take(server)
		if sc == nil {
			return dial(ctx, server, address)
		}
		idleTime := time.Since(sc.idleSince)
		if idleTime < min(sc.idleLimit, p.maxIdle) && (!nonRetryable || idleTime < nonRetryableIdleLimit) && sc.refusedID != id && usable(sc.Conn) {
			return sc, nil
		}
		_ = sc.Close()
	}
}

func (p *pool) take(server string) *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server]
	if len(list) == 0 {
		return nil
	}
	sc := list[len(list)-1]
	p.idle[server] = list[:len(list)-1]
	return sc
}

// put keeps a connection for reuse, or closes it when it can't be reused or enough are kept. The last response
// on it must have been read to its end.
func (p *pool) put(sc *serverConn) {
	sc.idleSince = time.Now()
	p.putUnused(sc)
}

// putUnused is put for a connection on which nothing was sent since get. It stays as old as it was.
func (p *pool) putUnused(sc *serverConn) {
	if sc.noReuse || sc.reader.Buffered() > 0 || sc.SetDeadline(time.Time{}) != nil {
		_ = sc.Close()
		return
	}
	p.mu.Lock()
	list := p.idle[sc.server]
	full := len(list) >= maxIdleConnections
	if !full {
		p.idle[sc.server] = append(list, sc)
	}
	p.mu.Unlock()
	if full {
		_ = sc.Close()
	}
}

// close closes all unused connections.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		for _, sc := range list {
			_ = sc.Close()
		}
		delete(p.idle, server)
	}
}

// closeExpired closes the connections that have been unused for longer than their idle limit.
func (p *pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for server, list := range p.idle {
		kept := list[:0]
		for _, sc := range list {
			if time.Since(sc.idleSince) < min(sc.idleLimit, p.maxIdle) {
				kept = append(kept, sc)
			} else {
				_ = sc.Close()
			}
		}
		p.idle[server] = kept
		if len(kept) == 0 {
			delete(p.idle, server)
		}
	}
}

// dial opens a connection to a server. The error is ErrNotSent.
func dial(ctx context.Context, server, address string) (*serverConn, error) {
	sc, err := connect(ctx, server, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrConnRefused.Wrap(err, "server %s at %s", server, address)
	}
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "server %s at %s", server, address)
	}
	return sc, nil
}

// connect opens a connection to a server. The error is that of package net.
func connect(ctx context.Context, server, address string) (*serverConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUnackedTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &serverConn{Conn: conn, reader: bufio.NewReaderSize(conn, serverBufferBytes), server: server, idleSince: time.Now(), idleLimit: defaultIdleLimit}, nil
}

// setUnackedTimeout makes the kernel close a connection whose peer has acknowledged nothing for unackedTimeout.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// usable reports whether an unused connection is open and has nothing to read. Bytes that arrive while no
// request is sent can't be assigned to one.
func usable(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// send writes a request. It returns ErrNotSent when no byte was written, and ErrBroken when a part was.
func (sc *serverConn) send(header *fasthttp.RequestHeader, body []byte) error {
	sc.head, sc.skipped = header.IsHead(), skippedResponses{}
	message := header.AppendBytes(make([]byte, 0, 1024+min(len(body), smallBody)))
	if len(body) <= smallBody {
		message, body = append(message, body...), nil
	}
	n, err := sc.Write(message)
	if err == nil && len(body) > 0 {
		// A large body is sent without a copy of it.
		_, err = sc.Write(body)
	}
	if err == nil {
		return nil
	}
	sc.noReuse = true
	if n == 0 {
		return ErrNotSent.Wrap(err, "server %s", sc.server)
	}
	return ErrBroken.Wrap(err, "send to server %s", sc.server)
}

// readHeader reads the header of the response to the request with the given id. It skips up to
// maxStaleResponses responses to earlier requests, which a server may send late or once more. The error is ErrBroken.
func (sc *serverConn) readHeader(protocol Protocol, id string) (*fasthttp.ResponseHeader, ResponseMeta, error) {
	for range maxStaleResponses + 1 {
		header, err := sc.readOneHeader()
		if err != nil {
			sc.noReuse = true
			return nil, ResponseMeta{}, ErrBroken.Wrap(err, "answer of server %s", sc.server)
		}
		if status := header.StatusCode(); status >= 100 && status < 200 {
			continue
		}
		meta := protocol.ReadResponse(header)
		first := !sc.responded
		sc.responded = true
		if meta.answers(id, first) {
			sc.updateReuse(header, &meta)
			if meta.NotRun {
				sc.refusedID = id
			}
			return header, meta, nil
		}
		sc.noReuse = true
		sc.skipped.count(&meta)
		if err := sc.skipBody(header); err != nil {
			return nil, ResponseMeta{}, ErrBroken.Wrap(err, "answer of server %s to another request", sc.server)
		}
	}
	return nil, ResponseMeta{}, ErrBroken.New("server %s answers other requests than %q", sc.server, id)
}

// readOneHeader waits for the first byte of a response and then reads its header, which must fit in the read buffer and
// arrive within headerTimeout.
func (sc *serverConn) readOneHeader() (*fasthttp.ResponseHeader, error) {
	if _, err := sc.reader.Peek(1); err != nil {
		return nil, err
	}
	if err := sc.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		return nil, err
	}
	if _, err := httphead.CheckResponse(sc.reader); err != nil {
		return nil, err
	}
	header := &fasthttp.ResponseHeader{}
	header.DisableNormalizing()
	header.SetNoDefaultContentType(true)
	if err := header.Read(sc.reader); err != nil {
		return nil, err
	}
	if hasTwoStatusLines(header) {
		return nil, errTwoStatusLines
	}
	return header, sc.SetReadDeadline(time.Time{})
}

// skipBody reads the body of a response that isn't forwarded, so that the connection can be used on. It returns
// ErrTooLarge, or the connection's error, for a body that is larger than maxSkippedBody or takes longer than
// skipTimeout.
func (sc *serverConn) skipBody(header *fasthttp.ResponseHeader) error {
	if err := sc.SetReadDeadline(time.Now().Add(skipTimeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(sc.body(header), maxSkippedBody+1))
	if err != nil {
		return err
	}
	if n > maxSkippedBody {
		return ErrTooLarge.New("answer of more than %d bytes is not read", maxSkippedBody)
	}
	return sc.SetReadDeadline(time.Time{})
}

// updateReuse records from a response whether and for how long the connection may be reused.
func (sc *serverConn) updateReuse(header *fasthttp.ResponseHeader, meta *ResponseMeta) {
	// A server that refuses without an id can't do so again on this connection, see answers.
	if header.ConnectionClose() || meta.RequestID == "" {
		sc.noReuse = true
	}
	if meta.IdleTimeout > 0 {
		sc.idleLimit = time.Duration(idleShare * float64(meta.IdleTimeout))
	}
}

// framing is how the end of a response body is determined. Its values appear in the log.
type framing string

const (
	framedEmpty  framing = "empty"
	framedLength framing = "length"
	framedChunks framing = "chunks"
	// framedClose is a body that ends when the server closes the connection.
	framedClose framing = "close"
)

func (sc *serverConn) framing(header *fasthttp.ResponseHeader) framing {
	switch length := header.ContentLength(); {
	case sc.head || header.StatusCode() == fasthttp.StatusNoContent || header.StatusCode() == fasthttp.StatusNotModified:
		return framedEmpty
	case length >= 0:
		return framedLength
	case length == -1:
		return framedChunks
	default:
		return framedClose
	}
}

// body returns a reader of the body that follows a header. The reader returns io.EOF only after the complete body.
func (sc *serverConn) body(header *fasthttp.ResponseHeader) io.Reader {
	switch sc.framing(header) {
	case framedEmpty:
		return emptyBody{}
	case framedLength:
		return &sizedBody{reader: sc.reader, left: header.ContentLength()}
	case framedChunks:
		return &chunkedBody{chunks: httputil.NewChunkedReader(sc.reader), reader: sc.reader}
	default:
		sc.noReuse = true
		return sc.reader
	}
}

// emptyBody is the body of a response that has none.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// sizedBody is a body with a Content-Length. left is the number of unread bytes.
type sizedBody struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF when the connection ends early.
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

// chunkedBody is a body in chunks, including the trailer after the last one.
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

// skipTrailer reads up to and including the empty line that ends a chunked body. It returns ErrTooLarge for a trailer of
// more than maxTrailer bytes.
func skipTrailer(reader *bufio.Reader) error {
	for read := 0; ; {
		line, err := reader.ReadSlice('\n')
		if read += len(line); read > maxTrailer {
			return ErrTooLarge.New("trailer of more than %d bytes", maxTrailer)
		}
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
