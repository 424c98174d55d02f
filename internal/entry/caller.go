package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// callerCheckInterval is how often a waiting request checks whether its caller is still connected.
const callerCheckInterval = 50 * time.Millisecond

// callerWatch cancels a run when the caller's connection ends before the response starts. The HTTP library
// does not detect this itself, because it reads nothing from the connection while a handler runs.
type callerWatch struct {
	stopOnce sync.Once
	stopped  chan struct{}
}

// watchCaller checks the connection until stop is called, and calls cancel once it has ended. A caller that
// half-closes its connection counts as disconnected.
func watchCaller(conn net.Conn, cancel context.CancelFunc) *callerWatch {
	watch := &callerWatch{stopped: make(chan struct{})}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return watch
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return watch
	}
	go watch.run(rawConn, cancel)
	return watch
}

func (w *callerWatch) run(conn syscall.RawConn, cancel context.CancelFunc) {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
		if connEnded(conn) {
			cancel()
			return
		}
	}
}

// connEnded reports whether the connection has ended. It peeks without consuming bytes or blocking.
func connEnded(conn syscall.RawConn) bool {
	ended := false
	err := conn.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = (n == 0 && err == nil) || errors.Is(err, syscall.ECONNRESET)
	})
	return err != nil || ended
}

func (w *callerWatch) stop() { w.stopOnce.Do(func() { close(w.stopped) }) }
