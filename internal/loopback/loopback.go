// Package loopback gives tests addresses to listen on. Only tests and the test support use it.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("loopback")

// ErrNoAddress means that no free address was found.
var ErrNoAddress = namespace.NewType("no_address")

const (
	firstPort = 10000
	ports     = 20000
	// hosts is the number of values that one byte of an address takes here.
	hosts = 250
	tries = 100
)

var given atomic.Uint32

// FreeAddress returns an ip:port in 127.0.0.0/8 that is free for TCP and UDP and that no later call
// returns. The address belongs to this process id, and its port lies below the range of outgoing
// connections: a port that the kernel picks on 127.0.0.1 may be taken again before it is listened on.
func FreeAddress() (string, error) {
	for range tries {
		address := next()
		if free(address) {
			return address, nil
		}
	}
	return "", ErrNoAddress.New("no free address in %d tries", tries)
}

func next() string {
	pid := os.Getpid()
	n := int(given.Add(1)) % ports
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid%hosts, 1+pid/hosts%hosts, 1+pid/hosts/hosts%hosts, firstPort+n)
}

func free(address string) bool {
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
