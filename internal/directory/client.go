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

// Limits of the connections to owners, which are many and mostly idle.
const (
	connectionBufferBytes = 4 << 10
	connectionIdleTimeout = time.Minute
	maxReplyBytes         = 1 << 20
)

// Run is a range of a prompt's pieces that a holder keeps: the positions from Start up to, but not including,
// End.
type Run struct {
	Holder string    `json:"holder"`
	Tier   wire.Tier `json:"tier"`
	Start  int       `json:"start"`
	End    int       `json:"end"`
	// Generation and Bytes are those of the last piece of the run.
	Generation uint64 `json:"generation"`
	Bytes      uint32 `json:"bytes"`
}

// Client queries owners for the holders of pieces and sends announcements to owners. It is safe for concurrent
// use.
type Client struct {
	failureDomain string
	ring          atomic.Pointer[Ring]

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	closed      bool
}

// NewClient returns a Client without owners. It queries owners in failureDomain first.
func NewClient(failureDomain string) *Client {
	c := &Client{failureDomain: failureDomain, connections: make(map[string]*grpc.ClientConn)}
	c.ring.Store(NewRing(nil))
	return c
}

// SetRing replaces the ring and closes the connections to members that are no longer in it.
func (c *Client) SetRing(ring *Ring) {
	c.ring.Store(ring)
	inRing := make(map[string]bool, ring.Len())
	for i := range ring.members {
		inRing[ring.members[i].Address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		if !inRing[address] {
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

// Lookup returns the runs of the pieces from position start on that holders probably keep. It queries the
// owners of all segments concurrently and returns the results that arrive before ctx ends. Without any reply
// it returns ErrUnavailable or ErrNoOwner.
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
	replied := len(segments) == 0
	for i := range segments {
		runs = append(runs, results[i]...)
		if errs[i] != nil {
			failure = errs[i]
			continue
		}
		replied = true
	}
	if !replied {
		return nil, failure
	}
	return runs, nil
}

// lookupSegment queries the owners of one segment one after the other until one replies. The first of two
// owners gets half of the remaining time, so that time is left for the second when the first does not reply.
func (c *Client) lookupSegment(ctx context.Context, segment Segment) ([]Run, error) {
	owners := c.nearestFirst(c.ring.Load().Owners(segment.LookupPiece))
	err := error(ErrNoOwner.New("no live agent serves the directory"))
	for i, owner := range owners {
		var runs []Run
		ownerCtx, cancel := withTimeShare(ctx, len(owners)-i)
		runs, err = c.lookupAt(ownerCtx, owner, segment)
		cancel()
		if err == nil {
			return runs, nil
		}
	}
	return nil, err
}

// withTimeShare returns a context whose timeout is the remaining time of ctx divided by the number of calls.
func withTimeShare(ctx context.Context, calls int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/time.Duration(calls))
}

// nearestFirst moves an owner in the client's failure domain, if any, to the front.
func (c *Client) nearestFirst(owners []Member) []Member {
	for i := 1; i < len(owners); i++ {
		if owners[i].FailureDomain == c.failureDomain && owners[0].FailureDomain != c.failureDomain {
			owners[0], owners[i] = owners[i], owners[0]
		}
	}
	return owners
}

// lookupAt queries one owner.
func (c *Client) lookupAt(ctx context.Context, owner Member, segment Segment) ([]Run, error) {
	request := &wire.LookupRequest{Pieces: make([][]byte, len(segment.Pieces))}
	for i := range segment.Pieces {
		request.Pieces[i] = segment.Pieces[i][:]
	}
	client, err := c.client(owner)
	if err != nil {
		return nil, err
	}
	reply, err := client.Lookup(ctx, request)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "lookup at owner %s", owner.Instance)
	}
	return runsOf(segment, reply), nil
}

// runsOf converts the holdings of a reply to runs of positions. Malformed holdings are skipped.
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

// Announce sends a batch to its owner. It returns ErrUnavailable when the owner did not accept it.
func (c *Client) Announce(ctx context.Context, from string, incarnation uint64, batch Batch) error {
	request := &wire.AnnounceRequest{From: from, Incarnation: incarnation}
	for _, r := range batch.Rows {
		request.Holdings = append(request.Holdings, holdingToWire(r.Holding, r.Removed))
	}
	client, err := c.client(batch.Owner)
	if err != nil {
		return err
	}
	if _, err := client.Announce(ctx, request); err != nil {
		return ErrUnavailable.Wrap(err, "announcement to owner %s", batch.Owner.Instance)
	}
	return nil
}

// client returns the stub for an owner, and creates a connection when there is none yet.
func (c *Client) client(owner Member) (wire.DirectoryClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrUnavailable.New("the directory client is closed")
	}
	connection := c.connections[owner.Address]
	if connection == nil {
		var err error
		connection, err = connect(owner.Address)
		if err != nil {
			return nil, ErrUnavailable.Wrap(err, "cannot connect to owner %s at %s", owner.Instance, owner.Address)
		}
		c.connections[owner.Address] = connection
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
