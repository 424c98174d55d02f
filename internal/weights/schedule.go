package weights

import (
	"slices"
	"time"
)

// maxScheduled bounds the target versions that a Schedule keeps for each model.
const maxScheduled = 32

// TargetVersion is a weight version that the operator set as the target of a model, and the earliest known time at which
// it was set.
type TargetVersion struct {
	Model   string
	Version int64
	SetAt   time.Time
}

// Schedule records when each weight version became the target of its model, and from that by when engines must have left
// older versions. It is not safe for concurrent use.
//
// Invariant: each target version binds the engines with older versions from its own time on, whatever versions follow it.
type Schedule struct {
	// within is the time for which requests may still start on older versions.
	within time.Duration
	// versions are, by model, the target versions that bind engines, in ascending order. Their times ascend too: a version
	// whose time isn't earlier than that of a later one binds no engine sooner than that one.
	versions map[string][]TargetVersion
}

// NewSchedule returns an empty Schedule.
func NewSchedule() *Schedule { return &Schedule{versions: make(map[string][]TargetVersion)} }

// SetWithin sets the time for which requests may still start on older versions after a target version is set.
func (s *Schedule) SetWithin(within time.Duration) { s.within = within }

// Add records a target version, in any order. It reports whether that binds some engines, or binds them earlier than known.
func (s *Schedule) Add(target TargetVersion) bool {
	list := s.versions[target.Model]
	at, known := slices.BinarySearchFunc(list, target.Version, func(t TargetVersion, v int64) int { return int(t.Version - v) })
	if at < len(list) && !target.SetAt.Before(list[at].SetAt) {
		return false
	}
	if !known {
		list = slices.Insert(list, at, target)
	}
	list[at].SetAt = target.SetAt
	first := at
	for first > 0 && !list[first-1].SetAt.Before(target.SetAt) {
		first--
	}
	list = slices.Delete(list, first, at)
	if len(list) > maxScheduled {
		list[1].SetAt = list[0].SetAt
		list = slices.Delete(list, 0, 1)
	}
	s.versions[target.Model] = list
	return true
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
			return target.SetAt.Add(s.within), true
		}
	}
	return time.Time{}, false
}

// Binding returns the target versions of a model that another gateway needs to derive the same deadlines from now on. Those
// before the last one whose time is over bind no engine that it doesn't bind.
func (s *Schedule) Binding(model string, now time.Time) []TargetVersion {
	list := s.versions[model]
	first := 0
	for i, target := range list {
		if !now.Before(target.SetAt.Add(s.within)) {
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
