// Package httpserver provides the HTTP server of a stand-in. It can be taken down and started again on the same
// port. Each stand-in owns at least one.
package httpserver

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	maxRequestBytes   = 64 << 20
	maxIdleWorkerTime = 50 * time.Millisecond
	maxListenAttempts = 50
	listenRetryDelay  = 10 * time.Millisecond
)

// Server is one HTTP server on one address.
type Server struct {
	http    *fasthttp.Server
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	serving  sync.WaitGroup
}

// Start listens on address (ip:port, port 0 for any free port) and serves requests with handler. When streamBodies
// is set, the handler reads request bodies as they arrive.
func Start(address string, handler fasthttp.RequestHandler, streamBodies bool) (*Server, error) {
	s := &Server{address: address, conns: map[net.Conn]struct{}{}}
	s.http = &fasthttp.Server{
		Handler:               handler,
		StreamRequestBody:     streamBodies,
		MaxRequestBodySize:    maxRequestBytes,
		MaxIdleWorkerDuration: maxIdleWorkerTime,
		ConnState:             s.trackConn,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		Logger:                silentLogger{},
	}
	if err := s.Up(); err != nil {
		return nil, err
	}
	return s, nil
}

// Address returns the ip:port that the server listens on. It stays the same while the server is down.
func (s *Server) Address() string { return s.address }

// Up listens on the same address again after Down. It does nothing when the server is up.
func (s *Server) Up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	listener, err := listen(s.address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.address = listener.Addr().String()
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		_ = s.http.Serve(listener)
	}()
	return nil
}

// Down stops listening and closes every connection, so that new connections are refused.
func (s *Server) Down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Stop takes the server down and waits until its handlers have ended.
func (s *Server) Stop() {
	s.Down()
	s.serving.Wait()
}

// trackConn records the open connections. Each counts as serving until its handler has ended.
func (s *Server) trackConn(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[conn] = struct{}{}
		s.serving.Add(1)
		if s.listener == nil {
			_ = conn.Close()
		}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, conn)
		s.serving.Done()
	}
}

// listen retries while connections of the previous listener still occupy the port.
func listen(address string) (net.Listener, error) {
	var err error
	for range maxListenAttempts {
		var listener net.Listener
		listener, err = net.Listen("tcp4", address)
		if err == nil {
			return listener, nil
		}
		time.Sleep(listenRetryDelay)
	}
	return nil, err
}

type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}
