package dispatch

import "time"

// PeerLoad is the load that other gateways have at one server.
type PeerLoad struct {
	Running int
	// WaitingTokens is the number of prompt tokens that wait to be computed, ReservedTokens the number of tokens that
	// running requests reserve in the server's memory.
	WaitingTokens  int
	ReservedTokens int
	// KB is the size of the requests, header and body, in kilobytes.
	KB int
}

// SetPeer sets the load that another gateway has at each server. Nil loads remove the gateway.
func (d *Dispatcher) SetPeer(peer string, loads map[string]PeerLoad) {
	d.addPeerLoads(d.peers[peer], -1)
	if loads == nil {
		delete(d.peers, peer)
		return
	}
	d.peers[peer] = loads
	d.addPeerLoads(loads, 1)
}

// addPeerLoads adds the loads of one gateway, times factor, to the servers.
func (d *Dispatcher) addPeerLoads(loads map[string]PeerLoad, factor int) {
	for id, l := range loads {
		if s := d.servers[id]; s != nil {
			s.peerLoad.Running += factor * l.Running
			s.peerLoad.WaitingTokens += factor * l.WaitingTokens
			s.peerLoad.ReservedTokens += factor * l.ReservedTokens
			s.peerLoad.KB += factor * l.KB
		}
	}
}

// sumPeers sets the peers' load of each server anew, after servers were added.
func (d *Dispatcher) sumPeers() {
	for _, s := range d.servers {
		s.peerLoad = PeerLoad{}
	}
	for _, loads := range d.peers {
		d.addPeerLoads(loads, 1)
	}
}

// Loads returns this gateway's average load by server, to be sent to the other gateways.
func (d *Dispatcher) Loads(now time.Time) map[string]PeerLoad {
	loads := make(map[string]PeerLoad)
	for id, s := range d.servers {
		if load := s.averageLoad(now); load != (PeerLoad{}) {
			loads[id] = load
		}
	}
	return loads
}
