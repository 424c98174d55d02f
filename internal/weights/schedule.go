package weights

import (
	"cmp"
	"slices"
	"time"
)

// maxScheduled bounds the target versions that a Schedule keeps for each model.
const maxScheduled = 32

// maxEarlyShare is the share of the time for older versions by which NotBefore shortens it at most. Gateways that start after a long
// stop would otherwise take all engines as overdue at once.
const maxEarlyShare = 0.5

// TargetVersion is a weight version that the operator set as the target of a model.
type TargetVersion struct {
	Model   string
	Version int64
	// SetAt is the earliest time at which some gateway is known to have read the version: it was set by then.
	SetAt time.Time
	// NotBefore is the latest time at which some gateway is known to have read that it wasn't set yet; zero if none is known.
	NotBefore time.Time
}

// merge adds what another gateway knows of the same version.
func (t *TargetVersion) merge(other TargetVersion) {
	if other.SetAt.Before(t.SetAt) {
		t.SetAt = other.SetAt
	}
	if other.NotBefore.After(t.NotBefore) {
		t.NotBefore = other.NotBefore
	}
}

// EarliestSetAt returns the earliest time at which the version may have been set, SetAt if nothing bounds that.
func (t *TargetVersion) EarliestSetAt() time.Time {
	if t.NotBefore.IsZero() || t.NotBefore.After(t.SetAt) {
		return t.SetAt
	}
	return t.NotBefore
}

// Schedule records when each weight version became the target of its model, and from that by when engines must have left
// older versions. It is not safe for concurrent use.
//
// Invariant: each target version binds the engines with older versions from its own time on, whatever versions follow it. The
// time is not later than when the version was set, unless its NotBefore is unknown or maxEarlyShare limits it.
type Schedule struct {
	// within is the time for which requests may still start on older versions.
	within time.Duration
	// versions are, by model, the target versions in ascending order. SetAt ascends too: a version was set before a later one.
	versions map[string][]TargetVersion
}

// NewSchedule returns an empty Schedule.
func NewSchedule() *Schedule { return &Schedule{versions: make(map[string][]TargetVersion)} }

// SetWithin sets the time for which requests may still start on older versions after a target version is set.
func (s *Schedule) SetWithin(within time.Duration) { s.within = within }

// Add records a target version, or what another gateway knows of it, in any order. It reports whether that changed anything.
func (s *Schedule) Add(target TargetVersion) bool {
	list := s.versions[target.Model]
	at, known := slices.BinarySearchFunc(list, target.Version, func(t TargetVersion, v int64) int { return cmp.Compare(t.Version, v) })
	before := target
	if known {
		before = list[at]
		target.merge(before)
	} else {
		list = slices.Insert(list, at, target)
	}
	if next := at + 1; next < len(list) && list[next].SetAt.Before(target.SetAt) {
		target.SetAt = list[next].SetAt
	}
	list[at] = target
	for i := range list[:at] {
		if target.SetAt.Before(list[i].SetAt) {
			list[i].SetAt = target.SetAt
		}
	}
	if len(list) > maxScheduled {
		if s.deadline(&list[0]).Before(s.deadline(&list[1])) {
			list[1].SetAt, list[1].NotBefore = list[0].SetAt, list[0].NotBefore
		}
		list = slices.Delete(list, 0, 1)
	}
	s.versions[target.Model] = list
	return !known || target != before
}

// Newest returns the newest target version of a model; 0 if there is none.
func (s *Schedule) Newest(model string) int64 {
	list := s.versions[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Version
}

// Deadline returns the time until which requests may start on a version of a model. It returns false if no newer version
// is the target.
func (s *Schedule) Deadline(model string, version int64) (time.Time, bool) {
	for _, target := range s.versions[model] {
		if target.Version > version {
			return s.deadline(&target), true
		}
	}
	return time.Time{}, false
}

// deadline returns the time until which requests may start on versions older than the target.
func (s *Schedule) deadline(target *TargetVersion) time.Time {
	early := min(target.SetAt.Sub(target.EarliestSetAt()), time.Duration(maxEarlyShare*float64(s.within)))
	return target.SetAt.Add(s.within - early)
}

// Binding returns the target versions of a model that another gateway needs to derive the same deadlines from now on. Those
// before the last one whose time is over bind no engine that it doesn't bind.
func (s *Schedule) Binding(model string, now time.Time) []TargetVersion {
	list := s.versions[model]
	first := 0
	for i, target := range list {
		if !now.Before(s.deadline(&target)) {
			first = i
		}
	}
	return slices.Clone(list[first:])
}

// Models returns the models that have a target version, sorted.
func (s *Schedule) Models() []string {
	models := make([]string, 0, len(s.versions))
	for model := range s.versions {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}
