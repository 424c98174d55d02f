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

// Peers provides the live processes of the system according to the instance list, which lags.
type Peers interface {
	// Peers returns up to n processes other than the calling one, chosen at random; all when n is 0.
	Peers(n int) []Peer
	// Count returns how many processes Peers(0) would return.
	Count() int
}

// Messenger sends configuration calls to the process at a control address.
type Messenger interface {
	Notify(ctx context.Context, address string, request *wire.NotifyRequest) (*wire.NotifyReply, error)
	Pull(ctx context.Context, address string, request *wire.PullRequest) (*wire.PullReply, error)
}

// watchersPerDomain is the number of processes per failure domain that watch the root.
const watchersPerDomain = 2

var watchKey = rendezvous.Hash("config/watch")

// shouldWatch reports whether self ranks among the watchers of its failure domain. Processes with different
// instance lists may compute different watchers. An additional watcher costs one pending call; when one is
// missing, the watchers of other domains and the periodic reads of the root deliver the changes.
func shouldWatch(self Peer, others []Peer) bool {
	ownWeight := rendezvous.Weight(watchKey, rendezvous.Hash(self.Instance))
	higherRanked := 0
	for _, other := range others {
		if other.FailureDomain != self.FailureDomain || other.Instance == self.Instance {
			continue
		}
		if rendezvous.Weight(watchKey, rendezvous.Hash(other.Instance)) > ownWeight {
			higherRanked++
		}
	}
	return higherRanked < watchersPerDomain
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
