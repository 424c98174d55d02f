// Package loopback provides addresses for tests to listen on. Only tests and their support packages use it.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("loopback")

// ErrNoAddress means that no free address was found.
var ErrNoAddress = namespace.NewType("no_address")

const (
	firstPort = 10000
	portCount = 20000
	// valuesPerByte is the number of values that FreeAddress uses for each byte of an IP after the first.
	valuesPerByte = 250
	maxTries      = 100
)

var issued atomic.Uint32

// FreeAddress returns an ip:port in 127.0.0.0/8 that is free for TCP and UDP and that no later call
// returns. The IP is derived from the process id, and the port is below the range of outgoing connections,
// because a port that the kernel picks on 127.0.0.1 may be in use again before the test listens on it. It
// returns ErrNoAddress when no address is free.
func FreeAddress() (string, error) {
	for range maxTries {
		address := nextAddress()
		if isFree(address) {
			return address, nil
		}
	}
	return "", ErrNoAddress.New("no free address in %d tries", maxTries)
}

func nextAddress() string {
	pid := os.Getpid()
	n := int(issued.Add(1)) % portCount
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%valuesPerByte, 1+pid/valuesPerByte%valuesPerByte,
		1+pid/valuesPerByte/valuesPerByte%valuesPerByte, firstPort+n)
}

func isFree(address string) bool {
	// A process that is forked meanwhile would hold the address for a moment longer.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = packets.Close()
	return true
}
