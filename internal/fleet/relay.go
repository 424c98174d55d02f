package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"balsamyoke.example/balsamyoke/internal/bootclock"
	"balsamyoke.example/balsamyoke/internal/eventlog"
	"balsamyoke.example/balsamyoke/internal/grpcpool"
	"balsamyoke.example/balsamyoke/internal/kvcache"
	"balsamyoke.example/balsamyoke/internal/wire"
)

const (
	// relayWait is how long a gateway that reads for others waits for changes before it replies, and
	// relayPollInterval is the interval at which it checks for them. The wait and the age of its own reading add up
	// and must stay below kvcache.ReadingTTL.
	relayWait         = 300 * time.Millisecond
	relayPollInterval = 50 * time.Millisecond
	// roleCheckInterval is the interval at which a reading loop that the role disables checks for a new role.
	roleCheckInterval = 500 * time.Millisecond
	// startCheckInterval is that interval while the gateway starts.
	startCheckInterval = 50 * time.Millisecond
)

// checkInterval returns the interval at which a loop that the role disables checks for a new role.
func (r role) checkInterval() time.Duration {
	if r.starting {
		return startCheckInterval
	}
	return roleCheckInterval
}

// readViaPeers reads the cache stores through another gateway of the failure domain while that is this
// gateway's role.
func (f *Fleet) readViaPeers(ctx context.Context) {
	pool := f.newPool(maxPeerConnections)
	defer pool.Close()
	cursors := make(map[string]*wire.StoreCursor)
	from := ""
	for ctx.Err() == nil {
		role := f.currentRole()
		if role.reads || len(role.readers) == 0 || f.Table() == nil {
			clear(cursors)
			sleep(ctx, role.checkInterval())
			continue
		}
		if reader := role.readers[0]; from == "" || !slices.Contains(role.readers, from) {
			from = reader
			clear(cursors)
		}
		if err := f.readVia(ctx, pool, from, cursors); err != nil {
			f.Log.Warn(EventCatchUpFailed, zap.String("from", from), eventlog.Error(err))
			from = role.readers[rand.IntN(len(role.readers))]
			clear(cursors)
			sleep(ctx, feedRetry)
		}
		sleep(ctx, feedPause)
	}
}

// readVia reads the updates of all stores with one call to another gateway.
func (f *Fleet) readVia(ctx context.Context, pool *grpcpool.Pool, from string, cursors map[string]*wire.StoreCursor) error {
	ctx, cancel := context.WithTimeout(ctx, relayWait+peerCallTimeout)
	defer cancel()
	connection, err := pool.Get(from)
	if err != nil {
		return ErrPeer.Wrap(err, "gateway %s", from)
	}
	request := &wire.CacheRequest{WaitMs: uint32(relayWait.Milliseconds())}
	for _, s := range f.Table().Stores {
		cursor := cursors[s.Address]
		if cursor == nil {
			cursor = &wire.StoreCursor{Address: s.Address, List: true}
			cursors[s.Address] = cursor
		}
		request.Stores = append(request.Stores, cursor)
	}
	requestedAt := bootclock.Now()
	reply, err := wire.NewGatewaysClient(connection).Cache(ctx, request)
	if err != nil {
		return ErrPeer.Wrap(err, "gateway %s", from)
	}
	f.loop.Call(func() { f.applyReadings(reply, requestedAt, bootclock.Now()) })
	for _, reading := range reply.GetStores() {
		if cursor := cursors[reading.GetAddress()]; cursor != nil {
			cursor.Since, cursor.List = reading.GetNext(), reading.GetLost()
		}
	}
	return nil
}

// applyReadings applies another gateway's readings of the stores. The age of a reading counts from when that
// gateway made it.
func (f *Fleet) applyReadings(reply *wire.CacheReply, requestedAt, now time.Time) {
	f.updateServerClock(reply.GetClockMs(), now)
	for _, reading := range reply.GetStores() {
		readAt := requestedAt.Add(-time.Duration(reading.GetAgeMs()) * time.Millisecond)
		batch := kvcache.Batch{Epoch: reading.GetEpoch(), Next: reading.GetNext(), Position: reading.GetPosition()}
		for _, c := range reading.GetChanges() {
			batch.Changes = append(batch.Changes, kvcache.Change{
				Key: kvcache.Key{Salt: c.GetSalt(), ID: c.GetId()}, Tokens: int(c.GetTokens()), Removed: c.GetRemoved(), Unnumbered: c.GetUnnumbered(),
			})
		}
		switch {
		case reading.GetLost():
		case reading.GetList():
			f.catalogue.Replace(reading.GetAddress(), batch, readAt, now)
		default:
			f.catalogue.Apply(reading.GetAddress(), batch, readAt, now)
		}
	}
}

// Cache implements wire.GatewaysServer.
func (s *service) Cache(ctx context.Context, request *wire.CacheRequest) (*wire.CacheReply, error) {
	deadline := time.Now().Add(min(relayWait, time.Duration(request.GetWaitMs())*time.Millisecond))
	for {
		var reply *wire.CacheReply
		changed := false
		if !s.fleet.loop.Call(func() { reply, changed = s.fleet.readings(request) }) {
			return nil, ErrPeer.New("the gateway is stopping")
		}
		if changed || !time.Now().Before(deadline) || ctx.Err() != nil {
			return reply, nil
		}
		sleep(ctx, relayPollInterval)
	}
}

// readings returns this gateway's readings of the stores and whether they contain anything new for the caller.
func (f *Fleet) readings(request *wire.CacheRequest) (reply *wire.CacheReply, changed bool) {
	now := bootclock.Now()
	reply = &wire.CacheReply{}
	if clock, known := f.ServerClock(now); known {
		reply.ClockMs = clock
	}
	for _, cursor := range request.GetStores() {
		batch, ok := f.catalogue.Relay(cursor.GetAddress(), cursor.GetSince(), now)
		if cursor.GetList() {
			batch, ok = f.catalogue.RelayList(cursor.GetAddress(), now)
		}
		if !ok {
			continue
		}
		changed = changed || cursor.GetList() || batch.Lost || len(batch.Changes) > 0
		reply.Stores = append(reply.Stores, newReading(cursor, &batch))
	}
	return reply, changed
}

func newReading(cursor *wire.StoreCursor, batch *kvcache.Batch) *wire.StoreReading {
	reading := &wire.StoreReading{
		Address: cursor.GetAddress(), Epoch: batch.Epoch, Next: batch.Next, Position: batch.Position, Lost: batch.Lost, List: cursor.GetList(),
		// Rounded up, so that no reading appears fresher than it is.
		AgeMs: uint32(batch.Age.Milliseconds()) + 1,
	}
	for _, c := range batch.Changes {
		reading.Changes = append(reading.Changes, &wire.CacheChange{
			Salt: c.Key.Salt, Id: c.Key.ID, Tokens: uint32(c.Tokens), Removed: c.Removed, Unnumbered: c.Unnumbered,
		})
	}
	return reading
}
