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

type recentRead struct {
	server string
	at     time.Time
}

// recentParts records which engine last computed the last shared part of a prompt.
type recentParts struct {
	reads map[recentKey]recentRead
}

func newRecentParts() recentParts { return recentParts{reads: make(map[recentKey]recentRead)} }

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
	if len(m.reads) >= recentLimit {
		m.prune(now)
	}
	m.reads[recentKey{salt, part}] = recentRead{server, now}
}

func (m *recentParts) prune(now time.Time) {
	for key, read := range m.reads {
		if now.Sub(read.at) > recentFor {
			delete(m.reads, key)
		}
	}
	if len(m.reads) >= recentLimit {
		clear(m.reads)
	}
}

func (m *recentParts) readBy(salt string, parts []kvcache.Part, server string, now time.Time) bool {
	read, ok := m.reads[recentKey{salt, sharedPart(parts)}]
	return ok && read.server == server && now.Sub(read.at) <= recentFor
}
