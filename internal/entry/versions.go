package entry

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/piece"
)

// versionBinding is the weight version that a request runs on, with the names of its prompt's pieces, which
// are valid for that version only.
type versionBinding struct {
	weightVersion string
	pieces        []piece.Name
}

func (b versionBinding) pieceBytes() [][]byte {
	names := make([][]byte, len(b.pieces))
	for i := range b.pieces {
		names[i] = b.pieces[i][:]
	}
	return names
}

// bindVersion returns the request's binding to a weight version.
func (r *request) bindVersion(weightVersion string) versionBinding {
	scope := piece.Scope{
		Organisation:  r.organisation.Name,
		WeightVersion: weightVersion,
		Adapter:       r.adapter,
	}
	return versionBinding{
		weightVersion: weightVersion,
		pieces:        piece.Names(scope, r.text, r.snapshot.Index.Manifest().PieceBytes),
	}
}

// bindings returns the weight versions that the next attempt may use, the version in force first. During the
// rollout of a new version, a request that has not started may also run on a replica that still serves an
// earlier version. A request that has started keeps its version.
func (r *run) bindings() []versionBinding {
	req := r.request
	if r.stream.Delivered() > 0 || req.service.WeightVersion == "" {
		return []versionBinding{req.binding}
	}
	bindings := []versionBinding{req.binding}
	if req.binding.weightVersion != req.service.WeightVersion {
		bindings[0] = req.bindVersion(req.service.WeightVersion)
	}
	for _, earlier := range req.snapshot.EarlierVersions(req.service.Name, time.Now()) {
		bindings = append(bindings, req.bindVersion(earlier))
	}
	return bindings
}

// chooseTarget binds the request to the version whose target has the lowest score and returns that target,
// or nil when there is none. At equal scores the version in force is preferred over earlier ones.
func (r *run) chooseTarget(bindings []versionBinding, targets []*dispatchTarget) *dispatchTarget {
	best := -1
	for i, target := range targets {
		if target != nil && (best < 0 || target.score < targets[best].score) {
			best = i
		}
	}
	if best < 0 {
		r.request.binding = bindings[0]
		return nil
	}
	r.request.binding = bindings[best]
	return targets[best]
}
