package dispatch

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/weights"
)

// AddTargetWeightVersion records that a weight version became the target of its model, in any order of the versions. It
// reports whether that changed what is known.
func (d *Dispatcher) AddTargetWeightVersion(target weights.TargetVersion) bool {
	if !d.schedule.Add(target) {
		return false
	}
	d.catalogue.SetNewestVersion(target.Model, target.Version)
	return true
}

// SetWeightsWithin sets how long requests may still start on older weights after a target weight version is set.
func (d *Dispatcher) SetWeightsWithin(within time.Duration) { d.schedule.SetWithin(within) }

const (
	// overdueMargin is subtracted from the time during which requests may start on older weights. It covers the time that
	// a request takes to reach the server, and for which it waits there beyond the predicted time.
	overdueMargin = 1200 * time.Millisecond
	// longestStart is the time before a server's weights are overdue from which on the time to start there is predicted.
	longestStart = 5 * time.Second
)

// overdue reports whether requests may no longer be sent to a server because of its weights.
func (d *Dispatcher) overdue(now time.Time, s *server, model string) bool {
	deadline, bound := d.schedule.Deadline(model, s.weightVersion[model])
	return bound && now.After(deadline.Add(-overdueMargin))
}

// startsOverdue reports whether a request sent to a server now would start there on overdue weights, by the predicted time.
func (d *Dispatcher) startsOverdue(now time.Time, r *Request, s *server) bool {
	if d.overdue(now, s, r.Model) {
		return true
	}
	deadline, bound := d.schedule.Deadline(r.Model, s.weightVersion[r.Model])
	left := deadline.Add(-overdueMargin).Sub(now)
	return bound && left < longestStart && left < milliseconds(d.predictMS(now, r, d.services[s.Service], s))
}

// weightsDueIn returns the time until no request may start on the server's weights; 0 if no newer ones are the target.
func (d *Dispatcher) weightsDueIn(now time.Time, s *server, model string) time.Duration {
	deadline, bound := d.schedule.Deadline(model, s.weightVersion[model])
	if !bound {
		return 0
	}
	return deadline.Sub(now)
}

// oldestVersion returns the oldest weight version of the model on any server; 0 if no server has the model.
func (d *Dispatcher) oldestVersion(model string) int64 {
	var oldest int64
	for _, s := range d.servers {
		if v := s.weightVersion[model]; v > 0 && (oldest == 0 || v < oldest) {
			oldest = v
		}
	}
	return oldest
}

// SetVersion sets a server's weight version from a response, a report or another gateway. The version of a server never
// decreases.
func (d *Dispatcher) SetVersion(now time.Time, id, model string, version int64) {
	if s := d.servers[id]; s != nil && version > s.weightVersion[model] {
		s.weightVersion[model] = version
		s.endExclusion(now)
		s.refusedUntil, s.misdirectedCount = time.Time{}, 0
	}
}

// excludedTTL is how long the leader's report that a server loads weights is valid: a few of its heartbeats.
const excludedTTL = 1500 * time.Millisecond

// SetExcluded replaces the servers that are excluded from new requests because they load weights or are about to.
func (d *Dispatcher) SetExcluded(ids []string, now time.Time) {
	excluded := make(map[string]bool, len(ids))
	for _, id := range ids {
		excluded[id] = true
	}
	for _, s := range d.servers {
		if excluded[s.ID] {
			s.excludedUntil = now.Add(excludedTTL)
		} else {
			s.endExclusion(now)
		}
	}
}

// Engines returns the state of the servers that run a model, for the rollout of weights.
func (d *Dispatcher) Engines(model string, now time.Time) []weights.Engine {
	var views []weights.Engine
	for _, s := range d.servers {
		if _, ok := s.weightVersion[model]; !ok {
			continue
		}
		deadline, _ := d.schedule.Deadline(model, s.weightVersion[model])
		views = append(views, weights.Engine{
			Server:   s.Server,
			Version:  s.weightVersion[model],
			Deadline: deadline,
			InFlight: s.running + s.peerLoad.Running,
			Suspect:  now.Before(s.suspectUntil) || s.leaving || s.replaced,

			Evacuated: d.isEvacuated(s),
		})
	}
	return views
}

// Targets returns the schedule of target weight versions. Only the dispatcher adds to it.
func (d *Dispatcher) Targets() *weights.Schedule { return d.schedule }
