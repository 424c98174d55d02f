package config

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// digestPrefixLength is how many characters of each digest a pulling process sends. Content is
// checked against whole digests, so a shared prefix costs a second pull at most.
const digestPrefixLength = 16

// Server answers the configuration calls of other processes.
type Server struct {
	wire.UnimplementedConfigurationServer

	spread *Spread
}

// Server returns the gRPC side of the Spread.
func (s *Spread) Server() *Server { return &Server{spread: s} }

// Notify notes the caller's version and returns the version this process serves with, 0 when it
// is not confirmed.
func (s *Server) Notify(_ context.Context, request *wire.NotifyRequest) (*wire.NotifyReply, error) {
	s.spread.Heard(request.GetVersion(), request.GetFrom())
	reply := &wire.NotifyReply{}
	if snapshot := s.spread.options.Holder.Current(); snapshot != nil && snapshot.Confirmed {
		reply.Version = snapshot.Version
	}
	return reply, nil
}

// Pull returns the configuration in force without the documents that the caller has. It returns
// ResourceExhausted while this process has sent too much.
func (s *Server) Pull(_ context.Context, request *wire.PullRequest) (*wire.PullReply, error) {
	holder := s.spread.options.Holder
	version := holder.Version()
	if version <= request.GetHaveVersion() {
		return nil, status.Errorf(codes.NotFound, "version %d is in force, not above %d", version, request.GetHaveVersion())
	}
	bundle := holder.Delta(expand(request.GetHaveDigests(), holder.Digests()))
	if !s.spread.limiter.AllowN(time.Now(), int(min(bundle.bytes(), pullBurst))) {
		s.spread.count(func(stats *SpreadStats) { stats.PullsRefused++ })
		return nil, status.Error(codes.ResourceExhausted, "too many bytes pulled")
	}
	s.spread.count(func(stats *SpreadStats) {
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

// shorten returns the prefixes of digests that a pull sends.
func shorten(digests []string) []string {
	prefixes := make([]string, len(digests))
	for i, digest := range digests {
		prefixes[i] = digest[:min(digestPrefixLength, len(digest))]
	}
	return prefixes
}

// expand returns those of our digests whose prefix the caller sent.
func expand(prefixes, digests []string) []string {
	sent := make(map[string]bool, len(prefixes))
	for _, prefix := range shorten(prefixes) {
		sent[prefix] = true
	}
	var have []string
	for i, prefix := range shorten(digests) {
		if sent[prefix] {
			have = append(have, digests[i])
		}
	}
	return have
}
