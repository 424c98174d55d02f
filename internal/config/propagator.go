package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"balsamyoke.example/balsamyoke/internal/wire"
)

// Timing and limits of the propagation of versions.
const (
	// exchangeInterval is the mean time between two comparisons of versions with a random peer.
	exchangeInterval = time.Second
	// fanOut is the number of random peers that a process notifies of a new version.
	fanOut = 3
	// callTimeout bounds one exchange with a peer. pullTimeout bounds one pull, which may transfer a
	// complete configuration over a slow link.
	callTimeout = time.Second
	pullTimeout = 3 * time.Second
	// serviceTimeout bounds one read of the root; startTimeout bounds it in a process that is not yet
	// confirmed.
	serviceTimeout = 4 * time.Second
	startTimeout   = 2 * time.Second
	// loadTimeout bounds the reads of the documents of one version: first the tree, then all other
	// documents concurrently.
	loadTimeout = 2 * serviceTimeout
	// maxSources bounds the recorded peers that have the wanted version.
	maxSources = 4
	// pullBytesPerSecond and pullBurst, in bytes, limit what a process sends to peers that pull.
	pullBytesPerSecond = 12 << 10
	pullBurst          = 2 << 20
)

// PropagatorOptions configures a Propagator. All but Logger are required.
type PropagatorOptions struct {
	Self      Peer
	Holder    *Holder
	Store     *Store
	Peers     Peers
	Messenger Messenger
	Logger    *zap.Logger
}

// PropagatorStats counts the calls of a Propagator.
type PropagatorStats struct {
	Notifies     uint64 `json:"notifies"`      // calls that reported the version to a peer
	Pulls        uint64 `json:"pulls"`         // calls that fetched from a peer
	PullsServed  uint64 `json:"pulls_served"`  // replies to pulling peers
	PullsRefused uint64 `json:"pulls_refused"` // pulls over the limit
	BytesPulled  uint64 `json:"bytes_pulled"`  // payload received by pulls
	BytesServed  uint64 `json:"bytes_served"`  // payload sent to pulling peers
	RootReads    uint64 `json:"root_reads"`    // reads of the root in the service
	Watches      uint64 `json:"watches"`       // watches opened
	Watching     bool   `json:"watching"`
}

// Propagator keeps the Holder of a process up to date by a gossip protocol.
//
// A few processes of each failure domain watch the root. A process that adopts a version notifies fanOut
// random peers, which pull what they lack. Each second every process compares versions with one random
// peer, and the one that is behind pulls; so versions also arrive when notifications are lost. Run does
// this on one goroutine. The watch and the periodic reads of the root use their own goroutines, since a
// slow service must not delay the exchange between processes.
type Propagator struct {
	options PropagatorOptions
	limiter *rate.Limiter
	stepDue chan struct{}

	// nextStartRead is when an unconfirmed process may read the root again. serviceUnreachable reports
	// whether its last read got no response. Only the goroutine of Run uses the two.
	nextStartRead      time.Time
	serviceUnreachable bool

	// reading is true while a periodic read of the root is in progress; readers runs it.
	reading atomic.Bool
	readers sync.WaitGroup

	mu        sync.Mutex
	wanted    uint64   // highest version that a peer reported above the one in force; 0 when there is none
	sources   []string // control addresses that have the wanted version
	announced uint64   // highest version that peers were notified of
	nextRead  time.Time
	stats     PropagatorStats
}

// NewPropagator returns a Propagator that does nothing until Run is called. It serves
// wire.ConfigurationServer through Server.
func NewPropagator(options PropagatorOptions) *Propagator {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	s := &Propagator{
		options: options,
		limiter: rate.NewLimiter(pullBytesPerSecond, pullBurst),
		stepDue: make(chan struct{}, 1),
	}
	options.Holder.Subscribe(func(*Snapshot) { s.requestStep() })
	return s
}

// Run propagates and adopts versions until ctx ends.
func (s *Propagator) Run(ctx context.Context) {
	watcher := &watcher{propagator: s, startedAt: time.Now()}
	defer watcher.stop()
	defer s.readers.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.stepDue:
			s.step(ctx)
		case <-timer.C:
			watcher.updateWatch(ctx)
			s.tick(ctx, time.Now())
			timer.Reset(jitter(exchangeInterval))
		}
	}
}

// tick does the periodic work: the start-up confirmation, a periodic read of the root when it is due, and
// one exchange with a random peer.
func (s *Propagator) tick(ctx context.Context, now time.Time) {
	if !s.options.Holder.Ready() {
		s.startUp(ctx, now)
	}
	if s.readDue(now) {
		s.readRootAsync(ctx)
	}
	for _, peer := range s.options.Peers.Peers(1) {
		s.exchange(ctx, peer)
	}
	s.step(ctx)
}

// step pulls the wanted version and notifies peers of a newly adopted one.
func (s *Propagator) step(ctx context.Context) {
	s.pullWanted(ctx)
	if !s.announceDue() {
		return
	}
	for _, peer := range s.options.Peers.Peers(fanOut) {
		s.exchange(ctx, peer)
	}
}

func (s *Propagator) announceDue() bool {
	version := s.options.Holder.Version()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.announced {
		return false
	}
	s.announced = version
	return true
}

// exchange sends the version of this process to a peer and records the peer's version.
func (s *Propagator) exchange(ctx context.Context, peer Peer) {
	reply, err := s.notify(ctx, peer)
	if err != nil {
		return
	}
	s.RecordVersion(reply.GetVersion(), peer.ControlAddress)
}

func (s *Propagator) notify(ctx context.Context, peer Peer) (*wire.NotifyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.NotifyRequest{From: s.options.Self.ControlAddress}
	if snapshot := s.options.Holder.Current(); snapshot != nil {
		request.Version = snapshot.Version
		request.Digest = snapshot.Digest
	}
	s.count(func(stats *PropagatorStats) { stats.Notifies++ })
	return s.options.Messenger.Notify(ctx, peer.ControlAddress, request)
}

// RecordVersion records that the process at a control address has a version. Callers may report the version of
// any message; it is pulled when it is above the one in force.
func (s *Propagator) RecordVersion(version uint64, address string) {
	if version <= s.options.Holder.Version() || address == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.wanted {
		return
	}
	if version > s.wanted {
		s.wanted = version
		s.sources = s.sources[:0]
	}
	if len(s.sources) < maxSources {
		s.sources = append(s.sources, address)
	}
	s.requestStep()
}

// requestStep makes Run call step soon. It does not block.
func (s *Propagator) requestStep() {
	select {
	case s.stepDue <- struct{}{}:
	default:
	}
}

// pullWanted pulls the wanted version from the processes that have it, one after the other, until it or a
// later version is in force or no source is left.
func (s *Propagator) pullWanted(ctx context.Context) {
	for {
		address, ok := s.nextSource()
		if !ok {
			return
		}
		if err := s.pull(ctx, address); err != nil {
			s.options.Logger.Debug("configuration not pulled", zap.String("from", address), zap.Error(err))
		}
	}
}

// nextSource removes and returns one source while the wanted version is above the one in force. When no
// source is left it resets the wanted version, so that a lower version can be pulled meanwhile.
func (s *Propagator) nextSource() (string, bool) {
	version := s.options.Holder.Version()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version >= s.wanted || len(s.sources) == 0 {
		s.sources = s.sources[:0]
		s.wanted = 0
		return "", false
	}
	address := s.sources[0]
	s.sources = s.sources[1:]
	return address, true
}

// pull fetches the documents that this process lacks from the process at address and offers the version to
// the Holder.
func (s *Propagator) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s.count(func(stats *PropagatorStats) { stats.Pulls++ })
	reply, err := s.options.Messenger.Pull(ctx, address, &wire.PullRequest{
		HaveVersion: s.options.Holder.Version(),
		HaveDigests: digestPrefixes(s.options.Holder.Digests()),
	})
	if err != nil {
		return ErrUnavailable.Wrap(err, "configuration cannot be pulled from peer %s", address)
	}
	bundle := fromReply(reply)
	s.count(func(stats *PropagatorStats) { stats.BytesPulled += bundle.bytes() })
	accepted, err := s.options.Holder.Offer(bundle)
	if accepted {
		s.options.Logger.Info("configuration in force", zap.Uint64("version", bundle.Version), zap.String("from", address))
	}
	return err
}

// Stats returns the counts so far.
func (s *Propagator) Stats() PropagatorStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Propagator) count(change func(*PropagatorStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// jitter returns a random duration between three and five quarters of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
