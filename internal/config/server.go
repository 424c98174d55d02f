package config

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// digestPrefixLength is the number of characters of each digest that a pulling process sends. Content is
// checked against complete digests, so two digests with the same prefix cost at most a second pull.
const digestPrefixLength = 16

// Server handles the configuration calls of other processes.
type Server struct {
	wire.UnimplementedConfigurationServer

	propagator *Propagator
}

// Server returns the gRPC server of the Propagator.
func (s *Propagator) Server() *Server { return &Server{propagator: s} }

// Notify records the caller's version and returns the version that this process serves with, 0 while it is
// not confirmed.
func (s *Server) Notify(_ context.Context, request *wire.NotifyRequest) (*wire.NotifyReply, error) {
	s.propagator.RecordVersion(request.GetVersion(), request.GetFrom())
	reply := &wire.NotifyReply{}
	if snapshot := s.propagator.options.Holder.Current(); snapshot != nil && snapshot.Confirmed {
		reply.Version = snapshot.Version
	}
	return reply, nil
}

// Pull returns the configuration in force without the documents that the caller has. It returns NotFound
// when the version in force is not above the caller's, and ResourceExhausted when the reply would exceed
// the limit on bytes sent to pulling peers.
func (s *Server) Pull(_ context.Context, request *wire.PullRequest) (*wire.PullReply, error) {
	holder := s.propagator.options.Holder
	version := holder.Version()
	if version <= request.GetHaveVersion() {
		return nil, status.Errorf(codes.NotFound, "version %d is in force, not above %d", version, request.GetHaveVersion())
	}
	bundle := holder.Delta(digestsWithPrefix(request.GetHaveDigests(), holder.Digests()))
	if !s.propagator.limiter.AllowN(time.Now(), int(min(bundle.bytes(), pullBurst))) {
		s.propagator.count(func(stats *PropagatorStats) { stats.PullsRefused++ })
		return nil, status.Error(codes.ResourceExhausted, "limit on pulled bytes is exceeded")
	}
	s.propagator.count(func(stats *PropagatorStats) {
		stats.PullsServed++
		stats.BytesServed += bundle.bytes()
	})
	return toReply(bundle), nil
}

// bytes returns the size of the content of a bundle.
func (b Bundle) bytes() uint64 {
	size := len(b.Tree)
	for _, content := range b.Documents {
		size += len(content)
	}
	return uint64(size)
}

func toReply(bundle Bundle) *wire.PullReply {
	reply := &wire.PullReply{
		Version: bundle.Version,
		Digest:  bundle.Digest,
		Root:    bundle.Tree,
	}
	for digest, content := range bundle.Documents {
		reply.Documents = append(reply.Documents, &wire.Document{Digest: digest, Content: content})
	}
	return reply
}

func fromReply(reply *wire.PullReply) Bundle {
	bundle := Bundle{
		Version:   reply.GetVersion(),
		Digest:    reply.GetDigest(),
		Tree:      reply.GetRoot(),
		Documents: make(map[string][]byte, len(reply.GetDocuments())),
	}
	for _, document := range reply.GetDocuments() {
		bundle.Documents[document.GetDigest()] = document.GetContent()
	}
	return bundle
}

// digestPrefixes returns the prefixes of digests that a pull request contains.
func digestPrefixes(digests []string) []string {
	prefixes := make([]string, len(digests))
	for i, digest := range digests {
		prefixes[i] = digest[:min(digestPrefixLength, len(digest))]
	}
	return prefixes
}

// digestsWithPrefix returns the digests whose prefix is in prefixes.
func digestsWithPrefix(prefixes, digests []string) []string {
	sent := make(map[string]bool, len(prefixes))
	for _, prefix := range digestPrefixes(prefixes) {
		sent[prefix] = true
	}
	var have []string
	for i, prefix := range digestPrefixes(digests) {
		if sent[prefix] {
			have = append(have, digests[i])
		}
	}
	return have
}
