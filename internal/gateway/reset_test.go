package gateway_test

import "net"

// reset ends a connection without the usual close.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
