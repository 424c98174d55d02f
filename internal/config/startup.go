package config

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// maxConfirmPeers bounds the peers that a newly started process queries during an outage of the
	// service.
	maxConfirmPeers = 12
	// minConfirmDomains is the number of failure domains that must reply, if the deployment has as many.
	minConfirmDomains = 2
	// maxStartReadsPerSecond bounds the rate of root reads by newly started processes when all processes
	// of the fleet have just started.
	maxStartReadsPerSecond = 500
)

// startUp confirms the version of a newly started process.
//
// Invariant: a process serves only with a version that is not below the one that the service reported or,
// while the service cannot be reached, not below the highest version that peers of two failure domains
// serve with. Peers that are not confirmed themselves reply with version 0 and do not count.
func (s *Propagator) startUp(ctx context.Context, now time.Time) {
	if now.Before(s.nextStartRead) {
		if s.serviceUnreachable {
			s.confirmFromPeers(ctx)
		}
		return
	}
	s.nextStartRead = now.Add(startReadInterval(len(s.options.Peers.Peers(0)) + 1))
	root, err := s.root(ctx, startTimeout)
	s.serviceUnreachable = errorx.IsOfType(err, ErrUnavailable)
	switch {
	case err == nil:
		s.adopt(ctx, root)
	case s.serviceUnreachable:
		s.confirmFromPeers(ctx)
	}
}

// startReadInterval returns the time between two reads of the root by one newly started process when the
// given number of processes have just started.
func startReadInterval(processes int) time.Duration {
	interval := time.Duration(processes) * time.Second / maxStartReadsPerSecond
	return max(interval, exchangeInterval/2)
}

func (s *Propagator) confirm(version uint64, by string) {
	if !s.options.Holder.Ready() && s.options.Holder.Confirm(version) {
		s.options.Logger.Info("configuration confirmed", zap.Uint64("version", version), zap.String("by", by))
	}
}

// confirmFromPeers confirms the highest version that the queried peers serve with, when peers of enough
// failure domains replied. It pulls that version first.
func (s *Propagator) confirmFromPeers(ctx context.Context) {
	replies := s.queryVersions(ctx, selectAcrossDomains(s.options.Peers.Peers(0)))
	needed := min(minConfirmDomains, len(domainsOf(s.options.Self, s.options.Peers.Peers(0))))
	version, domains := highestVersion(replies)
	if version == 0 || domains < needed {
		return
	}
	for _, reply := range replies {
		if reply.version == version {
			s.RecordVersion(version, reply.peer.ControlAddress)
		}
	}
	s.pullWanted(ctx)
	s.confirm(version, "peers")
}

// peerVersion is a confirmed peer and the version that it serves with.
type peerVersion struct {
	peer    Peer
	version uint64
}

func (s *Propagator) queryVersions(ctx context.Context, peers []Peer) []peerVersion {
	var replies []peerVersion
	for _, peer := range peers {
		reply, err := s.notify(ctx, peer)
		if err != nil || reply.GetVersion() == 0 {
			continue
		}
		replies = append(replies, peerVersion{peer: peer, version: reply.GetVersion()})
	}
	return replies
}

// highestVersion returns the highest version of the replies and the number of failure domains that replied.
func highestVersion(replies []peerVersion) (version uint64, domains int) {
	seen := make(map[string]bool)
	for _, reply := range replies {
		seen[reply.peer.FailureDomain] = true
		version = max(version, reply.version)
	}
	return version, len(seen)
}

// selectAcrossDomains returns up to maxConfirmPeers peers, selected round-robin from the failure domains.
func selectAcrossDomains(peers []Peer) []Peer {
	byDomain := make(map[string][]Peer)
	var order []string
	for _, peer := range peers {
		if len(byDomain[peer.FailureDomain]) == 0 {
			order = append(order, peer.FailureDomain)
		}
		byDomain[peer.FailureDomain] = append(byDomain[peer.FailureDomain], peer)
	}
	var chosen []Peer
	for round := 0; len(chosen) < min(maxConfirmPeers, len(peers)); round++ {
		for _, domain := range order {
			if round < len(byDomain[domain]) && len(chosen) < maxConfirmPeers {
				chosen = append(chosen, byDomain[domain][round])
			}
		}
	}
	return chosen
}
