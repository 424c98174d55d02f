package httpclient

import (
	"errors"
	"net"
	"syscall"
)

// PeerClosed reports whether the peer has closed conn, without reading bytes from it. A connection with
// unread bytes counts as open.
func PeerClosed(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		closed = peekClosed(int(fd))
		return true
	})
	return err != nil || closed
}

func peekClosed(fd int) bool {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		return false
	}
	return err != nil || n == 0
}
