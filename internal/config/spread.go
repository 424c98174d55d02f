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

// How versions spread.
const (
	// exchangeInterval is the time between two comparisons of versions with a random peer.
	exchangeInterval = time.Second
	// fanOut is how many peers are told of a new version.
	fanOut = 3
	// callTimeout bounds one exchange with a peer, pullTimeout one pull of up to a whole
	// configuration over a slow link.
	callTimeout = time.Second
	pullTimeout = 3 * time.Second
	// serviceTimeout bounds one read of the root, and startTimeout that of a fresh process.
	serviceTimeout = 4 * time.Second
	startTimeout   = 2 * time.Second
	// loadTimeout bounds the reads of the documents of one version: tree, then the rest at once.
	loadTimeout = 2 * serviceTimeout
	// maxSources bounds the peers remembered as having a wanted version.
	maxSources = 4
	// pullBytesPerSecond and pullBurst bound what a process sends to peers that pull.
	pullBytesPerSecond = 12 << 10
	pullBurst          = 2 << 20
)

// SpreadOptions are what a Spread works with. All but Logger are required.
type SpreadOptions struct {
	Self      Peer
	Holder    *Holder
	Store     *Store
	Peers     Peers
	Messenger Messenger
	Logger    *zap.Logger
}

// SpreadStats counts the calls of a Spread.
type SpreadStats struct {
	Notifies     uint64 `json:"notifies"`      // calls that told a peer of a version
	Pulls        uint64 `json:"pulls"`         // calls that fetched from a peer
	PullsServed  uint64 `json:"pulls_served"`  // answers to pulling peers
	PullsRefused uint64 `json:"pulls_refused"` // pulls over the limit
	BytesPulled  uint64 `json:"bytes_pulled"`  // payload received by pulls
	BytesServed  uint64 `json:"bytes_served"`  // payload sent to pulling peers
	RootReads    uint64 `json:"root_reads"`    // reads of the root in the service
	Watches      uint64 `json:"watches"`       // watches opened
	Watching     bool   `json:"watching"`
}

// Spread keeps a Holder up to date.
//
// A few processes of each failure domain watch the root. A process that adopts a version tells
// fanOut random peers, which pull what they lack. Each second every process compares versions
// with one random peer, whichever is behind pulls; so versions arrive also when the telling is
// lost. Run drives this on one goroutine; the watch and the paced reads of the root have their own,
// since a slow service must not hold up the exchange between processes.
type Spread struct {
	options SpreadOptions
	limiter *rate.Limiter
	wake    chan struct{}

	// nextStartRead is when a fresh process may read the root again; serviceLost says that its last
	// read got no answer. Both belong to the goroutine of Run.
	nextStartRead time.Time
	serviceLost   bool

	// reading says that a paced read of the root is under way; readers runs it.
	reading atomic.Bool
	readers sync.WaitGroup

	mu        sync.Mutex
	wanted    uint64   // highest version heard of
	sources   []string // control addresses that have the wanted version
	announced uint64   // highest version told to peers
	nextRead  time.Time
	stats     SpreadStats
}

// NewSpread returns a Spread that does nothing until Run is called. It serves
// wire.ConfigurationServer through Server.
func NewSpread(options SpreadOptions) *Spread {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	s := &Spread{
		options: options,
		limiter: rate.NewLimiter(pullBytesPerSecond, pullBurst),
		wake:    make(chan struct{}, 1),
	}
	options.Holder.Subscribe(func(*Snapshot) { s.poke() })
	return s
}

// Run spreads and adopts versions until ctx ends.
func (s *Spread) Run(ctx context.Context) {
	watcher := &watcher{spread: s, began: time.Now()}
	defer watcher.stop()
	defer s.readers.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.step(ctx)
		case <-timer.C:
			watcher.rank(ctx)
			s.tick(ctx, time.Now())
			timer.Reset(jitter(exchangeInterval))
		}
	}
}

// tick does what is due: start-up confirmation, a paced read of the root, one exchange.
func (s *Spread) tick(ctx context.Context, now time.Time) {
	if !s.options.Holder.Ready() {
		s.startUp(ctx, now)
	}
	if s.readDue(now) {
		s.readBeside(ctx)
	}
	for _, peer := range s.options.Peers.Peers(1) {
		s.exchange(ctx, peer)
	}
	s.step(ctx)
}

// step pulls a wanted version and tells peers of a new one.
func (s *Spread) step(ctx context.Context) {
	s.pullWanted(ctx)
	if !s.announceDue() {
		return
	}
	for _, peer := range s.options.Peers.Peers(fanOut) {
		s.exchange(ctx, peer)
	}
}

func (s *Spread) announceDue() bool {
	version := s.options.Holder.Version()
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.announced {
		return false
	}
	s.announced = version
	return true
}

// exchange tells a peer our version and learns its version.
func (s *Spread) exchange(ctx context.Context, peer Peer) {
	reply, err := s.notify(ctx, peer)
	if err != nil {
		return
	}
	s.Heard(reply.GetVersion(), peer.ControlAddress)
}

func (s *Spread) notify(ctx context.Context, peer Peer) (*wire.NotifyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &wire.NotifyRequest{From: s.options.Self.ControlAddress}
	if snapshot := s.options.Holder.Current(); snapshot != nil {
		request.Version = snapshot.Version
		request.Digest = snapshot.Digest
	}
	s.count(func(stats *SpreadStats) { stats.Notifies++ })
	return s.options.Messenger.Notify(ctx, peer.ControlAddress, request)
}

// Heard notes that the process at a control address has a version. Any message that carries a
// version may be passed on; the version is pulled when it is above the one in force.
func (s *Spread) Heard(version uint64, address string) {
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
	s.poke()
}

// poke wakes Run.
func (s *Spread) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pullWanted pulls the wanted version from the processes that have it, until one answers.
func (s *Spread) pullWanted(ctx context.Context) {
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

// nextSource takes one source while the wanted version is above the one in force. Without a
// source left the version is forgotten, so that a lower one can be pulled meanwhile.
func (s *Spread) nextSource() (string, bool) {
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

// pull fetches what the process at address has and we lack.
func (s *Spread) pull(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s.count(func(stats *SpreadStats) { stats.Pulls++ })
	reply, err := s.options.Messenger.Pull(ctx, address, &wire.PullRequest{
		HaveVersion: s.options.Holder.Version(),
		HaveDigests: shorten(s.options.Holder.Digests()),
	})
	if err != nil {
		return ErrUnavailable.Wrap(err, "peer %s", address)
	}
	bundle := fromReply(reply)
	s.count(func(stats *SpreadStats) { stats.BytesPulled += bundle.bytes() })
	accepted, err := s.options.Holder.Offer(bundle)
	if accepted {
		s.options.Logger.Info("configuration in force", zap.Uint64("version", bundle.Version), zap.String("from", address))
	}
	return err
}

// Stats returns the counts so far.
func (s *Spread) Stats() SpreadStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Spread) count(change func(*SpreadStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// jitter returns a duration between three and five quarters of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
