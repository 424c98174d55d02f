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

// Bounds of one call.
const (
	maxLookupPieces     = 512
	maxAnnouncedRows    = 1024
	maxHoldersPerLookup = 4
)

// Server answers directory calls from a Table that the control goroutine owns.
type Server struct {
	wire.UnimplementedDirectoryServer
	loop  *control.Loop
	table *Table
}

// NewServer returns a Server. The table must be used only on loop from then on.
func NewServer(loop *control.Loop, table *Table) *Server {
	return &Server{loop: loop, table: table}
}

// Announce implements wire.DirectoryServer. Rows with malformed names are passed over.
func (s *Server) Announce(_ context.Context, req *wire.AnnounceRequest) (*wire.AnnounceReply, error) {
	if len(req.GetHoldings()) > maxAnnouncedRows {
		return nil, status.Errorf(codes.InvalidArgument, "%d rows exceed %d", len(req.GetHoldings()), maxAnnouncedRows)
	}
	ran := s.loop.Call(func() { s.apply(req, time.Now()) })
	if !ran {
		return nil, stopping()
	}
	return &wire.AnnounceReply{}, nil
}

// apply runs on the control goroutine.
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

// Lookup implements wire.DirectoryServer. The reply has one holding for each holder: that of the
// last piece of the longest run that the holder keeps from the first asked piece on.
func (s *Server) Lookup(_ context.Context, req *wire.LookupRequest) (*wire.LookupReply, error) {
	if len(req.GetPieces()) > maxLookupPieces {
		return nil, status.Errorf(codes.InvalidArgument, "%d pieces exceed %d", len(req.GetPieces()), maxLookupPieces)
	}
	names, err := piece.NamesFromBytes(req.GetPieces())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	var runs []Holding
	ran := s.loop.Call(func() { runs = s.table.Runs(names, maxHoldersPerLookup, time.Now()) })
	if !ran {
		return nil, stopping()
	}
	reply := &wire.LookupReply{Holdings: make([]*wire.Holding, len(runs))}
	for i := range runs {
		reply.Holdings[i] = holdingToWire(runs[i], false)
	}
	return reply, nil
}

// stopping is the answer of a process whose control goroutine has ended.
func stopping() error { return status.Error(codes.Unavailable, "the process is stopping") }

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
