package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/kvcache"
)

const (
	// recentFor is how long an engine's memory is expected to keep a prompt that the engine has computed.
	recentFor = 2 * time.Second
	// recentLimit bounds the number of recorded prompts: several seconds' worth at a gateway's peak load.
	recentLimit = 2048
)

type recentKey struct {
	salt string
	part string
}

type recentCompute struct {
	server string
	at     time.Time
}

// recentParts records which engine last computed the last shared part of a prompt.
type recentParts struct {
	computed map[recentKey]recentCompute
}

func newRecentParts() recentParts { return recentParts{computed: make(map[recentKey]recentCompute)} }

// sharedPart returns the id of the last part that other prompts may share, or "" if there is none.
func sharedPart(parts []kvcache.Part) string {
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

func (m *recentParts) record(salt string, parts []kvcache.Part, server string, now time.Time) {
	part := sharedPart(parts)
	if part == "" {
		return
	}
	if len(m.computed) >= recentLimit {
		m.prune(now)
	}
	m.computed[recentKey{salt, part}] = recentCompute{server, now}
}

func (m *recentParts) prune(now time.Time) {
	for key, entry := range m.computed {
		if now.Sub(entry.at) > recentFor {
			delete(m.computed, key)
		}
	}
	if len(m.computed) >= recentLimit {
		clear(m.computed)
	}
}

func (m *recentParts) computedBy(salt string, parts []kvcache.Part, server string, now time.Time) bool {
	entry, ok := m.computed[recentKey{salt, sharedPart(parts)}]
	return ok && entry.server == server && now.Sub(entry.at) <= recentFor
}
