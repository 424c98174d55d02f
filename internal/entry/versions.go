package entry

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
)

// binding is the weight version that a request runs on, with the names of its prompt's pieces,
// which hold for that version only.
type binding struct {
	weightVersion string
	pieces        []piece.Name
}

func (b binding) pieceBytes() [][]byte {
	names := make([][]byte, len(b.pieces))
	for i := range b.pieces {
		names[i] = b.pieces[i][:]
	}
	return names
}

// bind returns the binding of the request to a weight version.
func (r *request) bind(weightVersion string) binding {
	scope := piece.Scope{
		Organisation:  r.organisation.Name,
		WeightVersion: weightVersion,
		Adapter:       r.adapter,
	}
	return binding{
		weightVersion: weightVersion,
		pieces:        piece.Names(scope, r.text, r.snapshot.Index.Manifest().PieceBytes),
	}
}

// bindings returns what the next attempt may be bound to, the version in force first. While a
// change of the weight version is rolled out, a request that has not begun may also run on a
// replica that still serves an earlier version; one that has begun keeps its version.
func (r *run) bindings() []binding {
	req := r.request
	if r.stream.Delivered() > 0 || req.service.WeightVersion == "" {
		return []binding{req.binding}
	}
	bindings := []binding{req.binding}
	if req.binding.weightVersion != req.service.WeightVersion {
		bindings[0] = req.bind(req.service.WeightVersion)
	}
	for _, earlier := range req.snapshot.EarlierVersions(req.service.Name, time.Now()) {
		bindings = append(bindings, req.bind(earlier))
	}
	return bindings
}

// choose binds the request to the version of the cheapest offer and returns that offer; nil when
// there is none. The version in force goes before earlier ones at the same cost.
func (r *run) choose(bindings []binding, offers []*placed) *placed {
	best := -1
	for i, offer := range offers {
		if offer != nil && (best < 0 || offer.score < offers[best].score) {
			best = i
		}
	}
	if best < 0 {
		r.request.binding = bindings[0]
		return nil
	}
	r.request.binding = bindings[best]
	return offers[best]
}
