package dispatch

// serverMemoryShare is the share of a server's memory that the requests that are known to be in flight to it may take. The rest is
// for the server itself, and for what gateways send within the age of each other's heartbeats.
const serverMemoryShare = 0.5

// bytesPerKB is the unit in which gateways tell each other the bytes of their requests.
const bytesPerKB = 1000

// SetServerMemory sets the memory of a server, in bytes; 0 means that the bytes of requests are not bounded.
//
// Invariant: with a memory set, no request is placed on a server if it would bring the known bytes of the requests there, this
// gateway's and the others', over serverMemoryShare of it.
func (d *Dispatcher) SetServerMemory(bytes int64) {
	d.serverMemory = int64(serverMemoryShare * float64(bytes))
}

// hasMemoryFor reports whether the bytes of the request fit in what the server's memory has left for requests.
func (d *Dispatcher) hasMemoryFor(r *Request, s *server) bool {
	return d.serverMemory <= 0 || s.bytesInFlight()+int64(r.Bytes) <= d.serverMemory
}

// bytesInFlight returns the known bytes of the requests at the server.
func (s *server) bytesInFlight() int64 { return int64(s.bytes) + int64(s.peerLoad.KB)*bytesPerKB }

// addBytes adds to the bytes of this gateway's requests at the server; bytes may be negative.
func (s *server) addBytes(bytes int) { s.bytes = max(0, s.bytes+bytes) }

// kilobytes returns the bytes of this gateway's requests at the server in KB, rounded up.
func (s *server) kilobytes() int { return (s.bytes + bytesPerKB - 1) / bytesPerKB }

// MaxServerBytes returns the known bytes of the requests in flight to the server that has most.
func (d *Dispatcher) MaxServerBytes() int64 {
	var highest int64
	for _, s := range d.servers {
		highest = max(highest, s.bytesInFlight())
	}
	return highest
}
