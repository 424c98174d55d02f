package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/directory"
	"balsamyoke.example/balsamyoke/internal/placement"
	"balsamyoke.example/balsamyoke/internal/wire"
)

func TestStorePiecesCountUpToTheFirstGap(t *testing.T) {
	c := qt.New(t)
	replica, store := wire.Tier_TIER_REPLICA, wire.Tier_TIER_STORE_MEMORY
	found := summariseRuns([]directory.Run{
		{Holder: "store-1", Tier: store, Start: 4, End: 9, Bytes: 7},
		{Holder: "a", Tier: replica, Start: 4, End: 16},
		{Holder: "store-0", Tier: store, Start: 0, End: 4, Bytes: 7},
		{Holder: "a", Tier: replica, Start: 0, End: 4},
		{Holder: "b", Tier: replica, Start: 0, End: 2},
		{Holder: "store-1", Tier: store, Start: 16, End: 20, Bytes: 7},
	})
	c.Assert(found.storePieces, qt.Equals, uint32(9))
	c.Assert(found.pieceBytes, qt.Equals, uint32(7))
	c.Assert(found.hints, qt.DeepEquals, []placement.Hint{{Instance: "a", Pieces: 16}, {Instance: "b", Pieces: 2}})
}
