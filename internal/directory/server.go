package directory

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"balsamyoke.example/balsamyoke/internal/control"
	"balsamyoke.example/balsamyoke/internal/piece"
	"balsamyoke.example/balsamyoke/internal/wire"
)

// Limits of one call.
const (
	maxLookupPieces     = 512
	maxAnnouncedRows    = 1024
	maxHoldersPerLookup = 4
)

// Server handles directory calls with a Table that belongs to the control goroutine.
type Server struct {
	wire.UnimplementedDirectoryServer
	loop  *control.Loop
	table *Table
}

// NewServer returns a Server. From then on the table may be used only on loop.
func NewServer(loop *control.Loop, table *Table) *Server {
	return &Server{loop: loop, table: table}
}

// Announce implements wire.DirectoryServer. Rows with malformed piece names are skipped.
func (s *Server) Announce(ctx context.Context, req *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if len(req.GetHoldings()) > maxAnnouncedRows {
		return nil, status.Errorf(codes.InvalidArgument, "%d rows exceed %d", len(req.GetHoldings()), maxAnnouncedRows)
	}
	if err := s.run(ctx, func() { s.apply(req, time.Now()) }); err != nil {
		return nil, err
	}
	return &wire.AnnounceReply{}, nil
}

// run runs f on the control goroutine and waits for it. It returns ResourceExhausted at once when the queue
// of the control goroutine is full or the goroutine has ended, and the error of ctx when ctx ends first; f may
// then still run.
func (s *Server) run(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	if !s.loop.TryPost(func() { f(); close(ran) }) {
		return status.Error(codes.ResourceExhausted, "the process is busy or stopping")
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	}
}

// apply updates the table from an announcement. It runs on the control goroutine.
func (s *Server) apply(req *wire.AnnounceRequest, now time.Time) {
	for _, raw := range req.GetHoldings() {
		h, err := holdingFromWire(raw)
		if err != nil {
			continue
		}
		if raw.GetRemoved() {
			s.table.Withdraw(h.Piece, h.Holder)
			continue
		}
		s.table.Announce(req.GetFrom(), req.GetIncarnation(), h, now)
	}
}

// Lookup implements wire.DirectoryServer. The reply has one holding for each holder: that of the last piece of
// the longest run that the holder keeps from the first requested piece on.
func (s *Server) Lookup(ctx context.Context, req *wire.LookupRequest) (*wire.LookupReply, error) {
	if len(req.GetPieces()) > maxLookupPieces {
		return nil, status.Errorf(codes.InvalidArgument, "%d pieces exceed %d", len(req.GetPieces()), maxLookupPieces)
	}
	names, err := piece.NamesFromBytes(req.GetPieces())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	var runs []Holding
	err = s.run(ctx, func() { runs = s.table.Runs(names, maxHoldersPerLookup, time.Now()) })
	if err != nil {
		return nil, err
	}
	reply := &wire.LookupReply{Holdings: make([]*wire.Holding, len(runs))}
	for i := range runs {
		reply.Holdings[i] = holdingToWire(runs[i], false)
	}
	return reply, nil
}

func holdingToWire(h Holding, removed bool) *wire.Holding {
	return &wire.Holding{
		Piece:      h.Piece.Bytes(),
		Holder:     h.Holder,
		Tier:       h.Tier,
		Generation: h.Generation,
		Bytes:      h.Bytes,
		Removed:    removed,
	}
}

func holdingFromWire(raw *wire.Holding) (Holding, error) {
	name, err := piece.NameFromBytes(raw.GetPiece())
	if err != nil {
		return Holding{}, err
	}
	return Holding{
		Piece:      name,
		Holder:     raw.GetHolder(),
		Tier:       raw.GetTier(),
		Generation: raw.GetGeneration(),
		Bytes:      raw.GetBytes(),
	}, nil
}
