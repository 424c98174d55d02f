package config

import (
	"context"
	"slices"

	"balsamyoke.example/balsamyoke/internal/rendezvous"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Peer is another process of the system.
type Peer struct {
	Instance       string
	ControlAddress string // ip:port
	FailureDomain  string
}

// Peers knows the live processes of the system, as far as the lagging instance list tells.
type Peers interface {
	// Peers returns up to n processes other than the calling one, drawn at random; all when n is 0.
	Peers(n int) []Peer
	// Count returns how many processes Peers(0) would return.
	Count() int
}

// Messenger carries configuration calls to the process at a control address.
type Messenger interface {
	Notify(ctx context.Context, address string, request *wire.NotifyRequest) (*wire.NotifyReply, error)
	Pull(ctx context.Context, address string, request *wire.PullRequest) (*wire.PullReply, error)
}

// watchersPerDomain is how many processes of a failure domain watch the root.
const watchersPerDomain = 2

var watchKey = rendezvous.Hash("config/watch")

// watches tells whether self ranks among the watchers of its failure domain. Processes with
// different lists may disagree; an extra watcher costs one waiting call, and a missing one is
// made good by the watchers of other domains and by the paced reads of the root.
func watches(self Peer, others []Peer) bool {
	own := rendezvous.Weight(watchKey, rendezvous.Hash(self.Instance))
	ahead := 0
	for _, other := range others {
		if other.FailureDomain != self.FailureDomain || other.Instance == self.Instance {
			continue
		}
		if rendezvous.Weight(watchKey, rendezvous.Hash(other.Instance)) > own {
			ahead++
		}
	}
	return ahead < watchersPerDomain
}

// domainsOf returns the failure domains of peers and self, sorted.
func domainsOf(self Peer, peers []Peer) []string {
	domains := []string{self.FailureDomain}
	for _, peer := range peers {
		domains = append(domains, peer.FailureDomain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}
