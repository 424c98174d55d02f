package agent

import (
	"context"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/attempt"
	"balsamyoke.example/balsamyoke/internal/cacheindex"
	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/transfer"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// cache is the agent's part in placing and moving KV cache: the index of its engine's cache, the
// mover between engine and stores, and the announcements to the location directory. Only the control
// goroutine accesses it.
type cache struct {
	instance       string
	tokensPerPiece func() int
	index          *cacheindex.Index
	announcer      *directory.Announcer
	mover          *transfer.Mover
	// lookupPieces maps the pieces of recent dispatches to their lookup pieces, by which the directory
	// is queried. olderLookupPieces is the previous map: together they are bounded by about twice
	// maxLookupPieces.
	lookupPieces      map[piece.Name]piece.Name
	olderLookupPieces map[piece.Name]piece.Name
}

// exportGrace bounds how long a leaving agent continues to export after its last run.
const exportGrace = 5 * time.Second

// maxLookupPieces is the size at which lookupPieces replaces olderLookupPieces.
const maxLookupPieces = 1 << 15

// startCache creates the cache index and the mover. Transfers end with ctx.
func (a *Agent) startCache(ctx context.Context) {
	now := time.Now()
	c := &cache{
		instance:       a.settings.Instance,
		tokensPerPiece: a.pieceTokens,
		index:          cacheindex.New(),
		announcer:      directory.NewAnnouncer(directory.NewRing(nil), 0),
		lookupPieces:   make(map[piece.Name]piece.Name),
	}
	c.mover = transfer.NewMover(ctx, transfer.Settings{
		FailureDomain:  a.settings.FailureDomain,
		BytesPerSecond: float64(a.settings.LinkBytesPerSecond),
	}, transfer.Dependencies{
		Loop:      a.loop,
		Engine:    a.engine,
		Directory: a.directory,
		Observer:  c,
		Scope:     a.registry.Scope.SubScope("cache"),
	}, uint64(now.UnixNano()), now)
	a.loop.Call(func() { a.cache = c })
}

// stopCache closes the connections to stores and directory owners.
func (a *Agent) stopCache() {
	a.loop.Call(func() {
		if a.cache != nil {
			a.cache.mover.Close()
		}
	})
	a.directory.Close()
}

// pieceTokens returns the estimated tokens of one piece of prompt text.
func (a *Agent) pieceTokens() int {
	snapshot := a.configuration.Current()
	if snapshot == nil {
		return piece.Tokens(piece.DefaultBytes)
	}
	return piece.Tokens(snapshot.Index.Manifest().PieceBytes)
}

// Imported implements transfer.Observer.
func (c *cache) Imported(name piece.Name) { c.index.AddUnconfirmed(name, time.Now()) }

// NotCached implements transfer.Observer.
func (c *cache) NotCached(name piece.Name) { c.index.Remove(name) }

// Stored implements transfer.Observer.
func (c *cache) Stored(location transfer.Location, lookupPiece piece.Name) {
	c.announcer.AddHolding(directory.Holding{
		Piece:      location.Piece,
		Holder:     location.Store,
		Tier:       wire.Tier_TIER_STORE_MEMORY,
		Generation: location.Generation,
		Bytes:      location.Bytes,
	}, lookupPiece)
}

// Lost implements transfer.Observer.
func (c *cache) Lost(location transfer.Location) {
	c.announcer.RemoveHolding(location.Piece, location.Store)
}

// addLookupPieces records the lookup pieces of a prompt's pieces, for their announcement.
func (c *cache) addLookupPieces(names []piece.Name) {
	if len(c.lookupPieces) >= maxLookupPieces {
		c.olderLookupPieces = c.lookupPieces
		c.lookupPieces = make(map[piece.Name]piece.Name)
	}
	for i, name := range names {
		c.lookupPieces[name] = names[directory.LookupIndex(i)]
	}
}

// lookupPieceOf returns the lookup piece of a piece. For a piece without a recorded one, such as after
// a restart of the agent, it returns the piece itself: lookups find it if it is a lookup piece.
func (c *cache) lookupPieceOf(name piece.Name) piece.Name {
	if lookupPiece, ok := c.lookupPieces[name]; ok {
		return lookupPiece
	}
	if lookupPiece, ok := c.olderLookupPieces[name]; ok {
		return lookupPiece
	}
	return name
}

// announceChanges passes the pieces that the engine's cache gained and lost to the announcer.
func (c *cache) announceChanges() {
	for _, change := range c.index.TakeChanges() {
		if !change.Present {
			c.announcer.RemoveHolding(change.Piece, c.instance)
			continue
		}
		c.announcer.AddHolding(directory.Holding{
			Piece:  change.Piece,
			Holder: c.instance,
			Tier:   wire.Tier_TIER_REPLICA,
		}, c.lookupPieceOf(change.Piece))
	}
}

// prompt returns the mover's description of a dispatch; queueTime is the time until the run could start.
// It returns false for plain services and for dispatches without valid piece names.
func (a *Agent) prompt(d *wire.Dispatch, queueTime time.Duration, now time.Time) (transfer.Prompt, bool) {
	names, err := piece.NamesFromBytes(d.GetPieces())
	if err != nil || a.cache == nil || len(names) == 0 {
		return transfer.Prompt{}, false
	}
	prefillPerToken := time.Duration(a.settings.PrefillUSPerToken) * time.Microsecond
	tokensPerPiece := a.cache.tokensPerPiece()
	restTokens := max(0, int(d.GetPromptTokens())-len(names)*tokensPerPiece)
	return transfer.Prompt{
		Names:        names,
		Cached:       a.cache.index.Prefix(names, now),
		Patient:      d.GetUrgency() == wire.Urgency_URGENCY_PATIENT,
		Queue:        queueTime,
		PiecePrefill: time.Duration(tokensPerPiece) * prefillPerToken,
		RestPrefill:  time.Duration(restTokens) * prefillPerToken,
		Deadline:     time.Duration(d.GetDeadlineMs()) * time.Millisecond,
		PieceTokens:  tokensPerPiece,
	}, true
}

// locateFirst looks up the stores of a prompt when the deadline can't be met without them and their
// locations are not recorded. It then returns true and calls next on the control goroutine after the
// lookup. Otherwise it returns false.
func (a *Agent) locateFirst(d *wire.Dispatch, now time.Time, next func()) bool {
	wait := a.state.queue.Predict(now, a.queueJob(attempt.ID{}, d, now)) + a.state.prefills.wait(d.GetUrgency(), now)
	prompt, ok := a.prompt(d, wait, now)
	if !ok || a.cache.mover.Estimate(prompt, now).TTFT <= prompt.Deadline {
		return false
	}
	return a.cache.mover.Locate(prompt, next)
}

// addCacheEstimate adds to a probe reply which pieces the engine holds and which could be fetched.
func (a *Agent) addCacheEstimate(reply *wire.ProbeReply, dispatch *wire.Dispatch, now time.Time) {
	queueTime := time.Duration(reply.GetPredictedStartMs()) * time.Millisecond
	prompt, ok := a.prompt(dispatch, queueTime, now)
	if !ok {
		return
	}
	reply.CachedPieces = uint32(prompt.Cached)
	choice := a.cache.mover.Estimate(prompt, now)
	reply.FetchablePieces = uint32(choice.Pieces)
	reply.FetchMs = uint32(choice.FetchTime.Milliseconds())
	reply.FetchBytes = uint64(choice.Bytes)
}

// prefetch starts to fetch the missing pieces of a job while it is queued.
func (a *Agent) prefetch(j *job, queueTime time.Duration, now time.Time) {
	prompt, ok := a.prompt(j.dispatch, queueTime, now)
	if !ok {
		return
	}
	a.cache.addLookupPieces(prompt.Names)
	j.prompt = prompt
	j.fetch = a.cache.mover.Fetch(prompt)
}

// dropFetch cancels the fetch of a job that will not run.
func (a *Agent) dropFetch(j *job) {
	if j != nil && j.fetch != nil {
		a.cache.mover.Cancel(j.fetch)
	}
}

// awaitFetch waits for the job's piece fetch and returns the bytes moved; 0 when ctx ends first.
func (r *run) awaitFetch(ctx context.Context) uint64 {
	if r.job.fetch == nil {
		return 0
	}
	start := time.Now()
	select {
	case <-r.job.fetch.Done():
		r.recordFetch(time.Since(start))
		return r.job.fetch.Bytes()
	case <-ctx.Done():
		return 0
	}
}

// fetchDetail is what explain shows about the pieces of a prompt.
type fetchDetail struct {
	Pieces    int    `json:"pieces"`
	Cached    int    `json:"cached"`
	Requested int    `json:"wanted"`
	Fetched   int    `json:"fetched"`
	Bytes     uint64 `json:"bytes"`
	// WaitedMS is how long the run waited for the fetch after it got its slot.
	WaitedMS int64 `json:"waited_ms"`
}

func (r *run) recordFetch(waited time.Duration) {
	fetch, prompt := r.job.fetch, r.job.prompt
	r.agent.recordDecision(r.job.id, r.job.dispatch, "fetch", fetchDetail{
		Pieces:    len(prompt.Names),
		Cached:    prompt.Cached,
		Requested: fetch.Requested(),
		Fetched:   fetch.Fetched(),
		Bytes:     fetch.Bytes(),
		WaitedMS:  waited.Milliseconds(),
	})
}

// recordCached adds the pieces of a finished job's prompt to the cache index and offers them for export.
func (a *Agent) recordCached(j *job, now time.Time) {
	if a.cache == nil || j.fetch == nil {
		return
	}
	for _, name := range j.prompt.Names {
		a.cache.index.AddUnconfirmed(name, now)
	}
	a.cache.mover.Offer(j.dispatch.GetOrganisation(), j.prompt)
}

// flushCache lets a leaving agent finish its exports, until exportGrace or the grace period ends, and
// announce them. Recurring prompts whose cache is lost with the engine are then not computed again elsewhere.
func (a *Agent) flushCache(graceEnd time.Time) {
	deadline := time.Now().Add(exportGrace)
	if graceEnd.Before(deadline) {
		deadline = graceEnd
	}
	for a.exportsLeft() > 0 && time.Now().Before(deadline) {
		time.Sleep(gracePollInterval)
	}
	if !a.isModel() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a.announce(ctx)
}

// exportsLeft returns how many pieces wait to be exported or are being exported.
func (a *Agent) exportsLeft() int {
	left := 0
	a.loop.Call(func() {
		if a.cache != nil {
			left = a.cache.mover.ExportsLeft()
		}
	})
	return left
}

// CacheState is the part of a dump about the cache.
type CacheState struct {
	Index          cacheindex.State     `json:"index"`
	Mover          transfer.State       `json:"mover"`
	Announced      int                  `json:"announced"`
	Unannounced    int                  `json:"unannounced"`
	DirectoryTable directory.TableState `json:"directory_home"`
}

// cacheState returns the state of the cache; nil for agents of plain services.
func (a *Agent) cacheState(now time.Time) *CacheState {
	if a.cache == nil {
		return nil
	}
	return &CacheState{
		Index:          a.cache.index.State(now),
		Mover:          a.cache.mover.State(now),
		Announced:      a.cache.announcer.Len() - a.cache.announcer.Pending(),
		Unannounced:    a.cache.announcer.Pending(),
		DirectoryTable: a.directoryTable.State(),
	}
}

// nextAnnouncements returns the batches to send to directory owners now.
func (c *cache) nextAnnouncements(now time.Time) []directory.Batch {
	c.announceChanges()
	return slices.Clip(c.announcer.Next(now))
}
