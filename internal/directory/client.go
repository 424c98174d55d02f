package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/traffic"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Connections to homes are many and mostly quiet.
const (
	connectionBufferBytes = 4 << 10
	connectionIdleTimeout = time.Minute
	maxReplyBytes         = 1 << 20
)

// Run says that a holder keeps the pieces of a prompt at the positions from Start up to End,
// without End.
type Run struct {
	Holder string    `json:"holder"`
	Tier   wire.Tier `json:"tier"`
	Start  int       `json:"start"`
	End    int       `json:"end"`
	// Generation and Bytes are those of the last piece of the run.
	Generation uint64 `json:"generation"`
	Bytes      uint32 `json:"bytes"`
}

// Client asks homes where pieces live and announces holdings to them. It is safe for concurrent
// use.
type Client struct {
	failureDomain string
	ring          atomic.Pointer[Ring]

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	closed      bool
}

// NewClient returns a Client without homes. It prefers homes in failureDomain.
func NewClient(failureDomain string) *Client {
	c := &Client{failureDomain: failureDomain, connections: make(map[string]*grpc.ClientConn)}
	c.ring.Store(NewRing(nil))
	return c
}

// SetRing uses new homes and closes the connections to homes that are gone.
func (c *Client) SetRing(ring *Ring) {
	c.ring.Store(ring)
	live := make(map[string]bool, ring.Len())
	for i := range ring.members {
		live[ring.members[i].Address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		if !live[address] {
			_ = connection.Close()
			delete(c.connections, address)
		}
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, connection := range c.connections {
		_ = connection.Close()
		delete(c.connections, address)
	}
}

// Lookup returns the runs of pieces that holders are believed to keep, of the pieces from position
// start on. It asks all homes at once and returns what answered before ctx ends; with no answer at
// all it returns ErrUnavailable or ErrNoHome.
func (c *Client) Lookup(ctx context.Context, names []piece.Name, start int) ([]Run, error) {
	segments := Segments(names, start)
	results := make([][]Run, len(segments))
	errs := make([]error, len(segments))
	var group sync.WaitGroup
	for i := range segments {
		group.Go(func() { results[i], errs[i] = c.lookupSegment(ctx, segments[i]) })
	}
	group.Wait()
	var runs []Run
	var failure error
	answered := len(segments) == 0
	for i := range segments {
		runs = append(runs, results[i]...)
		if errs[i] != nil {
			failure = errs[i]
			continue
		}
		answered = true
	}
	if !answered {
		return nil, failure
	}
	return runs, nil
}

// lookupSegment asks the homes of one segment in turn until one answers. A home that is silent
// leaves the other half of the time to the next.
func (c *Client) lookupSegment(ctx context.Context, segment Segment) ([]Run, error) {
	homes := c.nearestFirst(c.ring.Load().Homes(segment.Anchor))
	err := error(ErrNoHome.New("no live agent serves the directory"))
	for i, home := range homes {
		var runs []Run
		homeCtx, cancel := shareOf(ctx, len(homes)-i)
		runs, err = c.lookupAt(homeCtx, home, segment)
		cancel()
		if err == nil {
			return runs, nil
		}
	}
	return nil, err
}

// shareOf returns a context with an equal share of the time left for each of the given calls.
func shareOf(ctx context.Context, calls int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/time.Duration(calls))
}

// nearestFirst puts a home in the client's failure domain first.
func (c *Client) nearestFirst(homes []Member) []Member {
	for i := 1; i < len(homes); i++ {
		if homes[i].FailureDomain == c.failureDomain && homes[0].FailureDomain != c.failureDomain {
			homes[0], homes[i] = homes[i], homes[0]
		}
	}
	return homes
}

// lookupAt asks one home.
func (c *Client) lookupAt(ctx context.Context, home Member, segment Segment) ([]Run, error) {
	request := &wire.LookupRequest{Pieces: make([][]byte, len(segment.Pieces))}
	for i := range segment.Pieces {
		request.Pieces[i] = segment.Pieces[i][:]
	}
	client, err := c.client(home)
	if err != nil {
		return nil, err
	}
	reply, err := client.Lookup(ctx, request)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "lookup at %s", home.Instance)
	}
	return runsOf(segment, reply), nil
}

// runsOf turns a home's reply into positions.
func runsOf(segment Segment, reply *wire.LookupReply) []Run {
	runs := make([]Run, 0, len(reply.GetHoldings()))
	for _, raw := range reply.GetHoldings() {
		h, err := holdingFromWire(raw)
		if err != nil {
			continue
		}
		for i := range segment.Pieces {
			if segment.Pieces[i] != h.Piece {
				continue
			}
			runs = append(runs, Run{
				Holder: h.Holder, Tier: h.Tier, Start: segment.Start, End: segment.Start + i + 1,
				Generation: h.Generation, Bytes: h.Bytes,
			})
		}
	}
	return runs
}

// Announce sends a batch to its home. It returns ErrUnavailable when the home didn't take it.
func (c *Client) Announce(ctx context.Context, from string, incarnation uint64, batch Batch) error {
	request := &wire.AnnounceRequest{From: from, Incarnation: incarnation}
	for _, r := range batch.Rows {
		request.Holdings = append(request.Holdings, holdingToWire(r.Holding, r.Removed))
	}
	client, err := c.client(batch.Home)
	if err != nil {
		return err
	}
	if _, err := client.Announce(ctx, request); err != nil {
		return ErrUnavailable.Wrap(err, "announcement to %s", batch.Home.Instance)
	}
	return nil
}

// client returns the stub for a home, and connects when there is no connection yet.
func (c *Client) client(home Member) (wire.DirectoryClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrUnavailable.New("the directory client is closed")
	}
	connection := c.connections[home.Address]
	if connection == nil {
		var err error
		connection, err = connect(home.Address)
		if err != nil {
			return nil, ErrUnavailable.Wrap(err, "home %s at %s", home.Instance, home.Address)
		}
		c.connections[home.Address] = connection
	}
	return wire.NewDirectoryClient(connection), nil
}

func connect(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(traffic.Control.Dial),
		grpc.WithReadBufferSize(connectionBufferBytes),
		grpc.WithWriteBufferSize(connectionBufferBytes),
		grpc.WithIdleTimeout(connectionIdleTimeout),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)),
	)
}
