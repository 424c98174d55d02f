package config

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
)

const (
	// confirmPeers is how many peers a fresh process asks during an outage of the service.
	confirmPeers = 12
	// confirmDomains is how many failure domains must answer, if the deployment has as many.
	confirmDomains = 2
	// startReadsPerSecond bounds the reads of the root by fresh processes, when all processes of
	// the fleet are fresh.
	startReadsPerSecond = 500
)

// startUp confirms the version of a fresh process.
//
// Invariant: a process serves only with a version that is not below what the service said, or,
// while the service cannot be reached, not below the highest that peers of two failure domains
// serve with. Peers that are not confirmed themselves answer with version 0 and do not count.
func (s *Spread) startUp(ctx context.Context, now time.Time) {
	if now.Before(s.nextStartRead) {
		if s.serviceLost {
			s.confirmFromPeers(ctx)
		}
		return
	}
	s.nextStartRead = now.Add(startReadInterval(len(s.options.Peers.Peers(0)) + 1))
	root, err := s.root(ctx, startTimeout)
	s.serviceLost = errorx.IsOfType(err, ErrUnavailable)
	switch {
	case err == nil:
		s.adopt(ctx, root)
	case s.serviceLost:
		s.confirmFromPeers(ctx)
	}
}

// startReadInterval returns the time between two reads of the root by one of n fresh processes.
func startReadInterval(processes int) time.Duration {
	paced := time.Duration(processes) * time.Second / startReadsPerSecond
	return max(paced, exchangeInterval/2)
}

func (s *Spread) confirm(version uint64, by string) {
	if !s.options.Holder.Ready() && s.options.Holder.Confirm(version) {
		s.options.Logger.Info("configuration confirmed", zap.Uint64("version", version), zap.String("by", by))
	}
}

// confirmFromPeers confirms the highest version that peers of enough failure domains serve with.
func (s *Spread) confirmFromPeers(ctx context.Context) {
	answers := s.ask(ctx, spreadOverDomains(s.options.Peers.Peers(0)))
	needed := min(confirmDomains, len(domainsOf(s.options.Self, s.options.Peers.Peers(0))))
	version, domains := highest(answers)
	if version == 0 || domains < needed {
		return
	}
	for _, answer := range answers {
		if answer.version == version {
			s.Heard(version, answer.peer.ControlAddress)
		}
	}
	s.pullWanted(ctx)
	s.confirm(version, "peers")
}

// answer is the version that a confirmed peer serves with.
type answer struct {
	peer    Peer
	version uint64
}

func (s *Spread) ask(ctx context.Context, peers []Peer) []answer {
	var answers []answer
	for _, peer := range peers {
		reply, err := s.notify(ctx, peer)
		if err != nil || reply.GetVersion() == 0 {
			continue
		}
		answers = append(answers, answer{peer: peer, version: reply.GetVersion()})
	}
	return answers
}

// highest returns the highest version of the answers and the number of failure domains that
// answered.
func highest(answers []answer) (version uint64, domains int) {
	seen := make(map[string]bool)
	for _, answer := range answers {
		seen[answer.peer.FailureDomain] = true
		version = max(version, answer.version)
	}
	return version, len(seen)
}

// spreadOverDomains returns up to confirmPeers peers, taking turns between failure domains.
func spreadOverDomains(peers []Peer) []Peer {
	byDomain := make(map[string][]Peer)
	var order []string
	for _, peer := range peers {
		if len(byDomain[peer.FailureDomain]) == 0 {
			order = append(order, peer.FailureDomain)
		}
		byDomain[peer.FailureDomain] = append(byDomain[peer.FailureDomain], peer)
	}
	var chosen []Peer
	for turn := 0; len(chosen) < min(confirmPeers, len(peers)); turn++ {
		for _, domain := range order {
			if turn < len(byDomain[domain]) && len(chosen) < confirmPeers {
				chosen = append(chosen, byDomain[domain][turn])
			}
		}
	}
	return chosen
}
