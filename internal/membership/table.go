package membership

import (
	"cmp"
	"slices"
	"time"

	"balsamyoke.example/balsamyoke/internal/metastore"
)

// Table keeps the instances of some roles. It is not safe for concurrent use.
//
// Invariant: an instance that reported that it is leaving is not open until LeavingTTL has passed or
// another incarnation has reported, regardless of the list.
type Table struct {
	roles      []metastore.Role
	members    map[string]*member
	listReadAt time.Time
}

// New returns an empty Table for instances of the given roles.
func New(roles ...metastore.Role) *Table {
	return &Table{roles: roles, members: make(map[string]*member)}
}

// RecordList updates the table from the instance list as read at now. Instances that the list no longer shows
// are kept while they report. A list that shows no instance of the table's roles is ignored while any instance
// has reported within UnlistedTTL: an instance list that has just started is empty.
func (t *Table) RecordList(now time.Time, instances []metastore.Instance) {
	t.listReadAt = now
	if !t.containsRole(instances) && t.anyReportedRecently(now) {
		return
	}
	for _, instance := range instances {
		if slices.Contains(t.roles, instance.Role) {
			t.updateFromList(now, instance)
		}
	}
	t.removeUnlisted(now)
}

// containsRole reports whether the list has a row of the table's roles.
func (t *Table) containsRole(instances []metastore.Instance) bool {
	return slices.ContainsFunc(instances, func(i metastore.Instance) bool { return slices.Contains(t.roles, i.Role) })
}

func (t *Table) anyReportedRecently(now time.Time) bool {
	for _, m := range t.members {
		if now.Sub(m.lastReportAt) < UnlistedTTL {
			return true
		}
	}
	return false
}

func (t *Table) updateFromList(now time.Time, instance metastore.Instance) {
	m := t.members[instance.ID]
	if m == nil {
		m = &member{state: instanceChart.Initial(), stateSince: now}
		t.members[instance.ID] = m
	}
	m.instance = instance
	m.listedAt = now
	if instance.State == metastore.InstanceLeaving {
		m.fire(now, eventListedLeaving)
	}
}

// removeUnlisted removes the instances that the last list did not show and that have not reported within
// UnlistedTTL.
func (t *Table) removeUnlisted(now time.Time) {
	for id, m := range t.members {
		if m.listedAt.Equal(t.listReadAt) || now.Sub(m.lastReportAt) < UnlistedTTL {
			continue
		}
		m.fire(now, eventAbsent)
		delete(t.members, id)
	}
}

// RecordReport records an instance's own report and returns whether the instance's eligibility for new work
// changed. A report of an instance that was never listed is ignored because its addresses are unknown.
func (t *Table) RecordReport(now time.Time, r Report) bool {
	m := t.members[r.Instance]
	if m == nil {
		return false
	}
	before := instanceChart.Label(m.state)
	t.updateIncarnation(now, m, r)
	m.lastReportAt = now
	m.configVersion = max(m.configVersion, r.ConfigVersion)
	if r.WeightVersion != "" {
		m.weightVersion = r.WeightVersion
	}
	if r.Leaving {
		m.fire(now, eventReportedLeaving)
		m.stateSince = now
	} else {
		m.fire(now, eventReported)
	}
	return instanceChart.Label(m.state) != before
}

// updateIncarnation records the incarnation of a report. Another incarnation than before means that another
// process replaced the instance; the first recorded incarnation replaces none.
func (t *Table) updateIncarnation(now time.Time, m *member, r Report) {
	if m.incarnation == r.Incarnation {
		return
	}
	if m.incarnation != 0 {
		m.configVersion, m.weightVersion = 0, ""
		if !r.Leaving {
			m.fire(now, eventReplaced)
		}
	}
	m.incarnation = r.Incarnation
}

// RecordFailure records that an instance could not be reached and returns whether the instance's eligibility for
// new work changed.
func (t *Table) RecordFailure(now time.Time, instance string) bool {
	m := t.members[instance]
	if m == nil {
		return false
	}
	changed := m.fire(now, eventFailed)
	if m.state == stateSuspect {
		m.stateSince = now
	}
	return changed
}

// Tick ends the states that have expired. It reports whether any instance's eligibility for new work changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for _, m := range t.members {
		if m.expired(now) {
			changed = m.fire(now, eventElapsed) || changed
		}
	}
	return changed
}

// ReadAt returns when the list was last read; zero before the first read.
func (t *Table) ReadAt() time.Time { return t.listReadAt }

// Lookup returns an instance with its last known state, and whether the table has it.
func (t *Table) Lookup(instance string) (Member, bool) {
	m := t.members[instance]
	if m == nil {
		return Member{}, false
	}
	return m.view(), true
}

// Near returns the members of a region and, for services that have no open member in the region, the members
// of all regions. The result is in ID order.
func (t *Table) Near(region string) []Member {
	served := make(map[string]bool)
	for _, m := range t.members {
		if m.instance.Region == region && instanceChart.Label(m.state) == labelOpen {
			served[m.instance.Service] = true
		}
	}
	var near []Member
	for _, m := range t.members {
		if m.instance.Region == region || !served[m.instance.Service] {
			near = append(near, m.view())
		}
	}
	slices.SortFunc(near, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return near
}

// Members returns all instances of the table in ID order.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, m.view())
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}
