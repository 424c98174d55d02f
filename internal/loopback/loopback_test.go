package loopback

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAddressesAreFreeAndDiffer(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for range 100 {
		address, err := FreeAddress()
		c.Assert(err, qt.IsNil)
		c.Assert(seen[address], qt.IsFalse)
		seen[address] = true
		listener, err := net.Listen("tcp4", address)
		c.Assert(err, qt.IsNil)
		defer listener.Close()
	}
}
