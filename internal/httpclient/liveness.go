package httpclient

import (
	"errors"
	"net"
	"syscall"
)

// peerState is what a connection has to read without waiting.
type peerState int

const (
	peerQuiet peerState = iota
	peerSent
	peerClosed
)

// PeerClosed reports whether the peer has closed conn, without reading bytes from it. A connection with
// unread bytes counts as open.
func PeerClosed(conn net.Conn) bool { return peek(conn) == peerClosed }

// peek returns the state of conn without reading bytes from it. A connection that isn't of the operating system counts as
// quiet.
func peek(conn net.Conn) peerState {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return peerQuiet
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return peerClosed
	}
	state := peerQuiet
	err = raw.Read(func(fd uintptr) bool {
		state = peekSocket(int(fd))
		return true
	})
	if err != nil {
		return peerClosed
	}
	return state
}

func peekSocket(fd int) peerState {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return peerQuiet
	case err != nil || n == 0:
		return peerClosed
	default:
		return peerSent
	}
}
