package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// callerCheckInterval is how often a waiting request looks whether its caller is still there.
const callerCheckInterval = 50 * time.Millisecond

// callerWatch cancels a run when its caller's connection ends before the answer begins: the HTTP
// library reads nothing from the connection while a handler runs.
type callerWatch struct {
	stopOnce sync.Once
	stopped  chan struct{}
}

// watchCaller peeks at the connection until stop is called. A caller that half-closes its
// connection counts as gone.
func watchCaller(conn net.Conn, gone context.CancelFunc) *callerWatch {
	watch := &callerWatch{stopped: make(chan struct{})}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return watch
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return watch
	}
	go watch.run(rawConn, gone)
	return watch
}

func (w *callerWatch) run(conn syscall.RawConn, gone context.CancelFunc) {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
		if connEnded(conn) {
			gone()
			return
		}
	}
}

// connEnded peeks for the end of the stream without taking bytes or waiting.
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
