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
// mover between engine and stores, and what it tells the location directory. Only the control
// goroutine touches it.
type cache struct {
	instance  string
	tokens    func() int // of one piece
	index     *cacheindex.Index
	announcer *directory.Announcer
	mover     *transfer.Mover
	// anchors holds the anchors of pieces that dispatches named lately, earlier those of the time
	// before. Together they are bounded by twice maxAnchors.
	anchors map[piece.Name]piece.Name
	earlier map[piece.Name]piece.Name
}

// exportGrace bounds how long a leaving agent goes on exporting after its last run.
const exportGrace = 5 * time.Second

// maxAnchors bounds the pieces in one of the two maps of anchors.
const maxAnchors = 1 << 15

// startCache begins to follow the engine's cache and to move pieces. The transfers end with ctx.
func (a *Agent) startCache(ctx context.Context) {
	now := time.Now()
	c := &cache{
		instance:  a.settings.Instance,
		tokens:    a.pieceTokens,
		index:     cacheindex.New(),
		announcer: directory.NewAnnouncer(directory.NewRing(nil), 0),
		anchors:   make(map[piece.Name]piece.Name),
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

// stopCache closes the connections to stores and homes.
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
func (c *cache) Imported(name piece.Name) { c.index.Own(name, time.Now()) }

// NotCached implements transfer.Observer.
func (c *cache) NotCached(name piece.Name) { c.index.Forget(name) }

// Stored implements transfer.Observer.
func (c *cache) Stored(location transfer.Location, anchor piece.Name) {
	c.announcer.Hold(directory.Holding{
		Piece:      location.Piece,
		Holder:     location.Store,
		Tier:       wire.Tier_TIER_STORE_MEMORY,
		Generation: location.Generation,
		Bytes:      location.Bytes,
	}, anchor)
}

// Lost implements transfer.Observer.
func (c *cache) Lost(location transfer.Location) { c.announcer.Drop(location.Piece, location.Store) }

// learn remembers the anchors of a prompt's pieces, so that they can be announced.
func (c *cache) learn(names []piece.Name) {
	if len(c.anchors) >= maxAnchors {
		c.earlier = c.anchors
		c.anchors = make(map[piece.Name]piece.Name)
	}
	for i, name := range names {
		c.anchors[name] = names[directory.AnchorIndex(i)]
	}
}

// anchorOf returns the anchor of a piece. For one that no dispatch has named, such as after a
// restart of the agent, that is its own name: lookups find it if it is an anchor.
func (c *cache) anchorOf(name piece.Name) piece.Name {
	if anchor, ok := c.anchors[name]; ok {
		return anchor
	}
	if anchor, ok := c.earlier[name]; ok {
		return anchor
	}
	return name
}

// announceChanges tells the announcer which pieces the engine's cache gained and lost.
func (c *cache) announceChanges() {
	for _, change := range c.index.TakeChanges() {
		if !change.Present {
			c.announcer.Drop(change.Piece, c.instance)
			continue
		}
		c.announcer.Hold(directory.Holding{
			Piece:  change.Piece,
			Holder: c.instance,
			Tier:   wire.Tier_TIER_REPLICA,
		}, c.anchorOf(change.Piece))
	}
}

// prompt describes a dispatch to the mover. The queue is the time until the run could start.
func (a *Agent) prompt(d *wire.Dispatch, queue time.Duration, now time.Time) (transfer.Prompt, bool) {
	names, err := piece.NamesFromBytes(d.GetPieces())
	if err != nil || a.cache == nil || len(names) == 0 {
		return transfer.Prompt{}, false
	}
	perToken := time.Duration(a.settings.PrefillMicrosPerToken) * time.Microsecond
	tokens := a.cache.tokens()
	rest := max(0, int(d.GetPromptTokens())-len(names)*tokens)
	return transfer.Prompt{
		Names:        names,
		Cached:       a.cache.index.Prefix(names, now),
		Patient:      d.GetUrgency() == wire.Urgency_URGENCY_PATIENT,
		Queue:        queue,
		PiecePrefill: time.Duration(tokens) * perToken,
		RestPrefill:  time.Duration(rest) * perToken,
		Deadline:     time.Duration(d.GetDeadlineMs()) * time.Millisecond,
		PieceTokens:  tokens,
	}, true
}

// locateFirst looks up the stores of a prompt, and then calls next on the control goroutine, when
// the deadline can't be met without them and they are not known. Otherwise it returns false.
func (a *Agent) locateFirst(d *wire.Dispatch, now time.Time, next func()) bool {
	wait := a.state.queue.Predict(now, a.queueJob(attempt.ID{}, d, now)) + a.state.prompts.wait(d.GetUrgency(), now)
	prompt, ok := a.prompt(d, wait, now)
	if !ok || a.cache.mover.Estimate(prompt, now).FirstToken <= prompt.Deadline {
		return false
	}
	return a.cache.mover.Locate(prompt, next)
}

// answerCache adds to a probe reply what the engine holds and what could be fetched.
func (a *Agent) answerCache(answer *wire.ProbeReply, asked *wire.Dispatch, now time.Time) {
	queue := time.Duration(answer.GetPredictedStartMs()) * time.Millisecond
	prompt, ok := a.prompt(asked, queue, now)
	if !ok {
		return
	}
	answer.CachedPieces = uint32(prompt.Cached)
	choice := a.cache.mover.Estimate(prompt, now)
	answer.FetchablePieces = uint32(choice.Pieces)
	answer.FetchMs = uint32(choice.Fetch.Milliseconds())
	answer.FetchBytes = uint64(choice.Bytes)
}

// prefetch begins to fetch the missing pieces of a queued job, while it waits for its turn.
func (a *Agent) prefetch(j *job, queue time.Duration, now time.Time) {
	prompt, ok := a.prompt(j.dispatch, queue, now)
	if !ok {
		return
	}
	a.cache.learn(prompt.Names)
	j.prompt = prompt
	j.fetch = a.cache.mover.Fetch(prompt)
}

// dropFetch ends the fetch of a job that will not run.
func (a *Agent) dropFetch(j *job) {
	if j != nil && j.fetch != nil {
		a.cache.mover.Cancel(j.fetch)
	}
}

// awaitFetch waits for the pieces on their way to the engine and returns the bytes that were moved.
func (r *run) awaitFetch(ctx context.Context) uint64 {
	if r.job.fetch == nil {
		return 0
	}
	began := time.Now()
	select {
	case <-r.job.fetch.Done():
		r.explainFetch(time.Since(began))
		return r.job.fetch.Bytes()
	case <-ctx.Done():
		return 0
	}
}

// fetchDetail is what explain shows about the pieces of a prompt.
type fetchDetail struct {
	Pieces  int    `json:"pieces"`
	Cached  int    `json:"cached"`
	Wanted  int    `json:"wanted"`
	Fetched int    `json:"fetched"`
	Bytes   uint64 `json:"bytes"`
	// WaitedMS is how long the run waited for the fetch after its turn had come.
	WaitedMS int64 `json:"waited_ms"`
}

func (r *run) explainFetch(waited time.Duration) {
	fetch, prompt := r.job.fetch, r.job.prompt
	r.agent.decide(r.job.id, r.job.dispatch, "fetch", fetchDetail{
		Pieces:   len(prompt.Names),
		Cached:   prompt.Cached,
		Wanted:   fetch.Wanted(),
		Fetched:  fetch.Fetched(),
		Bytes:    fetch.Bytes(),
		WaitedMS: waited.Milliseconds(),
	})
}

// ran records that the engine now holds the pieces of a job's prompt, and offers them for export.
func (a *Agent) ran(j *job, now time.Time) {
	if a.cache == nil || j.fetch == nil {
		return
	}
	for _, name := range j.prompt.Names {
		a.cache.index.Own(name, now)
	}
	a.cache.mover.Offer(j.dispatch.GetOrganisation(), j.prompt)
}

// settleCache lets a leaving agent finish its exports and tell their homes, so that prompts whose
// cache goes with the engine return elsewhere without being computed again.
func (a *Agent) settleCache(graceEnd time.Time) {
	deadline := time.Now().Add(exportGrace)
	if graceEnd.Before(deadline) {
		deadline = graceEnd
	}
	for a.exportsLeft() > 0 && time.Now().Before(deadline) {
		time.Sleep(graceStep)
	}
	if !a.isModel() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	a.announce(ctx)
}

// exportsLeft counts the pieces that wait to be exported or are on their way.
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
	Index         cacheindex.State     `json:"index"`
	Mover         transfer.State       `json:"mover"`
	Announced     int                  `json:"announced"`
	Unannounced   int                  `json:"unannounced"`
	DirectoryHome directory.TableState `json:"directory_home"`
}

// showCache returns the state of the cache; nil for agents of plain services.
func (a *Agent) showCache(now time.Time) *CacheState {
	if a.cache == nil {
		return nil
	}
	return &CacheState{
		Index:         a.cache.index.State(now),
		Mover:         a.cache.mover.State(now),
		Announced:     a.cache.announcer.Len() - a.cache.announcer.Pending(),
		Unannounced:   a.cache.announcer.Pending(),
		DirectoryHome: a.table.State(),
	}
}

// nextAnnouncements returns what to tell homes now.
func (c *cache) nextAnnouncements(now time.Time) []directory.Batch {
	c.announceChanges()
	return slices.Clip(c.announcer.Next(now))
}
