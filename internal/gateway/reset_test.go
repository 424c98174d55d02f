package gateway_test

import "net"

// reset closes a connection with a TCP reset instead of the usual FIN.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
